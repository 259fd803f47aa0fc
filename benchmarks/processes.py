"""What one dispatcher needs before 200 and 3,200 servers, as real processes: ``python benchmarks/processes.py``.

The same traffic before both fleets: calm, then a release that takes six in ten servers away in steps, with discovery
down for a while.  All servers together have the same slots.  Each figure stands against the line of the operators'
page: so many times the small fleet's, and an allowance for each thousand servers.
"""

from typing import NamedTuple

import click

from heronlug.cli.helpers import print_columns
from heronlug.faults.harness import play
from heronlug.faults.plan import (
    ClassTable,
    DiscoveryTable,
    DispatchersTable,
    ExpectTable,
    FaultPlan,
    ServersTable,
    Step,
)
from heronlug.faults.verdict import Verdict

SMALL_FLEET, LARGE_FLEET = 200, 3200
DISPATCHER_COUNT, TOTAL_SLOTS = 2, 3200  # of all servers together
RELEASE_STEPS = 6


class GrowthLimit(NamedTuple):
    """How far a figure may grow: so many times, plus so much, plus so much for each thousand servers."""

    figure: str
    factor: float
    constant: float
    per_thousand_servers: float

    def upper_bound(self, small: float, servers: int) -> float:
        """What the large fleet's may be."""
        return self.factor * small + self.constant + self.per_thousand_servers * servers / 1000


GROWTH_LIMITS = (
    GrowthLimit("CPU s of those that run", 1.4, 0.02 * DISPATCHER_COUNT, 0.12 * DISPATCHER_COUNT),
    GrowthLimit("peak MB of one", 1.5, 8, 4),
    GrowthLimit("descriptors of one", 2, 40, 0),
    GrowthLimit("dials", 2.5, 40 * DISPATCHER_COUNT, 0),
    GrowthLimit("bytes of lists", 2, 65_536 * DISPATCHER_COUNT, 512_000 * DISPATCHER_COUNT),
)


def release_plan(servers: int, span: float, peers: bool) -> FaultPlan:
    """A release under steady traffic, and an outage of discovery in it."""
    servers_per_step = servers * 6 // 10 // RELEASE_STEPS
    plan = FaultPlan(
        name=f"{servers} servers",
        span_s=span,
        begin="listed",
        relays=["register"],
        dispatchers=DispatchersTable(count=DISPATCHER_COUNT, peers=peers),
        register=DiscoveryTable(),
        runners=ServersTable(count=servers, slots=max(1, TOTAL_SLOTS // servers), warm_after_ms=5000.0),
        classes=[
            ClassTable(name="safe", rate=20, work_ms=100, deadline_ms=3000),
            ClassTable(name="once", effect="once", rate=10, work_ms=200, deadline_ms=3000),
        ],
        expect=ExpectTable(served_least=0.5),
    )
    for number in range(RELEASE_STEPS):
        step_at_s = span * (0.2 + 0.5 * number / RELEASE_STEPS)
        names = [f"r{n}" for n in range(number * servers_per_step, (number + 1) * servers_per_step)]
        plan.step += [
            Step(at_s=step_at_s, do="list", who=names, state="leaving"),
            Step(at_s=step_at_s + span * 0.05, do="list", who=names, state="left"),
        ]
    plan.step += [Step(at_s=span * 0.5, do="down", for_s=span * 0.1)]
    return plan


def compare_fleets(span: float, peers: bool) -> tuple[list[list[str]], list[str]]:
    """The table of both fleets, and what is over its line or broke a rule."""
    small, large = (play(release_plan(servers, span, peers)) for servers in (SMALL_FLEET, LARGE_FLEET))
    rows, failures = [], _violations(small) + _violations(large)
    for limit in GROWTH_LIMITS:
        small_value, large_value = float(small.figures[limit.figure]), float(large.figures[limit.figure])
        bound = limit.upper_bound(small_value, LARGE_FLEET)
        rows.append([limit.figure, f"{small_value:g}", f"{large_value:g}", f"{bound:g}"])
        if large_value > bound:
            failures.append(f"{limit.figure}: {large_value:g} with {LARGE_FLEET} servers, at most {bound:g}")
    served = [verdict.figures["served"] / max(1, verdict.figures["jobs"]) for verdict in (small, large)]
    rows.append(["share served", f"{served[0]:.3f}", f"{served[1]:.3f}", f"{0.85 * served[0]:.3f} at least"])
    if served[1] < 0.85 * served[0]:
        failures.append(f"share served: {served[1]:.3f}, {served[0]:.3f} with {SMALL_FLEET} servers")
    return rows, failures


def _violations(verdict: Verdict) -> list[str]:
    return [] if verdict.kept else [verdict.text()]


@click.command()
@click.option("--span", default=20.0, help="seconds of the day")
def main(span: float) -> None:
    """Print the table, with and without datagrams; the exit status is 1 where a line is passed."""
    failures: list[str] = []
    for peers in (True, False):
        rows, fleet_failures = compare_fleets(span, peers)
        heading = [f"peers {'yes' if peers else 'no'}", f"{SMALL_FLEET} servers", f"{LARGE_FLEET} servers", "at most"]
        print_columns([heading, *rows])
        failures += fleet_failures
    for failure in failures:
        print(failure)
    raise SystemExit(1 if failures else 0)


if __name__ == "__main__":
    main()

"""Compares the resources that dispatchers need for 200 and for 3,200 servers: ``python benchmarks/processes.py``.

The dispatchers are real processes. Both fleets get the same traffic and have the same total number of slots. After a
calm phase, a release removes 60% of the servers in steps, with an outage of service discovery during the release. Each
figure of the large fleet is checked against the limit on the operators' page: a multiple of the small fleet's figure
plus an allowance per thousand servers.
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
DISPATCHER_COUNT, TOTAL_SLOTS = 2, 3200
RELEASE_STEPS = 6


class GrowthLimit(NamedTuple):
    """Limit on the growth of a figure from the small to the large fleet.

    Attributes:
        figure: name of the figure.
        factor: factor on the figure of the small fleet.
        constant: constant allowance.
        per_thousand_servers: allowance for each thousand servers of the large fleet.
    """

    figure: str
    factor: float
    constant: float
    per_thousand_servers: float

    def upper_bound(self, small: float, servers: int) -> float:
        """Returns the highest permitted figure of the large fleet."""
        return self.factor * small + self.constant + self.per_thousand_servers * servers / 1000


GROWTH_LIMITS = (
    GrowthLimit("CPU s of those that run", 1.4, 0.02 * DISPATCHER_COUNT, 0.12 * DISPATCHER_COUNT),
    GrowthLimit("peak MB of one", 1.5, 8, 4),
    GrowthLimit("descriptors of one", 2, 40, 0),
    GrowthLimit("dials", 2.5, 40 * DISPATCHER_COUNT, 0),
    GrowthLimit("bytes of lists", 2, 65_536 * DISPATCHER_COUNT, 512_000 * DISPATCHER_COUNT),
)


def release_plan(servers: int, span: float, peers: bool) -> FaultPlan:
    """Returns the test plan of a release under steady traffic, with an outage of service discovery meanwhile."""
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
    """Returns the table of both fleets, and descriptions of exceeded limits and of failed test plans."""
    small, large = (play(release_plan(servers, span, peers)) for servers in (SMALL_FLEET, LARGE_FLEET))
    rows, failures = [], _verdict_failures(small) + _verdict_failures(large)
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


def _verdict_failures(verdict: Verdict) -> list[str]:
    """Returns the text of a verdict with violated rules, unmet expectations or failed processes, else an empty list."""
    return [] if verdict.kept else [verdict.text()]


@click.command()
@click.option("--span", default=20.0, help="duration of each test plan in seconds")
def main(span: float) -> None:
    """Print the tables with and without gossip.

    The exit status is 1 if a limit is exceeded, a rule is violated or an expectation is not met.
    """
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

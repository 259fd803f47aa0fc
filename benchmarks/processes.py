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

SMALL, LARGE = 200, 3200
DISPATCHERS, SLOTS = 2, 3200  # of all servers together
STEPS = 6


class Line(NamedTuple):
    """How far a figure may grow: so many times, plus so much, plus so much for each thousand servers."""

    figure: str
    times: float
    plus: float
    by_thousand: float

    def most(self, small: float, servers: int) -> float:
        """What the large fleet's may be."""
        return self.times * small + self.plus + self.by_thousand * servers / 1000


LINES = (
    Line("CPU s of those that run", 1.4, 0.02 * DISPATCHERS, 0.12 * DISPATCHERS),
    Line("peak MB of one", 1.5, 8, 4),
    Line("descriptors of one", 2, 40, 0),
    Line("dials", 2.5, 40 * DISPATCHERS, 0),
    Line("bytes of lists", 2, 65_536 * DISPATCHERS, 512_000 * DISPATCHERS),
)


def day(servers: int, span: float, peers: bool) -> FaultPlan:
    """A release under steady traffic, and an outage of discovery in it."""
    share = servers * 6 // 10 // STEPS
    script = FaultPlan(
        name=f"{servers} servers",
        span_s=span,
        begin="listed",
        relays=["register"],
        dispatchers=DispatchersTable(count=DISPATCHERS, peers=peers),
        register=DiscoveryTable(),
        runners=ServersTable(count=servers, slots=max(1, SLOTS // servers), warm_after_ms=5000.0),
        classes=[
            ClassTable(name="safe", rate=20, work_ms=100, deadline_ms=3000),
            ClassTable(name="once", effect="once", rate=10, work_ms=200, deadline_ms=3000),
        ],
        expect=ExpectTable(served_least=0.5),
    )
    for number in range(STEPS):
        at = span * (0.2 + 0.5 * number / STEPS)
        who = [f"r{n}" for n in range(number * share, (number + 1) * share)]
        script.step += [
            Step(at_s=at, do="list", who=who, state="leaving"),
            Step(at_s=at + span * 0.05, do="list", who=who, state="left"),
        ]
    script.step += [Step(at_s=span * 0.5, do="down", for_s=span * 0.1)]
    return script


def compare(span: float, peers: bool) -> tuple[list[list[str]], list[str]]:
    """The table of both fleets, and what is over its line or broke a rule."""
    small, large = (play(day(servers, span, peers)) for servers in (SMALL, LARGE))
    rows, wrong = [], _broken(small) + _broken(large)
    for line in LINES:
        few, many = float(small.figures[line.figure]), float(large.figures[line.figure])
        most = line.most(few, LARGE)
        rows.append([line.figure, f"{few:g}", f"{many:g}", f"{most:g}"])
        if many > most:
            wrong.append(f"{line.figure}: {many:g} with {LARGE} servers, at most {most:g}")
    served = [verdict.figures["served"] / max(1, verdict.figures["jobs"]) for verdict in (small, large)]
    rows.append(["share served", f"{served[0]:.3f}", f"{served[1]:.3f}", f"{0.85 * served[0]:.3f} at least"])
    if served[1] < 0.85 * served[0]:
        wrong.append(f"share served: {served[1]:.3f}, {served[0]:.3f} with {SMALL} servers")
    return rows, wrong


def _broken(verdict: Verdict) -> list[str]:
    return [] if verdict.kept else [verdict.text()]


@click.command()
@click.option("--span", default=20.0, help="seconds of the day")
def main(span: float) -> None:
    """Print the table, with and without datagrams; the exit status is 1 where a line is passed."""
    wrong: list[str] = []
    for peers in (True, False):
        rows, faults = compare(span, peers)
        head = [f"peers {'yes' if peers else 'no'}", f"{SMALL} servers", f"{LARGE} servers", "at most"]
        print_columns([head, *rows])
        wrong += faults
    for fault in wrong:
        print(fault)
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()

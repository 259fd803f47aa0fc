"""What each event costs as the list of servers and the queue of waiting requests grow: ``python benchmarks/scale.py``.

One core of a dispatcher, driven in virtual time round a stand-in for its sockets.  Each row is one kind of event; each
column a fleet size.  A row that grows faster than what the event changes is a fault.  The ratio at the end of a row is
the largest fleet's cost over the smallest one's, in the same run, so that it does not depend on the machine.
"""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import click

from heronlug.balancer.events import ListKind, Outcome, ProgressKind, ServerState
from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.cli.helpers import print_columns
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, Request

CLASSES = (
    RequestClass(aim=500, deadline=10_000, effect=Effect.REPEATABLE, stretch=2, worth=2, late_value=0.5, name="safe"),
    RequestClass(aim=1_000, deadline=20_000, stretch=1.75, worth=8, late_value=0.5, name="once"),
    RequestClass(
        aim=4_000,
        deadline=25_000,
        effect=Effect.BY_KEY,
        stretch=2,
        repeat_window=40_000,
        worth=5,
        late_value=0.5,
        name="keyed",
    ),
)
START = 1_700_000_000_000.0
WARM_AFTER = 18_000.0
CHANGES = 100  # servers in one list of changes
REPEATS = 40  # of each event that is cheap to repeat


class Sockets:
    """A front that keeps what it is told to send."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.answers = 0

    def send(self, relay: Attempt) -> None:
        """Keep an attempt."""
        self.sent.append(relay)

    def cancel(self, relay: Attempt) -> None:
        """Nothing is on a wire."""

    def answer(self, message: Request, final: FinalAnswer, body: bytes, come_back: float) -> None:
        """Count an answer."""
        self.answers += 1

    def here(self, message: Request) -> bool:
        """Clients stay."""
        return True


@dataclass
class Fleet:
    """One dispatcher and its list of servers, on a clock that is moved by hand."""

    servers: int
    peers: bool
    started_at: float = 0.0
    now: float = START
    version: int = 0
    sockets: Sockets = field(default_factory=Sockets)

    def __post_init__(self) -> None:
        settings = Settings(
            classes=CLASSES,
            instances=200,
            position=7,
            ask_every=1_000,
            attempts_cap=6,
            second_copies=True,
            may_cancel=True,
            may_tell=self.peers,
            lends=self.peers,
            tells_start=True,
            progress_every=1_000,
            drain_grace=2_500,
            cold_from=0.2,
            warm_after=WARM_AFTER,
            tip_multiple=3,
            overload_for=3_000,
            cpu_per_request=10,
            cross_zone_price=0.02,
            worst_class=0.3,
        )
        self.deadlines = Deadlines(lambda: self.now)
        self.core = Core(settings, 1, self.sockets, self.deadlines)

    def entries(self, first: int, count: int, state: ServerState = ServerState.READY) -> list[ListedServer]:
        """Lines of a list, by number."""
        at = self.started_at
        return [
            ListedServer(f"s-{n * 2654435761 % 2**32:08x}", "127.0.0.1:9", state, n % 4, n % 3, n // 6, 1.0, at)
            for n in range(first, first + count)
        ]

    def list_all(self) -> None:
        """The whole list."""
        self.core.inventory(ListKind.FULL, self.entries(0, self.servers))

    def arrive(self, lane: int = 0, remaining: float = 9_000.0) -> None:
        """A request."""
        self.core.take(None, lane, remaining)

    def serve_one(self) -> None:
        """The oldest attempt starts and is served."""
        relay = self.sockets.sent.pop(0)
        self.core.noted(relay, ProgressKind.STARTED)
        self.now += 1
        self.core.ended(relay, Outcome.SERVED, b"ok")

    def pass_time(self, span: float) -> None:
        """Timers that are due fire in order."""
        end = self.now + span
        while (head := self.deadlines.head()) is not None and head <= end:
            self.now = max(self.now, head)
            self.deadlines.sweep()
        self.now = end


def timed(act: Callable[[], object], repeats: int = 1) -> float:
    """Microseconds of CPU that one call takes in the mean."""
    begin = time.process_time_ns()
    for _ in range(repeats):
        act()
    return (time.process_time_ns() - begin) / repeats / 1000


def warm(servers: int, peers: bool) -> Fleet:
    """A fleet of warm servers that has served some requests."""
    fleet = Fleet(servers, peers)
    fleet.list_all()
    for _ in range(50):
        fleet.arrive()
        fleet.serve_one()
    return fleet


def cold(servers: int, peers: bool, waiting: int) -> Fleet:
    """A fleet of which all servers have just started, with requests that wait."""
    fleet = Fleet(servers, peers, started_at=START - 100)
    fleet.list_all()
    for n in range(waiting):
        fleet.arrive(n % 3, 9_000.0)
    return fleet


def whole_list(servers: int, peers: bool, _: int) -> float:
    """A first list."""
    fleet = Fleet(servers, peers)
    return timed(fleet.list_all)


def same_list(servers: int, peers: bool, _: int) -> float:
    """The whole list once more."""
    return timed(warm(servers, peers).list_all)


def new_servers(servers: int, peers: bool, _: int) -> float:
    """Changes: servers that were not listed before."""
    fleet = warm(servers, peers)
    fleet.started_at = START
    lines = fleet.entries(servers, CHANGES)
    return timed(lambda: fleet.core.inventory(ListKind.CHANGES, lines))


def draining(servers: int, peers: bool, _: int) -> float:
    """Changes: servers that begin to drain."""
    fleet = warm(servers, peers)
    lines = fleet.entries(0, CHANGES, ServerState.DRAINING)
    return timed(lambda: fleet.core.inventory(ListKind.CHANGES, lines))


def arrival(servers: int, peers: bool, _: int) -> float:
    """A request for which there is a server."""
    return timed(warm(servers, peers).arrive, REPEATS)


def end(servers: int, peers: bool, _: int) -> float:
    """An attempt that is served."""
    fleet = warm(servers, peers)
    for _ in range(REPEATS):
        fleet.arrive()
    return timed(fleet.serve_one, REPEATS)


def arrival_held(servers: int, peers: bool, waiting: int) -> float:
    """A request for which there is none: all are cold."""
    return timed(cold(servers, peers, waiting).arrive, REPEATS)


def idle_second(servers: int, peers: bool, waiting: int) -> float:
    """A second in which nothing comes, while requests wait."""
    fleet = cold(servers, peers, waiting)
    return timed(lambda: fleet.pass_time(1_000.0))


def datagram(servers: int, peers: bool, waiting: int) -> float:
    """Counts that another dispatcher tells."""
    fleet = cold(servers, peers, waiting)
    numbers = list(fleet.core.hosts)[:40]
    head = fleet.core.dispatcher.peers
    content = head.STAMP.pack(head.COUNTS, START) + b"".join(head.PAIR.pack(n, 2) for n in numbers)
    return timed(lambda: fleet.core.heard(3, content), REPEATS)


def load_summary(servers: int, peers: bool, waiting: int) -> float:
    """All parts of a summary of load that another dispatcher tells."""
    fleet = cold(servers, peers, waiting)
    parts = fleet.core.dispatcher.peers.summary([1] * servers)
    return timed(lambda: [fleet.core.heard(1, part) for part in parts], 4)


def figures(servers: int, peers: bool, _: int) -> float:
    """The operators' call."""
    return timed(warm(servers, peers).core.targets, REPEATS)


ROWS: dict[str, Callable[[int, bool, int], float]] = {
    "whole list, first": whole_list,
    "whole list, again": same_list,
    "100 new servers": new_servers,
    "100 draining": draining,
    "request, placed": arrival,
    "attempt served": end,
    "request, held": arrival_held,
    "a second, requests held": idle_second,
    "peer's counts": datagram,
    "load summary": load_summary,
    "figures": figures,
}
WAITING = frozenset({"request, held", "a second, requests held", "peer's counts", "load summary"})


def measure(name: str, servers: Sequence[int], peers: bool, waiting: int) -> list[str]:
    """One row of the table."""
    costs = [ROWS[name](count, peers, waiting) for count in servers]
    shown = f"{name} ({waiting} wait)" if name in WAITING else name
    return [shown, "yes" if peers else "no", *(f"{cost:.0f}" for cost in costs), f"{costs[-1] / max(costs[0], 1):.1f}"]


@click.command()
@click.option("--servers", "sizes", default="200,800,3200", help="fleet sizes")
@click.option("--waiting", "queues", default="10,100,1000", help="requests that wait, for the rows where it matters")
@click.option("--only", default="", help="rows whose name begins so")
def main(sizes: str, queues: str, only: str) -> None:
    """Print microseconds of CPU by event."""
    servers, queue = [int(n) for n in sizes.split(",")], [int(n) for n in queues.split(",")]
    rows = [
        measure(name, servers, peers, waiting)
        for name in ROWS
        if name.startswith(only)
        for peers in (True, False)
        for waiting in (queue if name in WAITING else queue[:1])
    ]
    head = ["event", "peers", *(f"{count} servers" for count in servers), "ratio"]
    print_columns([head, *rows])


if __name__ == "__main__":
    main()

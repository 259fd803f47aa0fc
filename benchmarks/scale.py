"""Measures the CPU cost of each event by fleet size and queue length: ``python benchmarks/scale.py``.

The core of one dispatcher runs in virtual time with a stub frontend. Each row is a kind of event, and each column is a
fleet size. A cost that grows faster than the amount of data that the event changes is a defect. The ratio at the end
of a row is the cost for the largest fleet divided by the cost for the smallest fleet; both costs come from the same
run, so the ratio does not depend on the machine.
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

REQUEST_CLASSES = (
    RequestClass(
        latency_objective=500,
        deadline=10_000,
        effect=Effect.IDEMPOTENT,
        latency_factor=2,
        priority_weight=2,
        late_value=0.5,
        name="safe",
    ),
    RequestClass(
        latency_objective=1_000, deadline=20_000, latency_factor=1.75, priority_weight=8, late_value=0.5, name="once"
    ),
    RequestClass(
        latency_objective=4_000,
        deadline=25_000,
        effect=Effect.IDEMPOTENT_BY_KEY,
        latency_factor=2,
        repeat_window=40_000,
        priority_weight=5,
        late_value=0.5,
        name="keyed",
    ),
)
START_TIME_MS = 1_700_000_000_000.0
WARMUP_TIME_MS = 18_000.0
CHANGED_SERVERS = 100  # number of servers in a list of changes
REPEATS = 40  # repetitions of an event that is cheap to repeat


class StubFrontend:
    """Frontend that stores the attempts and counts the answers instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.answers = 0

    def send(self, attempt: Attempt) -> None:
        """Stores an attempt."""
        self.sent.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Does nothing, since no attempt is really sent."""

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Counts an answer."""
        self.answers += 1

    def client_waits(self, request: Request) -> bool:
        """Returns True, since clients never disconnect."""
        return True


@dataclass
class Fleet:
    """A dispatcher and its servers, with a manual clock.

    Attributes:
        servers: number of servers.
        peers: whether the dispatcher exchanges gossip and capacity loans with peers.
        started_at: start time of the servers as Unix time in ms.
        now: current time as Unix time in ms.
        version: not used by any measurement.
        frontend: stub that receives attempts and answers.
    """

    servers: int
    peers: bool
    started_at: float = 0.0
    now: float = START_TIME_MS
    version: int = 0
    frontend: StubFrontend = field(default_factory=StubFrontend)

    def __post_init__(self) -> None:
        settings = Settings(
            classes=REQUEST_CLASSES,
            instances=200,
            position=7,
            poll_interval=1_000,
            max_attempts=6,
            hedging=True,
            may_cancel=True,
            gossip=self.peers,
            lends_capacity=self.peers,
            reports_start=True,
            progress_interval=1_000,
            drain_grace=2_500,
            warmup_capacity=0.2,
            warmup_time=WARMUP_TIME_MS,
            overload_multiple=3,
            overload_window=3_000,
            cpu_per_request=10,
            cross_zone_price=0.02,
            worst_class_weight=0.3,
        )
        self.deadlines = Deadlines(lambda: self.now)
        self.core = Core(settings, 1, self.frontend, self.deadlines)

    def entries(self, first: int, count: int, state: ServerState = ServerState.READY) -> list[ListedServer]:
        """Returns the entries of ``count`` servers from number ``first`` on."""
        started_at = self.started_at
        return [
            ListedServer(f"s-{n * 2654435761 % 2**32:08x}", "127.0.0.1:9", state, n % 4, n % 3, n // 6, 1.0, started_at)
            for n in range(first, first + count)
        ]

    def list_all(self) -> None:
        """Passes the full endpoint list to the core."""
        self.core.update_servers(ListKind.FULL, self.entries(0, self.servers))

    def arrive(self, class_index: int = 0, remaining: float = 9_000.0) -> None:
        """Passes a request to the core; ``remaining`` is the time allowed in ms."""
        self.core.accept(None, class_index, remaining)

    def serve_one(self) -> None:
        """Reports that the oldest attempt has started and, after 1 ms, that the attempt is served."""
        attempt = self.frontend.sent.pop(0)
        self.core.attempt_progressed(attempt, ProgressKind.STARTED)
        self.now += 1
        self.core.attempt_ended(attempt, Outcome.SERVED, b"ok")

    def pass_time(self, span: float) -> None:
        """Advances the clock by ``span`` ms and runs the timers that become due, in order."""
        end = self.now + span
        while (due := self.deadlines.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.deadlines.run_due()
        self.now = end


def call_time_us(call: Callable[[], object], repeats: int = 1) -> float:
    """Returns the mean CPU time of a call in microseconds."""
    started_ns = time.process_time_ns()
    for _ in range(repeats):
        call()
    return (time.process_time_ns() - started_ns) / repeats / 1000


def warm_fleet(servers: int, peers: bool) -> Fleet:
    """Returns a fleet of warm servers that has served 50 requests."""
    fleet = Fleet(servers, peers)
    fleet.list_all()
    for _ in range(50):
        fleet.arrive()
        fleet.serve_one()
    return fleet


def cold_fleet(servers: int, peers: bool, waiting: int) -> Fleet:
    """Returns a fleet whose servers have all just started, with waiting requests."""
    fleet = Fleet(servers, peers, started_at=START_TIME_MS - 100)
    fleet.list_all()
    for n in range(waiting):
        fleet.arrive(n % 3, 9_000.0)
    return fleet


def first_full_list(servers: int, peers: bool, _: int) -> float:
    """Returns the cost of the first full endpoint list."""
    fleet = Fleet(servers, peers)
    return call_time_us(fleet.list_all)


def repeated_full_list(servers: int, peers: bool, _: int) -> float:
    """Returns the cost of an unchanged full endpoint list."""
    return call_time_us(warm_fleet(servers, peers).list_all)


def new_servers(servers: int, peers: bool, _: int) -> float:
    """Returns the cost of a list of changes with new servers."""
    fleet = warm_fleet(servers, peers)
    fleet.started_at = START_TIME_MS
    entries = fleet.entries(servers, CHANGED_SERVERS)
    return call_time_us(lambda: fleet.core.update_servers(ListKind.CHANGES, entries))


def draining(servers: int, peers: bool, _: int) -> float:
    """Returns the cost of a list of changes with servers that begin to drain."""
    fleet = warm_fleet(servers, peers)
    entries = fleet.entries(0, CHANGED_SERVERS, ServerState.DRAINING)
    return call_time_us(lambda: fleet.core.update_servers(ListKind.CHANGES, entries))


def arrival(servers: int, peers: bool, _: int) -> float:
    """Returns the cost of a request that a server can take at once."""
    return call_time_us(warm_fleet(servers, peers).arrive, REPEATS)


def attempt_end(servers: int, peers: bool, _: int) -> float:
    """Returns the cost of the start and the end of an attempt that is served."""
    fleet = warm_fleet(servers, peers)
    for _ in range(REPEATS):
        fleet.arrive()
    return call_time_us(fleet.serve_one, REPEATS)


def arrival_queued(servers: int, peers: bool, waiting: int) -> float:
    """Returns the cost of a request that is queued because all servers are cold."""
    return call_time_us(cold_fleet(servers, peers, waiting).arrive, REPEATS)


def idle_second(servers: int, peers: bool, waiting: int) -> float:
    """Returns the cost of one second without arrivals while requests wait."""
    fleet = cold_fleet(servers, peers, waiting)
    return call_time_us(lambda: fleet.pass_time(1_000.0))


def peer_counts(servers: int, peers: bool, waiting: int) -> float:
    """Returns the cost of a gossip message with a peer's request counts of 40 servers."""
    fleet = cold_fleet(servers, peers, waiting)
    server_ids = list(fleet.core.directory.by_number)[:40]
    peer_load = fleet.core.dispatcher.state.peer_load
    content = peer_load.STAMP.pack(peer_load.COUNTS, START_TIME_MS) + b"".join(
        peer_load.PAIR.pack(n, 2) for n in server_ids
    )
    return call_time_us(lambda: fleet.core.peer_message(3, content), REPEATS)


def load_summary(servers: int, peers: bool, waiting: int) -> float:
    """Returns the cost of all parts of a peer's load summary."""
    fleet = cold_fleet(servers, peers, waiting)
    parts = fleet.core.dispatcher.state.peer_load.summary([1] * servers)
    return call_time_us(lambda: [fleet.core.peer_message(1, part) for part in parts], 4)


def operator_figures(servers: int, peers: bool, _: int) -> float:
    """Returns the cost of the server counts that operators read."""
    return call_time_us(warm_fleet(servers, peers).core.server_counts, REPEATS)


MEASUREMENTS: dict[str, Callable[[int, bool, int], float]] = {
    "whole list, first": first_full_list,
    "whole list, again": repeated_full_list,
    "100 new servers": new_servers,
    "100 draining": draining,
    "request, placed": arrival,
    "attempt served": attempt_end,
    "request, held": arrival_queued,
    "a second, requests held": idle_second,
    "peer's counts": peer_counts,
    "load summary": load_summary,
    "figures": operator_figures,
}
MEASUREMENTS_WITH_QUEUE = frozenset({"request, held", "a second, requests held", "peer's counts", "load summary"})


def measure(name: str, servers: Sequence[int], peers: bool, waiting: int) -> list[str]:
    """Returns one row of the table."""
    costs = [MEASUREMENTS[name](count, peers, waiting) for count in servers]
    label = f"{name} ({waiting} wait)" if name in MEASUREMENTS_WITH_QUEUE else name
    return [label, "yes" if peers else "no", *(f"{cost:.0f}" for cost in costs), f"{costs[-1] / max(costs[0], 1):.1f}"]


@click.command()
@click.option("--servers", "sizes", default="200,800,3200", help="numbers of servers")
@click.option(
    "--waiting", "queues", default="10,100,1000", help="numbers of waiting requests, for the rows that depend on them"
)
@click.option("--only", default="", help="measure only rows whose name begins with this text")
def main(sizes: str, queues: str, only: str) -> None:
    """Print the CPU time of each event in microseconds."""
    servers, queue_sizes = [int(n) for n in sizes.split(",")], [int(n) for n in queues.split(",")]
    rows = [
        measure(name, servers, peers, waiting)
        for name in MEASUREMENTS
        if name.startswith(only)
        for peers in (True, False)
        for waiting in (queue_sizes if name in MEASUREMENTS_WITH_QUEUE else queue_sizes[:1])
    ]
    heading = ["event", "peers", *(f"{count} servers" for count in servers), "ratio"]
    print_columns([heading, *rows])


if __name__ == "__main__":
    main()

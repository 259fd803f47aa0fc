"""Which server's health is checked when, and what follows from the results.  No I/O and no clock.

Servers are divided into shards by their names. Each shard has a lease, so each server is checked by one member at a
time. The checks of a server have their own offset within the interval, so that checks are spread. After a number of
failures in a row a server is down, after a number of successes it is up again; a server that the previous owner of the
shard held down stays down until then.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from xxhash import xxh32_intdigest


def shard_of(server: str, shards: int) -> int:
    """The shard of a server; the same at every member."""
    return int(xxh32_intdigest(server.encode())) % shards


def shard_name(number: int) -> str:
    """The name of a shard's lease and of its replicated table."""
    return f"probe-{number}"


class DueCheck(NamedTuple):
    """A health check that starts now."""

    server: str
    address: str


@dataclass(slots=True)
class CheckedServer:
    """What is known of the health of one server.

    Attributes:
        address: Where it is checked.
        due: When the next check starts, in milliseconds.
        differing_results: Checks in a row whose result differs from the present state.
        down: Whether the server is down.
        in_flight: Whether a check is under way.
        checks: Checks that were started.
    """

    address: str
    due: float
    differing_results: int = 0
    down: bool = False
    in_flight: bool = False
    checks: int = 0


class HealthCheckSchedule:
    """The servers of the shards that this member checks.

    Attributes:
        interval: Between two checks of a server, in milliseconds.
        fall: Failures in a row after which a server is down.
        rise: Successes in a row after which it is up again.
        max_in_flight: Checks that may be under way at once.
        servers: The servers by their names.
        in_flight: Checks that are under way.
    """

    def __init__(self, interval: float, fall: int, rise: int, max_in_flight: int) -> None:
        self.interval = interval
        self.fall = fall
        self.rise = rise
        self.max_in_flight = max_in_flight
        self.servers: dict[str, CheckedServer] = {}
        self.in_flight = 0
        self._due_heap: list[tuple[float, str]] = []

    def use(self, addresses: dict[str, str], down: Iterable[str], now: float) -> None:
        """Check these servers, addresses by name, and no others; new ones that are in ``down`` start as down."""
        initially_down = set(down)
        for name in self.servers.keys() - addresses.keys():
            self.in_flight -= self.servers.pop(name).in_flight
        for name, address in addresses.items():
            existing = self.servers.get(name)
            if existing is not None and existing.address == address:
                continue
            if existing is not None:  # another process, of which nothing is known
                self.in_flight -= existing.in_flight
            offset = xxh32_intdigest(name.encode(), seed=1) / 2**32
            due = now + self.interval * offset
            self.servers[name] = CheckedServer(address, due, down=name in initially_down and existing is None)
            heappush(self._due_heap, (due, name))

    def start_due(self, now: float) -> list[DueCheck]:
        """Start the checks that are due, as far as more may be under way."""
        started: list[DueCheck] = []
        while self._due_heap and self._due_heap[0][0] <= now and self.in_flight < self.max_in_flight:
            due, name = heappop(self._due_heap)
            server = self.servers.get(name)
            if server is None or server.due != due:
                continue  # removed, or scheduled anew
            server.due = max(due + self.interval, now + self.interval / 2)
            heappush(self._due_heap, (server.due, name))
            if not server.in_flight:
                server.in_flight = True
                server.checks += 1
                self.in_flight += 1
                started.append(DueCheck(name, server.address))
        return started

    def record_result(self, name: str, address: str, succeeded: bool) -> bool | None:
        """A check has ended: True if the server is up again, False if it is down now, None if nothing has changed."""
        server = self.servers.get(name)
        if server is None or server.address != address or not server.in_flight:
            return None
        server.in_flight = False
        self.in_flight -= 1
        server.differing_results = server.differing_results + 1 if succeeded is server.down else 0
        if server.differing_results < (self.rise if server.down else self.fall):
            return None
        server.differing_results = 0
        server.down = not server.down
        return not server.down

    def next_wake(self) -> float:
        """When a check is due; infinite while no more may be under way, as then one that ends comes first."""
        while self._due_heap:
            due, name = self._due_heap[0]
            server = self.servers.get(name)
            if server is not None and server.due == due:
                return due if self.in_flight < self.max_in_flight else inf
            heappop(self._due_heap)
        return inf

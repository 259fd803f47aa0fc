"""Schedules health checks and decides from their results which servers are down, without I/O and without a clock.

Servers are divided into shards by their names. Each shard has a lease, so each server is checked by one member at a
time. Each server has its own offset within the interval, which spreads the checks over time. A server goes down after
a number of consecutive failures and comes up again after a number of consecutive successes. A server that was down
according to the previous lease holder of the shard stays down until the same number of consecutive successes.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from xxhash import xxh32_intdigest


def shard_of(server: str, shards: int) -> int:
    """Returns the shard number of a server, which is the same at every member."""
    return int(xxh32_intdigest(server.encode())) % shards


def shard_name(number: int) -> str:
    """Returns the name of a shard, which is also the name of its lease and of its replicated table."""
    return f"probe-{number}"


class DueCheck(NamedTuple):
    """A health check that the caller must run now."""

    server: str
    address: str


@dataclass(slots=True)
class CheckedServer:
    """The health of one server.

    Attributes:
        address: The host and port that checks connect to.
        due: The start time of the next check, in milliseconds.
        differing_results: Number of consecutive checks whose result contradicts ``down``.
        down: Whether the server is down.
        in_flight: Whether a check of the server is running.
        checks: Number of checks started.
    """

    address: str
    due: float
    differing_results: int = 0
    down: bool = False
    in_flight: bool = False
    checks: int = 0


class HealthCheckSchedule:
    """Schedules the checks of the servers in the shards whose leases this member holds.

    Attributes:
        interval: Time between two checks of the same server, in milliseconds.
        fall: Number of consecutive failures after which a server is down.
        rise: Number of consecutive successes after which a server is up again.
        max_in_flight: Maximum number of concurrent checks.
        servers: The checked servers by name.
        in_flight: Number of running checks.
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
        """Replaces the set of checked servers.

        Args:
            addresses: The addresses of the servers to check, by server name.
            down: Names of servers that are down; a server that is new to the schedule starts in this state.
            now: The current time, in milliseconds.
        """
        initially_down = set(down)
        for name in self.servers.keys() - addresses.keys():
            self.in_flight -= self.servers.pop(name).in_flight
        for name, address in addresses.items():
            existing = self.servers.get(name)
            if existing is not None and existing.address == address:
                continue
            if existing is not None:  # a new address means a new process with unknown health
                self.in_flight -= existing.in_flight
            offset = xxh32_intdigest(name.encode(), seed=1) / 2**32
            due = now + self.interval * offset
            self.servers[name] = CheckedServer(address, due, down=name in initially_down and existing is None)
            heappush(self._due_heap, (due, name))

    def start_due(self, now: float) -> list[DueCheck]:
        """Returns the due checks and marks them as running, up to ``max_in_flight`` running checks."""
        started: list[DueCheck] = []
        while self._due_heap and self._due_heap[0][0] <= now and self.in_flight < self.max_in_flight:
            due, name = heappop(self._due_heap)
            server = self.servers.get(name)
            if server is None or server.due != due:
                continue  # outdated heap entry: the server was removed or rescheduled
            server.due = max(due + self.interval, now + self.interval / 2)
            heappush(self._due_heap, (server.due, name))
            if not server.in_flight:
                server.in_flight = True
                server.checks += 1
                self.in_flight += 1
                started.append(DueCheck(name, server.address))
        return started

    def record_result(self, name: str, address: str, succeeded: bool) -> bool | None:
        """Records the result of a check.

        Args:
            name: The name of the checked server.
            address: The address that was checked; the result is ignored if the server has another address by now.
            succeeded: Whether the check succeeded.

        Returns:
            True if the server has come up, False if it has gone down, None if its state is unchanged.
        """
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
        """Returns the start time of the next check, in milliseconds.

        Returns infinity if no check is scheduled, or while ``max_in_flight`` checks are running: the caller asks again
        when one of them ends.
        """
        while self._due_heap:
            due, name = self._due_heap[0]
            server = self.servers.get(name)
            if server is not None and server.due == due:
                return due if self.in_flight < self.max_in_flight else inf
            heappop(self._due_heap)
        return inf

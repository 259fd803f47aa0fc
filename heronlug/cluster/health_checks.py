"""Which host is probed when, and what follows from the answers.  No I/O and no clock.

Hosts are divided into shards by their names; each shard is a duty, so each host has one prober at a time. A host's
probes come at its own time within the interval, so that they are spread. So many failures in a row and it is down, so
many successes and it is up again; a host that the owner before held down stays so until then.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf

from xxhash import xxh32_intdigest


def shard_of(host: str, shards: int) -> int:
    """The shard of a host; the same at every member."""
    return int(xxh32_intdigest(host.encode())) % shards


def shard_name(number: int) -> str:
    """The duty and the sheet of a shard."""
    return f"probe-{number}"


@dataclass(slots=True)
class CheckedServer:
    """What is known of one host."""

    address: str
    due: float
    streak: int = 0  # probes in a row that say other than what holds
    down: bool = False
    in_flight: bool = False  # a probe is under way
    checks: int = 0


class HealthCheckSchedule:
    """The hosts of the shards that are ours."""

    def __init__(self, every: float, fall: int, rise: int, most: int) -> None:
        """``every`` in milliseconds; ``fall`` and ``rise`` in probes; at most ``most`` probes are out at once."""
        self.interval, self.fall, self.rise, self.max_in_flight = every, fall, rise, most
        self.servers: dict[str, CheckedServer] = {}
        self.in_flight = 0
        self._queue: list[tuple[float, str]] = []

    def use(self, hosts: dict[str, str], down: Iterable[str], now: float) -> None:
        """Probe these hosts (addresses by name) and no others; a new one that is in ``down`` begins as down."""
        held = set(down)
        for name in self.servers.keys() - hosts.keys():
            self.in_flight -= self.servers.pop(name).in_flight
        for name, address in hosts.items():
            known = self.servers.get(name)
            if known is not None and known.address == address:
                continue
            if known is not None:  # another process, of which nothing is known
                self.in_flight -= known.in_flight
            share = xxh32_intdigest(name.encode(), seed=1) / 2**32
            due = now + self.interval * share
            self.servers[name] = CheckedServer(address, due, down=name in held and known is None)
            heappush(self._queue, (due, name))

    def start_due(self, now: float) -> list[tuple[str, str]]:
        """Names and addresses to probe now.  What cannot be, for too many are out, waits for one to end."""
        begun = []
        while self._queue and self._queue[0][0] <= now and self.in_flight < self.max_in_flight:
            due, name = heappop(self._queue)
            host = self.servers.get(name)
            if host is None or host.due != due:
                continue  # gone, or planned anew
            host.due = max(due + self.interval, now + self.interval / 2)
            heappush(self._queue, (host.due, name))
            if not host.in_flight:
                host.in_flight = True
                host.checks += 1
                self.in_flight += 1
                begun.append((name, host.address))
        return begun

    def ended(self, name: str, address: str, well: bool) -> bool | None:
        """A probe has ended: True the host is up again, False it is down now, None for nothing new."""
        host = self.servers.get(name)
        if host is None or host.address != address or not host.in_flight:
            return None
        host.in_flight = False
        self.in_flight -= 1
        host.streak = host.streak + 1 if well is host.down else 0
        if host.streak < (self.rise if host.down else self.fall):
            return None
        host.streak, host.down = 0, not host.down
        return not host.down

    def next_wake(self) -> float:
        """When a probe is due; not while as many are out as may be, for then one that ends comes first."""
        while self._queue:
            due, name = self._queue[0]
            host = self.servers.get(name)
            if host is not None and host.due == due:
                return due if self.in_flight < self.max_in_flight else inf
            heappop(self._queue)
        return inf

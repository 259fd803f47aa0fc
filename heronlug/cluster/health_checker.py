"""Probes of hosts on sockets: a connection, and a ``GET`` on it where a path is set.  Never on the platform."""

import asyncio
import json
from collections.abc import Callable, Iterable
from typing import Any

from heronlug.balancer.events import ListKind, ServerState
from heronlug.cluster.health_checks import HealthCheckSchedule, shard_name, shard_of
from heronlug.cluster.model import FencingToken
from heronlug.cluster.node import Node
from heronlug.cluster.server_view import ServerView
from heronlug.net import http
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.model import ListedServer

STATUS_LINE = 64  # bytes of an answer that are read
MOST = 64  # probes out at once


async def probe(address: str, path: str, timeout: float) -> str:
    """Why a host is not well, empty for well; ``timeout`` in milliseconds over all."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout / 1000):
            reader, writer = await asyncio.open_connection(*http.split_address(address), limit=STATUS_LINE)
            if not path:
                return ""
            headers = [(b"Connection", b"close")]
            writer.write(http.request(b"GET", path.encode(), address, headers, b""))
            line = await reader.readline()
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            return "no HTTP/1.1"
        return "" if words[1].startswith(b"2") else f"status {words[1].decode()}"
    except TimeoutError:
        return "no answer in time"
    except (OSError, ValueError) as error:
        return str(error) or type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()


class HealthChecker:
    """The shards that are ours, and the verdicts on all of them."""

    def __init__(
        self,
        table: dict[str, Any],
        view: ServerView,
        tell: Callable[[ListKind, list[ListedServer]], None],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        """``table`` is ``[cluster.probe]``."""
        self.shards = int(table["shards"])
        self.names = [shard_name(number) for number in range(self.shards)]
        self._path, self._timeout = table["path"], table["timeout_ms"]
        self._view, self._tell, self._deadlines, self._log, self._turn = view, tell, deadlines, log, turn
        self._prober = HealthCheckSchedule(table["every_s"] * 1000, table["fall"], table["rise"], MOST)
        self._fences: dict[str, FencingToken] = {}
        self._node: Node | None = None
        self._flush: Callable[[], None] = lambda: None  # after each publication
        self._wake: Key | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._silent: set[str] = set()  # shards whose verdicts were withdrawn
        self.counts = {"probes": 0, "failed": 0, "downs": 0}

    def join(self, node: Node, flush: Callable[[], None]) -> None:
        """Read the verdicts of others."""
        self._node, self._flush = node, flush
        for name in self.names:
            node.tables.follow(name)

    def close(self) -> None:
        """End all probes."""
        self._deadlines.cancel(self._wake)
        for task in self._tasks:
            task.cancel()

    # -- the duties

    def gained(self, shard: str, fence: FencingToken) -> None:
        """Probe the hosts of a shard."""
        assert self._node is not None
        self._fences[shard] = fence
        self._node.tables.publish(shard, fence, {}, self._deadlines.clock())
        self._flush()
        # what the prober before said is gone on with, also where it was withdrawn for its silence
        self._take(shard, [key.decode() for key in self._node.tables.rows(shard)], ())
        self.use_list()

    def lost(self, shard: str) -> None:
        """Another probes them."""
        self._fences.pop(shard, None)
        self.use_list()

    def use_list(self) -> None:
        """The hosts have changed, or the shards that are ours."""
        if not self._fences and not self._prober.servers:
            return
        hosts: dict[str, str] = {}
        for name, entry in self._view.reported.items():
            if shard_name(shard_of(name, self.shards)) in self._fences and entry.state is not ServerState.REMOVED:
                hosts[name] = entry.address
        now = self._deadlines.clock()
        self._prober.use(hosts, self._view.down, now)
        gone = [
            name for name in self._view.down if name not in self._view.own.servers.keys() | self._view.shared.servers
        ]
        for shard in self._fences:  # who is on no list needs no verdict
            out = [name for name in gone if self._view.down[name] == shard]
            if out:
                self._say(shard, dict.fromkeys(out))
        self._plan()

    # -- the sheets

    def sheet(self, shard: str, changes: dict[bytes, bytes | None]) -> None:
        """The owner of a shard has changed its verdicts."""
        down = [key.decode() for key, value in changes.items() if value is not None]
        up = [key.decode() for key, value in changes.items() if value is None]
        self._take(shard, down, up)

    def stale(self, after: float) -> None:
        """Verdicts that nobody has stood for in so many milliseconds count no more."""
        assert self._node is not None
        now = self._deadlines.clock()
        for shard in self.names:
            stale = self._node.tables.age(shard, now) > after
            if stale and shard not in self._silent and shard in self._view.down.values():
                self._silent.add(shard)
                told = self._view.withdraw(shard)
                self._log("verdicts_withdrawn", shard=shard, hosts=len(told))
                if told:
                    self._tell(ListKind.CHANGES, told)
            elif not stale and shard in self._silent:
                self._silent.discard(shard)
                self._take(shard, [key.decode() for key in self._node.tables.rows(shard)], ())

    # -- inside

    def _take(self, shard: str, down: Iterable[str], up: Iterable[str]) -> None:
        panic = self._view.panic
        told = self._view.apply_health_results(shard, down, up)
        if self._view.panic is not panic:
            self._log("probes_not_believed" if self._view.panic else "probes_believed", down=len(self._view.down))
        if told:
            self._tell(ListKind.CHANGES, told)

    def _say(self, shard: str, changes: dict[str, str | None]) -> None:
        """A verdict of ours: for the others, and for our own view."""
        if self._node is None or shard not in self._fences:
            return
        rows = {name.encode(): None if why is None else json.dumps(why[:64]).encode() for name, why in changes.items()}
        try:
            self._node.tables.publish(shard, self._fences[shard], rows, self._deadlines.clock())
        except ValueError as error:  # a name that no sheet has room for: the verdict stays here
            self._log("verdict_not_shared", shard=shard, error=str(error))
        self._flush()
        down = [name for name, why in changes.items() if why is not None]
        self._take(shard, down, [name for name, why in changes.items() if why is None])

    def _plan(self) -> None:
        now = self._deadlines.clock()
        for name, address in self._prober.start_due(now):
            task = asyncio.get_running_loop().create_task(self._probe(name, address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._deadlines.cancel(self._wake)
        when = self._prober.next_wake()
        self._wake = self._deadlines.call_at(max(when, now + 1.0), self._plan) if when < float("inf") else None

    async def _probe(self, name: str, address: str) -> None:
        why = await probe(address, self._path, self._timeout)
        self.counts["probes"] += 1
        self.counts["failed"] += bool(why)
        verdict = self._prober.ended(name, address, not why)
        if verdict is not None:
            self.counts["downs"] += not verdict
            self._log("host_up" if verdict else "host_down", host=name, why=why)
            self._say(shard_name(shard_of(name, self.shards)), {name: None if verdict else why})
        self._plan()
        self._turn()

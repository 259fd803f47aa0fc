"""Health checks of servers over sockets: a connection, and a ``GET`` on it where a path is configured.

Only servers that the operators configure are checked, never those of the platform. The servers are divided into shards
(:mod:`heronlug.cluster.health_checks`). The member that holds a shard's lease checks its servers and publishes which of
them are down in the replicated table of the shard; all members read the tables of all shards.
"""

import asyncio
import json
from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from heronlug.balancer.events import ListKind, ServerState
from heronlug.cluster.health_checks import HealthCheckSchedule, shard_name, shard_of
from heronlug.cluster.model import FencingToken
from heronlug.cluster.node import Node
from heronlug.cluster.server_view import ServerView
from heronlug.net import http
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import ListedServer

MAX_STATUS_LINE_BYTES = 64
"""So much of a status line is read at most, in bytes; a longer one fails the check."""

MAX_CHECKS_IN_FLIGHT = 64
"""Health checks of this member that may be under way at once."""

MAX_REASON_CHARACTERS = 64
"""So much of the reason why a server is down is published, in characters."""

MIN_WAKE_DELAY_MS = 1.0
"""The shortest time until due checks are looked for again, in ms."""


async def check_server(address: str, path: str, timeout_ms: float) -> str:
    """Check a server once.

    Args:
        address: Host and port of the server.
        path: What to ``GET``; where it is empty, a connection is enough.
        timeout_ms: For the connection and the answer together, in ms.

    Returns:
        Why the check failed; empty if it succeeded.
    """
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            host, port = http.split_address(address)
            reader, writer = await asyncio.open_connection(host, port, limit=MAX_STATUS_LINE_BYTES)
            if not path:
                return ""
            headers = [(b"Connection", b"close")]
            writer.write(http.request(b"GET", path.encode(), address, headers, b""))
            status_line = await reader.readline()
    except TimeoutError:
        return "no answer in time"
    except (OSError, ValueError) as error:
        return str(error) or type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return _failure_of_status_line(status_line)


def _failure_of_status_line(line: bytes) -> str:
    """Why an answer that begins with this line fails a check; empty for any status 2xx."""
    words = line.split(b" ", 2)
    if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
        return "no HTTP/1.1"
    return "" if words[1].startswith(b"2") else f"status {words[1].decode()}"


class HealthChecker:
    """Checks the servers of the shards whose leases this member holds, and applies the results of all shards.

    Attributes:
        lease_names: The shards' names; each names a lease and a replicated table.
        counts: Figures: checks that have ended, those that failed, and servers that went down.
    """

    def __init__(
        self,
        options: dict[str, Any],
        view: ServerView,
        notify: Callable[[ListKind, list[ListedServer]], None],
        deadlines: Deadlines,
        log: EventLog,
        turn: Callable[[], None],
    ) -> None:
        """Create a health checker that holds no lease yet.

        Args:
            options: The file table ``[cluster.probe]``.
            view: The servers, and which of them are down.
            notify: Takes servers whose state has changed by a result.
            deadlines: The clock and timers, in ms.
            log: Where events are logged.
            turn: Is called after each check, to handle what follows from it.
        """
        self._shard_count = int(options["shards"])
        self.lease_names = [shard_name(number) for number in range(self._shard_count)]
        self._path = options["path"]
        self._timeout_ms = options["timeout_ms"]
        self._view = view
        self._notify = notify
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        interval_ms = options["every_s"] * 1000
        self._schedule = HealthCheckSchedule(interval_ms, options["fall"], options["rise"], MAX_CHECKS_IN_FLIGHT)
        self._tokens: dict[str, FencingToken] = {}  # of the shards whose leases this member holds
        self._node: Node | None = None
        self._flush: Callable[[], None] = lambda: None  # sends what was published
        self._timer: Key | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._withdrawn_shards: set[str] = set()  # results not used, because their owner is silent
        self.counts = {"probes": 0, "failed": 0, "downs": 0}

    def join(self, node: Node, flush: Callable[[], None]) -> None:
        """Read the results of all members from their tables, and publish those of this member there."""
        self._node = node
        self._flush = flush
        for name in self.lease_names:
            node.tables.follow(name)

    def close(self) -> None:
        """Cancel all checks."""
        self._deadlines.cancel(self._timer)
        for task in self._tasks:
            task.cancel()

    # -- leases and endpoint lists

    def on_lease_gained(self, shard: str, token: FencingToken) -> None:
        """Begin to check the servers of a shard.

        Raises:
            RuntimeError: if the health checker has joined no cluster.
        """
        node = self._require_node()
        self._tokens[shard] = token
        node.tables.publish(shard, token, {}, self._deadlines.clock())
        self._flush()
        # The last owner's results are the starting point, even if they were withdrawn since that owner was silent.
        self._apply_table(node, shard)
        self.use_servers()

    def on_lease_lost(self, shard: str) -> None:
        """Stop checking the servers of a shard: another member does."""
        self._tokens.pop(shard, None)
        self.use_servers()

    def use_servers(self) -> None:
        """Check the present servers of the shards that this member owns; called when either has changed."""
        if not self._tokens and not self._schedule.servers:
            return
        addresses = {
            name: entry.address
            for name, entry in self._view.reported.items()
            if self._shard_of(name) in self._tokens and entry.state is not ServerState.REMOVED
        }
        self._schedule.use(addresses, self._view.down, self._deadlines.clock())
        self._drop_unlisted()
        self._start_due_checks()

    def _drop_unlisted(self) -> None:
        """Remove the results of servers that are on no endpoint list any more."""
        listed = self._view.own.servers.keys() | self._view.shared.servers
        unlisted = [name for name in self._view.down if name not in listed]
        for shard in self._tokens:
            dropped = [name for name in unlisted if self._view.down[name] == shard]
            if dropped:
                self._publish(shard, dict.fromkeys(dropped))

    # -- results from the replicated tables

    def on_table_change(self, shard: str, changes: dict[bytes, bytes | None]) -> None:
        """Apply what the owner of a shard has published: a row for each server that is down, None where it is up."""
        down = [key.decode() for key, value in changes.items() if value is not None]
        up = [key.decode() for key, value in changes.items() if value is None]
        self._apply(shard, down, up)

    def withdraw_stale(self, max_age_ms: float) -> None:
        """Stop using the results of owners that were silent for longer than ``max_age_ms``, until they are heard.

        Raises:
            RuntimeError: if the health checker has joined no cluster.
        """
        node = self._require_node()
        now = self._deadlines.clock()
        for shard in self.lease_names:
            is_stale = node.tables.age(shard, now) > max_age_ms
            if is_stale and shard not in self._withdrawn_shards and shard in self._view.down.values():
                self._withdraw(shard)
            elif not is_stale and shard in self._withdrawn_shards:
                self._withdrawn_shards.discard(shard)
                self._apply_table(node, shard)

    def _withdraw(self, shard: str) -> None:
        self._withdrawn_shards.add(shard)
        changed = self._view.withdraw(shard)
        self._log("verdicts_withdrawn", shard=shard, hosts=len(changed))
        if changed:
            self._notify(ListKind.CHANGES, changed)

    def _apply_table(self, node: Node, shard: str) -> None:
        """Apply all results that the table of a shard holds."""
        self._apply(shard, [key.decode() for key in node.tables.rows(shard)], ())

    def _apply(self, shard: str, down: Iterable[str], up: Iterable[str]) -> None:
        """Use the results of a shard, and log if so many servers are down now that none is believed to be."""
        previous_panic = self._view.panic
        changed = self._view.apply_health_results(shard, down, up)
        if self._view.panic is not previous_panic:
            self._log("probes_not_believed" if self._view.panic else "probes_believed", down=len(self._view.down))
        if changed:
            self._notify(ListKind.CHANGES, changed)

    # -- this member's own checks

    def _require_node(self) -> Node:
        if self._node is None:
            message = "the health checker has joined no cluster; join() comes first"
            raise RuntimeError(message)
        return self._node

    def _shard_of(self, server: str) -> str:
        return shard_name(shard_of(server, self._shard_count))

    def _publish(self, shard: str, reasons: dict[str, str | None]) -> None:
        """Share results of this member and apply them here: why each server is down, or None if it is up."""
        if self._node is None or shard not in self._tokens:
            return
        rows = {name.encode(): _encode_reason(reason) for name, reason in reasons.items()}
        try:
            self._node.tables.publish(shard, self._tokens[shard], rows, self._deadlines.clock())
        except ValueError as error:  # the name is too long for a row, so the result counts at this member only
            self._log("verdict_not_shared", shard=shard, error=str(error))
        self._flush()
        down = [name for name, reason in reasons.items() if reason is not None]
        up = [name for name, reason in reasons.items() if reason is None]
        self._apply(shard, down, up)

    def _start_due_checks(self) -> None:
        """Start the checks that are due, and set the timer for the next ones."""
        now = self._deadlines.clock()
        for due_check in self._schedule.start_due(now):
            task = asyncio.get_running_loop().create_task(self._check(due_check.server, due_check.address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._deadlines.cancel(self._timer)
        self._timer = None
        next_wake = self._schedule.next_wake()
        if next_wake < inf:
            self._timer = self._deadlines.call_at(max(next_wake, now + MIN_WAKE_DELAY_MS), self._start_due_checks)

    async def _check(self, server: str, address: str) -> None:
        failure = await check_server(address, self._path, self._timeout_ms)
        self.counts["probes"] += 1
        self.counts["failed"] += bool(failure)
        is_up = self._schedule.record_result(server, address, not failure)
        if is_up is not None:
            self.counts["downs"] += not is_up
            self._log("host_up" if is_up else "host_down", host=server, why=failure)
            self._publish(self._shard_of(server), {server: None if is_up else failure})
        self._start_due_checks()
        self._turn()


def _encode_reason(reason: str | None) -> bytes | None:
    """The row of a server that is down for this reason; None, which removes the row, for one that is up."""
    return None if reason is None else json.dumps(reason[:MAX_REASON_CHARACTERS]).encode()

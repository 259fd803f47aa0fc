"""Checks the health of servers over TCP and shares the results among the members of the cluster.

A check opens a connection and, where a path is configured, sends a ``GET`` on it. Only servers that the operators
configure are checked, never those of the platform. The servers are divided into shards
(:mod:`heronlug.cluster.health_checks`). The member that holds a shard's lease checks the servers of the shard and
publishes the servers that are down in the shard's replicated table; each member reads the tables of all shards.
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
"""Maximum length of a status line, in bytes; a longer status line fails the check."""

MAX_CHECKS_IN_FLIGHT = 64
"""Maximum number of health checks that this member runs concurrently."""

MAX_REASON_CHARACTERS = 64
"""Maximum length of the published reason for a server being down, in characters; longer reasons are truncated."""

MIN_WAKE_DELAY_MS = 1.0
"""Minimum delay before the schedule is searched for due checks again, in milliseconds."""


async def check_server(address: str, path: str, timeout_ms: float) -> str:
    """Runs one health check of a server.

    Args:
        address: Host and port of the server.
        path: The path to ``GET``; if empty, the check succeeds once the connection is open.
        timeout_ms: The time limit for connecting and receiving the status line together, in milliseconds.

    Returns:
        The reason for the failure, or an empty string if the check succeeded.
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
    """Returns the reason why a response with this status line fails a check, or an empty string for a 2xx status."""
    words = line.split(b" ", 2)
    if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
        return "no HTTP/1.1"
    return "" if words[1].startswith(b"2") else f"status {words[1].decode()}"


class HealthChecker:
    """Checks the servers of the shards whose leases this member holds and applies the results of all shards.

    Attributes:
        lease_names: The names of the shards; each shard has a lease and a replicated table of that name.
        counts: Counters by name: ``probes`` for completed checks, ``failed`` for failed checks, ``downs`` for changes
            of a server from up to down.
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
        """Creates a health checker that holds no lease.

        Args:
            options: The table ``[cluster.probe]`` of the configuration file.
            view: The servers that this dispatcher uses and the servers that are down.
            notify: Receives the servers whose state a check result has changed.
            deadlines: The clock and timers, in milliseconds.
            log: Writes log events.
            turn: Runs pending work of the dispatcher; called after each check.
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
        self._tokens: dict[str, FencingToken] = {}  # one per lease that this member holds, by shard
        self._node: Node | None = None
        self._flush: Callable[[], None] = lambda: None  # sends published rows
        self._timer: Key | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._withdrawn_shards: set[str] = set()  # shards with ignored results: the lease holder is silent
        self.counts = {"probes": 0, "failed": 0, "downs": 0}

    def join(self, node: Node, flush: Callable[[], None]) -> None:
        """Joins the cluster: follows the replicated tables of all shards.

        Args:
            node: The cluster member that replicates the tables.
            flush: Sends the messages that the node has queued.
        """
        self._node = node
        self._flush = flush
        for name in self.lease_names:
            node.tables.follow(name)

    def close(self) -> None:
        """Cancels the running health checks and the timer of the next ones."""
        self._deadlines.cancel(self._timer)
        for task in self._tasks:
            task.cancel()

    # -- leases and endpoint lists

    def on_lease_gained(self, shard: str, token: FencingToken) -> None:
        """Starts checking the servers of a shard.

        Raises:
            RuntimeError: If :meth:`join` has not been called.
        """
        node = self._require_node()
        self._tokens[shard] = token
        node.tables.publish(shard, token, {}, self._deadlines.clock())
        self._flush()
        # Start from the results of the previous lease holder, even if they were withdrawn because it was silent.
        self._apply_table(node, shard)
        self.use_servers()

    def on_lease_lost(self, shard: str) -> None:
        """Stops checking the servers of a shard, since another member takes over the lease."""
        self._tokens.pop(shard, None)
        self.use_servers()

    def use_servers(self) -> None:
        """Updates the schedule to the listed servers of the shards whose leases this member holds.

        Called when the endpoint list or the set of held leases has changed.
        """
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
        """Removes the results of servers that neither the own nor the shared endpoint list contains."""
        listed = self._view.own.servers.keys() | self._view.shared.servers
        unlisted = [name for name in self._view.down if name not in listed]
        for shard in self._tokens:
            dropped = [name for name in unlisted if self._view.down[name] == shard]
            if dropped:
                self._publish(shard, dict.fromkeys(dropped))

    # -- results from the replicated tables

    def on_table_change(self, shard: str, changes: dict[bytes, bytes | None]) -> None:
        """Applies the rows that a shard's lease holder has published: a value for a server that is down, None if up."""
        down = [key.decode() for key, value in changes.items() if value is not None]
        up = [key.decode() for key, value in changes.items() if value is None]
        self._apply(shard, down, up)

    def withdraw_stale(self, max_age_ms: float) -> None:
        """Withdraws the results of lease holders that have been silent too long, and restores them later.

        The results apply again once the lease holder confirms the table.

        Args:
            max_age_ms: The maximum age of a table's last confirmation, in milliseconds.

        Raises:
            RuntimeError: If :meth:`join` has not been called.
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
        """Applies every result in the table of a shard."""
        self._apply(shard, [key.decode() for key in node.tables.rows(shard)], ())

    def _apply(self, shard: str, down: Iterable[str], up: Iterable[str]) -> None:
        """Applies results of a shard to the view.

        Logs when the number of servers that are down crosses the panic threshold, above which the results of health
        checks are ignored.
        """
        previous_panic = self._view.panic
        changed = self._view.apply_health_results(shard, down, up)
        if self._view.panic is not previous_panic:
            self._log("probes_not_believed" if self._view.panic else "probes_believed", down=len(self._view.down))
        if changed:
            self._notify(ListKind.CHANGES, changed)

    # -- checks that this member runs

    def _require_node(self) -> Node:
        if self._node is None:
            message = "health checker has not joined a cluster; call join() first"
            raise RuntimeError(message)
        return self._node

    def _shard_of(self, server: str) -> str:
        return shard_name(shard_of(server, self._shard_count))

    def _publish(self, shard: str, reasons: dict[str, str | None]) -> None:
        """Publishes results of this member and applies them: the reason for a server being down, or None if up."""
        if self._node is None or shard not in self._tokens:
            return
        rows = {name.encode(): _encode_reason(reason) for name, reason in reasons.items()}
        try:
            self._node.tables.publish(shard, self._tokens[shard], rows, self._deadlines.clock())
        except ValueError as error:  # the server name is too long for a row, so only this member applies the result
            self._log("verdict_not_shared", shard=shard, error=str(error))
        self._flush()
        down = [name for name, reason in reasons.items() if reason is not None]
        up = [name for name, reason in reasons.items() if reason is None]
        self._apply(shard, down, up)

    def _start_due_checks(self) -> None:
        """Starts the due checks and sets the timer for the next ones."""
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
    """Returns the row value for a server that is down, or None, which removes the row, for a server that is up."""
    return None if reason is None else json.dumps(reason[:MAX_REASON_CHARACTERS]).encode()

"""Manages the connections to all servers: dials, reuses and closes them."""

import asyncio
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from heronlug.backends.close_reason import CloseReason
from heronlug.backends.connection import ServerConnection
from heronlug.backends.waiting_attempts import AttemptQueue
from heronlug.balancer.events import Outcome
from heronlug.memory.account import MemoryAccount
from heronlug.net import http
from heronlug.requests.core import POSTPONED_MS, Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Attempt, Server
from heronlug.requests.slots import SlotTable

IDLE_SHARE = 0.7
"""Share of the servers' idle timeout after which an idle connection is closed.

A request that is in transit when the server closes the connection is reset, and a non-idempotent request cannot be
retried after a reset.
"""

REUSE_SUSPENSION_MS = 30_000.0
"""Time for which non-idempotent requests use new connections after a reused connection broke during a request.

Some servers drop a connection only once the request is complete, and that request may have run.
"""

EXHAUSTION_LOG_INTERVAL_MS = 1000.0
"""Minimum interval between two ``too_many_connections`` log lines."""


class ConnectionPool:
    """Owns the connections to all servers.

    Attributes:
        core: Core that owns the requests; set after construction, because the core needs the pool.
        deadlines: Scheduler for timers.
        log: Event log.
        flush: Called after each I/O event has been handled.
        max_connections: Maximum number of connections.
        connections: Open connections by handle, including those being dialled.
        dials: Number of dials since the start.
        closes: Number of ended connections since the start, by reason.
    """

    core: Core

    def __init__(
        self,
        deadlines: Deadlines,
        log: EventLog,
        flush: Callable[[], None],
        *,
        conn_idle: float,
        dial_timeout: float,
        max_connections: int,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            deadlines: Scheduler for timers.
            log: Event log.
            flush: Called after each I/O event has been handled.
            conn_idle: Idle timeout of the servers, in ms.
            dial_timeout: Timeout of a dial, in ms.
            max_connections: Maximum number of connections.
            memory: Account of the memory that servers make the process hold; None does not limit it.
        """
        self.deadlines = deadlines
        self.log = log
        self.flush = flush
        self.max_connections = max_connections
        self.memory = memory or MemoryAccount()
        self.connections: SlotTable[ServerConnection] = SlotTable()
        self.dials = 0
        self.closes: Counter[CloseReason] = Counter()
        self._idle_timeout = IDLE_SHARE * conn_idle
        self._dial_timeout = dial_timeout
        # by server number; the most recently used connection is last
        self._idle: dict[int, deque[ServerConnection]] = {}
        self._adoptions: set[asyncio.Task[Any]] = set()
        self._reuse_suspended_until = 0.0
        self._closing: set[ServerConnection] = set()  # removed, with a descriptor that is not free yet
        self._waiting = AttemptQueue(deadlines, self._fail_unsent)
        self._exhaustion_logged_at = -EXHAUSTION_LOG_INTERVAL_MS
        self._serves_waiting = False  # whether a look at the waiting attempts is scheduled

    # -- Calls by the core

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt on an idle connection, or dials a new connection.

        At the limit of connections the attempt waits for a connection, as long as a dial may take.
        """
        if not self._send_now(attempt, self._dial_timeout):
            if not self._closing:
                self._log_exhaustion()
            self._waiting.add(attempt, self._dial_timeout)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt by closing its connection."""
        connection = attempt.exchange
        attempt.exchange = None
        if connection is not None:
            attempt.incomplete = connection.is_incomplete
            connection.cancel()

    def adopt(self, attempt: Attempt, sock: socket.socket, answered: bool, last: bool) -> None:
        """Continues an attempt whose request another process has written.

        Args:
            attempt: Attempt to continue.
            sock: Socket of the connection.
            answered: Whether the server has begun to respond.
            last: Whether the connection closes after the response.
        """
        sock.setblocking(False)
        connection = self._add(attempt)
        connection.resume(attempt, answered, last)
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.connect_accepted_socket(lambda: connection, sock))
        self._adoptions.add(task)
        task.add_done_callback(self._adoptions.discard)
        task.add_done_callback(lambda _: self._on_opened(connection))

    def is_available(self) -> bool:
        """Returns whether a connection may be dialled now.

        At the limit of connections, begins to close the connection that has been idle longest; its descriptor is free
        in the next iteration of the event loop.
        """
        if self.open_count < self.max_connections:
            return True
        if not self._closing:
            self._evict()
        return False

    @property
    def open_count(self) -> int:
        """Returns the number of connections with a descriptor, including those that are being closed."""
        return len(self.connections) + len(self._closing)

    def look_again(self) -> None:
        """Looks at the attempts that wait for a connection, because the limit may have been raised."""
        self._serve_waiting_later()

    def retire(self, servers: dict[int, Server]) -> None:
        """Closes idle connections to servers that are not ready, have a new address or have left the endpoint list."""
        for number, idle in list(self._idle.items()):
            server = servers.get(number)
            for connection in list(idle):
                if server is None or not server.ready or server.entry.address != connection.address:
                    connection.close(CloseReason.SERVER_NOT_READY)
            if not idle:
                del self._idle[number]

    def close_idle(self) -> None:
        """Closes the idle connections to all servers."""
        for idle in self._idle.values():
            for connection in list(idle):
                connection.close(CloseReason.SUCCESSOR_SERVES)

    # -- Calls by the connections

    def on_connected(self, connection: ServerConnection) -> None:
        """Writes the request on a newly dialled connection, unless the attempt may no longer be sent.

        Waits while an update of the endpoint list is unread, because the update may exclude the server.
        """
        attempt = connection.attempt
        if connection.is_closed:
            return
        if attempt is not None and self.core.has_unread_update():
            self.deadlines.call_after(POSTPONED_MS, self.on_connected, connection)
            return
        self.deadlines.cancel(connection.timer)
        if attempt is not None:
            attempt.request.keep()
        if attempt is None:
            self.release(connection)
            return
        outcome = self.core.outcome_if_forbidden(attempt)
        if outcome is None and connection.address != attempt.server.entry.address:
            outcome = Outcome.CONNECT_FAILED
        if outcome is None:
            connection.write(attempt)
        else:
            connection.attempt = None
            attempt.exchange = None
            self.release(connection)
            self.core.attempt_ended(attempt, outcome)

    def release(self, connection: ServerConnection) -> None:
        """Keeps a free connection for the next request until its idle time is over."""
        if connection.is_closed:
            return
        connection.release()
        self.deadlines.cancel(connection.timer)
        connection.timer = self.deadlines.call_after(self._idle_timeout, connection.close, CloseReason.IDLE)
        self._idle.setdefault(connection.server.number, deque()).append(connection)
        self._serve_waiting_later()

    def remove(self, connection: ServerConnection, reason: CloseReason) -> None:
        """Removes a closed connection, whose descriptor is not free yet, from the pool and counts the reason."""
        self.closes[reason] += 1
        self._closing.add(connection)
        self.connections.remove(connection.handle)
        idle = self._idle.get(connection.server.number)
        if idle and connection in idle:
            idle.remove(connection)

    def descriptor_freed(self, connection: ServerConnection) -> None:
        """Handles the end of a connection that was removed."""
        self._closing.discard(connection)
        self._serve_waiting_later()

    def suspend_reuse(self) -> None:
        """Sends non-idempotent requests only on new connections for ``REUSE_SUSPENSION_MS``."""
        self._reuse_suspended_until = self.deadlines.clock() + REUSE_SUSPENSION_MS

    # -- Internals

    def _send_now(self, attempt: Attempt, dial_timeout: float) -> bool:
        """Sends an attempt on an idle or a new connection; returns False at the limit of connections."""
        connection = self._take_idle(attempt)
        if connection is not None:
            attempt.exchange = connection
            connection.write(attempt)
            return True
        if self.is_available():
            self._dial_for(attempt, dial_timeout)
            return True
        return False

    def _serve_waiting_later(self) -> None:
        """Looks at the waiting attempts in the next turn, when the event that makes room has been handled."""
        if self._waiting and not self._serves_waiting:
            self._serves_waiting = True
            self.deadlines.call_after(0.0, self._serve_waiting)

    def _serve_waiting(self) -> None:
        """Sends waiting attempts while there is room; an attempt that may no longer be sent ends."""
        self._serves_waiting = False
        while self._waiting and (any(self._idle.values()) or self.open_count < self.max_connections):
            waiting = self._waiting.first()
            waiting.attempt.request.keep()
            remaining = waiting.expires_at - self.deadlines.clock()
            outcome = self.core.outcome_if_forbidden(waiting.attempt)
            if outcome is not None:
                self._waiting.remove(waiting)
                self.core.attempt_ended(waiting.attempt, outcome)
            elif self._send_now(waiting.attempt, max(0.0, remaining)):
                self._waiting.remove(waiting)
            else:
                return

    def _fail_unsent(self, attempt: Attempt) -> None:
        self.core.attempt_ended(attempt, Outcome.CONNECT_FAILED)

    def _log_exhaustion(self) -> None:
        now = self.deadlines.clock()
        if now - self._exhaustion_logged_at >= EXHAUSTION_LOG_INTERVAL_MS:
            self._exhaustion_logged_at = now
            self.log("too_many_connections", connections=len(self.connections), waiting=len(self._waiting))

    def _take_idle(self, attempt: Attempt) -> ServerConnection | None:
        """Returns an idle connection for the attempt, or None; closes unusable connections that are found first."""
        idle = self._idle.get(attempt.server.number)
        non_idempotent = self.core.is_non_idempotent(attempt)
        if non_idempotent and self.deadlines.clock() < self._reuse_suspended_until:
            return None
        while idle:
            connection = idle.pop()
            if self._is_usable(connection, attempt, non_idempotent):
                self.deadlines.cancel(connection.timer)
                return connection
            connection.close(CloseReason.UNUSABLE)
        return None

    def _is_usable(self, connection: ServerConnection, attempt: Attempt, non_idempotent: bool) -> bool:
        if self._has_expired(connection) or self._may_confuse_responses(connection, attempt, non_idempotent):
            return False
        return connection.address == attempt.server.entry.address and connection.has_no_input

    def _has_expired(self, connection: ServerConnection) -> bool:
        """Returns whether the idle time is over, even if the event loop has not yet closed the connection."""
        return connection.timer is not None and connection.timer[0] <= self.deadlines.clock()

    def _may_confuse_responses(self, connection: ServerConnection, attempt: Attempt, non_idempotent: bool) -> bool:
        """Returns whether a repetition of the last response could be mistaken for the response to the attempt."""
        if connection.request_id == attempt.request.payload.request_id:
            return True
        return self.deadlines.clock() < connection.ambiguous_until or (
            non_idempotent and connection.ambiguous_until > 0.0
        )

    def _add(self, attempt: Attempt) -> ServerConnection:
        connection = ServerConnection(self, attempt.server, attempt.server.entry.address)
        connection.handle = self.connections.add(connection)
        connection.attempt = attempt
        attempt.exchange = connection
        return connection

    def _evict(self) -> bool:
        """Closes the connection that has been idle longest; returns whether an idle connection existed."""
        oldest = [idle[0] for idle in self._idle.values() if idle]
        if not oldest:
            return False
        min(oldest, key=lambda connection: connection.timer or (0.0, 0)).close(CloseReason.CONNECTION_LIMIT)
        return True

    def _dial_for(self, attempt: Attempt, timeout: float) -> None:
        connection = self._add(attempt)
        connection.timer = self.deadlines.call_after(timeout, self._on_dial_failed, connection)
        connection.dial_task = asyncio.get_running_loop().create_task(self._dial(connection))
        connection.dial_task.add_done_callback(lambda _: self._on_opened(connection))
        self.dials += 1

    async def _dial(self, connection: ServerConnection) -> None:
        host, port = http.split_address(connection.address)
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
        except OSError:
            self._on_dial_failed(connection)
            self.flush()

    def _on_opened(self, connection: ServerConnection) -> None:
        """Handles the end of a dial or adoption; without a transport, no descriptor is left."""
        if connection.transport is None:
            self.descriptor_freed(connection)
            self.flush()

    def _on_dial_failed(self, connection: ServerConnection) -> None:
        attempt = connection.attempt
        connection.attempt = None
        connection.close(CloseReason.DIAL_FAILED)
        if attempt is not None:
            attempt.exchange = None
            self.core.attempt_ended(attempt, Outcome.CONNECT_FAILED)

"""Implements the HTTP frontend, which owns client connections and passes their requests to the core."""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from heronlug.balancer.settings import Settings
from heronlug.frontends.http import responses
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.errors import DuplicateRequestIdError
from heronlug.frontends.http.eviction import NEW_CONNECTION_GRACE_MS, EvictionOrder, EvictionRank
from heronlug.frontends.http.request import NO_CLASS, AnswerableConnection, HttpRequest
from heronlug.frontends.http.request_policy import RequestPolicy
from heronlug.memory.account import MemoryAccount
from heronlug.net.close_watch import CloseWatch
from heronlug.net.turn_queue import TurnQueue
from heronlug.requests.core import Core
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import FinalAnswer, Request
from heronlug.requests.slots import SlotTable

RELIEF_SHARE = 0.05
"""Share of the memory that is released beyond what is missing, when memory is short."""

CROWD_EVICTIONS = 8
"""Number of connections that are closed at once for new ones if most connections have a part of a request only."""

MAX_ROOM_WAIT_MS = 1000.0
"""Time for which a new client waits for the room of clients with queued requests before others make room, in ms."""

EXHAUSTION_LOG_INTERVAL_MS = 1000.0
"""Minimum interval between two ``too_many_clients`` log lines."""


class FrontendOwner(Protocol):
    """The part of the application that the frontend uses.

    Attributes:
        core: Core that owns the accepted requests.
    """

    core: Core

    @property
    def log(self) -> EventLog:
        """Returns the event log."""

    def sends_clients_away(self) -> bool:
        """Returns whether each connection is to be closed after its next answer."""

    def ready(self) -> bool:
        """Returns whether the dispatcher can serve requests."""


class HttpFrontend:
    """Accepts requests on client connections and writes the final answers.

    Attributes:
        policy: Reads and checks the headers of requests.
        deadlines: Scheduler for time-outs.
        run_due: Runs the deadlines that are due; called after each I/O event.
        max_connections: Maximum number of connections; a new connection above the limit waits for room.
        arriving: Returns the number of connections that another process is handing over.
        clients_wait: Returns whether a new connection waits for room.
        memory: Account of the memory that clients make the process hold.
        transferring: Whether connections without a request that is being served are not read, because another process
            is to continue them.
        turn_queue: Postponed parsing of all connections.
        connections: Open connections by handle.
        closes: Number of ended connections since the start, by reason.
        last_client_at: Time at which a connection last sent its first request for a server, in ms.
    """

    def __init__(
        self,
        owner: FrontendOwner,
        settings: Settings,
        max_connections: int,
        memory: MemoryAccount,
        run_due: Callable[[], None],
    ) -> None:
        """Creates a frontend without connections; ``memory`` counts what its clients make the process hold."""
        self.policy = RequestPolicy(settings)
        self.deadlines = owner.core.deadlines
        self.run_due = run_due
        self.max_connections = max_connections
        self.arriving: Callable[[], int] = lambda: 0
        self.clients_wait: Callable[[], bool] = lambda: False
        self.memory = memory
        self.turn_queue = TurnQueue()
        self.transferring = False
        self.connections: SlotTable[ClientConnection] = SlotTable()
        self.closes: Counter[CloseReason] = Counter()
        self.last_client_at = self.deadlines.clock()
        self._owner = owner
        self._eviction_order: EvictionOrder[ClientConnection] = EvictionOrder(self.deadlines.clock, max_connections)
        self._waiting_since: float | None = None  # time since which a new client waits for room
        self._aborted: set[int] = set()  # handles of connections that are aborted and not closed yet
        self._close_watch: CloseWatch[ClientConnection] = CloseWatch(
            self.deadlines, lambda connection: connection.abort(CloseReason.CLIENT_CLOSED)
        )
        self._adoptions: set[asyncio.Task[object]] = set()
        self._exhaustion_logged_at = 0.0

    @property
    def core(self) -> Core:
        """Returns the core, which owns the accepted requests."""
        return self._owner.core

    @property
    def log(self) -> EventLog:
        """Returns the event log."""
        return self._owner.log

    @property
    def adopting(self) -> int:
        """Returns the number of connections from another process that have no transport yet."""
        return len(self._adoptions)

    # -- connections

    def protocol(self) -> ClientConnection:
        """Returns a protocol instance for a new client connection."""
        return ClientConnection(self)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Registers a new connection."""
        connection.handle = self.connections.add(connection)
        self._waiting_since = None
        self.connection_idle(connection)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Sets the eviction rank of a connection on which no request is being served; its age in the rank stays."""
        rank = _idle_rank(connection)
        if rank is not connection.rank or rank is EvictionRank.SERVED:
            self.rank_for_eviction(connection, rank)

    def connection_aborted(self, connection: ClientConnection) -> None:
        """Records that a connection is about to be closed; its descriptor is free once it is closed."""
        self._eviction_order.move(connection, None)
        self._aborted.add(connection.handle)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Removes an ended connection."""
        self._eviction_order.move(connection, None)
        self._aborted.discard(connection.handle)
        self._close_watch.remove(connection)
        self.connections.remove(connection.handle)

    def count_close(self, reason: CloseReason) -> None:
        """Counts the end of a connection."""
        self.closes[reason] += 1

    def rank_for_eviction(self, connection: ClientConnection, rank: EvictionRank) -> None:
        """Sets the eviction rank of a connection."""
        self._eviction_order.move(connection, rank)

    def reading_paused(self, connection: ClientConnection) -> None:
        """Watches for the client's end of a connection that is not read."""
        self._close_watch.add(connection)

    def relieve_memory(self, missing: int, requester: object, size: int) -> None:
        """Rejects the unfinished requests that hold more than the requester, the largest first, until memory is free.

        A little more than what is missing is released, so that the connections are not searched for each read. Clients
        of which a request is being served come last.

        Args:
            missing: Number of missing bytes.
            requester: The connection that needs memory, or another holder.
            size: Number of bytes that it needs.
        """
        own_bytes = size + requester.unfinished_bytes if isinstance(requester, ClientConnection) else 0
        larger = [connection for connection in self.connections if connection.unfinished_bytes > own_bytes]
        larger.sort(key=lambda each: (each.is_serving, -each.unfinished_bytes, each.opened_at))
        enough = self.memory.used - missing - int(RELIEF_SHARE * self.memory.limit)
        for connection in larger:
            if self.memory.used <= enough:
                return
            connection.reject_for_memory()

    def has_room(self, opening: int) -> bool:
        """Returns whether another connection may be accepted besides the known ones and ``opening`` further ones."""
        return len(self.connections) + opening + self.adopting + self.arriving() < self.max_connections

    def make_room(self, opening: int) -> bool:
        """Ends a connection that owes nothing; returns False if there is none.

        While connections are being closed or opened, no further one is aborted: the former make room, and the latter
        are the first to go.
        """
        self._log_exhaustion()
        if self._waiting_since is None:
            self._waiting_since = self.deadlines.clock()
        at_once = CROWD_EVICTIONS if self._eviction_order.in_crowd else 1
        for _ in range(at_once - len(self._aborted) - opening):
            if not self._evict(CloseReason.CONNECTION_LIMIT):
                return bool(self._aborted or opening)
        return True

    def evict_one(self) -> None:
        """Aborts one connection without unanswered requests, if any, when the process has no free file descriptor."""
        self._log_exhaustion()
        self._evict(CloseReason.NO_DESCRIPTOR)

    def _evict(self, reason: CloseReason) -> bool:
        connection = self._eviction_order.first()
        if connection is not None:
            connection.evict(reason)
        return connection is not None

    def close_idle(self) -> None:
        """Closes idle connections, except new connections whose first request may still be in transit."""
        grace_start = self.deadlines.clock() - NEW_CONNECTION_GRACE_MS
        for connection in self.connections:
            if connection.has_sent_request or connection.opened_at < grace_start:
                connection.close_if_idle(CloseReason.DRAINED)

    def log_process_end(self) -> None:
        """Logs the connections that are open when the process ends."""
        for connection in self.connections:
            connection.log_end(CloseReason.PROCESS_ENDED)

    def _log_exhaustion(self) -> None:
        now = self.deadlines.clock()
        if now - self._exhaustion_logged_at >= EXHAUSTION_LOG_INTERVAL_MS:
            self._exhaustion_logged_at = now
            self.log("too_many_clients", connections=len(self.connections))

    # -- hot restart

    def adopt(
        self,
        sock: socket.socket,
        state: ClientState,
        on_connected: Callable[[ClientConnection], None] | None = None,
    ) -> None:
        """Takes over a connection from another process.

        Args:
            sock: Socket of the connection.
            state: State of the connection.
            on_connected: Called with the connection once its transport is set.
        """
        sock.setblocking(False)
        connection = ClientConnection(self, on_connected)
        connection.adopt(state)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(loop.connect_accepted_socket(lambda: connection, sock))
        self._adoptions.add(task)
        task.add_done_callback(self._adoptions.discard)

    def begin_transfer(self) -> None:
        """Stops reading connections without a request that is being served, until another process continues them."""
        if not self.transferring:
            self.transferring = True
            for connection in self.connections:
                connection.hold_for_transfer()

    def end_transfer(self) -> None:
        """Reads all connections again."""
        if self.transferring:
            self.transferring = False
            for connection in self.connections:
                connection.end_hold()

    # -- requests

    def serve(self, connection: ClientConnection, request: HttpRequest) -> None:
        """Answers a health check, or passes a request to the core.

        Raises:
            DuplicateRequestIdError: An open request, necessarily from another connection, has the same id.
        """
        if request.class_index == NO_CLASS:
            self._answer_health_check(connection, request)
            return
        if self.core.requests.has_id(request.request_id):
            request.release_memory()
            self.core.count_answer(request.class_index, FinalAnswer.FAILED)
            raise DuplicateRequestIdError
        past = self.core.requests.past.find(request.request_id)
        if past is not None and not self.core.may_repeat(past, request.class_index):
            self._fail_repeat(connection, request)
            return
        connection.requests_accepted += 1
        if connection.requests_accepted == 1:
            self.last_client_at = self.deadlines.clock()
        accepted = self.core.accept(
            request,
            request.class_index,
            request.remaining_ms - (self.deadlines.clock() - request.received_at),
            request_id=request.request_id,
            size=len(request.body),
            workload=request.workload,
            past=past,
        )
        if not accepted.closed:
            connection.open_request = accepted

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Writes the final answer of a request to its connection; ``retry_after`` is in ms, 0 for none."""
        http_request: HttpRequest = request.payload
        connection, http_request.connection = http_request.connection, None
        http_request.release_memory()
        if connection is not None:
            keep_alive = self._keeps_alive(http_request, connection)
            connection.answer(responses.final_response(final, body, retry_after, close=not keep_alive), keep_alive)

    def may_hide_disconnect(self, request: Request) -> bool:
        """Returns whether a FIN of the client may be queued behind its unread input."""
        connection: AnswerableConnection | None = request.payload.connection
        return connection is not None and connection.may_hide_disconnect

    def client_waits(self, request: Request) -> bool:
        """Returns whether the client of a request still waits for its answer."""
        connection: AnswerableConnection | None = request.payload.connection
        return connection is None or connection.client_connected

    def _fail_repeat(self, connection: ClientConnection, request: HttpRequest) -> None:
        """Answers a request whose id belongs to one that may have run, and that must not run again."""
        self.log("repeat_failed", id=request.request_id, client=connection.client_address)
        self.core.count_answer(request.class_index, FinalAnswer.FAILED)
        keep_alive = self._keeps_alive(request, connection)
        request.release_memory()
        connection.answer(responses.final_response(FinalAnswer.FAILED, b"", 0.0, close=not keep_alive), keep_alive)

    def _answer_health_check(self, connection: ClientConnection, request: HttpRequest) -> None:
        keep_alive = self._keeps_alive(request, connection)
        request.release_memory()
        connection.answer(
            responses.health_response(request.path, self._owner.ready(), close=not keep_alive), keep_alive
        )

    def _keeps_alive(self, request: HttpRequest, connection: AnswerableConnection) -> bool:
        """Returns whether a connection stays open after this answer.

        During a drain, or while new clients wait and no connection can be closed for them, a connection stays open only
        until all received input is answered.
        """
        ends_when_idle = self._owner.sends_clients_away() or self._answer_makes_room()
        return request.keep_alive and not (ends_when_idle and not connection.has_unanswered_input)

    def _answer_makes_room(self) -> bool:
        """Returns whether a client waits for room, and no connection can be closed for it now or soon."""
        if not self.clients_wait() or self._aborted:
            return False
        if self._eviction_order.first() is not None or self._eviction_order.has_silent_in_grace:
            return False
        return not self._queued_requests_leave_soon()

    def _queued_requests_leave_soon(self) -> bool:
        """Returns whether clients with several requests behind the current one should make the room for new clients.

        They take more than the others, whose connections therefore stay open for a while.
        """
        waited_ms = 0.0 if self._waiting_since is None else self.deadlines.clock() - self._waiting_since
        return waited_ms < MAX_ROOM_WAIT_MS and any(connection.has_backlog for connection in self.connections)


def _idle_rank(connection: ClientConnection) -> EvictionRank:
    """Returns the eviction rank of a connection on which no request is being served."""
    if connection.is_reading_request or connection.has_unread_answers:
        return EvictionRank.UNFINISHED
    if not connection.has_sent_request:
        return EvictionRank.SILENT
    return EvictionRank.SERVED if connection.requests_accepted else EvictionRank.HEALTH_CHECKED

"""The HTTP frontend: the clients' connections, and the requests that are taken from them."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from heronlug.balancer.settings import Settings
from heronlug.frontends.http import responses
from heronlug.frontends.http.body_memory import BodyMemory
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.errors import DuplicateRequestIdError
from heronlug.frontends.http.eviction import NEW_CONNECTION_GRACE_MS, EvictionOrder, EvictionRank
from heronlug.frontends.http.request import NO_CLASS, AnswerableConnection, HttpRequest
from heronlug.frontends.http.request_policy import RequestPolicy
from heronlug.requests.core import Core
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import FinalAnswer, Request
from heronlug.requests.slots import SlotTable

EXHAUSTION_LOG_INTERVAL_MS = 1000.0
"""Time between two log lines that say that there are too many connections."""


class FrontendOwner(Protocol):
    """The application, as the frontend uses it."""

    core: Core

    @property
    def log(self) -> EventLog:
        """Where events are logged."""

    def sends_clients_away(self) -> bool:
        """Whether connections end with their next answer."""

    def ready(self) -> bool:
        """Whether requests can be served."""


class HttpFrontend:
    """The clients' connections.

    Attributes:
        policy: how the headers of requests are read.
        deadlines: where time-outs are kept.
        run_due: runs the deadlines that are due; called after input from outside.
        max_connections: connections above this number have one evicted.
        body_memory: the memory for bodies.
        connections: the open connections.
        last_client_at: when a connection last sent its first request for a server.
    """

    def __init__(
        self,
        owner: FrontendOwner,
        settings: Settings,
        max_connections: int,
        max_body_bytes: int,
        run_due: Callable[[], None],
    ) -> None:
        """Make a frontend without connections; ``max_body_bytes`` bounds the bodies of all requests together."""
        self.policy = RequestPolicy(settings)
        self.deadlines = owner.core.deadlines
        self.run_due = run_due
        self.max_connections = max_connections
        self.body_memory = BodyMemory(max_body_bytes)
        self.connections: SlotTable[ClientConnection] = SlotTable()
        self.last_client_at = self.deadlines.clock()
        self._owner = owner
        self._eviction_order: EvictionOrder[ClientConnection] = EvictionOrder(self.deadlines.clock)
        self._adoptions: set[asyncio.Task[object]] = set()
        self._exhaustion_logged_at = 0.0

    @property
    def core(self) -> Core:
        """The owner of requests."""
        return self._owner.core

    @property
    def log(self) -> EventLog:
        """Where events are logged."""
        return self._owner.log

    # -- connections

    def protocol(self) -> ClientConnection:
        """A protocol for a new connection."""
        return ClientConnection(self)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Enter a connection; above the limit another one is evicted for it, or it goes itself."""
        connection.handle = self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            self._log_exhaustion()
            (self._eviction_order.first() or connection).abort()
        self.rank_for_eviction(connection, _initial_rank(connection))

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection has ended; may be called again."""
        self._eviction_order.move(connection, None)
        self.connections.remove(connection.handle)

    def rank_for_eviction(self, connection: ClientConnection, rank: EvictionRank) -> None:
        """A connection does something else from now on."""
        self._eviction_order.move(connection, rank)

    def evict_one(self) -> None:
        """Close one connection that owes no answer, if there is one: the process has no descriptor left."""
        connection = self._eviction_order.first()
        if connection is not None:
            self._log_exhaustion()
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections between two requests, but new ones whose first request may be on its way."""
        grace_start = self.deadlines.clock() - NEW_CONNECTION_GRACE_MS
        for connection in self.connections:
            if connection.has_sent_request or connection.opened_at < grace_start:
                connection.close_if_idle()

    def _log_exhaustion(self) -> None:
        now = self.deadlines.clock()
        if now - self._exhaustion_logged_at >= EXHAUSTION_LOG_INTERVAL_MS:
            self._exhaustion_logged_at = now
            self.log("too_many_clients", connections=len(self.connections))

    # -- hot restart

    def hand_over_idle(self, hand_over: Callable[[int, bool], None]) -> None:
        """Hand the idle connections to another process.

        Args:
            hand_over: called with each descriptor, and whether a request of it has been served.
        """
        for connection in self.connections:
            if connection.can_hand_over() and not connection.serving:
                hand_over(connection.pause_for_handover(), connection.requests_accepted > 0)
                connection.detach()

    def adopt(
        self, sock: socket.socket, served: bool, on_connected: Callable[[ClientConnection], None] | None = None
    ) -> None:
        """Take over a connection from another process.

        Args:
            sock: its socket.
            served: a request of it has been served.
            on_connected: called once the connection can be used.
        """
        sock.setblocking(False)
        connection = ClientConnection(self, on_connected)
        connection.has_sent_request = True
        connection.requests_accepted = int(served)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(loop.connect_accepted_socket(lambda: connection, sock))
        self._adoptions.add(task)
        task.add_done_callback(self._adoptions.discard)

    # -- requests

    def serve(self, connection: ClientConnection, request: HttpRequest) -> None:
        """Answer a health check, or hand a request to the core.

        Raises:
            DuplicateRequestIdError: another request has the same id, of another client or it would not be open.
        """
        if request.class_index == NO_CLASS:
            self._answer_health_check(connection, request)
            return
        if self.core.requests.has_id(request.request_id):
            self.body_memory.release(request)
            self.core.count_answer(request.class_index, FinalAnswer.FAILED)
            raise DuplicateRequestIdError
        connection.requests_accepted += 1
        if connection.requests_accepted == 1:
            self.last_client_at = self.deadlines.clock()
        accepted = self.core.accept(
            request,
            request.class_index,
            request.remaining_ms,
            request_id=request.request_id,
            size=len(request.body),
            workload=request.workload,
        )
        if not accepted.closed:
            connection.open_request = accepted

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Give the final answer of a request on its connection; ``retry_after`` is in ms, 0 for none."""
        http_request: HttpRequest = request.payload
        connection = http_request.connection
        self.body_memory.release(http_request)
        if connection is not None:
            keep_alive = self._keeps_alive(http_request, connection)
            connection.answer(responses.final_response(final, body, retry_after, close=not keep_alive), keep_alive)

    def client_waits(self, request: Request) -> bool:
        """Whether the client of a request has not left."""
        connection: AnswerableConnection | None = request.payload.connection
        return connection is None or connection.client_connected

    def _answer_health_check(self, connection: ClientConnection, request: HttpRequest) -> None:
        keep_alive = self._keeps_alive(request, connection)
        self.body_memory.release(request)
        connection.answer(
            responses.health_response(request.path, self._owner.ready(), close=not keep_alive), keep_alive
        )

    def _keeps_alive(self, request: HttpRequest, connection: AnswerableConnection) -> bool:
        """Whether a connection stays open after this answer; in a drain, until all that has come is answered."""
        return request.keep_alive and not (self._owner.sends_clients_away() and not connection.has_unanswered_input)


def _initial_rank(connection: ClientConnection) -> EvictionRank:
    """The rank of a connection that has just been opened, perhaps by another process."""
    if not connection.has_sent_request:
        return EvictionRank.SILENT
    return EvictionRank.SERVED if connection.requests_accepted else EvictionRank.HEALTH_CHECKED

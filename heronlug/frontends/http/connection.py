"""One client's connection: requests are served in turn, pipelined ones wait."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from heronlug.frontends.http import responses
from heronlug.frontends.http.body_memory import BodyMemory
from heronlug.frontends.http.connection_state import ConnectionEvent, ConnectionState, next_state
from heronlug.frontends.http.errors import BadRequestError, IncompleteRequestError
from heronlug.frontends.http.eviction import EvictionRank
from heronlug.frontends.http.pipeline import RequestPipeline
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_policy import RequestPolicy
from heronlug.frontends.http.request_reader import RequestReader
from heronlug.frontends.timeout import Timeout
from heronlug.net.connection_state import has_unread_input, peer_has_closed
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Request

READ_TIMEOUT_MS = 2_500.0
"""Time for a request to be complete: the first one's runs from the connect, a later one's from its first byte."""

IDLE_TIMEOUT_MS = 120_000.0
"""A connection may be idle between two requests for so long."""

LINGER_MS = 500.0
"""Time for a client to read the last response: a close with input unread would send a reset, which overtakes it."""

MAX_DISCARDED_BYTES = 256 * 1024
"""Input that is read and discarded while a connection lingers."""


class ConnectionOwner(Protocol):
    """The frontend, as its connections use it."""

    deadlines: Deadlines
    policy: RequestPolicy
    body_memory: BodyMemory
    run_due: Callable[[], None]

    @property
    def core(self) -> Core:
        """The owner of requests."""

    @property
    def log(self) -> EventLog:
        """Where events are logged."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """A connection has been opened."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """A connection has ended; may be called again."""

    def rank_for_eviction(self, connection: "ClientConnection", rank: EvictionRank) -> None:
        """A connection does something else from now on."""

    def serve(self, connection: "ClientConnection", request: HttpRequest) -> None:
        """Serve a complete request; raises :class:`BadRequestError`."""


class ClientConnection(asyncio.Protocol):
    """A client's connection.

    Attributes:
        handle: its handle in the frontend's table.
        transport: what it writes to; None before it is connected.
        open_request: the request that is being served, if the core has it.
        requests_accepted: requests of it that were handed to the core, here or in the process before.
        has_sent_request: the client has sent a complete request, if only a health check.
        opened_at: when it was opened.
        rank: its rank for eviction, if any.
    """

    def __init__(
        self, frontend: ConnectionOwner, on_connected: "Callable[[ClientConnection], None] | None" = None
    ) -> None:
        """Prepare a connection; ``on_connected`` is called once it has a transport."""
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.open_request: Request | None = None
        self.requests_accepted = 0
        self.has_sent_request = False
        self.opened_at = frontend.deadlines.clock()
        self.rank: EvictionRank | None = None
        self._frontend = frontend
        self._on_connected = on_connected
        self._state = ConnectionState.IDLE
        self._reader = RequestReader(self)
        self._pipeline = RequestPipeline()
        self._discarded = 0
        self._timeout = Timeout(frontend.deadlines)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The client is connected."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class has the methods but is no subclass
        self._timeout.start(IDLE_TIMEOUT_MS if self.has_sent_request else READ_TIMEOUT_MS, self._on_timeout)
        self._frontend.connection_opened(self)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Read bytes from the client; requests are served only once all of the bytes have been read."""
        if self.closing:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED_BYTES:
                self.abort()
            return
        try:
            self._reader.feed(data)
        except BadRequestError as error:
            self._reject(error)
        except Exception as error:  # a fault ends this connection, not the process
            self._frontend.log("exception", where="north", error=repr(error))
            self.abort()
        else:
            self._serve_next()
        self._frontend.run_due()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, and with it the client's interest in its requests."""
        self._apply_event(ConnectionEvent.CLOSED)
        self._reader.close()
        self._timeout.cancel()
        self._frontend.connection_closed(self)
        self._frontend.body_memory.release(self._reader.request)
        self._pipeline.clear(self._frontend.body_memory)
        if self.open_request is not None:
            request, self.open_request = self.open_request, None
            self._frontend.body_memory.release(request.payload)
            self._frontend.core.client_left(request)
        self._frontend.run_due()

    # -- what the reader finds

    def request_began(self) -> None:
        """The first byte of a request has come."""
        if self.has_sent_request:  # the time of the first one runs from the connect
            self._timeout.start(READ_TIMEOUT_MS, self._on_timeout)

    def head_complete(self, expects_continue: bool) -> None:
        """The head of a request is complete."""
        if expects_continue and not self.serving and self.transport is not None:
            self.transport.write(responses.CONTINUE)

    def body_received(self, request: HttpRequest, size: int) -> None:
        """So many bytes more of a body have come; raises :class:`BadRequestError` without memory for them."""
        self._frontend.body_memory.reserve(request, size)

    def request_complete(self, request: HttpRequest) -> None:
        """A request is complete: it waits for its turn, unless it breaks the protocol."""
        request.connection = self
        self.has_sent_request = True
        self._timeout.cancel()
        if not responses.is_health_check(request):
            self._frontend.policy.read(request)
        self._pipeline.add(request)

    # -- state

    @property
    def serving(self) -> bool:
        """Whether a request is being served."""
        return self._state is ConnectionState.SERVING

    @property
    def closing(self) -> bool:
        """Whether no more requests are served."""
        return self._state in (ConnectionState.LINGERING, ConnectionState.CLOSED)

    @property
    def has_unanswered_input(self) -> bool:
        """Whether the client has sent more than has been answered, counting what has not been read yet."""
        if self._pipeline or self._reader.reading:
            return True
        return self.transport is not None and has_unread_input(self.transport)

    @property
    def client_connected(self) -> bool:
        """Whether the client has not closed its side."""
        return self.transport is None or not peer_has_closed(self.transport)

    # -- serving

    def answer(self, data: bytes, keep_alive: bool = True) -> None:
        """Write the response to the request that is being served; without ``keep_alive`` it is the last one."""
        self.open_request = None
        self._apply_event(ConnectionEvent.ANSWERED)
        if self.transport is None or self.closing:
            return
        self.transport.write(data)
        if keep_alive:
            self._await_next_request()
        elif has_unread_input(self.transport):  # a close now would send a reset, which overtakes the response
            self._linger(self.transport)
        else:
            self._close(self.transport)

    def close_if_idle(self) -> None:
        """Close the connection if it is between two requests."""
        if self._state is ConnectionState.IDLE and not self.has_unanswered_input and self.transport is not None:
            self._close(self.transport)

    def abort(self) -> None:
        """End the connection at once."""
        self._apply_event(ConnectionEvent.CLOSED)
        self._frontend.connection_closed(self)
        if self.transport is not None:
            self.transport.abort()

    # -- hot restart

    def can_hand_over(self) -> bool:
        """Whether another process can go on: nothing is partly read or written but the request being served."""
        transport = self.transport
        if self._pipeline or self._reader.reading or self.closing or not self.has_sent_request or transport is None:
            return False
        return not transport.is_closing() and transport.get_write_buffer_size() == 0

    def pause_for_handover(self) -> int:
        """Stop reading, and return the descriptor for the process that goes on.

        Raises:
            ConnectionError: it is not connected.
        """
        if self.transport is None:
            msg = "a connection without a transport cannot be handed over"
            raise ConnectionError(msg)
        self.transport.pause_reading()
        return int(self.transport.get_extra_info("socket").fileno())

    def detach(self) -> None:
        """Close this process's descriptor without writing: another process holds the connection."""
        if self.open_request is not None:
            self._frontend.body_memory.release(self.open_request.payload)
        self.open_request = None
        self.abort()

    def resume_request(self, request: Request) -> None:
        """Go on with a request that another process took from this connection."""
        self.open_request = request
        self._apply_event(ConnectionEvent.REQUEST_STARTED)
        self._timeout.cancel()
        self._frontend.rank_for_eviction(self, EvictionRank.BUSY)

    # -- inside

    def _apply_event(self, event: ConnectionEvent) -> None:
        self._state = next_state(self._state, event)

    def _await_next_request(self) -> None:
        """Wait for the next request, or serve the one that waits."""
        served = EvictionRank.SERVED if self.requests_accepted else EvictionRank.HEALTH_CHECKED
        self._frontend.rank_for_eviction(self, served)
        if not self._reader.reading:
            self._timeout.start(IDLE_TIMEOUT_MS, self._on_timeout)
        self._serve_next()

    def _serve_next(self) -> None:
        while self._pipeline and self._state is ConnectionState.IDLE:
            self._apply_event(ConnectionEvent.REQUEST_STARTED)
            self._frontend.rank_for_eviction(self, EvictionRank.BUSY)
            if not self._reader.reading:
                self._timeout.cancel()
            try:
                self._frontend.serve(self, self._pipeline.next())
            except BadRequestError as error:
                self._reject(error)

    def _reject(self, error: BadRequestError) -> None:
        """Answer a request that breaks the protocol at once, and end the connection.

        The complete requests before it are answered too: one that is being served has failed, for it may have run,
        and the others are refused.
        """
        if self.closing or self.transport is None:
            return
        self._frontend.log("bad_request", status=error.status, text=error.text)
        unserved = responses.unserved_response() * len(self._pipeline)
        self._pipeline.count_rejected(self._frontend.core)
        self._frontend.body_memory.release(self._reader.request)
        self._pipeline.clear(self._frontend.body_memory)
        if self.open_request is not None:
            self._frontend.core.fail(self.open_request)  # calls :meth:`answer`, which may end the connection
            if self.closing:
                return
        self.transport.write(unserved + responses.rejection_response(error))
        self._linger(self.transport)

    def _close(self, transport: asyncio.Transport) -> None:
        """Close the connection once all that has been written has gone out."""
        self._apply_event(ConnectionEvent.CLOSED)
        transport.close()

    def _linger(self, transport: asyncio.Transport) -> None:
        """End our side, and go on reading for a while, so that what has been written arrives."""
        self._apply_event(ConnectionEvent.LAST_RESPONSE_WRITTEN)
        if not transport.is_closing():
            transport.write_eof()
        self._frontend.rank_for_eviction(self, EvictionRank.REJECTED)
        self._timeout.start(LINGER_MS, self.abort)

    def _on_timeout(self) -> None:
        """A request that has begun is not complete in time, or nothing comes at all."""
        if self._reader.reading:
            self._reject(IncompleteRequestError())
        elif self.has_unanswered_input:  # it has just come, and is read in this turn of the loop
            self._timeout.start(READ_TIMEOUT_MS, self._on_timeout)
        else:
            self.abort()

"""Implements one client connection: serves requests one at a time and queues pipelined requests."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from heronlug.frontends.http import responses
from heronlug.frontends.http.client_input import ClientInput
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.connection_state import ConnectionEvent, ConnectionState, next_state
from heronlug.frontends.http.errors import (
    BadRequestError,
    BodyMemoryExhaustedError,
    IncompleteRequestError,
    TooManyPipelinedRequestsError,
)
from heronlug.frontends.http.eviction import EvictionRank
from heronlug.frontends.http.pipeline import RequestPipeline
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_policy import RequestPolicy
from heronlug.frontends.timeout import Timeout
from heronlug.memory.account import MemoryAccount, Reservation
from heronlug.memory.holders import Holder
from heronlug.net.connection_state import has_unread_input, peer_has_closed
from heronlug.net.http import format_address
from heronlug.net.paced_protocol import PacedProtocol
from heronlug.net.read_gate import PauseReason
from heronlug.net.turn_queue import TurnQueue
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Request

READ_TIMEOUT_MS = 2_500.0
"""Time for a request to be complete, from the connect for the first request, from its first byte for a later one."""

IDLE_TIMEOUT_MS = 120_000.0
"""Time after which a connection that is idle between two requests is closed."""

CONNECTION_BYTES = 12 * 1024
"""Memory of a connection without what its client has sent, in bytes."""

EXCESS_TIMEOUT_MS = 2_500.0
"""Time for which a client may have more requests sent than may wait, before those that wait are refused."""

LINGER_MS = 500.0
"""Time for a client to read the last response.

Closing a socket with unread input sends a reset, which can discard the response before the client reads it.
"""

MAX_DISCARDED_BYTES = 256 * 1024
"""Maximum input, in bytes, that is read and discarded while a connection lingers; more aborts the connection."""


class ConnectionOwner(Protocol):
    """The part of the frontend that its connections use.

    Attributes:
        deadlines: Scheduler for time-outs.
        policy: Reads and checks the headers of requests.
        memory: Account of the memory that clients make the process hold.
        turn_queue: Postponed parsing of all connections.
        transferring: Whether connections without a request that is being served are not read, because another process
            is to continue them.
        run_due: Runs the deadlines that are due; called after each I/O event.
    """

    deadlines: Deadlines
    policy: RequestPolicy
    memory: MemoryAccount
    turn_queue: TurnQueue
    transferring: bool
    run_due: Callable[[], None]

    @property
    def core(self) -> Core:
        """Returns the core, which owns the accepted requests."""

    @property
    def log(self) -> EventLog:
        """Returns the event log."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Registers a new connection."""

    def connection_idle(self, connection: "ClientConnection") -> None:
        """Sets the eviction rank of a connection on which no request is being served."""

    def connection_aborted(self, connection: "ClientConnection") -> None:
        """Records that a connection is about to be closed."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Removes an ended connection."""

    def count_close(self, reason: CloseReason) -> None:
        """Counts the end of a connection."""

    def rank_for_eviction(self, connection: "ClientConnection", rank: EvictionRank) -> None:
        """Sets the eviction rank of a connection."""

    def reading_paused(self, connection: "ClientConnection") -> None:
        """Watches for the client's end of a connection that is not read."""

    def serve(self, connection: "ClientConnection", request: HttpRequest) -> None:
        """Serves a complete request.

        Raises:
            BadRequestError: The request cannot be accepted.
        """


class ClientConnection(PacedProtocol):
    """A connection from a client.

    Attributes:
        handle: Handle of the connection in the frontend's connection table.
        transport: Transport of the connection; None until the connection is established.
        client_address: Address of the client, which identifies the connection in the logs of all processes.
        open_request: Request that the core is serving; None if there is none.
        requests_accepted: Number of requests passed to the core; after a hot restart at least 1 if the previous process
            accepted any.
        has_sent_request: Whether the client has sent a complete request, including health checks.
        opened_at: Time at which the connection was opened, in ms.
        rank: Rank in the eviction order; None if the connection is not in the order.
        ranked_at: Time at which the connection got its rank, in ms.
    """

    def __init__(
        self, frontend: ConnectionOwner, on_connected: "Callable[[ClientConnection], None] | None" = None
    ) -> None:
        """Creates an unconnected connection; ``on_connected`` is called once the transport is set."""
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.client_address = ""
        self.open_request: Request | None = None
        self.requests_accepted = 0
        self.has_sent_request = False
        self._adopted_state: ClientState | None = None  # until the transport is set
        self._released_request_id = ""
        self._reading_since = 0.0
        self._sent_continue = False
        self.opened_at = frontend.deadlines.clock()
        self.rank: EvictionRank | None = None
        self.ranked_at = 0.0
        self._frontend = frontend
        self._on_connected = on_connected
        self._state = ConnectionState.IDLE
        self._input = ClientInput(self, frontend)
        self._reader = self._input.reader
        self._pipeline = RequestPipeline()
        self._excess_timeout = Timeout(frontend.deadlines)
        self._memory = Reservation(frontend.memory, Holder.CLIENT_CONNECTIONS)
        self._discarded = 0
        self._close_reason: CloseReason | None = None  # None until this process ends the connection
        self._state_at_close = ConnectionState.IDLE
        self._timeout = Timeout(frontend.deadlines)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the time-out and registers the connection with the frontend."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport has the methods but is not a subclass
        self._input.open(self.transport)
        self._memory.hold(CONNECTION_BYTES)
        self.client_address = format_address(transport.get_extra_info("peername"))
        self._start_waiting()
        event = "client_opened" if self._adopted_state is None else "client_adopted"
        self._frontend.log(event, client=self.client_address)
        self._frontend.connection_opened(self)
        if self._adopted_state is not None:
            self._queue_adopted_requests(self._adopted_state)
        if self._on_connected is not None:
            self._on_connected(self)
        if self._adopted_state is not None:
            self._read_adopted_bytes(self._adopted_state)

    def input_exceeds_buffer(self) -> None:
        """Stops reading until the next iteration of the event loop."""
        self._input.gate.pause_for_turn()

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the client; requests are served once what may be parsed in this turn has been parsed."""
        if self.closing:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED_BYTES:
                self.abort(CloseReason.EXCESS_INPUT)
            return
        self._handle_input(partial(self._input.receive, data))

    def parse_more(self) -> None:
        """Parses further bytes that have been read before."""
        if not self.closing:
            self._handle_input(self._input.parse)

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the resources of the connection and reports its open request to the core as abandoned."""
        self.log_end(CloseReason.CLIENT_CLOSED)
        self._apply_event(ConnectionEvent.CLOSED)
        self._timeout.cancel()
        self._excess_timeout.cancel()
        self._frontend.connection_closed(self)
        self._input.close()
        self._pipeline.clear()
        self._memory.release()
        if self.open_request is not None:
            request, self.open_request = self.open_request, None
            request.payload.release_memory()
            self._frontend.core.client_left(request)
            request.payload.connection = None
        self._adopted_state = None
        self._frontend.run_due()

    # -- callbacks of the request reader

    def request_began(self) -> None:
        """Starts the read time-out at the first byte of a request."""
        self._reading_since = self._frontend.deadlines.clock()
        self._sent_continue = False
        if self.has_sent_request:  # the read time-out of the first request started at the connect
            self._timeout.start(READ_TIMEOUT_MS, self._on_timeout)

    def head_complete(self, expects_continue: bool) -> None:
        """Sends 100 Continue if the client expects it and no request is being served."""
        if expects_continue and not self.serving and self.transport is not None:
            self._sent_continue = True
            self.transport.write(responses.CONTINUE)

    def request_complete(self, request: HttpRequest) -> None:
        """Checks a complete request and adds it to the pipeline.

        Raises:
            BadRequestError: The request violates the protocol.
        """
        request.connection = self
        request.received_at = self._input.arrived_at
        request.hold_memory(self._frontend.memory)
        self.has_sent_request = True
        self._timeout.cancel()
        if not responses.is_health_check(request):
            self._frontend.policy.read(request)
        self._pipeline.add(request)

    # -- state

    @property
    def serving(self) -> bool:
        """Returns whether a request is being served."""
        return self._state is ConnectionState.SERVING

    @property
    def closing(self) -> bool:
        """Returns whether the connection has stopped serving requests."""
        return self._state in (ConnectionState.LINGERING, ConnectionState.CLOSED)

    @property
    def is_serving(self) -> bool:
        """Returns whether a request is being served or waits."""
        return self.serving or bool(self._pipeline)

    @property
    def takes_requests(self) -> bool:
        """Returns whether another request may be parsed now."""
        open_here = self._state in (ConnectionState.IDLE, ConnectionState.SERVING)
        return open_here and self._pipeline.has_room and not self._input.gate.paused_for(PauseReason.HANDOVER)

    @property
    def is_reading_paused(self) -> bool:
        """Returns whether the connection is not read, so that its end would not be noticed."""
        return self._input.gate.paused and not self.closing

    @property
    def age_ms(self) -> float:
        """Returns the time since the connection was opened, in ms."""
        return self._frontend.deadlines.clock() - self.opened_at

    @property
    def is_reading_request(self) -> bool:
        """Returns whether a part of a request has been read."""
        return self._reader.reading

    @property
    def unfinished_bytes(self) -> int:
        """Returns the memory of what the client has sent besides whole requests, in bytes."""
        return self._input.held_bytes if not self.closing else 0

    @property
    def has_waiting_input(self) -> bool:
        """Returns whether requests or bytes of requests have been read that are not served yet."""
        return bool(self._pipeline) or self._input.has_unparsed

    @property
    def has_unanswered_input(self) -> bool:
        """Returns whether the client has sent unanswered input, including bytes that are unread in the socket."""
        if self.has_waiting_input or self._reader.reading or self._has_adopted_bytes:
            return True
        return self.transport is not None and has_unread_input(self.transport)

    @property
    def is_evictable(self) -> bool:
        """Returns whether nothing is owed to the client, and no request may be in transit.

        A request of which a part has come is not owed an answer; it gets an error.
        """
        match self.rank:
            case EvictionRank.REJECTED:
                return True
            case EvictionRank.UNFINISHED:
                return True
            case _:
                return not self.has_unanswered_input

    @property
    def client_connected(self) -> bool:
        """Returns whether the client has not closed its side of the connection."""
        return self.transport is None or not peer_has_closed(self.transport)

    # -- serving

    def answer(self, data: bytes, keep_alive: bool = True) -> None:
        """Writes the response to the current request and, without ``keep_alive``, ends the connection."""
        self.open_request = None
        self._apply_event(ConnectionEvent.ANSWERED)
        if self.transport is None or self.closing:
            return
        self.transport.write(data)
        if keep_alive:
            self._await_next_request()
        elif has_unread_input(self.transport):  # closing now would send a reset, which can discard the response
            self._linger(self.transport, CloseReason.ANSWERED)
        else:
            self._close(self.transport, CloseReason.ANSWERED)

    def reject_for_memory(self) -> None:
        """Rejects the unfinished request, because memory is short."""
        self._reject(BodyMemoryExhaustedError())

    def evict(self, reason: CloseReason) -> None:
        """Ends the connection because its room is needed; a client that has sent a part of a request gets an error."""
        if self.closing or not self._reader.reading or self.transport is None:
            self.abort(reason)
            return
        self._set_close_reason(reason)
        self._reject(IncompleteRequestError())
        if not has_unread_input(self.transport):
            self._frontend.connection_aborted(self)
            self._close(self.transport, reason)

    def close_if_idle(self, reason: CloseReason) -> None:
        """Closes the connection if it is idle and has no unanswered input."""
        if self._state is ConnectionState.IDLE and not self.has_unanswered_input and self.transport is not None:
            self._close(self.transport, reason)

    def abort(self, reason: CloseReason) -> None:
        """Ends the connection immediately, without sending buffered bytes."""
        self._set_close_reason(reason)
        self._apply_event(ConnectionEvent.CLOSED)
        self._frontend.connection_aborted(self)
        if self.transport is not None:
            self.transport.abort()

    # -- hot restart

    def can_hand_over(self, unfinished: bool = False) -> bool:
        """Returns whether another process can continue the connection.

        No response may be partly written; a request that is being served does not prevent a handover.

        Args:
            unfinished: Whether the other process also continues connections whose client has not sent a complete
                request, and those from which more has been read than the request that is being served.
        """
        transport = self.transport
        if self._state not in (ConnectionState.IDLE, ConnectionState.SERVING) or transport is None:
            return False
        has_more_input = self.has_waiting_input or self._reader.reading
        if (has_more_input or not self.has_sent_request) and not unfinished:
            return False
        if self._reader.reading and not self._can_read_elsewhere():
            return False
        return not transport.is_closing() and transport.get_write_buffer_size() == 0

    def pause_for_handover(self) -> int:
        """Stops reading and returns the socket descriptor for the process that continues the connection.

        Raises:
            ConnectionError: The connection has no transport.
        """
        if self.transport is None:
            msg = "the client connection has no transport and cannot be handed over"
            raise ConnectionError(msg)
        self._input.gate.pause(PauseReason.HANDOVER)
        self._apply_event(ConnectionEvent.OFFERED)
        self._timeout.cancel()
        self._excess_timeout.cancel()
        self._frontend.rank_for_eviction(self, EvictionRank.BUSY)
        return int(self.transport.get_extra_info("socket").fileno())

    def client_state(self) -> ClientState:
        """Returns the state with which another process continues the connection."""
        now = self._frontend.deadlines.clock()
        reading_ms = 0.0
        if self._reader.reading:
            reading_ms = now - self._reading_since
        elif self._input.has_unparsed:
            reading_ms = now - self._input.arrived_at
        return ClientState(
            served=self.requests_accepted > 0,
            has_sent_request=self.has_sent_request,
            age_ms=self.age_ms,
            queued=self._pipeline.requests,
            partial_request=self._input.partial_request or b"",
            reading_ms=reading_ms,
        )

    def adopt(self, state: ClientState) -> None:
        """Sets the state of a connection that another process has opened, before the transport is set."""
        self.has_sent_request = state.has_sent_request
        self.requests_accepted = int(state.served)
        now = self._frontend.deadlines.clock()
        self.opened_at = now if state.has_sent_request else now - state.age_ms
        self._adopted_state = state

    def hold_for_transfer(self) -> None:
        """Stops reading until another process continues the connection, unless requests have to be served first."""
        if self._state is ConnectionState.IDLE and not self.has_waiting_input and self.can_hand_over(unfinished=True):
            self._input.gate.pause(PauseReason.HANDOVER)
            self._frontend.reading_paused(self)

    def end_hold(self) -> None:
        """Reads again, and serves what has come meanwhile, because no other process continues the connection."""
        if self._state is ConnectionState.IDLE and self._input.gate.paused_for(PauseReason.HANDOVER):
            self._input.gate.resume(PauseReason.HANDOVER)
            self._frontend.turn_queue.add(self._input, self.parse_more)

    def reclaim(self) -> None:
        """Reads again after another process has not taken over the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        was_offered = self._state is ConnectionState.OFFERED
        if was_offered:
            self._apply_event(ConnectionEvent.RECLAIMED)
            self._frontend.connection_idle(self)
            self._start_waiting()
        if not (was_offered and self._frontend.transferring):
            self._input.gate.resume(PauseReason.HANDOVER)
            self._frontend.turn_queue.add(self._input, self.parse_more)  # requests may have waited meanwhile
        self._adjust_input()

    def detach(self) -> None:
        """Closes this process's descriptor without writing, after another process has taken over the connection."""
        if self.open_request is not None:
            self._released_request_id = self.open_request.request_id
            self.open_request.payload.release_memory()
        self.open_request = None
        self.abort(CloseReason.HANDED_OVER)

    def resume_request(self, request: Request) -> None:
        """Continues a request that another process read from this connection."""
        self.open_request = request
        self._apply_event(ConnectionEvent.REQUEST_STARTED)
        self._timeout.cancel()
        self._frontend.rank_for_eviction(self, EvictionRank.BUSY)

    # -- log

    def log_end(self, reason: CloseReason) -> None:
        """Logs and counts the end of the connection, for ``reason`` unless this process has ended it before."""
        self._set_close_reason(reason)
        final_reason = self._close_reason or reason
        request_id = self.open_request.request_id if self.open_request is not None else self._released_request_id
        self._frontend.count_close(final_reason)
        by_client = final_reason is CloseReason.CLIENT_CLOSED
        continued = by_client or final_reason is CloseReason.HANDED_OVER
        dropped = not continued and bool(self.open_request is not None or self._pipeline)
        self._frontend.log(
            "client_dropped" if dropped else "client_closed",
            client=self.client_address,
            state=self._state_at_close.value,
            why=final_reason.value,
            by="client" if by_client else "dispatcher",
            id=request_id,
            queued=len(self._pipeline),
            reading=self._reader.phase.value,
        )

    # -- internals

    def _handle_input(self, parse: Callable[[], None]) -> None:
        """Parses input, and serves or rejects what it contains."""
        request = self._reader.request
        try:
            parse()
        except BadRequestError as error:
            self._reject(error)
        except Exception as error:  # an unexpected error ends this connection, not the process
            self._frontend.log("exception", where="north", error=repr(error))
            self.abort(CloseReason.EXCEPTION)
        else:
            continues = self._reader.reading and self._reader.request is request
            if self._reader.reading and self._state is ConnectionState.IDLE:
                self._frontend.connection_idle(self)
            if continues and not self._pipeline and not self._input.gate.paused:
                return
            self._serve_next()
        self._frontend.run_due()

    def _adjust_input(self) -> None:
        """Reads and parses as fast as requests are served, and bounds the time for which a client sends too many."""
        if self.closing:
            return
        self._input.adjust()
        if self._pipeline.has_room and not self._input.has_unparsed:
            self._excess_timeout.cancel()
        elif not self._excess_timeout.pending:
            self._excess_timeout.start(EXCESS_TIMEOUT_MS, self._refuse_excess)
        if self._input.gate.paused:
            self._frontend.reading_paused(self)

    def _refuse_excess(self) -> None:
        """Fails the request that is being served and refuses those that wait, as the client has sent too many.

        The connection stays open: the rest of the input is read and served next.
        """
        if not self.takes_requests and self.has_unanswered_input and self.transport is not None:
            self._frontend.log(
                "requests_refused", client=self.client_address, queued=len(self._pipeline), why="excess requests"
            )
            refused = responses.refused_response(TooManyPipelinedRequestsError()) * len(self._pipeline)
            self._pipeline.count_rejected(self._frontend.core)
            self._pipeline.clear()
            if self.open_request is not None:
                self._frontend.core.fail(self.open_request)
            if not self.closing:
                self.transport.write(refused)
        self._serve_next()

    def _can_read_elsewhere(self) -> bool:
        """Returns whether another process can read the rest of a request that is partly read."""
        return bool(self._input.partial_request) and not self._sent_continue

    @property
    def _has_adopted_bytes(self) -> bool:
        """Returns whether another process has read a part of a request that this process has not parsed yet."""
        return self._adopted_state is not None and bool(self._adopted_state.partial_request)

    def _queue_adopted_requests(self, state: ClientState) -> None:
        """Queues the requests that another process has read."""
        for request in state.queued:
            request.connection = self
            request.hold_memory(self._frontend.memory)
            self._pipeline.add(request)

    def _read_adopted_bytes(self, state: ClientState) -> None:
        """Parses the bytes that another process has read; the time-out of a request runs from its first byte."""
        self._adopted_state = None
        if self.closing:
            return
        if state.partial_request:
            began_at = self._frontend.deadlines.clock() - state.reading_ms
            self._input.gate.unread_since = began_at
            self.data_received(state.partial_request)
            self._reading_since = began_at
        if self._reader.reading:
            self._start_waiting()
        self._serve_next()

    def _start_waiting(self) -> None:
        """Starts the time-out for the next request; that for the first request runs from the connect."""
        if not self.has_sent_request:
            timeout_ms = READ_TIMEOUT_MS - self.age_ms
        elif self._reader.reading:
            timeout_ms = READ_TIMEOUT_MS - (self._frontend.deadlines.clock() - self._reading_since)
        else:
            timeout_ms = IDLE_TIMEOUT_MS
        self._timeout.start(max(0.0, timeout_ms), self._on_timeout)

    def _set_close_reason(self, reason: CloseReason) -> None:
        if self._close_reason is None:
            self._close_reason = reason
            self._state_at_close = self._state

    def _apply_event(self, event: ConnectionEvent) -> None:
        self._state = next_state(self._state, event)

    def _await_next_request(self) -> None:
        """Updates rank and time-out after a response; the next request, if one waits, is served in its turn."""
        self._frontend.connection_idle(self)
        if not self._reader.reading:
            self._timeout.start(IDLE_TIMEOUT_MS, self._on_timeout)
        if self._frontend.transferring:
            self.hold_for_transfer()
        if self.has_waiting_input:
            self._frontend.turn_queue.add(self._input, self.parse_more)

    def _serve_next(self) -> None:
        held = self._input.gate.paused_for(PauseReason.HANDOVER)
        while self._pipeline and self._state is ConnectionState.IDLE and not held:
            self._apply_event(ConnectionEvent.REQUEST_STARTED)
            self._frontend.rank_for_eviction(self, EvictionRank.BUSY)
            if not self._reader.reading:
                self._timeout.cancel()
            try:
                self._frontend.serve(self, self._pipeline.next())
            except BadRequestError as error:
                self._reject(error)
        self._adjust_input()

    def _reject(self, error: BadRequestError) -> None:
        """Answers an invalid request with its error and ends the connection.

        The complete requests that precede the invalid request are answered first: the request that is being served
        fails, because it may have run, and the pipelined requests are rejected.
        """
        if self.closing or self.transport is None:
            return
        self._frontend.log(
            "bad_request",
            status=error.status,
            text=error.text,
            client=self.client_address,
            reading=self._reader.phase.value,
            held=self._input.held_bytes,
            queued=len(self._pipeline),
        )
        unserved = responses.unserved_response() * len(self._pipeline)
        self._pipeline.count_rejected(self._frontend.core)
        self._pipeline.clear()
        if self.open_request is not None:
            self._frontend.core.fail(self.open_request)  # calls answer(), which may end the connection
            if self.closing:
                return
        self.transport.write(unserved + responses.rejection_response(error))
        self._linger(self.transport, CloseReason.REJECTED)

    def _close(self, transport: asyncio.Transport, reason: CloseReason) -> None:
        """Closes the connection after the transport has sent its buffered bytes."""
        self._set_close_reason(reason)
        self._apply_event(ConnectionEvent.CLOSED)
        transport.close()

    def _linger(self, transport: asyncio.Transport, reason: CloseReason) -> None:
        """Ends sending but keeps reading for ``LINGER_MS``, so that the last response reaches the client."""
        self._set_close_reason(reason)
        self._apply_event(ConnectionEvent.LAST_RESPONSE_WRITTEN)
        self._excess_timeout.cancel()
        self._input.stop_parsing()
        if not transport.is_closing():
            transport.write_eof()
        self._frontend.rank_for_eviction(self, EvictionRank.REJECTED)
        self._timeout.start(LINGER_MS, lambda: self.abort(reason))

    def _on_timeout(self) -> None:
        """Rejects a request that is incomplete when its time is over; closes a connection without input.

        The time of the client does not run while its input waits because of its earlier requests.
        """
        if self._reader.reading and self.takes_requests:
            self._reject(IncompleteRequestError())
        elif self.has_unanswered_input:  # bytes have just arrived and are read in this turn of the loop
            self._timeout.start(READ_TIMEOUT_MS, self._on_timeout)
        else:
            self.abort(CloseReason.IDLE)

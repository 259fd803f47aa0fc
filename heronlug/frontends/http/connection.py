"""Implements one client connection: serves requests one at a time and queues pipelined requests."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import cast

from heronlug.frontends.http import responses
from heronlug.frontends.http.client_input import ClientInput
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.connection_owner import ConnectionOwner
from heronlug.frontends.http.connection_state import ConnectionEvent, ConnectionState
from heronlug.frontends.http.ending_connection import UNREAD_TIMEOUT_MS
from heronlug.frontends.http.errors import (
    BadRequestError,
    BodyMemoryExhaustedError,
    IncompleteRequestError,
    TooManyPipelinedRequestsError,
)
from heronlug.frontends.http.eviction import EvictionRank
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.transferable_connection import TransferableConnection
from heronlug.memory.account import Reservation
from heronlug.memory.holders import Holder
from heronlug.net.connection_state import has_unread_input, peer_has_closed
from heronlug.net.http import format_address
from heronlug.net.read_gate import PauseReason

READ_TIMEOUT_MS = 2_500.0
"""Time for a request to be complete, from the connect for the first request, from its first byte for a later one."""

IDLE_TIMEOUT_MS = 120_000.0
"""Time after which a connection that is idle between two requests is closed."""

CONNECTION_BYTES = 12 * 1024
"""Memory of a connection without what its client has sent, in bytes."""

LARGE_READ_BYTES = 4 * 1024
"""Number of bytes read at once above which they are parsed in the turn of the connection, after small requests."""

MAX_UNREAD_BYTES = 16 * 1024
"""Size of the answers that the client has not read from which on no further request is served, in bytes."""

MAX_UNREAD_MS = 25.0
"""Time for which input may wait unread before no further attempt begins for its client, in ms.

Together with the time until the input is found unread, it has to stay below the 100 ms that the platform allows.
"""

EXCESS_TIMEOUT_MS = 2_500.0
"""Time for which a client may have more requests sent than may wait, before those that wait are refused."""


class ClientConnection(TransferableConnection):
    """A connection from a client.

    Attributes:
        handle: Handle of the connection in the frontend's connection table.
        rank: Rank in the eviction order; None if the connection is not in the order.
        ranked_at: Time at which the connection got its rank, in ms.
    """

    def __init__(
        self, frontend: ConnectionOwner, on_connected: "Callable[[ClientConnection], None] | None" = None
    ) -> None:
        """Creates an unconnected connection; ``on_connected`` is called once the transport is set."""
        super().__init__(frontend)
        self.handle = 0
        self.rank: EvictionRank | None = None
        self.ranked_at = 0.0
        self._on_connected = on_connected
        self._input_waits = False  # because of the client's earlier requests, or the answers to them
        self._input = ClientInput(self, frontend)
        self._reader = self._input.reader
        self.gate = self._input.gate
        self._memory = Reservation(frontend.memory, Holder.CLIENT_CONNECTIONS)
        self._answers = Reservation(frontend.memory, Holder.CLIENT_ANSWERS)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the time-out and registers the connection with the frontend."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport has the methods but is not a subclass
        self._input.open(self.transport)
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
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

    def pause_writing(self) -> None:
        """Serves no further request until the client has read its answers, which it has to do in time."""
        self.gate.pause(PauseReason.UNREAD_ANSWERS)
        self._hold_unread()
        self._unread_timeout.start(UNREAD_TIMEOUT_MS, lambda: self.abort(CloseReason.UNREAD_ANSWERS))
        if not self.closing:
            self._update_input_waits()
            self._watch_for_close()
            if not self.serving:
                self._set_idle()

    def resume_writing(self) -> None:
        """Serves what has waited for the client to read its answers."""
        self._unread_timeout.cancel()
        self._answers.release()
        self.gate.resume(PauseReason.UNREAD_ANSWERS)
        if not self.closing:
            self._update_input_waits()
            if not self.serving:
                self._set_idle()
            self._frontend.turn_queue.add(self._input, self.parse_more)

    def data_received(self, data: bytes) -> None:
        """Parses bytes from the client; requests are served once what may be parsed in this turn has been parsed."""
        if self.closing:
            self._discard(len(data))
        elif len(data) > LARGE_READ_BYTES:
            self._handle_input(partial(self._input.receive_later, data))
        else:
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
        self._unread_timeout.cancel()
        self._answers.release()
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
        adopted_since, self._adopted_reading_since = self._adopted_reading_since, None
        self._reading_since = self._frontend.deadlines.clock() if adopted_since is None else adopted_since
        self._sent_continue = False
        if self.has_sent_request:  # the read time-out of the first request started at the connect
            self._start_waiting()

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
    def is_serving(self) -> bool:
        """Returns whether a request is being served or waits."""
        return self.serving or bool(self._pipeline)

    @property
    def has_backlog(self) -> bool:
        """Returns whether several requests, or large parts of requests, wait behind the one that is being served."""
        waiting_bytes = self._pipeline.body_bytes + self._input.held_bytes
        return len(self._pipeline) > 1 or waiting_bytes > LARGE_READ_BYTES

    @property
    def takes_requests(self) -> bool:
        """Returns whether another request may be parsed now."""
        open_here = self._state in (ConnectionState.IDLE, ConnectionState.SERVING)
        return open_here and self._pipeline.has_room and not self._serves_later

    @property
    def is_reading_paused(self) -> bool:
        """Returns whether the connection is not read, so that its end would not be noticed."""
        return self.gate.paused and not self.closing

    @property
    def has_unread_answers(self) -> bool:
        """Returns whether the client has left so many answers unread that it is not served."""
        return self.gate.paused_for(PauseReason.UNREAD_ANSWERS)

    @property
    def is_reading_request(self) -> bool:
        """Returns whether a part of a request has been read."""
        return self._reader.reading

    @property
    def unfinished_bytes(self) -> int:
        """Returns the memory of what the client has sent besides whole requests, and has not read, in bytes."""
        return self._input.held_bytes + self._answers.size if not self.closing else self._answers.size

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
        owes_nothing = self.rank in (EvictionRank.REJECTED, EvictionRank.UNFINISHED)
        return owes_nothing or not self.has_unanswered_input

    @property
    def client_connected(self) -> bool:
        """Returns whether the client has not closed its side of the connection."""
        return self.transport is None or not peer_has_closed(self.transport)

    @property
    def may_hide_disconnect(self) -> bool:
        """Returns whether a FIN of the client may be queued behind input that has waited unread.

        While the receive window is closed, the client's kernel sends neither.
        """
        unread_since = self.gate.unread_since
        if unread_since is None or self.transport is None or self.closing:
            return False
        waited_ms = self._frontend.deadlines.clock() - unread_since
        return waited_ms >= MAX_UNREAD_MS and has_unread_input(self.transport)

    # -- serving

    def answer(self, data: bytes, keep_alive: bool = True) -> None:
        """Writes the response to the current request and, without ``keep_alive``, ends the connection."""
        self.open_request = None
        self._apply_event(ConnectionEvent.ANSWERED)
        if self.transport is None or self.closing:
            return
        self.transport.write(data)
        if self.has_unread_answers:
            self._hold_unread()
        if keep_alive:
            self._await_next_request()
        elif has_unread_input(self.transport):  # closing now would send a reset, which can discard the response
            self._linger(self.transport, CloseReason.ANSWERED)
        else:
            self._close(self.transport, CloseReason.ANSWERED)

    def reject_for_memory(self) -> None:
        """Rejects the unfinished request, or drops the answers that the client does not read, as memory is short."""
        if self._answers.size:
            self._answers.release()
            self.abort(CloseReason.UNREAD_ANSWERS)
            return
        self._reject(BodyMemoryExhaustedError())

    def evict(self, reason: CloseReason) -> None:
        """Ends the connection because its room is needed; a client that has sent a part of a request gets an error."""
        if self.closing or not self._reader.reading or self.transport is None:
            self.abort(reason)
            return
        self._set_close_reason(reason)
        self._reject(IncompleteRequestError())
        if not has_unread_input(self.transport):
            self._count_aborted()
            self._close(self.transport, reason)

    def close_if_idle(self, reason: CloseReason) -> None:
        """Closes the connection if it is idle and has no unanswered input."""
        if self._state is ConnectionState.IDLE and not self.has_unanswered_input and self.transport is not None:
            self._close(self.transport, reason)

    # -- internals

    @property
    def _serves_later(self) -> bool:
        """Returns whether no request is served now: for another process, or because the client does not read."""
        gate = self.gate
        return gate.paused_for(PauseReason.HANDOVER) or gate.paused_for(PauseReason.UNREAD_ANSWERS)

    def _hold_unread(self) -> None:
        """Counts the answers that the system has not taken, as the client does not read them."""
        if self.transport is not None:
            self._answers.hold(self.transport.get_write_buffer_size())

    def _set_rank(self, rank: EvictionRank) -> None:
        self._frontend.rank_for_eviction(self, rank)

    def _set_idle(self) -> None:
        self._frontend.connection_idle(self)

    def _count_aborted(self) -> None:
        self._frontend.connection_aborted(self)

    def _watch_for_close(self) -> None:
        self._frontend.reading_paused(self)

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
                self._set_idle()
            if continues and not self._pipeline and not self.gate.paused:
                return
            self._serve_next()
        self._frontend.run_due()

    def _adjust_input(self) -> None:
        """Reads and parses as fast as requests are served, and bounds the time for which a client sends too many."""
        if self.closing:
            return
        self._input.adjust()
        self._update_input_waits()
        if self._pipeline.has_room and not self._input.has_unparsed:
            self._excess_timeout.cancel()
        elif not self._excess_timeout.pending:
            self._excess_timeout.start(EXCESS_TIMEOUT_MS, self._refuse_excess)
        if self.gate.paused:
            self._watch_for_close()

    def _update_input_waits(self) -> None:
        """Gives a client the whole read time-out for the rest of a request that had to wait."""
        waited, self._input_waits = self._input_waits, not self.takes_requests
        if self._input_waits:
            self._adopted_reading_since = None
        if waited and not self._input_waits and self._reader.reading:
            self._reading_since = self._frontend.deadlines.clock()
            self._timeout.start(READ_TIMEOUT_MS, self._on_timeout)

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

    def _queue_adopted_requests(self, state: ClientState) -> None:
        """Queues the requests that another process has read."""
        for request in state.queued:
            request.connection = self
            request.hold_memory(self._frontend.memory)
            self._pipeline.add(request)

    def _start_waiting(self) -> None:
        """Starts the time-out for the next request; that for the first request runs from the connect."""
        if not self.has_sent_request:
            timeout_ms = READ_TIMEOUT_MS - self.age_ms
        elif self._reader.reading:
            timeout_ms = READ_TIMEOUT_MS - (self._frontend.deadlines.clock() - self._reading_since)
        else:
            timeout_ms = IDLE_TIMEOUT_MS
        self._timeout.start(max(0.0, timeout_ms), self._on_timeout)

    def _await_next_request(self) -> None:
        """Updates rank and time-out after a response; the next request, if one waits, is served in its turn."""
        self._set_idle()
        if not self._reader.reading:
            self._timeout.start(IDLE_TIMEOUT_MS, self._on_timeout)
        if self._frontend.transferring:
            self.hold_for_transfer()
        if self.has_waiting_input:
            self._frontend.turn_queue.add(self._input, self.parse_more)

    def _serve_next(self) -> None:
        while self._pipeline and self._state is ConnectionState.IDLE and not self._serves_later:
            self._apply_event(ConnectionEvent.REQUEST_STARTED)
            self._set_rank(EvictionRank.BUSY)
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

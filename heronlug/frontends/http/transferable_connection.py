"""Implements how a client connection passes from one process of the dispatcher to another."""

from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.connection_owner import ConnectionOwner
from heronlug.frontends.http.connection_state import ConnectionEvent, ConnectionState
from heronlug.frontends.http.ending_connection import EndingConnection
from heronlug.frontends.http.eviction import EvictionRank
from heronlug.net.read_gate import PauseReason
from heronlug.requests.model import Request


class TransferableConnection(EndingConnection):
    """The part of a client connection that hands it over to another process, and continues it there.

    Attributes:
        requests_accepted: Number of requests passed to the core; after a hot restart at least 1 if the previous process
            accepted any.
        has_sent_request: Whether the client has sent a complete request, including health checks.
        opened_at: Time at which the connection was opened, in ms.
    """

    def __init__(self, frontend: ConnectionOwner) -> None:
        """Creates an unconnected connection."""
        super().__init__(frontend)
        self.requests_accepted = 0
        self.has_sent_request = False
        self.opened_at = frontend.deadlines.clock()
        self._adopted_state: ClientState | None = None  # until the transport is set
        self._reading_since = 0.0
        self._adopted_reading_since: float | None = None  # until the bytes that another process has read are parsed
        self._sent_continue = False

    @property
    def age_ms(self) -> float:
        """Returns the time since the connection was opened, in ms."""
        return self._frontend.deadlines.clock() - self.opened_at

    @property
    def has_waiting_input(self) -> bool:
        """Returns whether requests or bytes of requests have been read that are not served yet."""
        return bool(self._pipeline) or self._input.has_unparsed

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
        has_more_input = self.has_waiting_input or self._input.reader.reading
        if (has_more_input or not self.has_sent_request) and not unfinished:
            return False
        if self._input.reader.reading and not self._can_read_elsewhere():
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
        self.gate.pause(PauseReason.HANDOVER)
        self._apply_event(ConnectionEvent.OFFERED)
        self._timeout.cancel()
        self._excess_timeout.cancel()
        self._set_rank(EvictionRank.BUSY)
        return int(self.transport.get_extra_info("socket").fileno())

    def client_state(self) -> ClientState:
        """Returns the state with which another process continues the connection."""
        now = self._frontend.deadlines.clock()
        reading_ms = 0.0
        if self._input.reader.reading:
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
            self.gate.pause(PauseReason.HANDOVER)
            self._adjust_input()

    def end_hold(self) -> None:
        """Reads again, and serves what has come meanwhile, because no other process continues the connection."""
        if self._state is ConnectionState.IDLE and self.gate.paused_for(PauseReason.HANDOVER):
            self._read_again()

    def reclaim(self) -> None:
        """Reads again after another process has not taken over the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        was_offered = self._state is ConnectionState.OFFERED
        if was_offered:
            self._apply_event(ConnectionEvent.RECLAIMED)
            self._set_idle()
            self._start_waiting()
        if was_offered and self._frontend.transferring:
            self._adjust_input()
        else:
            self._read_again()

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
        self._set_rank(EvictionRank.BUSY)

    # -- hooks

    def parse_more(self) -> None:
        """Parses further bytes that have been read before, and serves what waits."""
        raise NotImplementedError

    def _watch_for_close(self) -> None:
        """Watches for the client's end while the connection is not read."""
        raise NotImplementedError

    def _set_idle(self) -> None:
        """Sets the eviction rank of a connection on which no request is being served."""
        raise NotImplementedError

    def _start_waiting(self) -> None:
        """Starts the time-out for the next request."""
        raise NotImplementedError

    def _adjust_input(self) -> None:
        """Reads and parses as fast as requests are served."""
        raise NotImplementedError

    def _serve_next(self) -> None:
        """Serves the next request that waits."""
        raise NotImplementedError

    # -- internals

    def _read_again(self) -> None:
        """Reads again, and serves the requests that have waited meanwhile."""
        self.gate.resume(PauseReason.HANDOVER)
        self._adjust_input()
        self._frontend.turn_queue.add(self._input, self.parse_more)

    def _can_read_elsewhere(self) -> bool:
        """Returns whether another process can read the rest of a request that is partly read."""
        return self._input.reader.knows_partial_request and not self._sent_continue

    @property
    def _has_adopted_bytes(self) -> bool:
        """Returns whether another process has read a part of a request that this process has not parsed yet."""
        return self._adopted_state is not None and bool(self._adopted_state.partial_request)

    def _read_adopted_bytes(self, state: ClientState) -> None:
        """Reads the bytes that another process has read; the time-out of a request runs from its first byte."""
        self._adopted_state = None
        if self.closing:
            return
        if state.partial_request:
            began_at = self._frontend.deadlines.clock() - state.reading_ms
            self.gate.unread_since = began_at
            self._adopted_reading_since = began_at
            self.data_received(state.partial_request)
        self._serve_next()

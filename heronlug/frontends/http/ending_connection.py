"""Implements the state of a client connection, its end, and what the log says about it."""

import asyncio

from heronlug.frontends.http.client_input import ClientInput
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.connection_owner import ConnectionOwner
from heronlug.frontends.http.connection_state import ConnectionEvent, ConnectionState, next_state
from heronlug.frontends.http.eviction import EvictionRank
from heronlug.frontends.http.pipeline import RequestPipeline
from heronlug.frontends.timeout import Timeout
from heronlug.net.paced_protocol import PacedProtocol
from heronlug.requests.model import Request

UNREAD_TIMEOUT_MS = 30_000.0
"""Time for a client to read enough of its answers, after which the connection is closed, in ms."""

LINGER_MS = 500.0
"""Time for a client to read the last response.

Closing a socket with unread input sends a reset, which can discard the response before the client reads it.
"""

MAX_DISCARDED_BYTES = 256 * 1024
"""Maximum input, in bytes, that is read and discarded while a connection lingers; more aborts the connection."""


class EndingConnection(PacedProtocol):
    """The part of a client connection that ends it.

    Attributes:
        transport: Transport of the connection; None until the connection is established.
        client_address: Address of the client, which identifies the connection in the logs of all processes.
        open_request: Request that the core is serving; None if there is none.
    """

    _input: ClientInput

    def __init__(self, frontend: ConnectionOwner) -> None:
        """Creates an unconnected connection."""
        self.transport: asyncio.Transport | None = None
        self.client_address = ""
        self.open_request: Request | None = None
        self._frontend = frontend
        self._state = ConnectionState.IDLE
        self._pipeline = RequestPipeline()
        self._timeout = Timeout(frontend.deadlines)
        self._excess_timeout = Timeout(frontend.deadlines)
        self._unread_timeout = Timeout(frontend.deadlines)
        self._released_request_id = ""
        self._discarded = 0
        self._close_reason: CloseReason | None = None  # None until this process ends the connection
        self._state_at_close = ConnectionState.IDLE

    @property
    def closing(self) -> bool:
        """Returns whether the connection has stopped serving requests."""
        return self._state in (ConnectionState.LINGERING, ConnectionState.CLOSED)

    def abort(self, reason: CloseReason) -> None:
        """Ends the connection immediately, without sending buffered bytes."""
        self._set_close_reason(reason)
        self._apply_event(ConnectionEvent.CLOSED)
        self._count_aborted()
        if self.transport is not None:
            self.transport.abort()

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
            reading=self._input.reader.phase.value,
        )

    # -- hooks

    def _set_rank(self, rank: EvictionRank) -> None:
        """Sets the eviction rank of the connection."""
        raise NotImplementedError

    def _count_aborted(self) -> None:
        """Tells the frontend that the connection is about to be closed."""
        raise NotImplementedError

    # -- internals

    def _discard(self, size: int) -> None:
        """Counts input that comes after the last response; too much of it ends the connection at once."""
        self._discarded += size
        if self._discarded > MAX_DISCARDED_BYTES:
            self.abort(CloseReason.EXCESS_INPUT)

    def _set_close_reason(self, reason: CloseReason) -> None:
        if self._close_reason is None:
            self._close_reason = reason
            self._state_at_close = self._state

    def _apply_event(self, event: ConnectionEvent) -> None:
        self._state = next_state(self._state, event)

    def _close(self, transport: asyncio.Transport, reason: CloseReason) -> None:
        """Closes the connection after the transport has sent its buffered bytes."""
        self._set_close_reason(reason)
        self._apply_event(ConnectionEvent.CLOSED)
        transport.close()
        if transport.get_write_buffer_size():
            self._unread_timeout.start(UNREAD_TIMEOUT_MS, transport.abort)

    def _linger(self, transport: asyncio.Transport, reason: CloseReason) -> None:
        """Ends sending but keeps reading for ``LINGER_MS``, so that the last response reaches the client."""
        self._set_close_reason(reason)
        self._apply_event(ConnectionEvent.LAST_RESPONSE_WRITTEN)
        self._excess_timeout.cancel()
        self._input.stop_parsing()
        if not transport.is_closing():
            transport.write_eof()
        self._set_rank(EvictionRank.REJECTED)
        self._timeout.start(LINGER_MS, lambda: self.abort(reason))

"""Implements a reusable connection to a server, which carries one request at a time."""

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from functools import partial
from typing import NamedTuple, Protocol, cast

import httptools

from heronlug.backends.close_reason import CloseReason
from heronlug.backends.response import AttemptResult, ResponseReader, ResponseTooLargeError
from heronlug.balancer.events import Outcome, ProgressKind
from heronlug.frontends.http.request import forwarded_headers
from heronlug.memory.account import MemoryAccount, MemoryShortError, Reservation
from heronlug.memory.holders import Holder
from heronlug.net import http
from heronlug.net.connection_state import has_unread_input, shutdown_sending
from heronlug.net.paced_protocol import RECEIVE_BUFFER, PacedProtocol
from heronlug.net.read_gate import PauseReason, ReadGate
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Attempt, Server

LAST_BYTE_DELAY_MS = 10.0
"""Time for which the last byte of a non-idempotent request is withheld.

If the connection breaks within this time, because the server has dropped a reused connection or closes a new
connection, the request cannot have run and may be sent to another server.
"""

LAST_CHUNK_TIMEOUT_MS = 1000.0
"""Time for the end of the response after its last line."""

MAX_READ_BYTES = 8 * 1024
"""Maximum number of bytes that are read from a server in one iteration of the event loop."""

REPETITION_WINDOW_MS = 100.0
"""Time within which a server may repeat its last response."""


class ConnectionState(Enum):
    """State of a server connection."""

    CONNECTING = auto()
    """The dial is in progress, or the request has not been written yet."""

    IDLE = auto()
    """The connection is available for the next request."""

    ACTIVE = auto()
    """A request has been written, and its response is not complete."""

    CLOSED = auto()
    """The connection is closed or its dial has been cancelled."""


class PausedConnection(NamedTuple):
    """State with which another process continues to read a response.

    Attributes:
        fd: Descriptor of the socket.
        answered: Whether the server has begun to respond.
        last: Whether the connection closes after the response.
    """

    fd: int
    answered: bool
    last: bool


class ConnectionOwner(Protocol):
    """The part of the connection pool that its connections use.

    Attributes:
        core: Core that owns the requests and receives the outcomes of attempts.
        deadlines: Scheduler for timers.
        log: Event log.
        flush: Called after each I/O event has been handled.
        memory: Account of the memory that servers make the process hold.
    """

    core: Core
    deadlines: Deadlines
    log: EventLog
    memory: MemoryAccount
    flush: Callable[[], None]

    def on_connected(self, connection: "ServerConnection") -> None:
        """Handles an established connection."""

    def release(self, connection: "ServerConnection") -> None:
        """Returns a free connection to the pool."""

    def remove(self, connection: "ServerConnection", reason: CloseReason) -> None:
        """Removes a closed connection, whose descriptor is not free yet, from the pool and counts the reason."""

    def descriptor_freed(self, connection: "ServerConnection") -> None:
        """Handles the end of a connection that was removed."""

    def suspend_reuse(self) -> None:
        """Suspends reuse after a reused connection broke before the server responded to the request."""


class ServerConnection(PacedProtocol):
    """A connection to a server.

    Attributes:
        server: Server of the connection.
        address: Host and port of the server when the connection was dialled.
        handle: Handle of the connection in the pool.
        state: State of the connection.
        attempt: Attempt that uses the connection; None if there is none.
        transport: Transport of the connection; None until the connection is established.
        dial_task: Task that dials the connection; None for a connection from another process.
        timer: Pending deadline of the dial, the withheld byte, the idle time or the last chunk.
        request_id: Id of the request that was written last; empty before the first request.
        reused: Whether the connection has carried an earlier request.
        ambiguous_until: Time until which a repetition of the last response could be mistaken for the response to the
            next request, in ms; 0 if the last response names its request.
    """

    receive_buffer = RECEIVE_BUFFER[:MAX_READ_BYTES]

    def __init__(self, pool: ConnectionOwner, server: Server, address: str) -> None:
        self.server = server
        self.address = address
        self.handle = 0
        self.state = ConnectionState.CONNECTING
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.timer: Key | None = None
        self.request_id = ""
        self.reused = False
        self.ambiguous_until = 0.0
        self._pool = pool
        self.gate = ReadGate(pool.deadlines.clock)
        self._memory = Reservation(pool.memory, Holder.SERVER_RESPONSES)
        self._response: ResponseReader | None = None
        self._has_unwritten_bytes = False  # the transport's buffer holds unsent bytes
        self._withheld_byte = b""  # last byte of a non-idempotent request until it is sent

    @property
    def is_closed(self) -> bool:
        """Returns whether the connection is closed."""
        return self.state is ConnectionState.CLOSED

    @property
    def has_no_input(self) -> bool:
        """Returns whether the connection is established and has neither unread bytes nor an unread end of stream."""
        return self.transport is not None and not has_unread_input(self.transport)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notifies the pool, unless the connection was taken over with its request already written."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport has the methods but is not a subclass
        self.gate.open(self.transport)
        self.transport.set_write_buffer_limits(high=0)  # pause_writing() then reports every unwritten byte
        if self.is_closed:
            self.transport.abort()
        elif self.state is ConnectionState.CONNECTING:
            self._pool.on_connected(self)
            self._pool.flush()

    def pause_writing(self) -> None:
        """Records that the transport's buffer holds unsent bytes."""
        self._has_unwritten_bytes = True

    def resume_writing(self) -> None:
        """Records that the transport's buffer is empty."""
        self._has_unwritten_bytes = False

    def data_received(self, data: bytes) -> None:
        """Parses bytes of the response; bytes without a request close the connection."""
        if self.is_closed:
            return
        if self._response is None:
            self.close(CloseReason.PROTOCOL_ERROR)  # the server sends data although there is no request
            return
        try:
            self._response.feed(data)
            self._hold_memory(self._response.held_bytes)
            self._end_attempt_if_decided()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ResponseTooLargeError) as error:
            self._end_attempt(Outcome.ERROR)
            self._log_protocol_error(str(error.__context__ or error))
            self.close(CloseReason.PROTOCOL_ERROR)
        except MemoryShortError as error:
            self._end_attempt(Outcome.ERROR)
            self._log_protocol_error(str(error))
            self.close(CloseReason.MEMORY_SHORT)
        except Exception as error:  # an unexpected error ends this connection, not the process
            self._pool.log("exception", where="south", error=repr(error))
            self._end_attempt(Outcome.ERROR)
            self.close(CloseReason.EXCEPTION)
        self._pool.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the attempt, which cannot have run if a byte of its request was not sent."""
        response = self._response
        is_active = self.state is ConnectionState.ACTIVE
        if response is not None and is_active and self.attempt is not None and exc is None:
            response.finish()
            self._end_attempt_if_decided()
        if self.reused and self.attempt is not None and response is not None and not response.begun:
            self._pool.suspend_reuse()
        never_ran = self._has_unwritten_bytes or not is_active
        self._end_attempt(Outcome.CONNECT_FAILED if never_ran else Outcome.RESET)
        self.close(CloseReason.SERVER_CLOSED)
        self._drop_response()
        self.gate.close()
        self._pool.descriptor_freed(self)
        self._pool.flush()

    # -- Calls by the pool

    def write(self, attempt: Attempt) -> None:
        """Sends the request of an attempt; the last byte of a non-idempotent request is sent later.

        Raises:
            ConnectionError: The connection is not established.
        """
        transport = self._connected_transport()
        request = attempt.request.payload
        remaining = attempt.request.give_up_at - self._pool.deadlines.clock()
        if attempt.request.policy.attempt_timeout:
            remaining = min(remaining, attempt.request.policy.attempt_timeout)
        headers = forwarded_headers(request, remaining)
        data = http.request(request.method, request.target, self.address, headers, request.body)
        self._begin(attempt, request.request_id)
        self._has_unwritten_bytes = False
        self._withheld_byte = b""
        if self._pool.core.is_non_idempotent(attempt):
            self._withhold(data[-1:])
            data = data[:-1]
        transport.write(data)
        if not self._withheld_byte:
            self._report_written(attempt)

    def release(self) -> None:
        """Marks the connection as idle, so that the pool can reuse it."""
        self._drop_response()
        self.reused = self.reused or self.state is ConnectionState.ACTIVE
        self.state = ConnectionState.IDLE

    def cancel(self) -> None:
        """Closes the connection without reporting an outcome.

        Sending is shut down immediately, so that the server sees the end before a retry can run concurrently.
        """
        self.attempt = None
        if self.state is ConnectionState.ACTIVE and self.transport is not None:
            shutdown_sending(self.transport)
        self.close(CloseReason.CANCELLED)

    def close(self, reason: CloseReason) -> None:
        """Closes the connection without reporting an outcome; repeated calls have no effect."""
        if self.is_closed:
            return
        self._log_end(reason)
        self.state = ConnectionState.CLOSED
        self._pool.deadlines.cancel(self.timer)
        self._pool.remove(self, reason)
        if self.transport is not None:
            self.transport.abort()
        elif self.dial_task is not None:
            self.dial_task.cancel()

    # -- Handover to another process

    @property
    def is_unsent(self) -> bool:
        """Returns whether nothing of the request has been written, because the dial is in progress."""
        return self.state is ConnectionState.CONNECTING

    @property
    def is_incomplete(self) -> bool:
        """Returns whether a byte of the request has not been given to the system, so that it cannot have run."""
        return self.is_unsent or bool(self._withheld_byte) or self._has_unwritten_bytes

    def can_hand_over(self) -> bool:
        """Returns whether another process can continue to read the response.

        The request must be sent completely, and the bytes that have been read must end with a complete line.
        """
        transport = self.transport
        response = self._response
        if self.state is not ConnectionState.ACTIVE or transport is None or response is None:
            return False
        if transport.is_closing() or self._withheld_byte or transport.get_write_buffer_size():
            return False
        return response.attempt_result is None and response.at_line_boundary

    def pause_for_handover(self) -> PausedConnection:
        """Stops reading and returns the state with which another process continues to read.

        Raises:
            ConnectionError: The connection is not established.
            RuntimeError: No request has been written.
        """
        transport = self._connected_transport()
        self.gate.pause(PauseReason.HANDOVER)
        fd = int(transport.get_extra_info("socket").fileno())
        response = self._response
        if response is None:
            msg = f"connection to {self.address} expects no response: check can_hand_over() first"
            raise RuntimeError(msg)
        return PausedConnection(fd, response.begun, response.closes_connection)

    def reclaim(self) -> None:
        """Reads again after another process has not taken over the connection."""
        self.gate.resume(PauseReason.HANDOVER)

    def detach(self) -> None:
        """Closes the descriptor after the handover without reporting an outcome."""
        self.attempt = None
        self.close(CloseReason.HANDED_OVER)

    def resume(self, attempt: Attempt, answered: bool, last: bool) -> None:
        """Continues to read a chunked response; ``answered`` and ``last`` are as in :class:`PausedConnection`."""
        response = self._begin(attempt, attempt.request.payload.request_id)
        if answered:
            response.skip_head(last)

    # -- Internals

    def _begin(self, attempt: Attempt, request_id: str) -> ResponseReader:
        previous_request_id = self.request_id
        self.request_id = request_id
        self.attempt = attempt
        self.state = ConnectionState.ACTIVE
        self._response = ResponseReader(
            request_id, previous_request_id, partial(self._report_progress, attempt), self._log_protocol_error
        )
        return self._response

    def _drop_response(self) -> None:
        response, self._response = self._response, None
        self._memory.release()
        if response is not None:
            response.close()

    def _hold_memory(self, size: int) -> None:
        """Reserves what the response holds; small amounts belong to the connection.

        Raises:
            MemoryShortError: The limit of the process would be exceeded.
        """
        if size > self._memory.size and size > MAX_READ_BYTES:
            self._memory.grow(size - self._memory.size)
        elif size < self._memory.size:
            self._memory.hold(size)

    def _withhold(self, last_byte: bytes) -> None:
        self._withheld_byte = last_byte
        if self._response is not None:
            self._response.request_withheld = True
        self.timer = self._pool.deadlines.call_after(LAST_BYTE_DELAY_MS, self._write_withheld)

    def _write_withheld(self) -> None:
        """Sends the last byte if the connection has not broken; from then on the request may have run."""
        attempt = self.attempt
        if self.is_closed or attempt is None or self.transport is None or self._response is None:
            return
        if not self.has_no_input or not self._pool.core.may_write(attempt):
            self._end_attempt(Outcome.CONNECT_FAILED)
            self.close(CloseReason.WRITE_FORBIDDEN)
            return
        last_byte = self._withheld_byte
        self._withheld_byte = b""
        self._response.request_withheld = False
        self.transport.write(last_byte)
        self._report_written(attempt)

    def _report_written(self, attempt: Attempt) -> None:
        """Reports the attempt as written once its last byte is sent.

        The event loop sends buffered bytes at the end of a turn or later, so the check is repeated until the buffer is
        empty.
        """
        if self.transport is None or self.is_closed:
            return
        if self.transport.get_write_buffer_size() == 0:
            self._pool.core.attempt_written()
        elif not self._has_unwritten_bytes:
            asyncio.get_running_loop().call_soon(self._report_written, attempt)
        elif self.attempt is attempt:
            self._pool.deadlines.call_after(LAST_BYTE_DELAY_MS, self._report_written, attempt)

    def _report_progress(self, attempt: Attempt, kind: ProgressKind, share: float) -> None:
        self._pool.core.attempt_progressed(attempt, kind, share)

    def _log_end(self, reason: CloseReason) -> None:
        self._pool.log(
            "host_closed",
            host=self.server.entry.name,
            address=self.address,
            state=self.state.name.lower(),
            why=reason.value,
            by="host" if reason is CloseReason.SERVER_CLOSED else "dispatcher",
            id=self.request_id,
        )

    def _log_protocol_error(self, error: str) -> None:
        self._pool.log("bad_host", host=self.server.entry.name, error=error)

    def _end_attempt_if_decided(self) -> None:
        """Ends the attempt if the response has decided its outcome.

        The connection is released before the attempt ends, so that the next attempt can reuse the connection.
        """
        response = self._response
        if response is None or response.attempt_result is None or self.is_closed:
            return
        attempt = self.attempt
        self.attempt = None
        attempt_result = response.attempt_result
        if self._withheld_byte and attempt_result.outcome not in (Outcome.FULL, Outcome.REJECTED_BY_SERVER):
            # an incomplete request cannot have run
            attempt_result = response.attempt_result = AttemptResult(Outcome.CONNECT_FAILED)
        now = self._pool.deadlines.clock()
        self.ambiguous_until = now + REPETITION_WINDOW_MS if response.lacks_request_id else 0.0
        if response.complete and response.keep_alive and not self._withheld_byte:
            self._pool.release(self)
        elif response.complete or self._withheld_byte:
            self.close(CloseReason.ANSWERED)
        elif attempt is not None:
            self._pool.deadlines.cancel(self.timer)
            self.timer = self._pool.deadlines.call_after(
                LAST_CHUNK_TIMEOUT_MS, self.close, CloseReason.ANSWER_UNFINISHED
            )
        if attempt is not None:
            attempt.exchange = None
            self._pool.core.attempt_ended(attempt, attempt_result.outcome, attempt_result.result)

    def _end_attempt(self, outcome: Outcome) -> None:
        attempt = self.attempt
        self.attempt = None
        if attempt is not None:
            attempt.exchange = None
            self._pool.core.attempt_ended(attempt, Outcome.CONNECT_FAILED if self._withheld_byte else outcome)

    def _connected_transport(self) -> asyncio.Transport:
        if self.transport is None:
            msg = f"connection to {self.address} is not established: wait for on_connected() first"
            raise ConnectionError(msg)
        return self.transport

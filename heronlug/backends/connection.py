"""One connection to a server: it carries one request at a time and is used again."""

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from functools import partial
from typing import NamedTuple, Protocol, cast

import httptools

from heronlug.backends.response import AttemptResult, ResponseReader
from heronlug.balancer.events import Outcome, ProgressKind
from heronlug.frontends.http.request import forwarded_headers
from heronlug.net import http
from heronlug.net.connection_state import has_unread_input, shutdown_sending
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Attempt, Server

LAST_BYTE_DELAY_MS = 10.0
"""The last byte of a non-idempotent request is withheld for so long.

A connection that breaks until then, as a reused one that the server has forgotten or a new one that it drops, proves
that the request never ran, so that it may be sent to another server.
"""

LAST_CHUNK_TIMEOUT_MS = 1000.0
"""After the last line, for the end of the response."""

REPETITION_WINDOW_MS = 100.0
"""A server may repeat its response so much later."""


class ConnectionState(Enum):
    """What a connection is doing."""

    CONNECTING = auto()
    """The dial is under way, or its request has not been written yet."""

    IDLE = auto()
    """It is kept for the next request."""

    ACTIVE = auto()
    """A request has been written, and its response is not complete."""

    CLOSED = auto()


class PausedConnection(NamedTuple):
    """What another process needs to go on reading.

    Attributes:
        fd: The descriptor of the socket.
        answered: Whether the server has begun to respond.
        last: Whether the connection ends with the response.
    """

    fd: int
    answered: bool
    last: bool


class ConnectionOwner(Protocol):
    """The pool of a connection.

    Attributes:
        core: The owner of requests, which gets the ends of attempts.
        deadlines: Where timers are planned.
        log: Where events are logged.
        flush: Ends the handling of an I/O event.
    """

    core: Core
    deadlines: Deadlines
    log: EventLog
    flush: Callable[[], None]

    def on_connected(self, connection: "ServerConnection") -> None:
        """The connection is established."""

    def release(self, connection: "ServerConnection") -> None:
        """The connection is free."""

    def remove(self, connection: "ServerConnection") -> None:
        """The connection is closed."""

    def suspend_reuse(self) -> None:
        """A reused connection has broken under its request without a response."""


class ServerConnection(asyncio.Protocol):
    """One connection to a server.

    Attributes:
        server: The server.
        address: Its host and port when the connection was dialled.
        handle: The connection's handle in the pool.
        state: What it is doing.
        attempt: The attempt on it.
        transport: Its transport, once it is connected.
        dial_task: The task that connects it.
        timer: The deadline of the dial, of the idle time, or of the last chunk.
        request_id: The id of the request that was written last.
        reused: Whether it has carried a request before.
        ambiguous_until: Until when a repetition of its last response would be taken for the next request's, in ms.
    """

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
        self._response: ResponseReader | None = None
        self._has_unwritten_bytes = False  # bytes wait in the transport's buffer
        self._withheld_byte = b""  # the last byte of the request

    @property
    def is_closed(self) -> bool:
        """Whether it is closed."""
        return self.state is ConnectionState.CLOSED

    @property
    def has_no_input(self) -> bool:
        """Whether it is connected and nothing, not even an end, waits to be read."""
        return self.transport is not None and not has_unread_input(self.transport)

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify the pool, unless the connection came from another process with its request written."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport has its interface, not its type
        self.transport.set_write_buffer_limits(high=0)  # pause_writing() then reports any byte that stays unwritten
        if self.is_closed:
            self.transport.abort()
        elif self.state is ConnectionState.CONNECTING:
            self._pool.on_connected(self)
            self._pool.flush()

    def pause_writing(self) -> None:
        """Bytes wait in the transport's buffer."""
        self._has_unwritten_bytes = True

    def resume_writing(self) -> None:
        """The transport's buffer is empty."""
        self._has_unwritten_bytes = False

    def data_received(self, data: bytes) -> None:
        """Read bytes of the response."""
        if self.is_closed:
            return
        if self._response is None:
            self.close()  # the server sends without a request
            return
        try:
            self._response.feed(data)
            self._end_attempt_if_decided()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end_attempt(Outcome.ERROR)
            self._log_protocol_error(str(error.__context__ or error))
            self.close()
        except Exception as error:  # one connection ends, the process does not
            self._pool.log("exception", where="south", error=repr(error))
            self._end_attempt(Outcome.ERROR)
            self.close()
        self._pool.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt: it never ran if a byte of its request was not sent."""
        response = self._response
        is_active = self.state is ConnectionState.ACTIVE
        if response is not None and is_active and self.attempt is not None and exc is None:
            response.finish()
            self._end_attempt_if_decided()
        if self.reused and self.attempt is not None and response is not None and not response.begun:
            self._pool.suspend_reuse()
        never_ran = self._has_unwritten_bytes or not is_active
        self._end_attempt(Outcome.CONNECT_FAILED if never_ran else Outcome.RESET)
        self.close()
        self._pool.flush()

    # -- The pool's calls

    def write(self, attempt: Attempt) -> None:
        """Send an attempt's request, without its last byte if it is not idempotent."""
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
        """Become idle; the pool keeps the connection."""
        self._response = None
        self.reused = self.reused or self.state is ConnectionState.ACTIVE
        self.state = ConnectionState.IDLE

    def cancel(self) -> None:
        """Close it without a report, at once for the server: else a retry might run beside this attempt."""
        self.attempt = None
        if self.state is ConnectionState.ACTIVE and self.transport is not None:
            shutdown_sending(self.transport)
        self.close()

    def close(self) -> None:
        """Close it, whatever is on it."""
        if self.is_closed:
            return
        self.state = ConnectionState.CLOSED
        self._pool.deadlines.cancel(self.timer)
        self._pool.remove(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.dial_task is not None:
            self.dial_task.cancel()

    # -- Handover to another process

    def can_hand_over(self) -> bool:
        """Whether another process can go on reading: the request is sent, and what has been read ends with a line."""
        transport = self.transport
        response = self._response
        if self.state is not ConnectionState.ACTIVE or transport is None or response is None:
            return False
        if transport.is_closing() or self._withheld_byte or transport.get_write_buffer_size():
            return False
        return response.attempt_result is None and response.at_line_boundary

    def pause_for_handover(self) -> PausedConnection:
        """Stop reading; another process goes on with the descriptor."""
        transport = self._connected_transport()
        transport.pause_reading()
        fd = int(transport.get_extra_info("socket").fileno())
        response = self._response
        if response is None:
            msg = f"no response of {self.address} is due: check can_hand_over() first"
            raise RuntimeError(msg)
        return PausedConnection(fd, response.begun, response.closes_connection)

    def detach(self) -> None:
        """Close the descriptor after the handover, without a report."""
        self.attempt = None
        self.close()

    def resume(self, attempt: Attempt, answered: bool, last: bool) -> None:
        """Go on reading a response in chunks; ``answered`` and ``last`` are as in :class:`PausedConnection`."""
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

    def _withhold(self, last_byte: bytes) -> None:
        self._withheld_byte = last_byte
        if self._response is not None:
            self._response.request_withheld = True
        self.timer = self._pool.deadlines.call_after(LAST_BYTE_DELAY_MS, self._write_withheld)

    def _write_withheld(self) -> None:
        """Send the last byte, if the connection has held; from here on the request may have run."""
        attempt = self.attempt
        if self.is_closed or attempt is None or self.transport is None or self._response is None:
            return
        if not self.has_no_input or not self._pool.core.may_write(attempt):
            self._end_attempt(Outcome.CONNECT_FAILED)
            self.close()
            return
        last_byte = self._withheld_byte
        self._withheld_byte = b""
        self._response.request_withheld = False
        self.transport.write(last_byte)
        self._report_written(attempt)

    def _report_written(self, attempt: Attempt) -> None:
        """Report the attempt once its last byte is sent: the loop writes at the end of a turn, or later."""
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

    def _log_protocol_error(self, error: str) -> None:
        self._pool.log("bad_host", host=self.server.entry.name, error=error)

    def _end_attempt_if_decided(self) -> None:
        """Act on what has been read; the connection is free before its attempt ends, so that the next can have it."""
        response = self._response
        if response is None or response.attempt_result is None or self.is_closed:
            return
        attempt = self.attempt
        self.attempt = None
        attempt_result = response.attempt_result
        if self._withheld_byte and attempt_result.outcome not in (Outcome.FULL, Outcome.REJECTED_BY_SERVER):
            attempt_result = response.attempt_result = AttemptResult(
                Outcome.CONNECT_FAILED
            )  # an incomplete request never ran
        now = self._pool.deadlines.clock()
        self.ambiguous_until = now + REPETITION_WINDOW_MS if response.lacks_request_id else 0.0
        if response.complete and response.keep_alive and not self._withheld_byte:
            self._pool.release(self)
        elif response.complete or self._withheld_byte:
            self.close()
        elif attempt is not None:
            self._pool.deadlines.cancel(self.timer)
            self.timer = self._pool.deadlines.call_after(LAST_CHUNK_TIMEOUT_MS, self.close)
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
            msg = f"no connection to {self.address} is established: dial it first"
            raise ConnectionError(msg)
        return self.transport

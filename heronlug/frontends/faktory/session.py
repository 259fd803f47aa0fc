"""One connection of a producer or a worker: commands are carried out in turn."""

import asyncio
import secrets
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

import orjson

from heronlug.frontends.faktory.authentication import HASH_ITERATIONS
from heronlug.frontends.faktory.commands import PROTOCOL_VERSION, CommandTarget, execute
from heronlug.frontends.faktory.errors import (
    CommandError,
    InternalError,
    LineTooLongError,
    SessionError,
    TooManyCommandsError,
    TooManyConnectionsError,
)
from heronlug.frontends.faktory.resp import NO_JOB, OK, error_reply
from heronlug.frontends.faktory.session_state import SessionEvent, SessionState, next_state
from heronlug.frontends.faktory.worker import ReplyCallback, Worker
from heronlug.frontends.timeout import Timeout
from heronlug.net import http
from heronlug.net.connection_state import peer_has_closed

HELLO_TIMEOUT_MS = 15_000.0
"""Time for a new connection to send HELLO."""

FETCH_TIMEOUT_MS = 2_000.0
"""A FETCH that gets no job within this time is replied to without one."""

MAX_WAITING_COMMANDS = 256
"""Commands that may wait on one connection."""

SALT_BYTES = 8
"""Random bytes of the salt of the password."""


class SessionOwner(CommandTarget, Protocol):
    """The frontend, as its sessions use it."""

    run_due: Callable[[], None]

    def session_opened(self, session: "FaktorySession") -> bool:
        """Enter a session; returns whether there is room for it."""

    def session_closed(self, session: "FaktorySession") -> None:
        """A session has ended."""


class FaktorySession(asyncio.Protocol):
    """A connection of a producer or a worker.

    Attributes:
        handle: its handle in the frontend's table.
        transport: what it writes to; None before it is connected.
        worker: the worker that it belongs to, if any.
        reserved_jids: jobs that were fetched on it and have not ended.
        queues: of the last FETCH.
        frontend: what its commands act on.
        salt: the salt of the password.
    """

    def __init__(self, frontend: SessionOwner) -> None:
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.worker: Worker | None = None
        self.reserved_jids: set[str] = set()
        self.queues: list[str] = []
        self.frontend = frontend
        self.salt = secrets.token_hex(SALT_BYTES)
        self._state = SessionState.AWAITING_HELLO
        self._lines = http.Lines()
        self._commands: deque[bytes] = deque()
        self._executing = False  # a reply that comes meanwhile must not start the next command within this one
        self._hello_timeout = Timeout(frontend.context.deadlines)
        self._fetch_timeout = Timeout(frontend.context.deadlines)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send HI; a client that does not answer with HELLO in time is disconnected."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class has the methods but is no subclass
        if not self.frontend.session_opened(self):
            self._close_with_error(TooManyConnectionsError())
            return
        greeting: dict[str, Any] = {"v": PROTOCOL_VERSION}
        if self.frontend.context.config.password:
            greeting |= {"s": self.salt, "i": HASH_ITERATIONS}
        self._hello_timeout.start(HELLO_TIMEOUT_MS, self.close)
        self.transport.write(b"+HI " + orjson.dumps(greeting) + b"\r\n")
        self.frontend.run_due()

    def data_received(self, data: bytes) -> None:
        """Read commands, a line each."""
        if self.closed:
            return
        try:
            self._commands.extend(self._lines.feed(data))
        except ValueError:
            self._close_with_error(LineTooLongError())
        self._execute_waiting()
        if len(self._commands) > MAX_WAITING_COMMANDS and self.transport is not None:
            self._close_with_error(TooManyCommandsError())
        self.frontend.run_due()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended: the jobs that were fetched on it may have run."""
        self._apply_event(SessionEvent.CLOSED)
        self._hello_timeout.cancel()
        self._fetch_timeout.cancel()
        self.frontend.session_closed(self)
        self.frontend.run_due()

    # -- state

    @property
    def greeted(self) -> bool:
        """Whether HELLO has been carried out."""
        return self._state is not SessionState.AWAITING_HELLO

    @property
    def fetching(self) -> bool:
        """Whether a FETCH waits for a job."""
        return self._state is SessionState.FETCHING

    @property
    def closed(self) -> bool:
        """Whether nothing is read or written any more."""
        return self._state is SessionState.CLOSED

    @property
    def peer_connected(self) -> bool:
        """Whether the client has not closed its side, as far as the kernel knows, read or not."""
        return self.transport is not None and not self.closed and not peer_has_closed(self.transport)

    # -- what commands do

    def greet(self, wid: str | None) -> None:
        """Accept the client, as a worker if it gives a wid."""
        self._apply_event(SessionEvent.GREETED)
        self._hello_timeout.cancel()
        self.write(OK)
        if wid is not None:
            self.worker = self.frontend.workers.connect(wid, self)

    def wait_for_job(self, worker: Worker, queues: list[str]) -> None:
        """Wait for a job of these queues."""
        self.queues = queues
        self._apply_event(SessionEvent.FETCH_STARTED)
        self._fetch_timeout.start(FETCH_TIMEOUT_MS, self._on_fetch_timeout)
        self.frontend.delivery.match(worker)

    def defer_reply(self) -> ReplyCallback:
        """Carry out no further command until the result is called with the reply, which may be at once."""
        self._fetch_timeout.cancel()
        self._apply_event(SessionEvent.REPLY_DEFERRED)

        def reply(data: bytes) -> None:
            """Write the reply, and carry out the commands that have waited for it."""
            self._apply_event(SessionEvent.REPLIED)
            self.write(data)
            if not self._executing:
                self._execute_waiting()

        return reply

    def write(self, data: bytes) -> None:
        """Reply, unless the session has ended."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    def close(self) -> None:
        """End the session once all that has been written has gone out."""
        self._apply_event(SessionEvent.CLOSED)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Break the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    # -- inside

    def _apply_event(self, event: SessionEvent) -> None:
        self._state = next_state(self._state, event)

    def _close_with_error(self, error: SessionError) -> None:
        self._commands.clear()
        self.write(error_reply(error))
        self.close()

    def _execute_waiting(self) -> None:
        while self._commands and self._state in (SessionState.AWAITING_HELLO, SessionState.READY):
            name, _, argument = self._commands.popleft().strip().partition(b" ")
            self._executing = True
            try:
                self._execute(name.decode("ascii", "replace").upper(), argument.strip())
            finally:
                self._executing = False

    def _execute(self, name: str, argument: bytes) -> None:
        try:
            execute(self, name, argument)
        except SessionError as error:
            self._close_with_error(error)
        except CommandError as error:
            self.write(error_reply(error))
        except Exception as error:  # a fault ends this session, not the process
            self.frontend.context.log("exception", where="faktory", error=repr(error))
            self._close_with_error(InternalError())

    def _on_fetch_timeout(self) -> None:
        self._apply_event(SessionEvent.FETCH_TIMED_OUT)
        self.write(NO_JOB)
        self._execute_waiting()

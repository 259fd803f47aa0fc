"""Handles one connection of a producer or a worker; executes its commands one after another."""

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
"""Time in ms within which a new connection must send HELLO."""

FETCH_TIMEOUT_MS = 2_000.0
"""Time in ms after which a FETCH without a job gets an empty reply."""

MAX_WAITING_COMMANDS = 256
"""Maximum number of commands that may wait on one connection."""

SALT_BYTES = 8
"""Number of random bytes in the password salt."""


class SessionOwner(CommandTarget, Protocol):
    """The part of the frontend that sessions use.

    Attributes:
        run_due: runs the deadlines that are due; called after each input from the network.
    """

    run_due: Callable[[], None]

    def session_opened(self, session: "FaktorySession") -> bool:
        """Adds a session; returns whether the number of connections is still within the limit."""

    def session_closed(self, session: "FaktorySession") -> None:
        """Removes a closed session."""


class FaktorySession(asyncio.Protocol):
    """Connection of a producer or a worker.

    Attributes:
        handle: handle of the session in the frontend's slot table.
        transport: transport for the replies; None before the connection is made.
        worker: the worker to which the session belongs; None for a producer.
        reserved_jids: jids of the jobs that were fetched on this connection and have not ended.
        queues: queues of the last FETCH.
        frontend: the frontend to which the session belongs.
        salt: the password salt that HI announces.
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
        self._executing = False  # a reply during a command must not start the next command recursively
        self._hello_timeout = Timeout(frontend.context.deadlines)
        self._fetch_timeout = Timeout(frontend.context.deadlines)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends HI; a client that does not send HELLO in time is disconnected."""
        # uvloop's transport has the same methods but is not a subclass
        self.transport = cast(asyncio.Transport, transport)
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
        """Reads commands, one per line, and executes them."""
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
        """Closes the session; the jobs that were fetched on the connection may have run and are reset."""
        self._apply_event(SessionEvent.CLOSED)
        self._hello_timeout.cancel()
        self._fetch_timeout.cancel()
        self.frontend.session_closed(self)
        self.frontend.run_due()

    # -- state

    @property
    def greeted(self) -> bool:
        """Returns whether the client has completed HELLO."""
        return self._state is not SessionState.AWAITING_HELLO

    @property
    def fetching(self) -> bool:
        """Returns whether a FETCH waits for a job."""
        return self._state is SessionState.FETCHING

    @property
    def closed(self) -> bool:
        """Returns whether the session is closed for reading and writing."""
        return self._state is SessionState.CLOSED

    @property
    def peer_connected(self) -> bool:
        """Returns whether the client has not closed its side.

        An end of stream that the session has not read yet also counts as closed.
        """
        return self.transport is not None and not self.closed and not peer_has_closed(self.transport)

    # -- operations for commands

    def greet(self, wid: str | None) -> None:
        """Accepts the client, as a worker if ``wid`` is given and as a producer otherwise."""
        self._apply_event(SessionEvent.GREETED)
        self._hello_timeout.cancel()
        self.write(OK)
        if wid is not None:
            self.worker = self.frontend.workers.connect(wid, self)

    def wait_for_job(self, worker: Worker, queues: list[str]) -> None:
        """Makes the session wait for a job from one of these queues."""
        self.queues = queues
        self._apply_event(SessionEvent.FETCH_STARTED)
        self._fetch_timeout.start(FETCH_TIMEOUT_MS, self._on_fetch_timeout)
        self.frontend.delivery.match(worker)

    def defer_reply(self) -> ReplyCallback:
        """Blocks further commands until the returned function is called with the reply.

        The function may be called before this command returns.
        """
        self._fetch_timeout.cancel()
        self._apply_event(SessionEvent.REPLY_DEFERRED)

        def reply(data: bytes) -> None:
            """Writes the reply and executes the commands that waited for the reply."""
            self._apply_event(SessionEvent.REPLIED)
            self.write(data)
            if not self._executing:
                self._execute_waiting()

        return reply

    def write(self, data: bytes) -> None:
        """Writes a reply unless the session is closed."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    def close(self) -> None:
        """Closes the session after all written data has been sent."""
        self._apply_event(SessionEvent.CLOSED)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Aborts the connection immediately without sending pending data."""
        if self.transport is not None:
            self.transport.abort()

    # -- command execution

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
        except Exception as error:  # an unexpected error ends this session, not the process
            self.frontend.context.log("exception", where="faktory", error=repr(error))
            self._close_with_error(InternalError())

    def _on_fetch_timeout(self) -> None:
        self._apply_event(SessionEvent.FETCH_TIMED_OUT)
        self.write(NO_JOB)
        self._execute_waiting()

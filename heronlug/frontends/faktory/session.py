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
    SessionMemoryError,
    TooManyCommandsError,
    TooManyConnectionsError,
)
from heronlug.frontends.faktory.resp import NO_JOB, OK, error_reply
from heronlug.frontends.faktory.session_memory import SessionMemory
from heronlug.frontends.faktory.session_state import SessionEvent, SessionState, next_state
from heronlug.frontends.faktory.worker import ReplyCallback, Worker
from heronlug.frontends.timeout import Timeout
from heronlug.net import http
from heronlug.net.close_watch import CloseWatch
from heronlug.net.connection_state import peer_has_closed
from heronlug.net.paced_protocol import RECEIVE_BUFFER, PacedProtocol
from heronlug.net.read_gate import PauseReason, ReadGate

HELLO_TIMEOUT_MS = 15_000.0
"""Time in ms within which a new connection must send HELLO."""

FETCH_TIMEOUT_MS = 2_000.0
"""Time in ms after which a FETCH without a job gets an empty reply."""

MAX_WAITING_COMMANDS = 256
"""Maximum number of commands that may wait on one connection."""

MAX_WAITING_BYTES = 16 * 1024
"""Size of the waiting commands from which a connection is not read."""

MAX_READ_BYTES = 16 * 1024
"""Maximum number of bytes that are read from a connection in one iteration of the event loop."""

UNREAD_TIMEOUT_MS = 30_000.0
"""Time in ms within which a client must read its replies."""

SALT_BYTES = 8
"""Number of random bytes in the password salt."""


class SessionOwner(CommandTarget, Protocol):
    """The part of the frontend that sessions use.

    Attributes:
        run_due: runs the deadlines that are due; called after each input from the network.
        session_memory: counts what the sessions hold.
        close_watch: notices that the clients of sessions that are not read have left.
    """

    session_memory: SessionMemory
    close_watch: "CloseWatch[FaktorySession]"
    run_due: Callable[[], None]

    def session_opened(self, session: "FaktorySession") -> bool:
        """Adds a session; returns whether the number of connections is still within the limit."""

    def session_closed(self, session: "FaktorySession") -> None:
        """Removes a closed session."""


class FaktorySession(PacedProtocol):
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

    receive_buffer = RECEIVE_BUFFER[:MAX_READ_BYTES]

    def __init__(self, frontend: SessionOwner) -> None:
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.worker: Worker | None = None
        self.reserved_jids: set[str] = set()
        self.queues: list[str] = []
        self.frontend = frontend
        self.salt = secrets.token_hex(SALT_BYTES)
        self._state = SessionState.AWAITING_HELLO
        self.gate = ReadGate(frontend.context.deadlines.clock)
        self._lines = http.Lines()
        self._commands: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._executing = False  # a reply during a command must not start the next command recursively
        self._hello_timeout = Timeout(frontend.context.deadlines)
        self._fetch_timeout = Timeout(frontend.context.deadlines)
        self._unread_timeout = Timeout(frontend.context.deadlines)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends HI; a client that does not send HELLO in time is disconnected."""
        # uvloop's transport has the same methods but is not a subclass
        self.transport = cast(asyncio.Transport, transport)
        self.gate.open(self.transport)
        self.frontend.session_memory.add(self)
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
            commands = self._lines.feed(data)
        except ValueError:
            self._close_with_error(LineTooLongError())
        else:
            self._commands.extend(commands)
            self._waiting_bytes += sum(map(len, commands))
        self._execute_waiting()
        if len(self._commands) > MAX_WAITING_COMMANDS and self.transport is not None:
            self._close_with_error(TooManyCommandsError())
        self.frontend.run_due()

    def pause_writing(self) -> None:
        """Executes no further command until the client has read its replies, which it has to do in time."""
        self.gate.pause(PauseReason.UNREAD_ANSWERS)
        self._unread_timeout.start(UNREAD_TIMEOUT_MS, self.abort)
        self.frontend.close_watch.add(self)

    def resume_writing(self) -> None:
        """Executes the commands that have waited for the client to read its replies."""
        self._unread_timeout.cancel()
        self.gate.resume(PauseReason.UNREAD_ANSWERS)
        if not self._executing:
            self._execute_waiting()
        self.frontend.run_due()

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the session; the jobs that were fetched on the connection may have run and are reset."""
        self._apply_event(SessionEvent.CLOSED)
        for timeout in (self._hello_timeout, self._fetch_timeout, self._unread_timeout):
            timeout.cancel()
        self._drop_commands()
        self.gate.close()
        self.frontend.close_watch.remove(self)
        self.frontend.session_memory.remove(self)
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

    @property
    def is_reading_paused(self) -> bool:
        """Returns whether the connection is not read, so that its end would not be noticed."""
        return self.gate.paused and not self.closed

    @property
    def client_connected(self) -> bool:
        """Returns whether the client has not closed its side; always True while it holds no jobs for others to get."""
        return not self.reserved_jids or self.peer_connected

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

    # -- memory

    def reject_for_memory(self, held_bytes: int) -> None:
        """Closes the session because it holds most; replies that its client does not read are dropped."""
        wid = self.worker.wid if self.worker is not None else None
        self.frontend.context.log("session_rejected", held=held_bytes, wid=wid, commands=len(self._commands))
        if self.gate.paused_for(PauseReason.UNREAD_ANSWERS):
            self._drop_commands()
            self.abort()
        else:
            self._close_with_error(SessionMemoryError())

    # -- command execution

    def _apply_event(self, event: SessionEvent) -> None:
        self._state = next_state(self._state, event)

    def _close_with_error(self, error: SessionError) -> None:
        self._drop_commands()
        self.write(error_reply(error))
        self.close()

    def _drop_commands(self) -> None:
        self._commands.clear()
        self._waiting_bytes = 0
        self._lines = http.Lines()

    @property
    def _may_execute(self) -> bool:
        """Returns whether the next command may be executed now."""
        unread = self.gate.paused_for(PauseReason.UNREAD_ANSWERS)
        return self._state in (SessionState.AWAITING_HELLO, SessionState.READY) and not unread

    def _execute_waiting(self) -> None:
        while self._commands and self._may_execute:
            command = self._commands.popleft()
            self._waiting_bytes -= len(command)
            name, _, argument = command.strip().partition(b" ")
            self._executing = True
            try:
                self._execute(name.decode("ascii", "replace").upper(), argument.strip())
            finally:
                self._executing = False
        self._update_memory()

    def _update_memory(self) -> None:
        """Counts what waits, and reads no further commands while enough of them wait."""
        unread_bytes = self.transport.get_write_buffer_size() if self.transport is not None else 0
        waiting_bytes = self._waiting_bytes + self._lines.held_bytes
        self.frontend.session_memory.update(self, waiting_bytes + unread_bytes)
        if self._waiting_bytes > MAX_WAITING_BYTES:
            self.gate.pause(PauseReason.INPUT)
            self.frontend.close_watch.add(self)
        else:
            self.gate.resume(PauseReason.INPUT)

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

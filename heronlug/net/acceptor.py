"""Accepting connections so that what cannot be accepted now goes on waiting in the listening socket's queue.

The event loop's own server gives up a spare descriptor when there is none left, accepts what waits and closes it: each
is a request that was read by our machine and gets no answer.  Here a call that fails for want of something leaves the
queue as it is, and is tried again after a pause that doubles up to a bound.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

BATCH = 64  # connections accepted in one turn of the loop; the rest wait for the next
PAUSE_FIRST, PAUSE_MOST = 0.005, 0.1  # s until accept is tried again
LOG_EVERY = 1.0  # s between two log lines of failures
EXHAUSTED_AFTER = 0.5  # s of failures in a row without a descriptor, after which a connection that rests makes room
NO_DESCRIPTOR = {errno.EMFILE, errno.ENFILE}
SHORT = NO_DESCRIPTOR | {errno.ENOBUFS, errno.ENOMEM}  # of something that the system may have again soon
OVER = {errno.EBADF, errno.EINVAL, errno.ENOTSOCK}  # nobody listens any more: a pause mends nothing

Protocols = Callable[[], asyncio.Protocol]


class Acceptor:
    """Takes connections off one listening socket, which it does not own."""

    def __init__(self, name: str, protocol: Protocols, log: Callable[..., None]) -> None:
        """``name`` says in the log whose connections these are."""
        self.name = name
        self.failures = 0  # calls of accept that failed, since the start
        self.exhausted: Callable[[], None] = lambda: None  # asked to close something where descriptors stay short
        self._protocol, self._log = protocol, log
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[object]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._pause = PAUSE_FIRST
        self._short_since: float | None = None
        self._logged_at = -LOG_EVERY

    @property
    def active(self) -> bool:
        """Whether connections are taken."""
        return self._socket is not None

    @property
    def opening(self) -> int:
        """Connections that have been accepted and have no protocol yet."""
        return len(self._opening)

    def start(self, listening: socket.socket) -> None:
        """Take what comes at this socket."""
        listening.setblocking(False)
        self._socket = listening
        self._watch()

    def stop(self) -> None:
        """Take no more; what has been accepted is still opened."""
        if self._retry is not None:
            self._retry.cancel()
        elif self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
        self._retry = self._socket = None

    def _watch(self) -> None:
        self._retry = None
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        """Connections wait."""
        assert self._socket is not None
        for _ in range(BATCH):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._failed(error)
                if error.errno in SHORT or error.errno in OVER:
                    self._rest(error)
                    return
                continue  # the connection ended while it waited; the next one need not
            self._pause, self._short_since = PAUSE_FIRST, None
            self._open(connection)

    def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(loop.connect_accepted_socket(self._protocol, connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _failed(self, error: OSError) -> None:
        self.failures += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at >= LOG_EVERY:
            self._logged_at = now
            code = errno.errorcode.get(error.errno or 0, str(error.errno))
            self._log("accept_failed", listener=self.name, error=code, failures=self.failures)

    def _rest(self, error: OSError) -> None:
        """Leave the queue alone for a while, without asking the loop again and again."""
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        if error.errno in NO_DESCRIPTOR:
            self._short_since = self._short_since if self._short_since is not None else loop.time()
            if loop.time() - self._short_since >= EXHAUSTED_AFTER:
                self.exhausted()
        self._retry = loop.call_later(self._pause, self._watch)
        self._pause = min(PAUSE_MOST, 2 * self._pause)

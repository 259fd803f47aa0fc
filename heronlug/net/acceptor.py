"""Accepts connections, and leaves connections that cannot be accepted yet in the queue of the listening socket.

When no descriptor is left, the event loop's built-in server frees a spare descriptor, accepts the waiting connections
and closes them, so requests that have reached the machine get no answer. Here, an accept that fails for lack of a
resource leaves the queue unchanged and is retried after a backoff that doubles up to a bound. Connections beyond the
limit of their owner wait in the queue too.
"""

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Protocol

from heronlug.requests.interfaces import EventLog

BATCH_SIZE = 64
"""Maximum number of connections accepted per iteration of the event loop."""

INITIAL_BACKOFF_S = 0.005
"""Delay before accept is retried after its first failure."""

MAX_BACKOFF_S = 0.1
"""Maximum delay before accept is retried."""

ROOM_RETRY_S = 0.01
"""Delay before a connection that waits for room is considered again."""

LOG_INTERVAL_S = 1.0
"""Minimum time between two logged failures."""

EXHAUSTED_AFTER_S = 0.5
"""Time without a free descriptor after which a connection is evicted."""

DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})
"""Errors that report that the process or the system has no free descriptor."""

RESOURCE_ERRORS = DESCRIPTOR_ERRORS | {errno.ENOBUFS, errno.ENOMEM}
"""Errors that report the lack of a resource that may soon be available again."""

LISTENER_ERRORS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
"""Errors that report that the socket no longer listens."""

ProtocolFactory = Callable[[], asyncio.BaseProtocol]
"""Creates the protocol of a new connection."""


def do_nothing() -> None:
    """Does not evict any connection; the default of :attr:`Acceptor.on_exhausted`."""


class ConnectionOwner(Protocol):
    """Limits the number of connections that are accepted."""

    def has_room(self, opening: int) -> bool:
        """Returns whether another connection may be accepted.

        Args:
            opening: Number of accepted connections that the owner does not know yet.
        """

    def make_room(self, opening: int) -> bool:
        """Begins to close a connection that owes nothing; returns whether another attempt makes sense at once.

        Args:
            opening: Number of accepted connections that the owner does not know yet.
        """


class UnlimitedOwner:
    """Accepts any number of connections; the default of :attr:`Acceptor.owner`."""

    def has_room(self, opening: int) -> bool:
        """Returns True."""
        return True

    def make_room(self, opening: int) -> bool:
        """Returns True."""
        return True


class Acceptor:
    """Accepts connections from one listening socket, which the caller owns and closes.

    Attributes:
        name: Name of the listener in the log.
        failures: Number of failed calls of accept since the start.
        on_exhausted: Called to evict a connection while no descriptor has been free for ``EXHAUSTED_AFTER_S``.
        owner: Limits the number of connections.
        waiting_for_room: Whether a connection waits in the queue because the owner has no room.
    """

    def __init__(self, name: str, protocol_factory: ProtocolFactory, log: EventLog) -> None:
        """Creates an acceptor that does not accept connections yet."""
        self.name = name
        self.failures = 0
        self.on_exhausted: Callable[[], None] = do_nothing
        self.owner: ConnectionOwner = UnlimitedOwner()
        self.waiting_for_room = False
        self._protocol_factory = protocol_factory
        self._log = log
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[object]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._backoff_s = INITIAL_BACKOFF_S
        self._exhausted_since: float | None = None
        self._logged_at = -LOG_INTERVAL_S

    @property
    def active(self) -> bool:
        """Returns whether the acceptor accepts connections."""
        return self._socket is not None

    @property
    def opening(self) -> int:
        """Returns the number of accepted connections that have no protocol yet."""
        return len(self._opening)

    def start(self, listening_socket: socket.socket) -> None:
        """Starts to accept connections from this socket."""
        listening_socket.setblocking(False)
        self._socket = listening_socket
        self._watch_socket()

    def stop(self) -> None:
        """Stops accepting; connections that are already accepted are still opened."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        elif self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
        self._retry_timer = None
        self._socket = None
        self.waiting_for_room = False

    def look_again(self) -> None:
        """Considers a connection that waits for room again, because there may be room now."""
        if self.waiting_for_room and self._retry_timer is not None:
            self._retry_timer.cancel()
            self._watch_socket()

    def _watch_socket(self) -> None:
        self._retry_timer = None
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_batch, self._socket)

    def _accept_batch(self, listening_socket: socket.socket) -> None:
        """Accepts queued connections, up to ``BATCH_SIZE``; the rest wait for the next iteration of the loop."""
        self.waiting_for_room = not self.owner.has_room(self.opening)
        if self.waiting_for_room:
            self._wait_for_room(listening_socket)
            return
        for _ in range(BATCH_SIZE):
            if not self.owner.has_room(self.opening):
                return
            try:
                connection, _ = listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._count_failure(error)
                if error.errno in RESOURCE_ERRORS or error.errno in LISTENER_ERRORS:
                    self._back_off(listening_socket, error)
                    return
                continue  # this connection ended in the queue; the next one may still be open
            self._backoff_s = INITIAL_BACKOFF_S
            self._exhausted_since = None
            self._open(connection)

    def _wait_for_room(self, listening_socket: socket.socket) -> None:
        """Makes room for the first connection in the queue, or looks again later if every connection is in use."""
        if self.owner.make_room(self.opening):
            return  # the socket stays readable, so the next iteration of the loop looks again
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening_socket)
        self._retry_timer = loop.call_later(ROOM_RETRY_S, self._watch_socket)

    def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(loop.connect_accepted_socket(self._protocol_factory, connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _count_failure(self, error: OSError) -> None:
        self.failures += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            code = errno.errorcode.get(error.errno or 0, str(error.errno))
            self._log("accept_failed", listener=self.name, error=code, failures=self.failures)

    def _back_off(self, listening_socket: socket.socket, error: OSError) -> None:
        """Stops watching the socket until the backoff is over, so that failing accepts do not keep the loop busy."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening_socket)
        if error.errno in DESCRIPTOR_ERRORS:
            self._update_exhaustion(loop.time())
        self._retry_timer = loop.call_later(self._backoff_s, self._watch_socket)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def _update_exhaustion(self, now: float) -> None:
        if self._exhausted_since is None:
            self._exhausted_since = now
        if now - self._exhausted_since >= EXHAUSTED_AFTER_S:
            self.on_exhausted()

"""Accepts connections so that those that cannot be accepted now stay in the listening socket's queue.

The event loop's own server, when no descriptor is left, frees a spare one, accepts the waiting connections and closes
them: requests that have reached the machine get no answer. Here, an accept that fails for want of a resource leaves the
queue as it is, and is retried after a backoff that doubles up to a bound.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

from heronlug.requests.interfaces import EventLog

BATCH_SIZE = 64
"""Connections accepted in one turn of the loop; the rest wait for the next one."""

INITIAL_BACKOFF_S = 0.005
"""Time until accept is tried again after its first failure."""

MAX_BACKOFF_S = 0.1
"""The longest time until accept is tried again."""

LOG_INTERVAL_S = 1.0
"""Time between two log lines of failures."""

EXHAUSTED_AFTER_S = 0.5
"""Time without a free descriptor after which a connection is to be evicted."""

DESCRIPTOR_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})
"""No descriptor is left, in the process or in the system."""

RESOURCE_ERRORS = DESCRIPTOR_ERRORS | {errno.ENOBUFS, errno.ENOMEM}
"""Something is lacking that the system may have again soon."""

LISTENER_ERRORS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
"""The socket does not listen any more."""

ProtocolFactory = Callable[[], asyncio.Protocol]
"""Makes the protocol of a new connection."""


def do_nothing() -> None:
    """Evict nothing."""


class Acceptor:
    """Accepts connections from one listening socket, which it does not own.

    Attributes:
        name: whose connections these are, for the log.
        failures: calls of accept that failed, since the start.
        on_exhausted: asked to close a connection when descriptors stay exhausted.
    """

    def __init__(self, name: str, protocol_factory: ProtocolFactory, log: EventLog) -> None:
        """Make an acceptor that does not accept yet."""
        self.name = name
        self.failures = 0
        self.on_exhausted: Callable[[], None] = do_nothing
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
        """Whether connections are accepted."""
        return self._socket is not None

    @property
    def opening(self) -> int:
        """The number of connections that have been accepted and have no protocol yet."""
        return len(self._opening)

    def start(self, listening_socket: socket.socket) -> None:
        """Accept the connections of this socket."""
        listening_socket.setblocking(False)
        self._socket = listening_socket
        self._watch_socket()

    def stop(self) -> None:
        """Accept no more; connections that have been accepted are still opened."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        elif self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
        self._retry_timer = None
        self._socket = None

    def _watch_socket(self) -> None:
        self._retry_timer = None
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_batch, self._socket)

    def _accept_batch(self, listening_socket: socket.socket) -> None:
        """Accept what waits in the queue, up to one batch."""
        for _ in range(BATCH_SIZE):
            try:
                connection, _ = listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._count_failure(error)
                if error.errno in RESOURCE_ERRORS or error.errno in LISTENER_ERRORS:
                    self._back_off(listening_socket, error)
                    return
                continue  # this connection ended while it waited; the next one may be well
            self._backoff_s = INITIAL_BACKOFF_S
            self._exhausted_since = None
            self._open(connection)

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
        """Leave the queue alone for a while, so that the loop does not spin on it."""
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

"""Queues attempts that wait for a connection, because the limit of server connections is reached."""

from collections.abc import Callable

from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.model import Attempt


class WaitingAttempt:
    """An attempt in the queue, in place of the connection that the attempt will use.

    Attributes:
        attempt: The waiting attempt.
        expires_at: Time at which the attempt no longer waits, in ms.
        timer: Deadline of the wait.
    """

    def __init__(self, queue: "AttemptQueue", attempt: Attempt, expires_at: float, timer: Key) -> None:
        self.attempt = attempt
        self.expires_at = expires_at
        self.timer = timer
        self._queue = queue

    def cancel(self) -> None:
        """Removes the attempt from the queue without reporting an outcome."""
        self._queue.remove(self)

    @property
    def is_unsent(self) -> bool:
        """Returns True: nothing of the request has been written."""
        return True

    @property
    def is_incomplete(self) -> bool:
        """Returns True: the request cannot have run."""
        return True

    def detach(self) -> None:
        """Removes the attempt from the queue, because another process sends the request."""
        self._queue.remove(self)


class AttemptQueue:
    """A first-in, first-out queue of attempts that wait for a connection."""

    def __init__(self, deadlines: Deadlines, on_expired: Callable[[Attempt], None]) -> None:
        """Creates an empty queue; ``on_expired`` is called with each attempt that has waited for too long."""
        self._deadlines = deadlines
        self._on_expired = on_expired
        self._waiting: dict[int, WaitingAttempt] = {}  # by handle of the attempt

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, attempt: Attempt, timeout_ms: float) -> None:
        """Appends an attempt, which waits for at most ``timeout_ms``."""
        expires_at = self._deadlines.clock() + timeout_ms
        timer = self._deadlines.call_at(expires_at, self._expire, attempt.handle)
        attempt.exchange = self._waiting[attempt.handle] = WaitingAttempt(self, attempt, expires_at, timer)

    def remove(self, waiting: WaitingAttempt) -> None:
        """Removes an attempt, which may be sent by now; does nothing if it is not in the queue."""
        attempt = waiting.attempt
        if self._waiting.pop(attempt.handle, None) is None:
            return
        self._deadlines.cancel(waiting.timer)
        if attempt.exchange is waiting:
            attempt.exchange = None

    def first(self) -> WaitingAttempt:
        """Returns the attempt that has waited longest."""
        return next(iter(self._waiting.values()))

    def _expire(self, handle: int) -> None:
        waiting = self._waiting.get(handle)
        if waiting is not None:
            self.remove(waiting)
            self._on_expired(waiting.attempt)

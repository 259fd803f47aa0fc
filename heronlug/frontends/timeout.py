"""Provides a restartable time-out for connections."""

from collections.abc import Callable

from heronlug.requests.deadlines import Deadlines, Key


class Timeout:
    """A time-out with at most one pending callback."""

    __slots__ = ("_deadlines", "_key")

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self._key: Key | None = None

    @property
    def pending(self) -> bool:
        """Returns whether a callback is pending."""
        return self._key is not None

    def start(self, timeout_ms: float, callback: Callable[[], None]) -> None:
        """Schedules ``callback`` after ``timeout_ms`` and cancels the pending callback, if any."""
        self.cancel()
        self._key = self._deadlines.call_after(timeout_ms, self._run, callback)

    def _run(self, callback: Callable[[], None]) -> None:
        self._key = None
        callback()

    def cancel(self) -> None:
        """Cancels the pending callback, if any."""
        self._deadlines.cancel(self._key)
        self._key = None

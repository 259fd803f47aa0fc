"""A time-out that is started anew again and again, as a connection has it."""

from collections.abc import Callable

from heronlug.requests.deadlines import Deadlines, Key


class Timeout:
    """One time-out, of which at most one run is pending."""

    __slots__ = ("_deadlines", "_key")

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self._key: Key | None = None

    def start(self, timeout_ms: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after this time, in place of what was pending."""
        self.cancel()
        self._key = self._deadlines.call_after(timeout_ms, callback)

    def cancel(self) -> None:
        """Drop what is pending, if anything."""
        self._deadlines.cancel(self._key)
        self._key = None

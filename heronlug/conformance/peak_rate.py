"""The most events of a kind within a window of time."""

from collections import deque


class PeakRate:
    """Counts events in a sliding window.

    Attributes:
        window_ms: the length of the window.
        most: the most events that any window had.
    """

    __slots__ = ("_recent", "most", "window_ms")

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.most = 0
        self._recent: deque[float] = deque()

    def add(self, at: float) -> None:
        """Count an event at a time in ms, which is not before the one before it."""
        self._recent.append(at)
        while self._recent[0] <= at - self.window_ms:
            self._recent.popleft()
        self.most = max(self.most, len(self._recent))

    def reset(self) -> None:
        """Forget the most; the window stays."""
        self.most = 0

"""Measures the highest number of events within a time window."""

from collections import deque


class PeakRate:
    """Counts events in a sliding window and records the peak.

    Attributes:
        window_ms: Length of the window in ms.
        most: Highest number of events in any window.
    """

    __slots__ = ("_recent", "most", "window_ms")

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.most = 0
        self._recent: deque[float] = deque()

    def add(self, at: float) -> None:
        """Counts an event at a time in ms, which must not be earlier than the previous event."""
        self._recent.append(at)
        while self._recent[0] <= at - self.window_ms:
            self._recent.popleft()
        self.most = max(self.most, len(self._recent))

    def reset(self) -> None:
        """Resets the peak; the events of the current window stay counted."""
        self.most = 0

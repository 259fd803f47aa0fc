"""Virtual time: a heap of scheduled events and one loop that takes the earliest, and a core's deadlines on it.

All times are milliseconds from the start of the run.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from heronlug.requests.deadlines import Deadlines, Key


class ScheduledEvent:
    """A call that is due at a time; it is called once or cancelled.

    Attributes:
        time: when it is due, in ms.
        callback: what is called; None once it was called or cancelled.
        args: what it is called with.
    """

    __slots__ = ("args", "callback", "time")

    def __init__(self, time: float, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.time = time
        self.callback: Callable[..., object] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Keep it from being called; no error if it was called already."""
        self.callback = None
        self.args = ()


class Timeline:
    """Scheduled events in order of time; events of the same time in the order in which they were scheduled.

    Attributes:
        now: the virtual time, in ms.
        event_count: events that have been called.
    """

    __slots__ = ("_heap", "_sequence", "event_count", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self.event_count = 0
        self._heap: list[tuple[float, int, ScheduledEvent]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def schedule_at(self, time: float, callback: Callable[..., object], *args: Any) -> ScheduledEvent:
        """Schedule a call at a time; a time that has passed means now."""
        self._sequence += 1
        event = ScheduledEvent(max(time, self.now), callback, args)
        heappush(self._heap, (event.time, self._sequence, event))
        return event

    def schedule_after(self, delay: float, callback: Callable[..., object], *args: Any) -> ScheduledEvent:
        """Schedule a call after a delay in ms."""
        return self.schedule_at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Step through all events up to a time, which is the time afterwards."""
        while self._heap and self._heap[0][0] <= until:
            self.step()
        self.now = until

    def step(self) -> None:
        """Take the earliest event and call it, unless it was cancelled."""
        time, _, event = heappop(self._heap)
        callback, args = event.callback, event.args
        if callback is None:
            return
        self.now = time
        self.event_count += 1
        event.callback = None
        callback(*args)


class VirtualDeadlines(Deadlines):
    """The deadlines of a core as events of a timeline.

    Attributes:
        cancelled: whether the process of the core has ended, so that no deadline takes effect any more.
    """

    __slots__ = ("_live", "_timeline", "cancelled")

    def __init__(self, timeline: Timeline) -> None:
        super().__init__(lambda: timeline.now)
        self._timeline = timeline
        self._live: dict[Key, ScheduledEvent] = {}
        self.cancelled = False

    def __len__(self) -> int:
        return len(self._live)

    def call_at(self, when: float, what: Callable[..., object], *args: Any) -> Key:
        """Schedule a call, see :meth:`heronlug.requests.deadlines.Deadlines.call_at`."""
        self._seq += 1
        key = (when, self._seq)
        self._live[key] = self._timeline.schedule_at(when, self._call, key, what, args)
        return key

    def cancel(self, key: Key | None) -> None:
        """Cancel a call, see :meth:`heronlug.requests.deadlines.Deadlines.cancel`."""
        event = self._live.pop(key, None) if key is not None else None
        if event is not None:
            event.cancel()

    def _call(self, key: Key, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        del self._live[key]
        if not self.cancelled:
            callback(*args)

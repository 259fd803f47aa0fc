"""Provides virtual time: a heap of scheduled events, a loop that runs them in order, and deadlines for a core.

All times are milliseconds from the start of the run.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from heronlug.requests.deadlines import Deadlines, Key


class ScheduledEvent:
    """Call that is scheduled at a time and is made once unless cancelled.

    Attributes:
        time: time of the call in ms.
        callback: function to call; None after the call or a cancellation.
        args: arguments of the call.
    """

    __slots__ = ("args", "callback", "time")

    def __init__(self, time: float, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.time = time
        self.callback: Callable[..., object] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Cancels the call; has no effect if the call was already made."""
        self.callback = None
        self.args = ()


class Timeline:
    """Runs scheduled events in order of time; events of the same time run in the order of scheduling.

    Attributes:
        now: virtual time in ms.
        event_count: number of events that have run.
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
        """Schedules a call at a time in ms; a time in the past means now."""
        self._sequence += 1
        event = ScheduledEvent(max(time, self.now), callback, args)
        heappush(self._heap, (event.time, self._sequence, event))
        return event

    def schedule_after(self, delay: float, callback: Callable[..., object], *args: Any) -> ScheduledEvent:
        """Schedules a call after a delay in ms."""
        return self.schedule_at(self.now + delay, callback, *args)

    def run(self, until: float) -> None:
        """Runs all events up to a time in ms and sets the virtual time to that time."""
        while self._heap and self._heap[0][0] <= until:
            self.step()
        self.now = until

    def step(self) -> None:
        """Removes the earliest event and runs it unless it was cancelled."""
        time, _, event = heappop(self._heap)
        callback, args = event.callback, event.args
        if callback is None:
            return
        self.now = time
        self.event_count += 1
        event.callback = None
        callback(*args)


class VirtualDeadlines(Deadlines):
    """Schedules the deadlines of a core on a timeline.

    Attributes:
        cancelled: whether the process of the core has ended, after which no deadline takes effect.
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
        """Schedules a call, see :meth:`heronlug.requests.deadlines.Deadlines.call_at`."""
        self._seq += 1
        key = (when, self._seq)
        self._live[key] = self._timeline.schedule_at(when, self._call, key, what, args)
        return key

    def cancel(self, key: Key | None) -> None:
        """Cancels a call, see :meth:`heronlug.requests.deadlines.Deadlines.cancel`."""
        event = self._live.pop(key, None) if key is not None else None
        if event is not None:
            event.cancel()

    def _call(self, key: Key, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        del self._live[key]
        if not self.cancelled:
            callback(*args)

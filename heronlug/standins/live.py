"""Runs the emulator's scheduled events in real time on an asyncio event loop."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from heronlug.emulator.timeline import ScheduledEvent, Timeline


class LiveTimeline(Timeline):
    """Timeline in real time; its times are milliseconds since its creation."""

    __slots__ = ("_began_ns", "_loop")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._began_ns = time.monotonic_ns()
        self.event_count = 0

    @property
    def now(self) -> float:  # type: ignore[override]
        """Milliseconds since the timeline was created."""
        return (time.monotonic_ns() - self._began_ns) / 1e6

    def schedule_at(self, time: float, callback: Callable[..., object], *args: Any) -> ScheduledEvent:
        """Schedules a call as :meth:`Timeline.schedule_at` does; a time in the past runs at once."""
        event = _LiveEvent(time, callback, args)
        event.timer = self._loop.call_later(max(0.0, time - self.now) / 1000, self._call, event)
        return event

    def run(self, until: float) -> None:
        """Raises ``NotImplementedError``, since the event loop runs the scheduled calls."""
        raise NotImplementedError

    def _call(self, event: ScheduledEvent) -> None:
        callback, event.callback = event.callback, None
        if callback is not None:
            self.event_count += 1
            callback(*event.args)


class _LiveEvent(ScheduledEvent):
    """A scheduled event with a timer of the event loop."""

    __slots__ = ("timer",)

    timer: asyncio.TimerHandle

    def cancel(self) -> None:
        """Cancels the call and its timer."""
        super().cancel()
        self.timer.cancel()

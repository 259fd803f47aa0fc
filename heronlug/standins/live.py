"""The emulator's timeline on a running loop: what is modelled in virtual time there happens in real time here."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from heronlug.emulator.timeline import ScheduledEvent, Timeline


class LiveTimeline(Timeline):
    """Milliseconds since it was made."""

    __slots__ = ("_began_ns", "_loop")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._began_ns = time.monotonic_ns()
        self.event_count = 0

    @property
    def now(self) -> float:  # type: ignore[override]
        """The time now."""
        return (time.monotonic_ns() - self._began_ns) / 1e6

    def schedule_at(self, time: float, callback: Callable[..., object], *args: Any) -> ScheduledEvent:
        """Schedule a call, see :meth:`Timeline.schedule_at`."""
        event = _LiveEvent(time, callback, args)
        event.timer = self._loop.call_later(max(0.0, time - self.now) / 1000, self._call, event)
        return event

    def run(self, until: float) -> None:
        """Not supported: the event loop runs it."""
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
        """Keep it from being called."""
        super().cancel()
        self.timer.cancel()

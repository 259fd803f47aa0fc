"""The emulator's timeline on a running loop: what is modelled in virtual time there happens in real time here."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from heronlug.emulator.timeline import Entry, Timeline


class LiveLine(Timeline):
    """Milliseconds since it was made."""

    __slots__ = ("_began", "_loop")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._began = time.monotonic_ns()
        self.done = 0

    @property
    def now(self) -> float:  # type: ignore[override]
        """The time now."""
        return (time.monotonic_ns() - self._began) / 1e6

    def at(self, when: float, what: Callable[..., object], *args: Any) -> Entry:
        """As :meth:`Timeline.at`."""
        entry: Entry = [when, 0, what, args]
        entry.append(self._loop.call_later(max(0.0, when - self.now) / 1000, self._happen, entry))
        return entry

    @staticmethod
    def cancel(entry: Entry | None) -> None:
        """As :meth:`Timeline.cancel`."""
        if entry is not None:
            entry[2] = None
            entry[4].cancel()

    def run(self, until: float) -> None:
        """The loop runs it."""
        raise NotImplementedError

    def _happen(self, entry: Entry) -> None:
        what, entry[2] = entry[2], None
        if what is not None:
            self.done += 1
            what(*entry[3])

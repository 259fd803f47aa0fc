"""One ordered structure for all deadlines, and the clock that they are on.

The owner arms one timer for the head and calls :meth:`Deadlines.sweep` each turn.  A timer that comes early does
no harm: the sweep finds nothing due and the timer is armed again.
"""

import time
from collections.abc import Callable
from typing import Any

from sortedcontainers import SortedDict

Key = tuple[float, int]


class Clock:
    """Milliseconds that only go forward, set to Unix time once, at the start.

    Guards against two faults of a bare monotonic clock: dispatchers on other machines would read another time, and
    after a reboot ours would begin again below the stamps that the peers have seen.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> float:
        """The time now."""
        return (time.monotonic_ns() + self._offset) / 1e6


class Deadlines:
    """What is to be called, and when."""

    __slots__ = ("_calls", "_seq", "clock", "lateness")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._calls: SortedDict[Key, tuple[Callable[..., object], tuple[Any, ...]]] = SortedDict()
        self._seq = 0
        self.lateness = 0.0  # by how much the last sweep came after the first that it called

    def __len__(self) -> int:
        return len(self._calls)

    def call_at(self, due_at: float, callback: Callable[..., object], *args: Any) -> Key:
        """Call it at that time; the key serves to drop it."""
        self._seq += 1
        key = (due_at, self._seq)
        self._calls[key] = callback, args
        return key

    def call_after(self, delay: float, callback: Callable[..., object], *args: Any) -> Key:
        """Call it after that time."""
        return self.call_at(self.clock() + delay, callback, *args)

    def cancel(self, key: Key | None) -> None:
        """Forget a deadline; one that has passed is no error."""
        if key is not None:
            self._calls.pop(key, None)

    def next_due(self) -> float | None:
        """When the first is due."""
        return float(self._calls.peekitem(0)[0][0]) if self._calls else None

    def run_due(self) -> int:
        """Call all that is due by now, in order; what is added for now meanwhile waits for the next sweep."""
        called, now = 0, self.clock()
        due = list(self._calls.irange(maximum=(now, self._seq)))
        self.lateness = now - due[0][0] if due else 0.0
        for key in due:
            entry = self._calls.pop(key, None)
            if entry is not None:  # one that was due before it may have dropped it
                called += 1
                entry[0](*entry[1])
        return called

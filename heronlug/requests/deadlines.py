"""Keeps all deadlines of a process in order of time, and provides their clock.

The event loop sets one timer for the earliest deadline and calls :meth:`Deadlines.run_due` in each iteration.  A timer
that fires early is harmless: no deadline is due yet, and the timer is set again.
"""

import time
from collections.abc import Callable
from typing import Any

from sortedcontainers import SortedDict

Key = tuple[float, int]


class Clock:
    """A monotonic clock in milliseconds that is set to Unix time once, at the start of the process.

    A plain monotonic clock differs between the machines of dispatchers, and starts again after a reboot, below the
    timestamps that peers have already received. A process that takes over from another one takes its clock too, since
    Unix time may have been stepped in between.

    Attributes:
        offset_ns: Difference to the monotonic clock of the machine, in ns.
    """

    __slots__ = ("offset_ns",)

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> float:
        """Returns the current time in ms."""
        return (time.monotonic_ns() + self.offset_ns) / 1e6


class Deadlines:
    """Calls functions at given times.

    Attributes:
        clock: Returns the current time in ms.
        lateness: Delay of the last :meth:`run_due` after the earliest deadline that was due, in ms; 0 if none was due.
    """

    __slots__ = ("_calls", "_seq", "clock", "lateness")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._calls: SortedDict[Key, tuple[Callable[..., object], tuple[Any, ...]]] = SortedDict()
        self._seq = 0
        self.lateness = 0.0

    def __len__(self) -> int:
        return len(self._calls)

    def call_at(self, due_at: float, callback: Callable[..., object], *args: Any) -> Key:
        """Calls ``callback`` with ``args`` at a time in ms; returns the key for :meth:`cancel`."""
        self._seq += 1
        key = (due_at, self._seq)
        self._calls[key] = callback, args
        return key

    def call_after(self, delay: float, callback: Callable[..., object], *args: Any) -> Key:
        """Calls ``callback`` with ``args`` after a delay in ms; returns the key for :meth:`cancel`."""
        return self.call_at(self.clock() + delay, callback, *args)

    def cancel(self, key: Key | None) -> None:
        """Cancels a deadline; has no effect if the deadline has passed or the key is None."""
        if key is not None:
            self._calls.pop(key, None)

    def next_due(self) -> float | None:
        """Returns the time of the earliest deadline; None if there is no deadline."""
        return float(self._calls.peekitem(0)[0][0]) if self._calls else None

    def run_due(self) -> int:
        """Calls all functions that are due, in order, and returns how many were called.

        A deadline that is added during this call waits for the next call, even if it is due already.
        """
        called, now = 0, self.clock()
        due = list(self._calls.irange(maximum=(now, self._seq)))
        self.lateness = now - due[0][0] if due else 0.0
        for key in due:
            entry = self._calls.pop(key, None)
            if entry is not None:  # an earlier callback may have cancelled this deadline
                called += 1
                entry[0](*entry[1])
        return called

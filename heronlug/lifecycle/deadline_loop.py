"""Runs the deadlines of the process on the event loop, with a single timer for the earliest deadline."""

import asyncio
from collections.abc import Callable

from heronlug.lifecycle.log import Log
from heronlug.requests.deadlines import Clock, Deadlines

LATE_TIMER_MS = 250.0
"""Lateness from which a timer is logged, in ms."""


class DeadlineLoop:
    """The deadlines of the process and the timer that runs them.

    Attributes:
        clock: The clock of the process, in ms.
        deadlines: The deadlines, ordered by time.
        before_deadlines: Called in each turn before the deadlines that are due.
    """

    def __init__(self, log: Log) -> None:
        """Creates a loop without deadlines; an event loop must run by the time of the first deadline."""
        self.clock = Clock()
        self.deadlines = Deadlines(self.clock.now)
        self.before_deadlines: Callable[[], None] = lambda: None
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        self._armed_for: float | None = None

    def turn(self) -> None:
        """Runs the due deadlines and sets the timer for the next deadline."""
        try:
            self.before_deadlines()
            self.deadlines.run_due()
        except Exception as error:  # an exception of one deadline must not stop the other deadlines
            self._log("exception", where="deadlines", error=repr(error))
        next_due = self.deadlines.next_due()
        self._log_lateness()
        if next_due != self._armed_for:
            self._arm(next_due)

    def _arm(self, due_at: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._armed_for = due_at
        if due_at is not None:
            delay_s = max(0.0, due_at - self.clock.now()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._fire)

    def _log_lateness(self) -> None:
        """Logs a late timer, which shows that the event loop was blocked or the process got no CPU time."""
        lateness = self.deadlines.lateness
        if lateness >= LATE_TIMER_MS:
            self._log("late_turn", ms=round(lateness, 1), deadlines=len(self.deadlines))

    def _fire(self) -> None:
        self._timer = None
        self._armed_for = None
        self.turn()

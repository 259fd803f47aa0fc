"""What the decisions have to do later, behind as few timers as will do."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from heronlug import interface as pk
from heronlug.decisions.model import Job


class Agenda:
    """Things to do later, with as few timers at the host as will do."""

    __slots__ = ("_due", "_seq", "_timers")

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Callable[[Any, float], None], Any]] = []
        self._seq = 0
        self._timers: list[float] = []  # times of the timers that are out

    def at(self, when: float, what: Callable[[Any, float], None], whom: object) -> None:
        """Call ``what(whom, now)`` at that time, unless ``whom`` is a job that is over by then."""
        self._seq += 1
        heappush(self._due, (when, self._seq, what, whom))

    def fired(self) -> None:
        """A timer fired.  They fire in order, and the host may round one to just before its time."""
        if self._timers:
            heappop(self._timers)

    def run(self, now: float, jobs: dict[int, Job], out: list[pk.Action]) -> None:
        """Do what is due, drop what is over, and have a timer out for the earliest of the rest."""
        due = self._due
        while due:
            when, _, what, whom = due[0]
            if isinstance(whom, Job) and jobs.get(whom.id) is not whom:
                heappop(due)
            elif when <= now:
                heappop(due)
                what(whom, now)
            else:
                if not self._timers or when < self._timers[0]:
                    heappush(self._timers, when)
                    out.append(pk.SetTimer(when - now, 0))
                return

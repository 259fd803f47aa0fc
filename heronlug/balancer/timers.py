"""What a dispatcher has to do later, behind as few timers of its host as will do."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple, TypeVar

from heronlug.balancer.actions import SetTimer
from heronlug.balancer.model import Request
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.outbox import Outbox

Subject = TypeVar("Subject")
TIMER_TOKEN = 0
"""The token of all timers: which of them fired makes no difference."""


class DueCall(NamedTuple):
    """A call that is due at a time; calls of the same time keep their order."""

    when: float
    sequence: int
    call: Callable[[Any, float], None]  # takes the subject, as call_at() has checked
    subject: object


class TimerQueue:
    """Calls to make later."""

    __slots__ = ("_armed_timers", "_due", "_sequence")

    def __init__(self) -> None:
        self._due: list[DueCall] = []
        self._sequence = 0
        self._armed_timers: list[float] = []  # times of the host's timers that have not fired

    def call_at(self, when: float, call: Callable[[Subject, float], None], subject: Subject) -> None:
        """Call ``call(subject, now)`` at that time, unless the subject is a request that is over by then."""
        self._sequence += 1
        heappush(self._due, DueCall(when, self._sequence, call, subject))

    def timer_fired(self) -> None:
        """Note that a timer has fired: they fire in order, and a host may round one to just before its time."""
        if self._armed_timers:
            heappop(self._armed_timers)

    def run_due(self, now: float, open_requests: OpenRequests, outbox: Outbox) -> None:
        """Make the calls that are due, drop those that are void, and set a timer for the first of the others."""
        while self._due:
            when, _, call, subject = self._due[0]
            if isinstance(subject, Request) and not open_requests.is_open(subject):
                heappop(self._due)
            elif when <= now:
                heappop(self._due)
                call(subject, now)
            else:
                if not self._armed_timers or when < self._armed_timers[0]:
                    heappush(self._armed_timers, when)
                    outbox.add(SetTimer(when - now, TIMER_TOKEN))
                return

"""Schedules calls at later times, with as few timers of the surrounding process as possible."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple, TypeVar

from heronlug.balancer.actions import SetTimer
from heronlug.balancer.model import Request
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.outbox import Outbox

Subject = TypeVar("Subject")
TIMER_TOKEN = 0
"""Token of all timers; a single token suffices because the handling of a timer does not depend on which one fired."""


class DueCall(NamedTuple):
    """A call that is due at a time in ms; calls that are due at the same time keep their order."""

    when: float
    sequence: int
    call: Callable[[Any, float], None]  # accepts the subject: call_at() checks the types
    subject: object


class TimerQueue:
    """Queue of the calls that are due later."""

    __slots__ = ("_armed_timers", "_due", "_sequence")

    def __init__(self) -> None:
        self._due: list[DueCall] = []
        self._sequence = 0
        self._armed_timers: list[float] = []  # due times of the timers that have not fired

    def call_at(self, when: float, call: Callable[[Subject, float], None], subject: Subject) -> None:
        """Schedules ``call(subject, now)`` at a time, unless the subject is a request that is closed by then."""
        self._sequence += 1
        heappush(self._due, DueCall(when, self._sequence, call, subject))

    def timer_fired(self) -> None:
        """Records that the first timer has fired; timers fire in order, possibly rounded to just before their time."""
        if self._armed_timers:
            heappop(self._armed_timers)

    def run_due(self, now: float, open_requests: OpenRequests, outbox: Outbox) -> None:
        """Makes the due calls, drops the calls of closed requests, and sets a timer for the first remaining call."""
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

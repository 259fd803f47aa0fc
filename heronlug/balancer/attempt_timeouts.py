"""Cancels attempts that exceed the attempt timeout of their request class."""

from heronlug.balancer.actions import CancelAttempt
from heronlug.balancer.model import Attempt
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.timers import TimerQueue


class AttemptTimeouts:
    """Sets and handles the timers for attempt timeouts."""

    __slots__ = ("_open_requests", "_outbox", "_timers")

    def __init__(self, timers: TimerQueue, open_requests: OpenRequests, outbox: Outbox) -> None:
        self._timers, self._open_requests, self._outbox = timers, open_requests, outbox

    def watch(self, attempt: Attempt, now: float) -> None:
        """Sets the timer of an attempt if its class has an attempt timeout."""
        timeout = attempt.request.policy.attempt_timeout
        if timeout:
            self._timers.call_at(attempt.sent_at + timeout, self._on_timeout, attempt)

    def _on_timeout(self, attempt: Attempt, _: float) -> None:
        """Cancels the attempt; whether a retry may follow is decided when the attempt ends, as it may have run."""
        request = attempt.request
        if attempt.in_flight and self._open_requests.is_open(request):
            attempt.timed_out = True
            self._outbox.add(CancelAttempt(request.id, request.attempts.index(attempt)))

"""Starts hedges: second attempts of a request while an earlier attempt is in flight.

A request is hedged in these cases:

* The only attempt in flight has been in flight for the ``hedge_after`` time of the class.
* The start of an attempt is overdue, so that the attempt waits behind others, where servers report starts and the
  settings allow hedging.
* All attempts in flight are silent.

A hedge is sent only to a server that :mod:`heronlug.balancer.selection` finds to have room.  A non-idempotent request
is never hedged.
"""

from math import log

from heronlug.balancer.attempt_starts import AttemptStarts
from heronlug.balancer.attempts import AttemptStarter
from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.queue import RequestQueue
from heronlug.balancer.selection import Selection
from heronlug.balancer.state import BalancerState


class Hedging:
    """Watches attempts in flight and hedges their requests."""

    __slots__ = (
        "_can_hedge",
        "_open_requests",
        "_queue",
        "_recheck_after",
        "_run_times",
        "_selection",
        "_settings",
        "_starter",
        "_starts",
        "_timers",
    )

    def __init__(
        self,
        state: BalancerState,
        starts: AttemptStarts,
        selection: Selection,
        starter: AttemptStarter,
        queue: RequestQueue,
    ) -> None:
        self._settings, self._can_hedge = state.settings, state.derived.can_hedge
        self._recheck_after = state.derived.recheck_interval
        self._timers, self._open_requests, self._run_times = state.timers, state.open_requests, state.run_times
        self._starts, self._selection, self._starter, self._queue = starts, selection, starter, queue

    def watch(self, attempt: Attempt, now: float) -> None:
        """Sets the timer after which an attempt in flight may be hedged."""
        request, policy = attempt.request, attempt.request.policy
        if not policy.hedge or request.non_idempotent:
            return
        if policy.hedge_after:
            self._timers.call_at(attempt.sent_at + policy.hedge_after, self._on_hedge_delay_elapsed, attempt)
        elif self._can_hedge and attempt.unstarted:
            delay = self._starts.delays[attempt.server.zone].upper_bound(self._settings.dial_timeout)
            self._timers.call_at(now + delay + self._recheck_after, self._on_start_overdue, attempt)

    def hedge_silent(self, attempt: Attempt, now: float) -> None:
        """Hedges a request if all its attempts are silent and no request that can still be in time is queued."""
        request, policy = attempt.request, attempt.request.policy
        if not self._open_requests.is_open(request):
            return
        allowed = self._can_hedge and policy.hedge and not request.non_idempotent
        if not allowed or now < attempt.sent_at + policy.hedge_after:
            return
        all_silent = all(other.silent or not other.in_flight for other in request.attempts)
        if all_silent and not self._queue.in_time:
            self._start_hedge(request, now)

    def _on_hedge_delay_elapsed(self, attempt: Attempt, now: float) -> None:
        """Hedges a request if the attempt is still its only attempt in flight after ``hedge_after``."""
        request = attempt.request
        in_flight = [other for other in request.attempts if other.in_flight]
        if not self._open_requests.is_open(request) or in_flight != [attempt]:
            return
        if not self._start_hedge(request, now) and len(request.attempts) < request.max_attempts:
            self._timers.call_at(now + self._recheck_after, self._on_hedge_delay_elapsed, attempt)

    def _on_start_overdue(self, attempt: Attempt, now: float) -> None:
        """Marks the server of an overdue start as saturated, and hedges the request."""
        request, server = attempt.request, attempt.server
        if not attempt.unstarted or not self._open_requests.is_open(request):
            return
        self._starts.record_wait(attempt)
        other_slots = max(1.0, server.capacity.slots - 1)
        # Estimated time until the first of this many runs ends, if run times are independent and exponential.
        expected_wait = self._run_times.overall * log(1 + 1 / other_slots)
        server.outlier.saturated_until = now + expected_wait
        if any(other.in_flight and not other.unstarted for other in request.attempts):
            return
        if not self._start_hedge(request, now) and len(request.attempts) < request.max_attempts:
            self._timers.call_at(now + self._recheck_after, self._on_start_overdue, attempt)

    def _start_hedge(self, request: Request, now: float) -> bool:
        server = self._selection.choose(request, now)
        if server is None:
            return False
        self._starter.start(request, server, now)
        return True

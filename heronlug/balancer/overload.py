"""Overload, as the starts of our own attempts show it where nothing else does.

Where dispatchers don't exchange load reports and servers report nothing but starts, a dispatcher sees of the fleet only
how long its own attempts wait for a start.  A fleet that ignores this stays overloaded once it is: all servers are busy
with requests that are late already.  So, where starts are reported and dispatchers are many:

* Requests are queued here during an overload.  By Little's law the attempts that wait at servers over those that run
  there give the wait, in run times.  While that exceeds ``WAIT_SHARE`` of what a request has left until it must start,
  it is queued, the newest first; an overdue request whose late answer is worth nothing is given up at once.  An attempt
  that is late where it waits shows an unresponsive server and does not count.
* A run is counted from its start.  With the wait in it, the latency objective of a request that grows with its run
  time would grow in an overload, and the work that a server can take while it warms up would shrink.
"""

from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.run_times import RunTimes

WAIT_SHARE = 0.5
"""Share of a request's time until its latest start: half of all requests wait for longer than the mean."""


class OverloadDetector:
    """Says whether servers are overloaded, where only starts tell."""

    __slots__ = ("_open_requests", "_run_times", "_sees_starts_only")

    def __init__(self, open_requests: OpenRequests, run_times: RunTimes, *, sees_starts_only: bool) -> None:
        """Make it; ``sees_starts_only``: no load is reported, neither by servers nor by the many other dispatchers."""
        self._open_requests, self._run_times = open_requests, run_times
        self._sees_starts_only = sees_starts_only

    def run_time(self, attempt: Attempt, latency: float, now: float) -> float:
        """How long an attempt that ends now has run, as far as that is known."""
        return now - attempt.started_at if self._sees_starts_only else latency

    def would_wait_too_long(self, request: Request, now: float) -> bool:
        """Whether an attempt that started now would wait too long at any server."""
        if not self._sees_starts_only:
            return False
        attempts = self._open_requests.attempts.values()
        waiting = sum(attempt.unstarted and now < attempt.request.due_at for attempt in attempts)
        running = sum(not attempt.unstarted for attempt in attempts)
        acceptable_wait = WAIT_SHARE * max(0.0, request.latest_start - now)
        return waiting > 1 and waiting * self._run_times.overall > (running + 1) * acceptable_wait

    def is_hopeless(self, request: Request, now: float) -> bool:
        """Whether an overdue request would not end in time, or be worth nothing during an overload."""
        if now > request.give_up_at - self._run_times.expected(request):
            return True
        worthless = now > request.latest_start and not request.policy.late_value
        return self._sees_starts_only and worthless

"""Detects an overload of the servers from the starts of this dispatcher's own attempts.

Where dispatchers exchange no load reports and servers report only starts, a dispatcher observes the servers' load only
by the time that its attempts wait for a start. If that wait is ignored, an overload doesn't end: all servers
stay busy with requests that are already late. Where servers report starts and there are many dispatchers, therefore:

* Requests are queued in the dispatcher during an overload. By Little's law, the number of attempts that wait at servers
  divided by the number that run there is the wait in run times. While this wait exceeds ``WAIT_SHARE`` of the time
  until the latest start of a request, the request is queued, the newest first. An overdue request whose late answer has
  no value is given up at once. A waiting attempt that is already late indicates an unresponsive server and is not
  counted.
* A run time is counted from the start. If the run time included the wait, a latency objective that depends on the run
  time would grow during an overload, and the work that a warming server can take would shrink.
"""

from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.run_times import RunTimes

WAIT_SHARE = 0.5
"""Largest mean wait as a share of the time until the latest start, because half of the requests wait longer."""


class OverloadDetector:
    """Detects whether servers are overloaded, where starts are the only sign."""

    __slots__ = ("_open_requests", "_run_times", "_sees_starts_only")

    def __init__(self, open_requests: OpenRequests, run_times: RunTimes, *, sees_starts_only: bool) -> None:
        """Creates the detector.

        Args:
            open_requests: requests and attempts in flight.
            run_times: mean run times.
            sees_starts_only: whether neither servers nor the many other dispatchers report load.
        """
        self._open_requests, self._run_times = open_requests, run_times
        self._sees_starts_only = sees_starts_only

    def run_time(self, attempt: Attempt, latency: float, now: float) -> float:
        """Returns the run time in ms of an attempt that ends now, or the latency where load is reported."""
        return now - attempt.started_at if self._sees_starts_only else latency

    def would_wait_too_long(self, request: Request, now: float) -> bool:
        """Returns whether an attempt that is sent now would wait too long at any server."""
        if not self._sees_starts_only:
            return False
        attempts = self._open_requests.attempts.values()
        waiting = sum(attempt.unstarted and now < attempt.request.due_at for attempt in attempts)
        running = sum(not attempt.unstarted for attempt in attempts)
        acceptable_wait = WAIT_SHARE * max(0.0, request.latest_start - now)
        return waiting > 1 and waiting * self._run_times.overall > (running + 1) * acceptable_wait

    def is_hopeless(self, request: Request, now: float) -> bool:
        """Returns whether an overdue request would not end in time, or has no value during an overload."""
        if now > request.give_up_at - self._run_times.expected(request):
            return True
        worthless = now > request.latest_start and not request.policy.late_value
        return self._sees_starts_only and worthless

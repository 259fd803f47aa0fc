"""Admits requests and assigns their class, due time, value and quota status.

A request is due after the latency objective of its class, which may grow with the work of the request.  A request is
overdue once an attempt that starts now is expected to end after the due time.  Requests of a tenant beyond its quota
are not rejected but served as if overdue.  :mod:`heronlug.requests.core` decides which requests are rejected on
arrival.
"""

from heronlug.balancer.estimates import ClassValues, TokenBucket
from heronlug.balancer.events import RequestArrived
from heronlug.balancer.model import Request
from heronlug.balancer.retries import ArrivalCount
from heronlug.balancer.run_times import RunTimes
from heronlug.balancer.settings import Settings

QUOTA_SLACK = 1.2
"""A tenant may send this many times its quota share of the requests of this dispatcher."""

QUOTA_BURST = 4.0
"""Number of requests beyond that share that a tenant may send in a burst."""

SLOT_WAIT_SHARE = 1 / 4
"""Share of the time until its latest start for which a request may wait for a slot to be observed as free."""


class Admission:
    """Creates the record of each admitted request."""

    __slots__ = ("_arrivals", "_class_values", "_quotas", "_run_times", "_settings")

    def __init__(
        self, settings: Settings, arrivals: ArrivalCount, run_times: RunTimes, class_values: ClassValues
    ) -> None:
        self._settings, self._run_times = settings, run_times
        self._arrivals, self._class_values = arrivals, class_values
        total = sum(settings.quotas) or 1.0
        self._quotas = [TokenBucket(QUOTA_BURST, QUOTA_SLACK * quota / total) for quota in settings.quotas]

    def admit(self, arrival: RequestArrived, now: float) -> Request:
        """Returns a new request that was accepted at time ``now``, which may be in the past after a handover."""
        policy = arrival.policy or self._settings.classes[arrival.request_class]
        request = Request(arrival, policy)
        request.max_attempts = self._settings.max_attempts_of(policy)
        self._arrivals.value += 1
        request.over_quota = self._is_over_quota(arrival.tenant)
        run_time = self._run_times.expected(request)
        work = request.work_hint or run_time
        request.due_at = min(now + policy.latency_objective + policy.latency_factor * work, request.give_up_at)
        request.latest_start = request.due_at - run_time
        request.wait_for_slot_until = now + (request.latest_start - now) * SLOT_WAIT_SHARE
        request.work = work * request.slots
        request.value = policy.priority_weight * run_time * request.slots
        self._class_values.record_requested(request.class_index, request.value)
        return request

    def _is_over_quota(self, tenant: int) -> bool:
        """Returns whether a tenant has used up its quota, measured against the requests of this dispatcher alone."""
        return tenant < len(self._quotas) and not self._quotas[tenant].take(self._arrivals.value)

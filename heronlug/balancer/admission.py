"""Admission: with which class, quota and times a request is taken on.

Inputs: the arrival with its class and tenant, and the expected run time.  A request is due after the latency objective
of its class, which may grow with its work; it is overdue from the moment at which it could no longer end by then.  A
tenant beyond its quota is not rejected: its requests are served as if they were overdue. What is not taken on at all is
decided in :mod:`heronlug.requests.core`.
"""

from heronlug.balancer.estimates import ClassValues, TokenBucket
from heronlug.balancer.events import RequestArrived
from heronlug.balancer.model import Request
from heronlug.balancer.retries import ArrivalCount
from heronlug.balancer.run_times import RunTimes
from heronlug.balancer.settings import Settings

QUOTA_SLACK = 1.2
"""A tenant may have this many times its share of our requests."""

QUOTA_BURST = 4.0
"""Requests beyond that which a tenant may have at once."""

SLOT_WAIT_SHARE = 1 / 4
"""Share of the time until its latest start in which a request may wait for a slot that is seen to become free."""


class Admission:
    """Accepts requests."""

    __slots__ = ("_arrivals", "_class_values", "_quotas", "_run_times", "_settings")

    def __init__(
        self, settings: Settings, arrivals: ArrivalCount, run_times: RunTimes, class_values: ClassValues
    ) -> None:
        self._settings, self._run_times = settings, run_times
        self._arrivals, self._class_values = arrivals, class_values
        total = sum(settings.quotas) or 1.0
        self._quotas = [TokenBucket(QUOTA_BURST, QUOTA_SLACK * quota / total) for quota in settings.quotas]

    def admit(self, arrival: RequestArrived, now: float) -> Request:
        """Accept a request that arrives, or arrived, at this time."""
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
        """Whether a tenant has had its share of our requests; all traffic is not seen from here."""
        return tenant < len(self._quotas) and not self._quotas[tenant].take(self._arrivals.value)

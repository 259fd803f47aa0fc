"""Retries: what the effect of a request, its limits and the retry budget allow after an attempt.

A request that may have run is sent again only if its effect allows it: always if it is idempotent, within the repeat
window of its class if it is idempotent by key, and never otherwise.  A second attempt beside one in flight has to be
allowed by the settings and by its class as well.  All attempts beyond the first take a token of one retry budget, which
refills with the requests that are admitted.
"""

from heronlug.balancer.actions import GiveUpReason
from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.estimates import TokenBucket
from heronlug.balancer.events import Outcome
from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.settings import Effect, Settings

MAX_REJECTIONS = 2
"""Servers that find fault with a request before it is given up; with one, it is if no other server has room now."""


class ArrivalCount:
    """Counts admitted requests: the clock by which the retry budget and the tenants' quotas refill."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0


class RetryBudget:
    """Tokens for attempts beyond the first of a request: a share of the requests admitted, with a burst."""

    __slots__ = ("_arrivals", "_tokens")

    def __init__(self, settings: Settings, arrivals: ArrivalCount) -> None:
        self._arrivals = arrivals
        self._tokens = TokenBucket(settings.retry_burst, settings.retry_share)

    @property
    def level(self) -> float:
        """The tokens that there were at the last call."""
        return self._tokens.level

    def set_level(self, level: float) -> None:
        """Set the tokens that there are now."""
        self._tokens.set_level(level, self._arrivals.value)

    def allows(self, request: Request) -> bool:
        """Whether there is a token for the next attempt of a request, or it needs none.

        The first attempt needs none, nor does a copy of attempts that have not started: together they are one run.
        """
        return _needs_no_token(request) or self._tokens.has(self._arrivals.value)

    def is_spent(self) -> bool:
        """Whether there is no token."""
        return not self._tokens.has(self._arrivals.value)

    def spend(self, request: Request) -> None:
        """Take the token of an attempt that starts now."""
        if not _needs_no_token(request):
            self._tokens.take(self._arrivals.value)


class RetryRules:
    """Whether a request may have another attempt, and when it is given up instead."""

    __slots__ = ("_budget", "_dial_allowance", "_hedging")

    def __init__(self, settings: Settings, derived: DerivedSettings, budget: RetryBudget) -> None:
        self._budget = budget
        self._hedging = settings.hedging
        self._dial_allowance = derived.dial_allowance

    def allow_attempt(self, request: Request, now: float) -> bool:
        """Whether a request that has had attempts may have another one now, at whichever server."""
        if not self._budget.allows(request):
            return False
        possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        another_in_flight = any(attempt.in_flight for attempt in possibly_run)
        if len(request.attempts) >= request.max_attempts:
            return False
        if another_in_flight and not (self._hedging and request.policy.hedge):
            return False
        if not possibly_run or request.policy.effect is Effect.IDEMPOTENT:
            return True
        by_key = request.policy.effect is Effect.IDEMPOTENT_BY_KEY
        return by_key and not request.repeat_window_over_by(now + self._dial_allowance)


def reason_to_give_up(attempt: Attempt, outcome: Outcome | int) -> GiveUpReason | None:
    """Why the request of an attempt that has ended unserved is given up; None where it may go on."""
    request = attempt.request
    if outcome == Outcome.CANCELLED_BEFORE_START:
        return GiveUpReason.CANCELLED_BEFORE_START
    if attempt.may_have_run and request.non_idempotent:
        return GiveUpReason.MAY_HAVE_RUN
    if len(request.rejected_by) >= MAX_REJECTIONS:
        return GiveUpReason.FAULTY
    timed_out = any(other.timed_out for other in request.attempts)
    if timed_out and not request.in_flight and not request.policy.retry_after_timeout:
        return GiveUpReason.OVERRUN
    return None


def _needs_no_token(request: Request) -> bool:
    """Whether the next attempt needs no token: there is none yet, or none of those before has started."""
    return all(attempt.unstarted for attempt in request.attempts)

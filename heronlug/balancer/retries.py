"""Decides whether a request may have another attempt, by its effect, its limits and the retry budget.

A request that may have run is sent again only if its effect allows a second run: always if the request is idempotent,
within the repeat window of its class if the request is idempotent by key, and never otherwise. A second attempt
beside an attempt in flight also has to be allowed by the settings and by the request class. Each attempt after the
first takes a token of one retry budget, which refills with the admitted requests.
"""

from heronlug.balancer.actions import GiveUpReason
from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.estimates import TokenBucket
from heronlug.balancer.events import Outcome
from heronlug.balancer.model import Attempt, Request
from heronlug.balancer.settings import Effect, Settings

MAX_REJECTIONS = 2
"""Servers that reject a request as invalid before the request is given up.

After a single such rejection the request is given up only if no other server has room now.
"""


class ArrivalCount:
    """Counts admitted requests; the retry budget and the tenants' quotas refill by this count.

    Attributes:
        value: number of requests admitted so far.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0


class RetryBudget:
    """Limits the attempts after the first of a request to a share of the admitted requests, plus a burst."""

    __slots__ = ("_arrivals", "_tokens")

    def __init__(self, settings: Settings, arrivals: ArrivalCount) -> None:
        self._arrivals = arrivals
        self._tokens = TokenBucket(settings.retry_burst, settings.retry_share)

    @property
    def level(self) -> float:
        """The number of tokens at the last call of another method."""
        return self._tokens.level

    def set_level(self, level: float) -> None:
        """Sets the number of tokens that are available now."""
        self._tokens.set_level(level, self._arrivals.value)

    def allows(self, request: Request) -> bool:
        """Returns whether the next attempt of a request needs no token or a token is available.

        The first attempt needs no token, nor does a hedge of attempts that have not started, because together these
        attempts are a single run.
        """
        return _needs_no_token(request) or self._tokens.has(self._arrivals.value)

    def is_spent(self) -> bool:
        """Returns whether the retry budget has no token left."""
        return not self._tokens.has(self._arrivals.value)

    def spend(self, request: Request) -> None:
        """Takes the token that an attempt starting now needs, if any."""
        if not _needs_no_token(request):
            self._tokens.take(self._arrivals.value)


class RetryRules:
    """Checks whether a request may have another attempt."""

    __slots__ = ("_budget", "_dial_allowance", "_hedging")

    def __init__(self, settings: Settings, derived: DerivedSettings, budget: RetryBudget) -> None:
        self._budget = budget
        self._hedging = settings.hedging
        self._dial_allowance = derived.dial_allowance

    def allow_attempt(self, request: Request, now: float) -> bool:
        """Returns whether a request that has had attempts may have another attempt now, at any server."""
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
    """Returns why the request of an unserved attempt is given up, or None if the request may have another attempt."""
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
    """Returns whether the next attempt needs no token, because no earlier attempt of the request has started."""
    return all(attempt.unstarted for attempt in request.attempts)

"""Defines the settings of a dispatcher: the request classes and the settings shared by all classes.

All times and durations are milliseconds on one monotonic clock; ids are integers chosen by the caller.
"""

from dataclasses import dataclass
from enum import Enum

from heronlug.balancer.errors import SettingsError


class Effect(Enum):
    """Whether a request may be repeated once an attempt may have run; the values appear in the platform's settings."""

    IDEMPOTENT = "repeatable"
    """The request may be repeated at any time."""

    IDEMPOTENT_BY_KEY = "by_key"
    """The request may be repeated within its repeat window, at servers that drop repeats by its idempotency key."""

    NON_IDEMPOTENT = "once"
    """The request may be repeated only if every earlier attempt provably did not run."""


class KeyScope(Enum):
    """Deduplication group: the servers that drop repeats of a request that is idempotent by key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One request class: the value of an answer, the effect of a request and the limits on its attempts.

    Attributes:
        latency_objective: time in ms within which an answer earns its full weight; above 0.
        deadline: time in ms that the client waits; above 0.
        effect: whether a request may run twice.
        latency_factor: the latency objective grows by this factor times the work of the request.
        priority_weight: weight of an answer within the latency objective, per unit of work.
        late_value: share of that weight for an answer after the latency objective.
        key_scope: the servers that drop repeats of a request that is idempotent by key.
        repeat_window: time in ms for which those servers drop repeats.
        server_kind: the machine type that the class requires, -1 for any.
        name: a display name.
        max_attempts: maximum number of attempts, 0 for the maximum of the settings.
        attempt_timeout: time in ms after which an attempt is cancelled, 0 for never.
        retry_after_timeout: whether a retry may follow an attempt that timed out, if the effect allows one.
        retry_backoff: delays in ms before the 2nd, 3rd ... attempt; the last delay applies to all further attempts.
        hedge: whether a request may be hedged, if the settings and the effect allow a hedge.
        hedge_after: time in flight in ms after which a request is hedged; 0 for no fixed time, in which case a request
            is hedged when the start of an attempt is overdue.
        give_up_after: longest time in ms before a request is given up, 0 for the deadline.

    Raises:
        SettingsError: if a value is out of range.
    """

    latency_objective: float
    deadline: float
    effect: Effect = Effect.NON_IDEMPOTENT
    latency_factor: float = 0.0
    priority_weight: float = 1.0
    late_value: float = 0.0
    key_scope: KeyScope = KeyScope.ALL
    repeat_window: float = 0.0
    server_kind: int = -1
    name: str = ""
    max_attempts: int = 0
    attempt_timeout: float = 0.0
    retry_after_timeout: bool = True
    retry_backoff: tuple[float, ...] = ()
    hedge: bool = True
    hedge_after: float = 0.0
    give_up_after: float = 0.0

    def __post_init__(self) -> None:
        for key in ("latency_objective", "deadline"):
            _require(getattr(self, key) > 0, key, getattr(self, key), "a value above 0")
        for key in ("latency_factor", "priority_weight", "late_value", "repeat_window"):
            _require(getattr(self, key) >= 0, key, getattr(self, key), "0 or more")
        for key in ("max_attempts", "attempt_timeout", "hedge_after", "give_up_after"):
            _require(getattr(self, key) >= 0, key, getattr(self, key), "0 or more")
        _require(
            all(wait >= 0 for wait in self.retry_backoff), "retry_backoff", self.retry_backoff, "delays of 0 or more"
        )

    def backoff_before(self, number: int) -> float:
        """Returns the delay in ms before an attempt; ``number`` counts from 0, and the first attempt has no delay."""
        if not self.retry_backoff or not number:
            return 0.0
        return self.retry_backoff[min(number, len(self.retry_backoff)) - 1]


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a dispatcher.

    Attributes:
        classes: the request classes, by index; at least one.
        instances: number of dispatchers that share the servers, including this dispatcher.
        position: position of this dispatcher among the instances, from 0.
        zone: the number of the zone of this dispatcher.
        tenants: names of the tenants, in the order of their quotas.
        quotas: requests per second of each tenant over all instances; only the ratios of the quotas are used.
        report_fields: names of the values in a server's load report.
        list_pushed: whether changes of the endpoint list arrive without a poll.
        poll_interval: longest time in ms between two polls of the endpoint list without a subscription.
        max_attempts: maximum number of attempts of a request.
        hedging: whether two attempts of a request may be in flight at once; a class may forbid hedging for itself.
        may_cancel: whether attempts may be cancelled.
        gossip: whether dispatchers may send each other short messages.
        dial_timeout: longest time in ms to open a connection to a server.
        tick: time step of the host in ms.
        answer_slack: time in ms that an answer needs to reach the client.
        progress_interval: time in ms between two progress reports of an attempt, 0 for no progress reports.
        reports_start: whether servers report the start of an attempt.
        drain_grace: time in ms for which a server that is notified as draining may still receive requests.
        warmup_capacity: smallest share of its capacity that a newly started server has.
        warmup_time: time in ms after which a newly started server has its full capacity.
        overload_multiple: a server that warms up fails under more work than its current capacity times this factor.
        overload_window: time in ms over which that work is summed.
        cross_zone_price: deduction from the payoff (from 0 to 1) of an attempt in another zone.
        worst_class_weight: weight of the worst-served class in the goal, from 0 to 1; the whole goal has weight 1.
        cpu_per_request: limit on the CPU time in microseconds for a request and its outcomes; 0 for no limit.
        retry_share: number of retries allowed per admitted request.
        retry_burst: number of retries beyond that share that may be sent in a burst.
        zone_failover: whether traffic leaves a zone that fails as a whole and returns in stages.
        lends_capacity: whether dispatchers lend each other their capacity shares of servers that warm up.
        waste_price: price of work that served no answer, relative to the weight of that work.

    Raises:
        SettingsError: if a value is out of range.
    """

    classes: tuple[RequestClass, ...]
    instances: int = 1
    position: int = 0
    zone: int = 0
    tenants: tuple[str, ...] = ()
    quotas: tuple[float, ...] = ()
    report_fields: tuple[str, ...] = ()
    list_pushed: bool = False
    poll_interval: float = 10_000.0
    max_attempts: int = 3
    hedging: bool = False
    may_cancel: bool = False
    gossip: bool = False
    dial_timeout: float = 250.0
    tick: float = 1.0
    answer_slack: float = 0.0
    progress_interval: float = 0.0
    reports_start: bool = False
    drain_grace: float = 0.0
    warmup_capacity: float = 1.0
    warmup_time: float = 0.0
    overload_multiple: float = 1.0
    overload_window: float = 1000.0
    cross_zone_price: float = 0.0
    worst_class_weight: float = 0.0
    cpu_per_request: float = 0.0
    retry_share: float = 0.2
    retry_burst: float = 20.0
    zone_failover: bool = False
    lends_capacity: bool = False
    waste_price: float = 0.0

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", self.classes, "at least one class")
        for key in ("instances", "max_attempts"):
            _require(getattr(self, key) >= 1, key, getattr(self, key), "1 or more")
        for key in ("poll_interval", "dial_timeout", "tick", "overload_multiple", "overload_window"):
            _require(getattr(self, key) > 0, key, getattr(self, key), "a value above 0")
        for key in ("progress_interval", "drain_grace", "warmup_time", "answer_slack"):
            _require(getattr(self, key) >= 0, key, getattr(self, key), "0 or more")
        _require(0 <= self.worst_class_weight <= 1, "worst_class_weight", self.worst_class_weight, "0 to 1")
        _require(0 < self.warmup_capacity <= 1, "warmup_capacity", self.warmup_capacity, "a value above 0, up to 1")

    def max_attempts_of(self, request_class: RequestClass) -> int:
        """Returns the maximum number of attempts of a request of this class."""
        return min(request_class.max_attempts or self.max_attempts, self.max_attempts)


def _require(is_valid: bool, key: str, value: object, accepted: str) -> None:
    if not is_valid:
        raise SettingsError(key, value, accepted)

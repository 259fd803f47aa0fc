"""What a dispatcher is configured with: the request classes, and the settings that all of them share.

All times and spans are milliseconds on one clock that only goes forward; ids are integers chosen by the caller.
"""

from dataclasses import dataclass
from enum import Enum

from heronlug.balancer.errors import SettingsError


class Effect(Enum):
    """What may be done with a request once it may have run; the values stand in the platform's settings."""

    IDEMPOTENT = "repeatable"
    """It may be sent again at any time."""

    IDEMPOTENT_BY_KEY = "by_key"
    """It may be sent again for a while, to servers that drop repeats by its idempotency key."""

    NON_IDEMPOTENT = "once"
    """It is never sent again, unless every earlier attempt provably never ran."""


class KeyScope(Enum):
    """The group of servers that drops repeats of a request that is idempotent by key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: what an answer is worth, and what its effect and its limits allow.

    Attributes:
        latency_objective: an answer within this time earns its full weight.
        deadline: the client waits this long.
        effect: whether it may run twice.
        latency_factor: the latency objective grows by this many times the work of the request.
        priority_weight: weight of an answer in time, for each unit of work.
        late_value: share of that weight for an answer after the latency objective.
        key_scope: servers that drop repeats, where it is idempotent by key.
        repeat_window: how long they do so.
        server_kind: the kind of server that it needs, -1 for any.
        name: for people.
        max_attempts: attempts at most, 0 for as many as the settings allow.
        attempt_timeout: an attempt is cancelled after this time, 0 for never.
        retry_after_timeout: a retry may follow a cancelled attempt, where the effect allows it.
        retry_backoff: waits before the 2nd, 3rd ... attempt; the last holds for all further ones.
        hedge: a copy may go out beside an attempt, where the settings and the effect allow it.
        hedge_after: time in flight after which that happens; 0 for no fixed time: it happens when a start is overdue.
        give_up_after: the longest that a request is waited for, 0 for its deadline.

    Raises:
        SettingsError: a value is out of range.
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
            _require(getattr(self, key) > 0, key, getattr(self, key))
        for key in ("latency_factor", "priority_weight", "late_value", "repeat_window"):
            _require(getattr(self, key) >= 0, key, getattr(self, key))
        for key in ("max_attempts", "attempt_timeout", "hedge_after", "give_up_after"):
            _require(getattr(self, key) >= 0, key, getattr(self, key))
        _require(all(wait >= 0 for wait in self.retry_backoff), "retry_backoff", self.retry_backoff)

    def backoff_before(self, number: int) -> float:
        """The wait before an attempt, counted from 0; there is none before the first."""
        if not self.retry_backoff or not number:
            return 0.0
        return self.retry_backoff[min(number, len(self.retry_backoff)) - 1]


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a dispatcher is told when it starts.

    Attributes:
        classes: the request classes, by index.
        instances: dispatchers that share the servers, this one included.
        position: which of them this one is, from 0.
        zone: the zone of this dispatcher.
        tenants: names of the tenants, in the order of their quotas.
        quotas: requests a second of each tenant over all instances; only their ratios are used.
        report_fields: names of the values in a server's load report.
        list_pushed: changes of the endpoint list come without a poll.
        poll_interval: without a subscription the list is polled at least this often.
        max_attempts: attempts of a request at most.
        hedging: two attempts of a request may be in flight at once; each class may forbid it for itself.
        may_cancel: attempts may be cancelled.
        gossip: dispatchers may send each other short messages.
        dial_timeout: longest time for a connection to a server.
        tick: the host's step of time.
        answer_slack: time that an answer takes on its way to the client.
        progress_interval: time between two progress reports of an attempt, 0 for none.
        reports_start: servers report the start of an attempt.
        drain_grace: time in which a server that is notified as draining may still get requests.
        warmup_capacity: share of its capacity that a fresh server has at least.
        warmup_time: it has all of it after this time at most.
        overload_multiple: a server that warms up fails under more work than this times its present capacity.
        overload_window: the time over which that work is added up.
        cross_zone_price: what is taken off the payoff, from 0 to 1, of an attempt in another zone.
        worst_class_weight: weight of the worst-served class in the goal; all of the goal weighs 1.
        cpu_per_request: CPU time that a request with its outcomes may take, in microseconds; 0 for no limit.
        retry_share: retries may be this share of the requests admitted.
        retry_burst: retries beyond that share that may come at once.
        zone_failover: traffic leaves a zone that fails as one, and returns in stages.
        lends_capacity: dispatchers lend each other their shares of servers that warm up.
        waste_price: price of work that served no answer, in weight of that work.

    Raises:
        SettingsError: a value is out of range.
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
        _require(len(self.classes) > 0, "classes", self.classes)
        for key in ("instances", "max_attempts"):
            _require(getattr(self, key) >= 1, key, getattr(self, key))
        for key in ("poll_interval", "dial_timeout", "tick", "overload_multiple", "overload_window"):
            _require(getattr(self, key) > 0, key, getattr(self, key))
        for key in ("progress_interval", "drain_grace", "warmup_time", "answer_slack"):
            _require(getattr(self, key) >= 0, key, getattr(self, key))
        _require(0 <= self.worst_class_weight <= 1, "worst_class_weight", self.worst_class_weight)
        _require(0 < self.warmup_capacity <= 1, "warmup_capacity", self.warmup_capacity)

    def max_attempts_of(self, request_class: RequestClass) -> int:
        """The most attempts that a request of a class may have."""
        return min(request_class.max_attempts or self.max_attempts, self.max_attempts)


def _require(ok: bool, key: str, value: object) -> None:
    if not ok:
        raise SettingsError(key, value)

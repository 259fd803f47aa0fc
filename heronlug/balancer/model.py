"""What a dispatcher keeps of servers, requests and attempts.  Nothing is decided here.

All times are milliseconds on the dispatcher's clock; loads are slots, work is milliseconds of one slot.
"""

from collections import deque

from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import NEVER_RAN, AttemptSnapshot, Outcome, RequestArrived, ServerEntry
from heronlug.balancer.settings import Effect, KeyScope, RequestClass

LEVEL_FAILING = 15
"""The load level, in a load summary, of a server that fails or whose zone is excluded."""

HEALTH_STEP = 1 / 4
"""How far one end moves the health of a server towards 0 (it ended badly) or 1."""


class RecentWork:
    """Amounts of work with the times at which they were sent."""

    __slots__ = ("_items", "_total")

    def __init__(self) -> None:
        self._items: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, at: float, amount: float) -> None:
        """Add an amount at a time.

        The time of a loan to others is when it ends, later than that of work which is added next; :meth:`total` keeps
        such work as long as the loan, so that more counts than has been sent, never less.
        """
        self._items.append((at, amount))
        self._total += amount

    def items(self) -> list[tuple[float, float]]:
        """All times and amounts that are remembered, oldest first."""
        return list(self._items)

    def total(self, since: float) -> float:
        """The sum of the amounts since a time; older ones are forgotten."""
        while self._items and self._items[0][0] < since:
            self._total -= self._items.popleft()[1]
        return self._total if self._items else 0.0


class ServerLoad:
    """Work in flight at a server: our own attempts, and the slots that other dispatchers report.

    Attributes:
        own_slots: slots of our attempts in flight.
        own_attempts: our attempts in flight.
        unstarted_attempts: those of them that have not reported a start, where servers report starts.
        silent_attempts: those that have started and not reported progress for some periods.
        peer_slots: slots in flight of other dispatchers, by their load reports.
        level: load level in the last load summary, 0 where that does not list the server.
        reported_failing: that level is ``LEVEL_FAILING``.
        slots_since_summary: change of ``own_slots`` since summary ``summary_number`` was read.
        summary_number: the count of summaries read when ``slots_since_summary`` began.
    """

    __slots__ = (
        "level",
        "own_attempts",
        "own_slots",
        "peer_slots",
        "reported_failing",
        "silent_attempts",
        "slots_since_summary",
        "summary_number",
        "unstarted_attempts",
    )

    def __init__(self) -> None:
        self.own_slots = 0.0
        self.own_attempts = 0
        self.unstarted_attempts = 0
        self.silent_attempts = 0
        self.peer_slots = 0.0
        self.level = 0
        self.reported_failing = False
        self.slots_since_summary = 0.0
        self.summary_number = 0


class PayoffEstimate:
    """Learned payoff of a server, owned by :mod:`heronlug.balancer.ranking`.

    Attributes:
        count: number of outcomes, aged: N of UCB.
        mean: mean payoff of those outcomes.
        score: the upper confidence bound by which the server is ranked.
    """

    __slots__ = ("count", "mean", "score")

    def __init__(self) -> None:
        self.count = self.mean = self.score = 0.0

    def add(self, payoff: float) -> None:
        """Take one more payoff into the mean."""
        self.mean = (self.mean * self.count + payoff) / (self.count + 1)
        self.count += 1


class OutlierState:
    """What speaks against a server, owned by :mod:`heronlug.balancer.outlier_detection`.

    Attributes:
        ejected_until: no ordinary request goes there before this time.
        ejections: ejections in a row.
        trials_left: half-open successes still required before it is taken back.
        unresponsive: it has reported nothing for some periods although an attempt of ours had started there.
        saturated_until: until then an attempt of ours would wait there for others to end.
        last_progress_at: when it last reported a start or progress, or served a request.
        health: running mean of how attempts of all dispatchers ended there, 1 for well.
        last_ended_badly: how the last reported attempt of any dispatcher ended.
        last_ended_at: when that was.
    """

    __slots__ = (
        "ejected_until",
        "ejections",
        "health",
        "last_ended_at",
        "last_ended_badly",
        "last_progress_at",
        "saturated_until",
        "trials_left",
        "unresponsive",
    )

    def __init__(self) -> None:
        self.ejected_until = 0.0
        self.ejections = 0
        self.trials_left = 0
        self.unresponsive = False
        self.saturated_until = 0.0
        self.last_progress_at = 0.0
        self.health = 1.0
        self.last_ended_badly = False
        self.last_ended_at = 0.0

    def record_end(self, badly: bool, now: float) -> None:
        """Record how an attempt of any dispatcher ended, so that not each has to see a first failure itself."""
        self.last_ended_badly, self.last_ended_at = badly, now
        self.health += ((not badly) - self.health) * HEALTH_STEP


class SlowStartState:
    """Limits of a server that warms up, owned by :mod:`heronlug.balancer.slow_start`.

    Attributes:
        work_budget: work that may be sent there within the overload window; infinite once it is warm.
        recent_work: work sent there while it warmed up.
        share_count: capacity shares that the whole budget is divided into.
        known_before_restart: an earlier process of this dispatcher knew it, and may have sent it something.
    """

    __slots__ = ("known_before_restart", "recent_work", "share_count", "work_budget")

    def __init__(self) -> None:
        self.work_budget = 0.0
        self.recent_work = RecentWork()
        self.share_count = 1
        self.known_before_restart = False


class ZoneStanding:
    """What zone failover says of a server, owned by :mod:`heronlug.balancer.zone_failover`.

    Attributes:
        excluded: its zone has failed or is not wholly back, and it gets no ordinary request.
        reported_excluded: it is reported as excluded in load summaries.
        probing: it is this dispatcher's to probe for a while.
        recovery_began_at: when traffic returned to its zone; it counts as warming up from then on.
    """

    __slots__ = ("excluded", "probing", "recovery_began_at", "reported_excluded")

    def __init__(self) -> None:
        self.excluded = False
        self.reported_excluded = False
        self.probing = False
        self.recovery_began_at = 0.0


class Server:
    """What one dispatcher knows of a server.

    Attributes:
        id: its number, the same at every dispatcher.
        state: what the endpoint list says of it.
        zone: the number of its zone.
        kind: the number of its machine type.
        cell: the number of its cell within the zone.
        capacity: estimate of the slots that servers of its kind have.
        started_at: when its process started; 0 for long past.
        rank: its index in the ranking, -1 while it has none.
        in_ranking: whether it is in the ranking.
    """

    __slots__ = (
        "capacity",
        "cell",
        "id",
        "in_ranking",
        "kind",
        "load",
        "outlier",
        "payoff",
        "rank",
        "slow_start",
        "started_at",
        "state",
        "zone",
        "zone_standing",
    )

    def __init__(self, entry: ServerEntry, capacity: CapacityEstimate) -> None:
        self.id, self.state, self.zone, self.kind, self.cell = entry[:5]
        self.capacity = capacity
        self.rank = -1
        self.in_ranking = False
        self.load = ServerLoad()
        self.zone_standing = ZoneStanding()
        self.process_restarted(entry.started_at)

    @property
    def warming_since(self) -> float:
        """When it began to warm up; 0 if it is not known to have been cold."""
        return max(self.started_at, self.zone_standing.recovery_began_at)

    def process_restarted(self, started_at: float) -> None:
        """Forget what was learned of the old process: none of it holds for a new one."""
        self.started_at = started_at
        self.payoff = PayoffEstimate()
        self.outlier = OutlierState()
        self.slow_start = SlowStartState()


class Request:
    """An accepted request that has no final answer yet.

    Attributes:
        id: the caller's number for it.
        class_index: the index of its class in the settings.
        policy: its class, as it was when the request was accepted.
        give_up_at: the latest time for its final answer.
        slots: slots that it takes at a server.
        starting_slots: slots that have to be free for it to start.
        work_hint: estimated work at speed 1; 0 if unknown.
        max_attempts: attempts that it may have.
        not_before: its backoff before the next attempt ends then.
        non_idempotent: it must not run twice.
        retry_is_harmless: its client may send it again, whatever ran.
        attempts: all attempts, in the order of their numbers.
        rejected_by: servers that found fault with the request itself.
        over_quota: it is beyond the quota of its tenant.
        work: expected work over all its slots.
        value: its weight by its expected work.
        due_at: answered later, it is late.
        latest_start: started later, it is expected to be late.
        patient_until: until then it may wait for a slot that is seen to become free.
    """

    __slots__ = (
        "attempts",
        "class_index",
        "due_at",
        "give_up_at",
        "id",
        "latest_start",
        "max_attempts",
        "non_idempotent",
        "not_before",
        "over_quota",
        "policy",
        "rejected_by",
        "retry_is_harmless",
        "slots",
        "starting_slots",
        "value",
        "wait_for_slot_until",
        "work",
        "work_hint",
    )

    def __init__(self, event: RequestArrived, policy: RequestClass) -> None:
        self.id, self.class_index = event.request, event.request_class
        self.give_up_at = event.give_up_at
        self.policy = policy
        self.slots = max(event.slots, event.memory, 1.0)  # a server has one unit of memory for each slot
        self.starting_slots = max(event.memory, 1.0)  # waiting for all its slots at once, a wide request would starve
        self.work_hint = event.work_hint
        self.max_attempts = 0
        self.not_before = 0.0
        self.non_idempotent = policy.effect is Effect.NON_IDEMPOTENT
        repeats_dropped_everywhere = policy.effect is Effect.IDEMPOTENT_BY_KEY and policy.key_scope is KeyScope.ALL
        self.retry_is_harmless = repeats_dropped_everywhere or policy.effect is Effect.IDEMPOTENT
        self.attempts: list[Attempt] = []
        self.rejected_by: list[Server] = []
        self.over_quota = False
        self.work = 0.0
        self.value = 0.0
        self.due_at = 0.0
        self.latest_start = 0.0
        self.wait_for_slot_until = 0.0

    @property
    def in_flight(self) -> bool:
        """Whether an attempt of it is in flight."""
        return any(attempt.in_flight for attempt in self.attempts)

    @property
    def late_weight(self) -> float:
        """What an answer after the latency objective is worth, for each unit of work."""
        return 0.0 if self.over_quota else self.policy.priority_weight * self.policy.late_value

    def repeat_window_over_by(self, by: float) -> bool:
        """Whether servers no longer drop a repeat by that time, though an attempt may have run."""
        earliest_send = by - self.policy.repeat_window
        return self.policy.effect is Effect.IDEMPOTENT_BY_KEY and any(
            attempt.may_have_run and attempt.sent_at < earliest_send for attempt in self.attempts
        )

    def attempts_spent_by(self, by: float) -> bool:
        """Whether it can have no further attempt by that time, whatever becomes free."""
        return len(self.attempts) >= self.max_attempts or self.repeat_window_over_by(by)


class Attempt:
    """One attempt of a request at a server.

    Attributes:
        sent_at: when it was sent.
        in_flight: it has not ended.
        may_have_run: nothing proves that it never ran; true while it is in flight.
        unstarted: it has not reported a start, where servers report starts.
        started_at: when it started to run, as far as that is known.
        last_progress_at: when it last reported its start or progress.
        silent: it has started and not reported progress for some periods.
        timed_out: the time limit of its class had it cancelled.
    """

    __slots__ = (
        "in_flight",
        "last_progress_at",
        "may_have_run",
        "request",
        "sent_at",
        "server",
        "silent",
        "started_at",
        "timed_out",
        "unstarted",
    )

    def __init__(self, request: Request, server: Server, sent_at: float, unstarted: bool) -> None:
        self.request, self.server = request, server
        self.sent_at = sent_at
        self.unstarted = unstarted
        self.in_flight = True
        self.may_have_run = True
        self.last_progress_at = sent_at
        self.started_at = sent_at
        self.silent = False
        self.timed_out = False

    @classmethod
    def restore(cls, request: Request, server: Server, snapshot: AttemptSnapshot) -> "Attempt":
        """The same attempt, as another process of this dispatcher has seen it."""
        attempt = cls(request, server, snapshot.sent_at, snapshot.in_flight and snapshot.unstarted)
        attempt.in_flight = snapshot.in_flight
        attempt.may_have_run = snapshot.may_have_run
        attempt.last_progress_at = snapshot.last_progress_at
        return attempt

    def snapshot(self) -> AttemptSnapshot:
        """The attempt as a record for another process to go on with."""
        return AttemptSnapshot(
            self.server.id, self.sent_at, self.in_flight, self.unstarted, self.may_have_run, self.last_progress_at
        )

    def record_end(self, outcome: Outcome | int) -> None:
        """Record that it has ended so."""
        self.in_flight = self.unstarted = self.silent = False
        self.may_have_run = outcome not in NEVER_RAN

    def record_progress(self, now: float) -> None:
        """Record that its server has reported its start or progress."""
        self.server.load.silent_attempts -= self.silent
        self.silent = False
        self.server.outlier.unresponsive = False
        self.last_progress_at = self.server.outlier.last_progress_at = now

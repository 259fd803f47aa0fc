"""Holds the state of servers, requests and attempts of a dispatcher, without any decisions.

All times are milliseconds on the dispatcher's clock; loads are in slots, work is in milliseconds of one slot.
"""

from collections import deque

from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import NEVER_RAN, AttemptSnapshot, Outcome, RequestArrived, ServerEntry
from heronlug.balancer.settings import Effect, KeyScope, RequestClass

LEVEL_FAILING = 15
"""Load level in a load summary of a server that fails or whose zone is excluded."""

HEALTH_STEP = 1 / 4
"""Step size by which one ended attempt moves the health of a server towards 0 (failure) or 1 (success)."""


class RecentWork:
    """Amounts of work with the times at which the work was sent."""

    __slots__ = ("_items", "_total")

    def __init__(self) -> None:
        self._items: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, time: float, amount: float) -> None:
        """Adds an amount of work with its time.

        A capacity loan to another dispatcher is added with the time at which the loan ends, which may be later than the
        time of work added afterwards.  :meth:`total` counts such work for as long as the loan, so that the total may
        exceed the work sent but never falls below it.
        """
        self._items.append((time, amount))
        self._total += amount

    def items(self) -> list[tuple[float, float]]:
        """Returns all recorded times and amounts in the order in which they were added."""
        return list(self._items)

    def total(self, since: float) -> float:
        """Returns the sum of the amounts since a time, and discards older amounts."""
        while self._items and self._items[0][0] < since:
            self._total -= self._items.popleft()[1]
        return self._total if self._items else 0.0


class ServerLoad:
    """Load in flight at a server, from this dispatcher and as reported by other dispatchers.

    Attributes:
        own_slots: slots of this dispatcher's attempts in flight.
        own_attempts: number of this dispatcher's attempts in flight.
        unstarted_attempts: number of those attempts without a reported start; 0 if servers report no starts.
        silent_attempts: number of those attempts that have started but reported no progress for some intervals.
        peer_slots: slots in flight from other dispatchers, by their load reports.
        level: load level in the last load summary, 0 if the summary does not list the server.
        reported_failing: whether ``level`` is ``LEVEL_FAILING``.
        slots_since_summary: change of ``own_slots`` since summary ``summary_number`` was read.
        summary_number: the number of summaries read when ``slots_since_summary`` was last reset.
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
        count: number of outcomes, discounted by age (N in the UCB formula).
        mean: mean payoff of the counted outcomes.
        score: UCB score by which the server is ranked.
    """

    __slots__ = ("count", "mean", "score")

    def __init__(self) -> None:
        self.count = self.mean = self.score = 0.0

    def add(self, payoff: float) -> None:
        """Adds one payoff to the mean."""
        self.mean = (self.mean * self.count + payoff) / (self.count + 1)
        self.count += 1


class OutlierState:
    """Ejection, silence and health of a server, owned by :mod:`heronlug.balancer.outlier_detection`.

    Attributes:
        ejected_until: time in ms before which the server receives no ordinary requests.
        ejections: number of ejections in a row.
        trials_left: number of successful half-open trials still required before the server is returned to service.
        unresponsive: whether the server has reported nothing for some progress intervals although an attempt of this
            dispatcher has started there.
        saturated_until: time in ms until which a new attempt is expected to wait for others at the server to end.
        last_progress_at: time in ms of the last reported start, reported progress or served request.
        health: running mean of the outcomes of all dispatchers' attempts, from 0 (all failed) to 1 (all succeeded).
        last_ended_badly: whether the last reported attempt of any dispatcher failed.
        last_ended_at: time in ms at which that attempt ended.
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
        """Records the end of an attempt of any dispatcher.

        Ends reported by other dispatchers count too, so that not each dispatcher has to observe a failure itself.
        """
        self.last_ended_badly, self.last_ended_at = badly, now
        self.health += ((not badly) - self.health) * HEALTH_STEP


class SlowStartState:
    """Limits of a server that warms up, owned by :mod:`heronlug.balancer.slow_start`.

    Attributes:
        work_budget: work that may be sent to the server within the overload window; infinite for a warm server.
        recent_work: work sent to the server during its warm-up.
        share_count: number of capacity shares into which the whole budget is divided.
        known_before_restart: whether the cached list of an earlier process of this dispatcher contained the server, so
            that the earlier process may have sent it work.
    """

    __slots__ = ("known_before_restart", "recent_work", "share_count", "work_budget")

    def __init__(self) -> None:
        self.work_budget = 0.0
        self.recent_work = RecentWork()
        self.share_count = 1
        self.known_before_restart = False


class ZoneStanding:
    """State of a server in zone failover, owned by :mod:`heronlug.balancer.zone_failover`.

    Attributes:
        excluded: whether the server receives no ordinary requests, as its zone has failed or is only partly restored.
        reported_excluded: whether load summaries report the server as excluded.
        probing: whether this dispatcher currently probes the server.
        recovery_began_at: time in ms at which traffic returned to the server's zone; the server counts as warming up
            from that time.
    """

    __slots__ = ("excluded", "probing", "recovery_began_at", "reported_excluded")

    def __init__(self) -> None:
        self.excluded = False
        self.reported_excluded = False
        self.probing = False
        self.recovery_began_at = 0.0


class Server:
    """State of a server at one dispatcher.

    Attributes:
        id: the number of the server, the same at every dispatcher.
        state: state of the server in the endpoint list.
        zone: the number of the server's zone.
        kind: the number of the server's machine type.
        cell: the number of the server's cell within the zone.
        capacity: estimated slots of the servers of this kind.
        started_at: start time of the server's process in ms; 0 if long past.
        rank: index of the server in the ranking; -1 before the first ranking.
        in_ranking: whether the server is in the ranking.
        load: load in flight at the server.
        payoff: learned payoff of the server.
        outlier: ejection, silence and health of the server.
        slow_start: limits of the server while it warms up.
        zone_standing: state of the server in zone failover.
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
        """Time in ms at which the server began to warm up; 0 if no cold start is known."""
        return max(self.started_at, self.zone_standing.recovery_began_at)

    def process_restarted(self, started_at: float) -> None:
        """Discards the learned state of the server's previous process, which does not apply to a new process."""
        self.started_at = started_at
        self.payoff = PayoffEstimate()
        self.outlier = OutlierState()
        self.slow_start = SlowStartState()


class Request:
    """An accepted request that has no final answer yet.

    Attributes:
        id: the id that the caller chose for the request.
        class_index: the index of the request class in the settings.
        policy: the request class at the time of admission.
        give_up_at: the latest time in ms for the final answer.
        slots: slots that the request occupies at a server.
        starting_slots: slots that have to be free for an attempt to start.
        work_hint: estimated work in ms at speed 1; 0 if unknown.
        max_attempts: maximum number of attempts.
        not_before: time in ms at which the backoff before the next attempt ends; 0 if there is none.
        non_idempotent: whether the request must not run twice.
        retry_is_harmless: whether the client may safely retry even if an attempt has run.
        attempts: all attempts, in the order of their numbers.
        rejected_by: servers that rejected the request as invalid.
        over_quota: whether the request is beyond the quota of its tenant.
        work: expected work over all slots of the request.
        value: priority weight times the expected work.
        due_at: time in ms after which an answer is late.
        latest_start: time in ms after which an attempt that starts is expected to end late.
        wait_for_slot_until: time in ms until which the request may wait for a slot to be observed as free.
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
        # A request of several slots would starve if all of its slots had to be free at once.
        self.starting_slots = max(event.memory, 1.0)
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
        """Whether an attempt of the request is in flight."""
        return any(attempt.in_flight for attempt in self.attempts)

    @property
    def late_weight(self) -> float:
        """Weight of an answer after the latency objective, per unit of work."""
        return 0.0 if self.over_quota else self.policy.priority_weight * self.policy.late_value

    def repeat_window_over_by(self, time: float) -> bool:
        """Returns whether an attempt may have run and servers no longer drop a repeat at the given time."""
        earliest_send = time - self.policy.repeat_window
        return self.policy.effect is Effect.IDEMPOTENT_BY_KEY and any(
            attempt.may_have_run and attempt.sent_at < earliest_send for attempt in self.attempts
        )

    def attempts_spent_by(self, time: float) -> bool:
        """Returns whether no further attempt is allowed at the given time, even if a server has room."""
        return len(self.attempts) >= self.max_attempts or self.repeat_window_over_by(time)


class Attempt:
    """One attempt of a request at a server.

    Attributes:
        request: the request of the attempt.
        server: the server to which the attempt was sent.
        sent_at: time in ms at which the attempt was sent.
        in_flight: whether the attempt has not ended.
        may_have_run: whether the attempt may have run; True while in flight and unless the outcome proves the opposite.
        unstarted: whether the start of the attempt has yet to be reported; False if servers report no starts.
        started_at: time in ms of the reported start; ``sent_at`` without a report.
        last_progress_at: time in ms of the last report of a start or of progress.
        silent: whether the attempt has started but reported no progress for some intervals.
        timed_out: whether the attempt was cancelled by the attempt timeout of its class.
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
        """Returns an attempt restored from the snapshot of another process of this dispatcher."""
        attempt = cls(request, server, snapshot.sent_at, snapshot.in_flight and snapshot.unstarted)
        attempt.in_flight = snapshot.in_flight
        attempt.may_have_run = snapshot.may_have_run
        attempt.last_progress_at = snapshot.last_progress_at
        return attempt

    def snapshot(self) -> AttemptSnapshot:
        """Returns a snapshot of the attempt for another process."""
        return AttemptSnapshot(
            self.server.id, self.sent_at, self.in_flight, self.unstarted, self.may_have_run, self.last_progress_at
        )

    def record_end(self, outcome: Outcome | int) -> None:
        """Records the outcome of the attempt."""
        self.in_flight = self.unstarted = self.silent = False
        self.may_have_run = outcome not in NEVER_RAN

    def record_progress(self, now: float) -> None:
        """Records that the server has reported a start or progress of the attempt."""
        self.server.load.silent_attempts -= self.silent
        self.silent = False
        self.server.outlier.unresponsive = False
        self.last_progress_at = self.server.outlier.last_progress_at = now

"""Selection: which server an attempt may go to (Upper-Confidence Priority-K; Fu and Modiano, Algorithm 2).

A request goes to the next server of the exploration round, else to the best in rank whose queue leaves room below K
slots for each of its slots.  Every attempt, first, retry or hedge, passes one gate, :meth:`Selection._may_send`.

Exceptions to Priority-K: an overdue request goes to the worst in rank that has room, so that it does not take the best
ones from requests that may be in time.  A non-idempotent request has no second try where others can be hedged: it is
not used to explore, and waits a while for a slot that is seen to become free.
"""

from collections.abc import Iterable
from math import inf

from heronlug.balancer.candidates import ANY_KIND, Candidates
from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.deduplication import drops_repeats, required_group
from heronlug.balancer.events import ServerState
from heronlug.balancer.exploration import Exploration
from heronlug.balancer.model import LEVEL_FAILING, Request, Server
from heronlug.balancer.outlier_detection import OutlierDetection
from heronlug.balancer.overload import OverloadDetector
from heronlug.balancer.ranking import LEVELS_PER_SLOT, Ranking
from heronlug.balancer.retries import RetryRules
from heronlug.balancer.slow_start import CapacityShares
from heronlug.balancer.state import BalancerState

SLOTS_DECREASE_FACTOR = 0.8
"""The candidates hold while no capacity estimate falls below this part of what it was."""

SLOTS_INCREASE = 0.5
"""The candidates hold while no capacity estimate grows by more slots than this over K."""

IDLE_QUEUE_SLOTS = 0.5
"""A server with less than this in its queue has room for any request."""


class Selection:
    """Chooses servers for attempts.

    Attributes:
        freed: the server at which an attempt of ours has just been served, if any.
    """

    __slots__ = (
        "_candidates",
        "_derived",
        "_exploration",
        "_outliers",
        "_overload",
        "_peer_load",
        "_ranking",
        "_retries",
        "_shares",
        "_slot_bounds",
        "freed",
    )

    def __init__(
        self,
        state: BalancerState,
        ranking: Ranking,
        exploration: Exploration,
        outliers: OutlierDetection,
        shares: CapacityShares,
        overload: OverloadDetector,
        retries: RetryRules,
    ) -> None:
        self._derived, self._peer_load = state.derived, state.peer_load
        self._ranking, self._exploration = ranking, exploration
        self._candidates = Candidates(self.may_have_room)
        self._outliers, self._shares = outliers, shares
        self._overload, self._retries = overload, retries
        self._slot_bounds: dict[CapacityEstimate, tuple[float, float]] = {}
        self.freed: list[Server] = []

    def choose(self, request: Request, now: float, *, overdue: bool = False) -> Server | None:
        """Choose the server that the next attempt of a request goes to now; None if it has to wait.

        This takes what is due of the exploration round and of the reservations, whether or not a server is found.

        Args:
            request: the request, with the attempts that it has had.
            now: the time.
            overdue: it is late already, or beyond the quota of its tenant.
        """
        if request.attempts and not self._retries.allow_attempt(request, now):
            return None  # before any server is looked at, so that it takes no turn of the exploration round
        waits_for_freed = self._derived.can_hedge and request.non_idempotent
        preferred_servers = self.freed if waits_for_freed else self._exploration.pending
        self._plan_exploration(request, now, overdue=overdue)
        overloaded = self._overload.would_wait_too_long(request, now)
        if not overdue:
            server = self._explore(
                request, preferred_servers, now, overloaded=overloaded, only_unobserved=not waits_for_freed
            )
            if server is not None:
                return server
        may_wait_for_slot = waits_for_freed and not (overdue or self._derived.learns_from_starts)
        if overloaded or (may_wait_for_slot and now < request.wait_for_slot_until):
            return None
        return self._first_fitting_candidate(request, now, overdue)

    def _plan_exploration(self, request: Request, now: float, *, overdue: bool) -> None:
        """Add the server that is ours to probe, and those at which a reservation of ours has opened."""
        if self._derived.aggregated and not overdue and not request.non_idempotent:
            self._exploration.rotate_probe_server(now)
        self._exploration.visit(self._shares.reservation_turns(now))

    def _explore(
        self, request: Request, servers: list[Server], now: float, *, overloaded: bool, only_unobserved: bool
    ) -> Server | None:
        """Take servers off the list until one fits; during an overload only those that warm up, which stand idle."""
        while servers:
            if overloaded and servers[-1].slow_start.work_budget == inf:
                return None
            server = servers.pop()
            is_observed = only_unobserved and server.load.own_attempts > 0
            if not is_observed and self._fits(request, server, now):
                return server
        return None

    def _first_fitting_candidate(self, request: Request, now: float, overdue: bool) -> Server | None:
        """The first candidate by rank; not one that had an attempt, as what failed there may fail there again."""
        tried_servers: list[Server] = []
        if len(request.attempts) < len(self._ranking.servers):
            tried_servers = [attempt.server for attempt in request.attempts]
        for server in self.ranked_candidates(request, overdue, now):
            if server not in tried_servers and self._fits(request, server, now):
                return server
        return None

    def ranked_candidates(self, request: Request, overdue: bool, now: float) -> Iterable[Server]:
        """The servers that may have room, best in rank first; worst first for an overdue request."""
        for server in [*self._shares.changed_servers(now), *self._exploration.changed]:
            self._candidates.touch(server)
        self._exploration.changed.clear()
        if any(not low <= capacity.slots <= high for capacity, (low, high) in self._slot_bounds.items()):
            self._slot_bounds.clear()
            self._candidates.expire()
        return self._candidates.ranked(request.policy.server_kind, required_group(request), overdue)

    def server_changed(self, server: Server) -> None:
        """Note that the load of a server has changed, or what may be sent there."""
        self._candidates.touch(server)

    def ranking_changed(self) -> None:
        """Note that the ranking has been updated, and with it K."""
        self._slot_bounds.clear()
        self._candidates.rank(self._ranking.servers)

    def may_have_room(self, server: Server) -> bool:
        """Whether any request could go there: false only where :meth:`_fits` is, whatever the request."""
        if not self._shares.may_accept_any(server):
            return False
        load, capacity = server.load, server.capacity
        bounds = self._slot_bounds.get(capacity)
        if bounds is None:
            upper_bound = capacity.slots + SLOTS_INCREASE / self._ranking.queue_limit
            bounds = self._slot_bounds[capacity] = SLOTS_DECREASE_FACTOR * capacity.slots, upper_bound
        if not self._derived.aggregated:
            queue = load.own_slots + load.peer_slots
        elif load.reported_failing:
            return server is self._exploration.probe_server
        else:
            reported_queue = load.level * capacity.slots / LEVELS_PER_SLOT
            queue = max(load.own_slots, reported_queue + min(0.0, load.slots_since_summary))
        return queue + 1.0 <= self._ranking.queue_limit * bounds[1] or SLOTS_DECREASE_FACTOR * queue < IDLE_QUEUE_SLOTS

    # -- the exact conditions

    def _fits(self, request: Request, server: Server, now: float) -> bool:
        return self._has_room(request, server, now) and self._may_send(request, server, now)

    def _has_room(self, request: Request, server: Server, now: float) -> bool:
        """Whether the server's queue leaves room below K times its slots."""
        load, slots = server.load, server.capacity.slots
        if not self._derived.aggregated:
            queue = load.own_slots + load.peer_slots
        else:
            # The summary counts our own slots too, but for what has changed since.
            is_summary_current = load.summary_number == self._peer_load.summaries_read
            own_slots_change = load.slots_since_summary if is_summary_current else 0.0
            if own_slots_change >= 0 and self._ranking.full_level <= load.level < LEVEL_FAILING:
                return False
            queue = load.own_slots
            if not load.reported_failing:
                queue = max(load.own_slots, load.level * slots / LEVELS_PER_SLOT + own_slots_change)
        # An attempt of ours that has not started, now or just before, shows that no slot is free.
        if load.unstarted_attempts or now < server.outlier.saturated_until:
            return False
        return queue + request.starting_slots <= self._ranking.queue_limit * slots or queue < IDLE_QUEUE_SLOTS

    def _may_send(self, request: Request, server: Server, now: float) -> bool:
        """The one gate that every attempt passes."""
        if server.state is not ServerState.READY:
            return False  # nothing new to a server that is notified as draining or removed
        if request.policy.server_kind not in (ANY_KIND, server.kind):
            return False
        if request.attempts and not drops_repeats(request, server):
            return False
        if not self._outliers.allows(request, server, now):
            return False
        if server.zone_standing.excluded:
            return False
        is_probe = server is self._exploration.probe_server and not request.non_idempotent
        if server.load.reported_failing and not is_probe:
            return False
        return self._shares.may_send(server, request.work, now)

"""Selects the server for each attempt by Upper-Confidence Priority-K (Fu and Modiano, Algorithm 2).

A request goes to the next server of the exploration round, or else to the best-ranked server whose queue holds less
than K requests per slot.  Every attempt (first, retry or hedge) has to pass :meth:`Selection._may_send`.

There are two exceptions to Priority-K.  An overdue request goes to the worst-ranked server that has room, so that the
best servers remain for requests that can still be in time.  Where hedging is enabled, a non-idempotent request, which
cannot be hedged, is not used for exploration and waits a while for a slot to be observed as free.
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
"""The candidates stay valid while no capacity estimate falls below this fraction of its earlier value."""

SLOTS_INCREASE = 0.5
"""The candidates stay valid while no capacity estimate grows by more than this number of slots divided by K."""

IDLE_QUEUE_SLOTS = 0.5
"""A server with fewer slots than this in its queue has room for any request."""


class Selection:
    """Chooses servers for attempts.

    Attributes:
        freed: list of the server at which an attempt of this dispatcher has just been served; empty if there is none.
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
        """Returns the server for the next attempt of a request; None if the request has to wait.

        Whether or not a server is found, the probe and the reservations that are due are added to the exploration
        round, and the servers tried from the round are removed from it.

        Args:
            request: the request with its attempts so far.
            now: the current time in ms.
            overdue: whether the request is overdue or beyond the quota of its tenant.
        """
        if request.attempts and not self._retries.allow_attempt(request, now):
            return None  # checked first, so that no server of the exploration round is used up
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
        """Adds this dispatcher's server to probe and the servers at which one of its reservations has opened."""
        if self._derived.aggregated and not overdue and not request.non_idempotent:
            self._exploration.rotate_probe_server(now)
        self._exploration.visit(self._shares.reservation_turns(now))

    def _explore(
        self, request: Request, servers: list[Server], now: float, *, overloaded: bool, only_unobserved: bool
    ) -> Server | None:
        """Removes servers from the list until one fits and returns that server.

        During an overload the search ends at the first warm server, as only servers that warm up are idle then.
        """
        while servers:
            if overloaded and servers[-1].slow_start.work_budget == inf:
                return None
            server = servers.pop()
            is_observed = only_unobserved and server.load.own_attempts > 0
            if not is_observed and self._fits(request, server, now):
                return server
        return None

    def _first_fitting_candidate(self, request: Request, now: float, overdue: bool) -> Server | None:
        """Returns the first candidate that fits and had no attempt of this request, as a retry there may fail again."""
        tried_servers: list[Server] = []
        if len(request.attempts) < len(self._ranking.servers):
            tried_servers = [attempt.server for attempt in request.attempts]
        for server in self.ranked_candidates(request, overdue, now):
            if server not in tried_servers and self._fits(request, server, now):
                return server
        return None

    def ranked_candidates(self, request: Request, overdue: bool, now: float) -> Iterable[Server]:
        """Returns the servers that may have room, best-ranked first, or worst-ranked first for an overdue request."""
        for server in [*self._shares.changed_servers(now), *self._exploration.changed]:
            self._candidates.touch(server)
        self._exploration.changed.clear()
        if any(not low <= capacity.slots <= high for capacity, (low, high) in self._slot_bounds.items()):
            self._slot_bounds.clear()
            self._candidates.expire()
        return self._candidates.ranked(request.policy.server_kind, required_group(request), overdue)

    def server_changed(self, server: Server) -> None:
        """Schedules a new check of a server whose load or sending limits have changed."""
        self._candidates.touch(server)

    def ranking_changed(self) -> None:
        """Rebuilds the candidates after an update of the ranking and of K."""
        self._slot_bounds.clear()
        self._candidates.rank(self._ranking.servers)

    def may_have_room(self, server: Server) -> bool:
        """Returns whether some request could go to a server; False only if :meth:`_fits` is False for every request."""
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
        """Returns whether the server's queue leaves room for the request below K times the server's slots."""
        load, slots = server.load, server.capacity.slots
        if not self._derived.aggregated:
            queue = load.own_slots + load.peer_slots
        else:
            # The summary includes the slots of this dispatcher, except for changes since the summary.
            is_summary_current = load.summary_number == self._peer_load.summaries_read
            own_slots_change = load.slots_since_summary if is_summary_current else 0.0
            if own_slots_change >= 0 and self._ranking.full_level <= load.level < LEVEL_FAILING:
                return False
            queue = load.own_slots
            if not load.reported_failing:
                queue = max(load.own_slots, load.level * slots / LEVELS_PER_SLOT + own_slots_change)
        # An attempt of this dispatcher that is unstarted, or recently was, shows that no slot is free.
        if load.unstarted_attempts or now < server.outlier.saturated_until:
            return False
        return queue + request.starting_slots <= self._ranking.queue_limit * slots or queue < IDLE_QUEUE_SLOTS

    def _may_send(self, request: Request, server: Server, now: float) -> bool:
        """Returns whether every rule permits an attempt of the request at the server; applies to all attempts."""
        if server.state is not ServerState.READY:
            return False  # a draining or removed server receives no new attempts
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

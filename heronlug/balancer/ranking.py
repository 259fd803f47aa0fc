"""The ranking of the servers: upper confidence bounds on their payoffs (UCB; Fu and Modiano, Algorithm 2).

Inputs: the outcomes of our attempts, the settings of slow start, and the time.  The score of a server is

    mean payoff + sqrt(4 ln T / N)

with N its aged count of outcomes and T the aged count of all attempts sent, plus ``INITIAL_SENDS``.  A server with no
outcome yet takes the mean of the others' scores.  The score of a server that warms up is multiplied by the fraction of
its capacity that it has at least, and it gets the work budget that goes with that fraction (slow start).

The queue limit K = ``QUEUE_LIMIT_FACTOR`` ln T, in slots of a server, says how far a server is filled before the next.
"""

from collections.abc import Sequence
from math import exp, inf, log, sqrt
from operator import attrgetter

from heronlug.balancer.events import ServerState
from heronlug.balancer.exploration import Exploration
from heronlug.balancer.model import Server
from heronlug.balancer.outlier_detection import OutlierDetection
from heronlug.balancer.payoffs import PAYOFF_SCALE
from heronlug.balancer.slow_start import CapacityShares
from heronlug.balancer.state import BalancerState

INITIAL_SENDS = 16
"""T is this many plus the remembered sends."""

QUEUE_LIMIT_FACTOR = 0.3
"""C1 in K = C1 log T of Algorithm 2: requests for each slot of a server."""

MEMORY_RUN_TIMES = 20.0
"""Counts age by a factor of e over this many mean run times."""

MIN_COUNT = 0.01
"""A count that has aged below this says nothing any more."""

LEVELS_PER_SLOT = 8
"""Load levels of a summary for each slot in use for each slot of a server."""


class Ranking:
    """The ready servers in the order of their scores.

    Attributes:
        servers: the ready servers, best first.
        warming: those of them that warm up.
        send_count: attempts sent, aged.
        ranked_at: when the servers were last scored.
        queue_limit: K, in slots of a server.
        full_level: the load level from which on a server is full by K.
    """

    __slots__ = (
        "_derived",
        "_earned_scores",
        "_exploration",
        "_log_t",
        "_mean_bound",
        "_outliers",
        "_run_times",
        "_settings",
        "_shares",
        "full_level",
        "queue_limit",
        "ranked_at",
        "send_count",
        "servers",
        "warming",
    )

    def __init__(
        self,
        state: BalancerState,
        shares: CapacityShares,
        outliers: OutlierDetection,
        exploration: Exploration,
    ) -> None:
        self._settings, self._derived = state.settings, state.derived
        self._run_times, self._shares = state.run_times, shares
        self._outliers, self._exploration = outliers, exploration
        self.servers: list[Server] = []
        self.warming: list[Server] = []
        self.send_count = 0.0
        self.ranked_at = 0.0
        self._earned_scores = 0.0
        self._log_t = 0.0
        self._mean_bound = 0.0
        self._set_queue_limit()

    def is_due(self, now: float) -> bool:
        """Count one outcome, and tell whether the servers are to be scored anew.

        Scoring reads every server, so it has to be earned by outcomes, and is not done for each of a burst.
        """
        self._earned_scores += self._derived.scores_per_outcome
        interval_over = now - self.ranked_at >= self._derived.check_interval
        return interval_over and self._earned_scores >= len(self.servers)

    def use_ready(self, ready: Sequence[Server]) -> None:
        """Drop servers that are no longer ready, and append these, which are; :meth:`update` has to follow."""
        for server in self.servers:
            server.in_ranking = server.state is ServerState.READY
        for server in ready:
            server.in_ranking = True
        self.servers = [*(server for server in self.servers if server.in_ranking), *ready]

    def update(self, now: float) -> None:
        """Age the counts, score every server, and look for a change of the order."""
        self._age_counts(now)
        self.ranked_at, self._earned_scores = now, 0.0
        self._outliers.recount(self.servers)
        self._log_t = log(self.send_count + INITIAL_SENDS)
        self._set_queue_limit()
        self._mean_bound = self._mean_of_bounds()
        self._score_all(now)
        if not self._exploration.pending:  # the order stands during an exploration round
            before, self.servers = self.servers, sorted(self.servers, key=_score, reverse=True)
            if self.servers != before:
                self._exploration.begin_round(self.servers)
        self.warming = [server for server in self.servers if server.slow_start.work_budget < inf]
        self._shares.scoring_finished()

    def _set_queue_limit(self) -> None:
        self.queue_limit = max(1.0, QUEUE_LIMIT_FACTOR * self._log_t)
        self.full_level = int(LEVELS_PER_SLOT * self.queue_limit) + 1

    def _age_counts(self, now: float) -> None:
        if not self._run_times.overall:
            return
        remaining = exp((self.ranked_at - now) / (MEMORY_RUN_TIMES * self._run_times.overall))
        self.send_count *= remaining
        for server in self.servers:
            if server.payoff.count:
                server.payoff.count *= remaining

    def _mean_of_bounds(self) -> float:
        payoffs = [server.payoff for server in self.servers if server.payoff.count > MIN_COUNT]
        bounds = [payoff.mean + sqrt(4 * self._log_t / payoff.count) for payoff in payoffs]
        return sum(bounds) / len(bounds) if bounds else 0.0

    def _score_all(self, now: float) -> None:
        """Score each server, and give those that warm up the work budget that goes with their capacity."""
        settings = self._settings
        bonus_numerator, own_zone = 4 * self._log_t, settings.zone
        default_bound_own_zone = self._mean_bound
        default_bound_other_zone = default_bound_own_zone - PAYOFF_SCALE * settings.cross_zone_price
        warmup_time, least_capacity = settings.warmup_time, settings.warmup_capacity
        warming_per_ms = (1 - least_capacity) / warmup_time if warmup_time else 0.0
        share, usual_work = self._shares.share, self._run_times.overall or self._derived.latency_objectives[0]
        for server in self.servers:
            payoff = server.payoff
            if payoff.count > MIN_COUNT:
                bound = payoff.mean + sqrt(bonus_numerator / payoff.count)
            else:
                bound = default_bound_own_zone if server.zone == own_zone else default_bound_other_zone
            warming_since, recovery_began_at = server.started_at, server.zone_standing.recovery_began_at
            if recovery_began_at > warming_since:
                warming_since = recovery_began_at
            if not warming_since or now - warming_since >= warmup_time:
                server.slow_start.work_budget = inf
                payoff.score = bound
            else:
                capacity = least_capacity + warming_per_ms * max(0.0, now - warming_since)
                server.slow_start.work_budget = share(server, capacity, usual_work, now)
                payoff.score = bound * capacity


_score = attrgetter("payoff.score")

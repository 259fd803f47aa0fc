"""Ranks the servers by upper confidence bounds on their payoffs (UCB; Fu and Modiano, Algorithm 2).

The inputs are the outcomes of this dispatcher's attempts, the slow start settings and the time. The UCB score of a
server is

    mean payoff + sqrt(4 ln T / N)

where N is the server's aged count of outcomes, and T is the aged count of all attempts sent plus ``INITIAL_SENDS``. A
server without outcomes gets the mean score of the servers with outcomes. The score of a server that warms up is
multiplied by the least fraction of its full capacity that the server has now, and slow start gives the server the work
budget for that fraction.

The queue limit K = ``QUEUE_LIMIT_FACTOR`` ln T, in slots of a server, is the load up to which a server is filled before
the next server in the ranking is used.
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
"""Constant that is added to the aged count of sends to give T."""

QUEUE_LIMIT_FACTOR = 0.3
"""C1 in K = C1 log T of Algorithm 2: requests for each slot of a server."""

MEMORY_RUN_TIMES = 20.0
"""Time in which the counts age by a factor of e, in mean run times."""

MIN_COUNT = 0.01
"""A server whose aged count is below this value is scored like a server without outcomes."""

LEVELS_PER_SLOT = 8
"""Factor from the load of a server (slots in use divided by its slots) to its load level in a load summary."""


class Ranking:
    """Keeps the ready servers in the order of their UCB scores.

    Attributes:
        servers: the ready servers, best score first.
        warming: the ready servers that warm up, best score first.
        send_count: aged count of attempts sent.
        ranked_at: time in ms at which the servers were last scored.
        queue_limit: K, in slots of a server.
        full_level: least load level at which a server is full by K.
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
        """Counts one outcome, and returns whether the servers should be scored again.

        Scoring reads every server, so scoring waits for enough outcomes and for the check interval, and is not
        repeated for each outcome of a burst.
        """
        self._earned_scores += self._derived.scores_per_outcome
        interval_over = now - self.ranked_at >= self._derived.check_interval
        return interval_over and self._earned_scores >= len(self.servers)

    def use_ready(self, ready: Sequence[Server]) -> None:
        """Drops servers that are no longer ready and appends newly ready servers; call :meth:`update` afterwards."""
        for server in self.servers:
            server.in_ranking = server.state is ServerState.READY
        for server in ready:
            server.in_ranking = True
        self.servers = [*(server for server in self.servers if server.in_ranking), *ready]

    def update(self, now: float) -> None:
        """Ages the counts, scores every server, and begins an exploration round if the order changes."""
        self._age_counts(now)
        self.ranked_at, self._earned_scores = now, 0.0
        self._outliers.recount(self.servers)
        self._log_t = log(self.send_count + INITIAL_SENDS)
        self._set_queue_limit()
        self._mean_bound = self._mean_of_bounds()
        self._score_all(now)
        if not self._exploration.pending:  # the order does not change during an exploration round
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
        """Scores each server, and sets the work budget of each warming server by its capacity."""
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

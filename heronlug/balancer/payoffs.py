"""Computes the payoff of an attempt, which the ranking uses to score servers.

The payoff of an answer depends on its latency relative to the usual latency of its class for the same work: 1 for an
instant answer, 1/2 for the usual latency, falling to 0 for slow answers. Every failure has payoff 0. An attempt at a
server in another zone costs the price in the settings.
"""

from heronlug.balancer.events import Outcome
from heronlug.balancer.model import Attempt, Server
from heronlug.balancer.run_times import SHORTEST_MS, RunTimes
from heronlug.balancer.settings import Settings

PAYOFF_SCALE = 8.0
"""Largest payoff. The bonus of the UCB score assumes a noise of about 1, while the noise of unscaled payoffs is 1/8."""

UNGRADED = frozenset({Outcome.CANCELLED_BEFORE_START, Outcome.REJECTED_BY_SERVER})
"""Outcomes without a payoff, because the attempt could not begin or the request itself is invalid."""


class PayoffGrading:
    """Computes the payoffs of attempts, and updates the run times from served attempts."""

    __slots__ = ("_run_times", "_settings")

    def __init__(self, settings: Settings, run_times: RunTimes) -> None:
        self._settings, self._run_times = settings, run_times

    def grade(self, attempt: Attempt, outcome: Outcome | int, latency: float, run_time: float) -> float | None:
        """Returns the payoff of an attempt, from 0 to ``PAYOFF_SCALE`` less the price of its zone.

        Args:
            attempt: the attempt that has ended.
            outcome: the outcome of the attempt.
            latency: ms from its start to its end.
            run_time: run time in ms, as :meth:`OverloadDetector.run_time` returns it.

        Returns:
            The payoff, or None if the outcome gives no information about the server.
        """
        if outcome in UNGRADED:
            return None
        request, server = attempt.request, attempt.server
        usual_latency = self._run_times.usual_latencies[request.class_index]
        latency_per_unit = latency / (request.work_hint or 1.0)
        if outcome == Outcome.CANCELLED:
            # The full latency would be even longer; without this payoff, slow servers would lose clients unnoticed.
            return (
                self._graded(server, latency_per_unit / usual_latency)
                if usual_latency and latency_per_unit > usual_latency
                else None
            )
        if outcome != Outcome.SERVED:
            return 0.0
        self._run_times.record_served(request, latency, run_time)
        usual_latency = self._run_times.usual_latencies[request.class_index]
        return self._graded(server, max(latency, SHORTEST_MS) / (request.work_hint or 1.0) / usual_latency)

    def _graded(self, server: Server, relative_latency: float) -> float:
        other_zone = server.zone != self._settings.zone
        payoff = 1 / (1 + relative_latency) - self._settings.cross_zone_price * other_zone
        return PAYOFF_SCALE * payoff

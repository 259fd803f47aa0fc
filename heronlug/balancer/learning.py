"""Updates slots, payoff, health and outlier state of a server from the end of an attempt."""

from heronlug.balancer.events import AttemptEnded, Outcome
from heronlug.balancer.model import Attempt
from heronlug.balancer.outlier_detection import REPORTED_AS_FAILURE, OutlierDetection
from heronlug.balancer.overload import OverloadDetector
from heronlug.balancer.payoffs import PayoffGrading
from heronlug.balancer.state import BalancerState


class OutcomeLearning:
    """Learns from the outcomes of this dispatcher's attempts."""

    __slots__ = ("_grading", "_outliers", "_overload", "_state")

    def __init__(
        self, state: BalancerState, grading: PayoffGrading, overload: OverloadDetector, outliers: OutlierDetection
    ) -> None:
        self._state, self._grading, self._overload, self._outliers = state, grading, overload, outliers

    def record_end(self, attempt: Attempt, event: AttemptEnded, now: float) -> bool:
        """Records the outcome of an attempt and returns whether the outcome may change the ranking."""
        server, outcome = attempt.server, event.outcome
        free_slots_index = self._state.derived.free_slots_index
        if 0 <= free_slots_index < len(event.report):
            server.capacity.record_free_slots(event.report[free_slots_index])
        if outcome == Outcome.SERVED:
            server.outlier.last_progress_at, server.outlier.unresponsive = now, False
        had_started = not attempt.unstarted
        attempt.record_end(outcome)
        was_cancelled = outcome == Outcome.CANCELLED
        if was_cancelled and not (had_started and self._state.settings.reports_start):
            return False  # the attempt may only have waited in the queue, which indicates nothing about the server
        return self._learn(attempt, event, now)

    def _learn(self, attempt: Attempt, event: AttemptEnded, now: float) -> bool:
        server, outcome = attempt.server, event.outcome
        run_time = self._overload.run_time(attempt, event.latency, now)
        payoff = self._grading.grade(attempt, outcome, event.latency, run_time)
        if payoff is None:
            return False
        server.payoff.add(payoff)
        failed = outcome in REPORTED_AS_FAILURE
        self._state.peer_load.record_outcome(server, failed)
        server.outlier.record_end(failed, now)
        self._outliers.record_outcome(server, outcome, now)
        return True

    def attribute_rejections(self, attempt: Attempt, outcome: Outcome | int, now: float) -> None:
        """Counts a rejection as an error of its server once another server has served the request."""
        request = attempt.request
        if outcome == Outcome.REJECTED_BY_SERVER:
            request.rejected_by.append(attempt.server)
        elif outcome == Outcome.SERVED:
            for server in request.rejected_by:
                self._outliers.record_outcome(server, Outcome.ERROR, now)

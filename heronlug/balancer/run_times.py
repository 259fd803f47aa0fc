"""Tracks mean run times and latencies by request class, from which deadlines, ranking intervals and payoffs follow."""

from collections import defaultdict

from heronlug.balancer.model import Request

LEARN_STEP = 1 / 16
"""Weight of one outcome in a running mean."""

SHORTEST_MS = 1e-3
"""Lower bound of a time in a ratio, so that the ratio is defined."""


class RunTimes:
    """Running means over the served requests, per unit of work where requests carry a work hint.

    Attributes:
        by_class: mean run time in ms, by class index.
        usual_latencies: geometric mean of the latency in ms, by class index.
        overall: mean run time of all classes in ms, not per unit of work; 0 before the first served request.
    """

    __slots__ = ("by_class", "overall", "usual_latencies")

    def __init__(self) -> None:
        self.by_class: defaultdict[int, float] = defaultdict(float)
        self.usual_latencies: defaultdict[int, float] = defaultdict(float)
        self.overall = 0.0

    def expected(self, request: Request) -> float:
        """Returns the expected run time of a request in ms, or its latency objective before its class was served."""
        expected_ms = self.by_class[request.class_index] * (request.work_hint or 1.0)
        return expected_ms or request.policy.latency_objective

    def record_served(self, request: Request, latency: float, run_time: float) -> None:
        """Updates the means from a served request.

        Args:
            request: the request.
            latency: ms from the start of the attempt to its answer.
            run_time: run time in ms, as :meth:`OverloadDetector.run_time` returns it.
        """
        mean = self.by_class[request.class_index]
        run_time_per_unit = max(run_time, SHORTEST_MS) / (request.work_hint or 1.0)
        self.by_class[request.class_index] += (LEARN_STEP if mean else 1.0) * (run_time_per_unit - mean)
        self.overall += (LEARN_STEP if self.overall else 1.0) * (run_time - self.overall)
        latency_per_unit = max(latency, SHORTEST_MS) / (request.work_hint or 1.0)
        usual_latency = self.usual_latencies[request.class_index] or latency_per_unit
        self.usual_latencies[request.class_index] = usual_latency * (latency_per_unit / usual_latency) ** LEARN_STEP

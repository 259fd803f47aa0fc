"""How long requests run: means by class, from which deadlines, ranking intervals and payoffs follow."""

from collections import defaultdict

from heronlug.balancer.model import Request

LEARN_STEP = 1 / 16
"""How far one outcome moves a running mean."""

SHORTEST_MS = 1e-3
"""A time below this counts as this, so that ratios are defined."""


class RunTimes:
    """Running means of what was served, for one unit of work where requests carry a hint.

    Attributes:
        by_class: mean run time, by class.
        usual_latencies: geometric mean of the latency, by class.
        overall: mean run time of all classes; 0 while nothing is known.
    """

    __slots__ = ("by_class", "overall", "usual_latencies")

    def __init__(self) -> None:
        self.by_class: defaultdict[int, float] = defaultdict(float)
        self.usual_latencies: defaultdict[int, float] = defaultdict(float)
        self.overall = 0.0

    def expected(self, request: Request) -> float:
        """The expected run time of a request; its latency objective while nothing is known."""
        expected_ms = self.by_class[request.class_index] * (request.work_hint or 1.0)
        return expected_ms or request.policy.latency_objective

    def record_served(self, request: Request, latency: float, run_time: float) -> None:
        """Learn from a request that was served.

        Args:
            request: the request.
            latency: ms from its start to its answer.
            run_time: ms that it ran, as far as that is known.
        """
        mean = self.by_class[request.class_index]
        run_time_per_unit = max(run_time, SHORTEST_MS) / (request.work_hint or 1.0)
        self.by_class[request.class_index] += (LEARN_STEP if mean else 1.0) * (run_time_per_unit - mean)
        self.overall += (LEARN_STEP if self.overall else 1.0) * (run_time - self.overall)
        latency_per_unit = max(latency, SHORTEST_MS) / (request.work_hint or 1.0)
        usual_latency = self.usual_latencies[request.class_index] or latency_per_unit
        self.usual_latencies[request.class_index] = usual_latency * (latency_per_unit / usual_latency) ** LEARN_STEP

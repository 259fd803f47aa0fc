"""Collects the figures of a run: service and latency by request class, load by server and violations of the rules."""

from array import array
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import NDArray

from heronlug.emulator.clients import ClientRequest
from heronlug.emulator.scenario import ClassTable, Scenario
from heronlug.emulator.servers import EmulatedServer

OUTCOMES = ("on_time", "late", "refused", "failed", "lost")
"""Outcomes of requests; ``lost`` means that the dispatcher was killed or that no dispatcher was running."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
"""Percentiles of latency that are reported."""
SECONDS_BEFORE_FAULT = 10
"""Number of seconds over which the service before a fault is averaged."""
SMOOTHING_SECONDS = 3
"""Number of seconds in the moving average of the service after a fault."""


@dataclass(slots=True)
class ClassFigures:
    """Figures of one request class.

    Attributes:
        name: name of the class.
        priority_weight: value that a request earns if it is served on time.
        outcomes: number of requests by outcome.
        earned_value: value earned by all requests together.
        latencies_ms: latencies in ms of served requests, measured from the first submission.
        attempts: number of attempts that dispatchers sent to servers.
        submissions: number of submissions of clients to dispatchers.
    """

    name: str
    priority_weight: float
    outcomes: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    earned_value: float = 0.0
    latencies_ms: "array[float]" = field(default_factory=lambda: array("d"))
    attempts: int = 0
    submissions: int = 0

    @property
    def request_count(self) -> int:
        """Number of requests that have ended."""
        return sum(self.outcomes.values())

    def percentiles(self) -> dict[str, float]:
        """Returns latencies in ms by percentile, nan if no request was served."""
        if not len(self.latencies_ms):
            return {f"p{p:g}": float("nan") for p in PERCENTILES}
        latencies = np.percentile(np.frombuffer(self.latencies_ms), PERCENTILES)
        return {f"p{p:g}": float(value) for p, value in zip(PERCENTILES, latencies, strict=True)}


class ServerFigures(NamedTuple):
    """Figures of one server.

    Attributes:
        name: name of the server.
        kind: name of the server kind.
        mean_load: share of the slots that was used, averaged over the run.
        execution_count: number of executions started.
        overload_crashes: number of crashes caused by overload.
        warmup_peak_load: highest load while the server was warming up; overload begins above 1.
    """

    name: str
    kind: str
    mean_load: float
    execution_count: int
    overload_crashes: int
    warmup_peak_load: float

    @classmethod
    def of_server(cls, server: EmulatedServer, span: float) -> "ServerFigures":
        """Returns the figures of a server at the end of a run; ``span`` is the length of the run in ms."""
        return cls(
            server.name,
            server.kind.name,
            server.busy_slot_ms / (server.kind.slots * span),
            server.execution_count,
            server.overload_crashes,
            server.warmup_peak_load,
        )


class LittlesLaw(NamedTuple):
    """Two sides of Little's law, which must be equal.

    Attributes:
        mean_open_requests: number of open requests, averaged over time.
        rate_times_stay: arrival rate times the mean time from arrival to end of a request.
    """

    mean_open_requests: float
    rate_times_stay: float


@dataclass(slots=True)
class Figures:
    """Figures of one run.

    Attributes:
        scenario: name of the scenario.
        policy: name of the policy that chose the servers.
        seed: seed of the run.
        span_ms: time in ms during which arrivals are counted.
        classes: figures of each request class.
        value_by_second: earned value (row 0) and possible value (row 1), by the second of arrival.
        servers: figures of each server.
        cross_zone_attempts: number of attempts at a server of another zone.
        peer_messages: number of datagrams between dispatchers.
        littles_law: two sides of Little's law.
        violations: number of violations by the number of the rule.
        discovery_calls: number of calls of service discovery, if calls have a cost.
        rejected_discovery_calls: number of these calls that were rejected.
        last_watch_ms: time in ms when the last dispatcher to get a watch got its first watch.
        dispatchers_without_watch: number of dispatchers that never had a watch.
        event_count: number of events of the timeline.
        wall_time_s: wall-clock duration of the run in seconds.
    """

    scenario: str
    policy: str
    seed: int
    span_ms: float
    classes: list[ClassFigures]
    value_by_second: NDArray[np.float64]
    servers: list[ServerFigures] = field(default_factory=list)
    cross_zone_attempts: int = 0
    peer_messages: int = 0
    littles_law: LittlesLaw = field(default_factory=lambda: LittlesLaw(0.0, 0.0))
    violations: dict[int, int] = field(default_factory=dict)
    discovery_calls: int = 0
    rejected_discovery_calls: int = 0
    last_watch_ms: float = float("nan")
    dispatchers_without_watch: int = 0
    event_count: int = 0
    wall_time_s: float = 0.0

    @classmethod
    def of_scenario(cls, scenario: Scenario, seed: int) -> "Figures":
        """Returns empty figures for a run that has not begun."""
        return cls(
            scenario.name,
            scenario.policy,
            seed,
            (scenario.span_s - scenario.warm_up_s) * 1000,
            [ClassFigures(table.name, table.worth) for table in scenario.classes],
            np.zeros((2, int(scenario.span_s) + 1)),
        )

    def request_ended(self, request: ClientRequest, table: ClassTable, outcome: str, now: float) -> None:
        """Counts a request of a class that ended at ``now``, in ms."""
        figures = self.classes[request.class_number]
        figures.outcomes[outcome] += 1
        figures.attempts += request.attempts
        figures.submissions += request.submissions
        earned = _earned_value(table, outcome)
        figures.earned_value += earned
        if outcome in ("on_time", "late"):
            figures.latencies_ms.append(now - request.arrived_at)
        second = int(request.arrived_at / 1000)
        self.value_by_second[0, second] += earned
        self.value_by_second[1, second] += table.worth

    @property
    def service(self) -> float:
        """Earned share of the possible value, nan if there were no requests."""
        possible = sum(each.priority_weight * each.request_count for each in self.classes)
        return sum(each.earned_value for each in self.classes) / possible if possible else float("nan")

    def recovery_s(self, fault_at_s: float, level: float = 0.95) -> float:
        """Returns the time in seconds from a fault until the service has recovered.

        Args:
            fault_at_s: time at which the fault began, in seconds.
            level: share of the service before the fault at which the service counts as recovered.

        Returns:
            The time in seconds; nan if the service does not recover before the end of the run.
        """
        earned, possible = self.value_by_second
        rates = np.divide(earned, possible, out=np.full(len(earned), np.nan), where=possible > 0)
        first = int(fault_at_s)
        seconds_before = slice(max(0, first - SECONDS_BEFORE_FAULT), first)
        before = np.nanmean(rates[seconds_before]) if first and possible[seconds_before].any() else 1.0
        windows = [slice(second, second + SMOOTHING_SECONDS) for second in range(first, len(rates))]
        smoothed = np.array([np.nanmean(rates[each]) if possible[each].any() else np.nan for each in windows])
        below = np.flatnonzero(smoothed < level * before)
        if not len(below):
            return 0.0
        first_recovered = below[-1] + 1
        return float(first_recovered) if first_recovered < len(smoothed) else float("nan")

    def by_name(self) -> dict[str, float]:
        """Returns the figures by their published names; figures of a class are named ``CLASS.figure``."""
        attempts = sum(each.attempts for each in self.classes)
        requests = sum(each.request_count for each in self.classes)
        loads = np.array([server.mean_load for server in self.servers]) if self.servers else np.zeros(1)
        figures = {
            "service": self.service,
            "jobs": float(requests),
            "attempts_per_job": attempts / requests if requests else float("nan"),
            "crossing": self.cross_zone_attempts / attempts if attempts else 0.0,
            "load_mean": float(loads.mean()),
            "load_sd": float(loads.std()),
            "cold_peak": max((server.warmup_peak_load for server in self.servers), default=0.0),
            "fell": float(sum(server.overload_crashes for server in self.servers)),
            "violations": float(sum(self.violations.values())),
            "told_per_job": self.peer_messages / requests if requests else 0.0,
            "calls": float(self.discovery_calls),
            "turned": float(self.rejected_discovery_calls),
            "watched_ms": self.last_watch_ms,
            "unread": float(self.dispatchers_without_watch),
        }
        for each in self.classes:
            ended = each.request_count or 1
            figures[f"{each.name}.jobs"] = float(each.request_count)
            for outcome in OUTCOMES:
                figures[f"{each.name}.{outcome}"] = each.outcomes[outcome] / ended
            figures |= {f"{each.name}.{key}": value for key, value in each.percentiles().items()}
        return figures

    def class_table(self) -> list[list[str]]:
        """Returns the rows of a text table: a heading and a row for each request class."""
        heading = ["class", "jobs", *OUTCOMES, *(f"p{p:g} ms" for p in PERCENTILES), "attempts"]
        rows = [heading]
        for each in self.classes:
            ended = each.request_count or 1
            shares = [f"{each.outcomes[outcome] / ended:.2%}" for outcome in OUTCOMES]
            times = [f"{value:.0f}" for value in each.percentiles().values()]
            rows.append([each.name, str(each.request_count), *shares, *times, f"{each.attempts / ended:.2f}"])
        return rows


def have_same_figures(one: Figures, other: Figures) -> bool:
    """Returns whether two runs have identical figures, apart from their wall-clock durations."""
    return bool(_compared_fields(one) == _compared_fields(other))


def _compared_fields(figures: Figures) -> tuple[Any, ...]:
    classes = [(each.name, each.outcomes, each.earned_value, each.latencies_ms.tobytes()) for each in figures.classes]
    by_second = figures.value_by_second.tobytes()
    return classes, figures.servers, by_second, figures.violations, figures.event_count


def _earned_value(table: ClassTable, outcome: str) -> float:
    """Returns the value that a request of a class earns with an outcome."""
    if outcome == "on_time":
        return float(table.worth)
    return float(table.worth * table.late_worth) if outcome == "late" else 0.0

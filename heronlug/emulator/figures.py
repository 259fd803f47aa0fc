"""The figures of a run: service and latency of each request class, load of each server, violations of the rules."""

from array import array
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import NDArray

from heronlug.emulator.clients import ClientRequest
from heronlug.emulator.scenario import ClassTable, Scenario
from heronlug.emulator.servers import EmulatedServer

OUTCOMES = ("on_time", "late", "refused", "failed", "lost")
"""How a request may end; lost: its dispatcher was killed, or none was running."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
"""The percentiles of latency that are reported."""
SECONDS_BEFORE_FAULT = 10
"""The service before a fault is the mean of so many seconds."""
SMOOTHING_SECONDS = 3
"""The service after a fault is the mean of so many seconds from each second on."""


@dataclass(slots=True)
class ClassFigures:
    """The figures of one request class.

    Attributes:
        name: of the class.
        priority_weight: what a request earns that is served on time.
        outcomes: requests by how they ended.
        earned_value: by all requests.
        latencies_ms: of served requests, from their first submission on.
        attempts: of dispatchers at servers.
        submissions: of clients to dispatchers.
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
        """All requests that have ended."""
        return sum(self.outcomes.values())

    def percentiles(self) -> dict[str, float]:
        """Latencies in ms by percentile, nan where nothing was served."""
        if not len(self.latencies_ms):
            return {f"p{p:g}": float("nan") for p in PERCENTILES}
        latencies = np.percentile(np.frombuffer(self.latencies_ms), PERCENTILES)
        return {f"p{p:g}": float(value) for p, value in zip(PERCENTILES, latencies, strict=True)}


class ServerFigures(NamedTuple):
    """The figures of one server.

    Attributes:
        name: of the server.
        kind: the name of its kind.
        mean_load: the share of its slots that was used over the run.
        execution_count: executions that it started.
        overload_crashes: how often overload made it crash.
        warmup_peak_load: its highest load while it warmed up; 1 is where overload begins.
    """

    name: str
    kind: str
    mean_load: float
    execution_count: int
    overload_crashes: int
    warmup_peak_load: float

    @classmethod
    def of_server(cls, server: EmulatedServer, span: float) -> "ServerFigures":
        """The figures of a server at the end of a run over a span in ms."""
        return cls(
            server.name,
            server.kind.name,
            server.busy_slot_ms / (server.kind.slots * span),
            server.execution_count,
            server.overload_crashes,
            server.warmup_peak_load,
        )


class LittlesLaw(NamedTuple):
    """Both sides of Little's law.

    Attributes:
        mean_open_requests: the mean over time.
        rate_times_stay: the rate of arrivals times the mean stay of a request.
    """

    mean_open_requests: float
    rate_times_stay: float


@dataclass(slots=True)
class Figures:
    """The figures of one run.

    Attributes:
        scenario: its name.
        policy: that chose the servers.
        seed: of the run.
        span_ms: the time that is counted.
        classes: the figures of each request class.
        value_by_second: earned and possible value, by the second of arrival.
        servers: the figures of each server.
        cross_zone_attempts: attempts at a server of another zone.
        peer_messages: datagrams between dispatchers.
        littles_law: both sides of it.
        violations: by the number of the rule.
        discovery_calls: calls of service discovery, where they cost something.
        rejected_discovery_calls: those of them that were rejected.
        last_watch_ms: when the last dispatcher's first watch began.
        dispatchers_without_watch: dispatchers that never had a watch.
        event_count: events of the timeline.
        wall_time_s: the time that the run took.
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
        """The figures of a run that has not begun."""
        return cls(
            scenario.name,
            scenario.policy,
            seed,
            (scenario.span_s - scenario.warm_up_s) * 1000,
            [ClassFigures(table.name, table.worth) for table in scenario.classes],
            np.zeros((2, int(scenario.span_s) + 1)),
        )

    def request_ended(self, request: ClientRequest, table: ClassTable, outcome: str, now: float) -> None:
        """Count a request of a class that has ended at a time."""
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
        """The share of all possible value that was earned."""
        possible = sum(each.priority_weight * each.request_count for each in self.classes)
        return sum(each.earned_value for each in self.classes) / possible if possible else float("nan")

    def recovery_s(self, at: float, level: float = 0.95) -> float:
        """Seconds after a fault until the service is back.

        Args:
            at: when the fault began, in seconds.
            level: the share of the service before the fault that counts as back.

        Returns:
            The seconds; nan if the service does not come back.
        """
        earned, possible = self.value_by_second
        rates = np.divide(earned, possible, out=np.full(len(earned), np.nan), where=possible > 0)
        first = int(at)
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
        """The figures by their published names, for tables and comparisons; ``CLASS.figure`` for those of a class."""
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
        """Rows of text: a heading, and a row for each request class."""
        heading = ["class", "jobs", *OUTCOMES, *(f"p{p:g} ms" for p in PERCENTILES), "attempts"]
        rows = [heading]
        for each in self.classes:
            ended = each.request_count or 1
            shares = [f"{each.outcomes[outcome] / ended:.2%}" for outcome in OUTCOMES]
            times = [f"{value:.0f}" for value in each.percentiles().values()]
            rows.append([each.name, str(each.request_count), *shares, *times, f"{each.attempts / ended:.2f}"])
        return rows


def have_same_figures(one: Figures, other: Figures) -> bool:
    """Whether two runs came to the very same figures, but for the time that they took."""
    return bool(_compared_fields(one) == _compared_fields(other))


def _compared_fields(figures: Figures) -> tuple[Any, ...]:
    classes = [(each.name, each.outcomes, each.earned_value, each.latencies_ms.tobytes()) for each in figures.classes]
    by_second = figures.value_by_second.tobytes()
    return classes, figures.servers, by_second, figures.violations, figures.event_count


def _earned_value(table: ClassTable, outcome: str) -> float:
    """What a request of a class earns that ended so."""
    if outcome == "on_time":
        return float(table.worth)
    return float(table.worth * table.late_worth) if outcome == "late" else 0.0

"""What a run is counted by: service and latency of each class, load of each host, and the rules."""

from array import array
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import NDArray

FINALS = ("on_time", "late", "refused", "failed", "lost")  # lost: its dispatcher was killed, or none was there
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class Lane:
    """One class of jobs."""

    name: str
    worth: float
    finals: dict[str, int] = field(default_factory=lambda: dict.fromkeys(FINALS, 0))
    earned: float = 0.0
    latencies: "array[float]" = field(default_factory=lambda: array("d"))  # of served ones, ms from the first try on
    attempts: int = 0  # of dispatchers to hosts
    tries: int = 0  # of clients

    @property
    def jobs(self) -> int:
        """All that have ended."""
        return sum(self.finals.values())

    def percentiles(self) -> dict[str, float]:
        """Latencies by percentile, nan where nothing was served."""
        if not len(self.latencies):
            return {f"p{p:g}": float("nan") for p in PERCENTILES}
        found = np.percentile(np.frombuffer(self.latencies), PERCENTILES)
        return {f"p{p:g}": float(value) for p, value in zip(PERCENTILES, found, strict=True)}


class HostFigures(NamedTuple):
    """One host's process line."""

    name: str
    kind: str
    load: float  # share of its slots that ran, of the span
    runs: int
    fell: int
    peak: float  # of what it stands while it was cold


@dataclass(slots=True)
class Figures:
    """One run."""

    scenario: str
    policy: str
    seed: int
    span: float  # ms that are counted
    lanes: list[Lane]
    by_second: NDArray[np.float64]  # earned and possible worth, by the second of arrival
    hosts: list[HostFigures] = field(default_factory=list)
    crossing: int = 0  # attempts to a host of another zone
    told: int = 0  # datagrams between dispatchers
    little: tuple[float, float] = (0.0, 0.0)  # jobs in the system: their mean by time, and rate times mean stay
    violations: dict[int, int] = field(default_factory=dict)
    calls: int = 0  # of the register, where they cost something
    turned: int = 0  # of these, away
    watched: float = float("nan")  # ms until the last dispatcher's first watch waited for news
    unread: int = 0  # dispatchers that never came so far
    events: int = 0
    wall: float = 0.0  # s that the run took

    @property
    def service(self) -> float:
        """Worth earned, of all that could be."""
        possible = sum(lane.worth * lane.jobs for lane in self.lanes)
        return sum(lane.earned for lane in self.lanes) / possible if possible else float("nan")

    def recovery(self, at: float, level: float = 0.95) -> float:
        """Seconds after a trouble (s) until the service of a second is back at this share of what it was before.

        Of what it was: the mean of the ten seconds before. nan where it does not come back, or nothing came then.
        """
        earned, possible = self.by_second
        rates = np.divide(earned, possible, out=np.full(len(earned), np.nan), where=possible > 0)
        first = int(at)
        before = (
            np.nanmean(rates[max(0, first - 10) : first])
            if first and possible[max(0, first - 10) : first].any()
            else 1.0
        )
        smooth = np.array(
            [np.nanmean(rates[n : n + 3]) if possible[n : n + 3].any() else np.nan for n in range(first, len(rates))]
        )
        below = np.flatnonzero(smooth < level * before)
        if not len(below):
            return 0.0
        back = below[-1] + 1
        return float(back) if back < len(smooth) else float("nan")

    def flat(self) -> dict[str, float]:
        """The figures by name, for tables and comparisons; ``CLASS.figure`` for those of a class."""
        attempts = sum(lane.attempts for lane in self.lanes)
        jobs = sum(lane.jobs for lane in self.lanes)
        loads = np.array([host.load for host in self.hosts]) if self.hosts else np.zeros(1)
        found = {
            "service": self.service,
            "jobs": float(jobs),
            "attempts_per_job": attempts / jobs if jobs else float("nan"),
            "crossing": self.crossing / attempts if attempts else 0.0,
            "load_mean": float(loads.mean()),
            "load_sd": float(loads.std()),
            "cold_peak": max((host.peak for host in self.hosts), default=0.0),
            "fell": float(sum(host.fell for host in self.hosts)),
            "violations": float(sum(self.violations.values())),
            "told_per_job": self.told / jobs if jobs else 0.0,
            "calls": float(self.calls),
            "turned": float(self.turned),
            "watched_ms": self.watched,
            "unread": float(self.unread),
        }
        for lane in self.lanes:
            ended = lane.jobs or 1
            found[f"{lane.name}.jobs"] = float(lane.jobs)
            for final in FINALS:
                found[f"{lane.name}.{final}"] = lane.finals[final] / ended
            found |= {f"{lane.name}.{key}": value for key, value in lane.percentiles().items()}
        return found

    def table(self) -> list[list[str]]:
        """Rows for people: a line for each class."""
        head = ["class", "jobs", *FINALS, *(f"p{p:g} ms" for p in PERCENTILES), "attempts"]
        rows = [head]
        for lane in self.lanes:
            ended = lane.jobs or 1
            shares = [f"{lane.finals[final] / ended:.2%}" for final in FINALS]
            times = [f"{value:.0f}" for value in lane.percentiles().values()]
            rows.append([lane.name, str(lane.jobs), *shares, *times, f"{lane.attempts / ended:.2f}"])
        return rows


def same(one: Figures, other: Figures) -> bool:
    """Whether two runs came to the very same, but for the time they took."""

    def key(each: Figures) -> Any:
        lanes = [(lane.name, lane.finals, lane.earned, lane.latencies.tobytes()) for lane in each.lanes]
        return lanes, each.hosts, each.by_second.tobytes(), each.violations, each.events

    return bool(key(one) == key(other))

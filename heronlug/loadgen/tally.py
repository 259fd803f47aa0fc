"""Counts the outcomes and latencies of requests by request class."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from heronlug.emulator.figures import OUTCOMES, PERCENTILES, ClassFigures
from heronlug.emulator.scenario import ClassTable

MAX_LATENCY_US = 3_600_000_000
"""Highest latency in microseconds that a histogram records; higher latencies count as this value."""


@dataclass(slots=True)
class Tally:
    """Outcomes and latencies of one request class.

    Attributes:
        request_class: request class of the scenario.
        outcomes: number of requests by outcome.
        latencies_us: histogram of the latencies of served requests, in microseconds.
        started_late: number of requests that the load generator itself started more than 10 ms late.
    """

    request_class: ClassTable
    outcomes: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    latencies_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    started_late: int = 0

    @property
    def request_count(self) -> int:
        """Number of requests that have ended."""
        return sum(self.outcomes.values())

    def request_ended(self, outcome: str, latency_ms: float) -> None:
        """Counts a request that has ended.

        Args:
            outcome: ``served``, ``refused``, ``failed`` or ``lost``.
            latency_ms: time in ms from the due time to the end.
        """
        if outcome == "served":
            outcome = "on_time" if latency_ms <= self.request_class.aim_ms else "late"
            self.latencies_us.record_value(max(1, min(MAX_LATENCY_US, round(latency_ms * 1000))))
        self.outcomes[outcome] += 1

    def earned_value(self) -> float:
        """Returns the value earned by all requests of the class."""
        request_class = self.request_class
        return float(
            request_class.worth * (self.outcomes["on_time"] + request_class.late_worth * self.outcomes["late"])
        )

    def percentiles(self) -> dict[str, float]:
        """Returns latencies in ms by percentile, as :meth:`heronlug.emulator.figures.ClassFigures.percentiles`."""
        if not self.latencies_us.get_total_count():
            return {f"p{p:g}": float("nan") for p in PERCENTILES}
        return {f"p{p:g}": self.latencies_us.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


def service(tallies: list[Tally]) -> float:
    """Returns the earned share of the possible value, nan if there were no requests."""
    possible = sum(tally.request_class.worth * tally.request_count for tally in tallies)
    return sum(tally.earned_value() for tally in tallies) / possible if possible else float("nan")


def table(tallies: list[Tally]) -> list[list[str]]:
    """Returns the rows of a text table: a heading and a row for each request class."""
    rows = [["class", "jobs", *OUTCOMES, *(f"p{p:g} ms" for p in PERCENTILES)]]
    for tally in tallies:
        shares = [f"{tally.outcomes[final] / (tally.request_count or 1):.2%}" for final in OUTCOMES]
        rows.append(
            [
                tally.request_class.name,
                str(tally.request_count),
                *shares,
                *(f"{v:.0f}" for v in tally.percentiles().values()),
            ]
        )
    return rows


def gaps(tallies: list[Tally], emulated: list[ClassFigures]) -> list[list[str]]:
    """Returns a text table that compares sockets and emulator by class; shares in percentage points, times in ms."""
    rows = [["class", "", "on time", "late", "not served", "p50 ms", "p90 ms", "p99 ms"]]
    for tally, emulated_class in zip(tallies, emulated, strict=True):
        values = []
        for each in (tally, emulated_class):
            ended, percentiles = each.request_count or 1, each.percentiles()
            not_served = sum(each.outcomes[final] for final in ("refused", "failed", "lost"))
            shares = [100 * count / ended for count in (each.outcomes["on_time"], each.outcomes["late"], not_served)]
            values.append([*shares, percentiles["p50"], percentiles["p90"], percentiles["p99"]])
        for what, row in (
            ("sockets", values[0]),
            ("model", values[1]),
            ("gap", [a - b for a, b in zip(*values, strict=True)]),
        ):
            texts = [f"{value:.2f}" for value in row[:3]] + [f"{value:.1f}" for value in row[3:]]
            rows.append([tally.request_class.name if what == "sockets" else "", what, *texts])
    return rows

"""Judges what a dispatcher held, and how it served well-behaved clients, beside clients that abused it."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from heronlug.faults.abuse.clients import CLIENT_ID_END
from heronlug.faults.upgrades.clients import End, RequestRecord
from heronlug.faults.upgrades.run import UpgradeReport

MIN_SHARED_MEMORY_MB = 64.0
"""Smallest memory limit that holds two processes of an upgrade together, in MB."""
MAX_CLOSED_SHARE = 0.01
"""Largest share of the requests of well-behaved clients that may meet a close of their connection."""
MAX_UNSERVED_SHARE = 0.01
"""Largest share of the requests of well-behaved clients that may be refused or fail."""
MAX_LATENCY_RATIO = 2.0
"""Largest ratio of the 99th percentile of the latency beside abusive clients to that without."""
MAX_ADDED_LATENCY_MS = 50.0
"""Latency that may be added to that, in ms."""
MAX_KEPT_MB = 8.0
"""Memory that a process may keep above what it had before the abuse, in MB."""
MAX_NOTICE_S = 0.1
"""Time after a client's close within which an attempt for it may begin, in seconds."""
CALM_AFTER_S = 5.0
"""Time after the last abuse from which a process may keep no more than that, in seconds."""


@dataclass(frozen=True)
class Window:
    """A span of Unix time, in seconds."""

    begin: float
    end: float

    def has(self, at: float) -> bool:
        """Returns whether a time is in the window."""
        return self.begin <= at < self.end


def judge(report: UpgradeReport) -> UpgradeReport:
    """Adds figures and violations of memory and of the service of well-behaved clients to a report, and returns it."""
    abused = _abused_window(report)
    _judge_peaks(report)
    _judge_rest(report, abused)
    _judge_service(report, abused)
    _judge_abusers(report)
    _judge_attempts(report)
    return report


def percentile_ms(values_ms: Iterable[float], percent: float) -> float:
    """Returns a percentile by the nearest rank; 0 without values."""
    ordered = sorted(values_ms)
    return ordered[max(0, ceil(len(ordered) * percent / 100) - 1)] if ordered else 0.0


def _abused_window(report: UpgradeReport) -> Window:
    began_at = report.load_began_at
    begin = min(abuse.at_s for abuse in report.plan.abuses)
    end = max(abuse.at_s + abuse.span_s for abuse in report.plan.abuses)
    return Window(began_at + begin, began_at + end)


def _judge_peaks(report: UpgradeReport) -> None:
    limit_mb = report.plan.memory_mb
    peak_mb = max(report.usage.peak_resident_mb.values(), default=0.0)
    together_mb = max((sample.total_mb for sample in report.usage.resident), default=0.0)
    report.figures |= {"peak MB of a process": round(peak_mb, 1), "peak MB together": round(together_mb, 1)}
    if peak_mb > limit_mb:
        report.violations.append(f"memory: {peak_mb:.1f} MB in one process, at most {limit_mb:g} allowed")
    if together_mb > limit_mb >= MIN_SHARED_MEMORY_MB:
        report.violations.append(f"memory: {together_mb:.1f} MB in all processes, at most {limit_mb:g} allowed")


def _judge_rest(report: UpgradeReport, abused: Window) -> None:
    """Judges what a single process keeps after the abuse."""
    calm = Window(abused.end + CALM_AFTER_S, report.load_began_at + report.plan.span_s)
    before = [sample.total_mb for sample in report.usage.resident if sample.at < abused.begin]
    after = [sample.total_mb for sample in report.usage.resident if calm.has(sample.at)]
    if report.plan.upgrades or not before or not after:
        return
    kept_mb = min(after) - before[-1]
    report.figures["MB kept after the abuse"] = round(kept_mb, 1)
    if kept_mb > MAX_KEPT_MB:
        report.violations.append(f"memory: {kept_mb:.1f} MB kept after the abuse, at most {MAX_KEPT_MB:g} allowed")


def _judge_service(report: UpgradeReport, abused: Window) -> None:
    calm = [record for record in report.records if report.load_began_at <= record.sent_at < abused.begin]
    beside = [record for record in report.records if abused.has(record.sent_at)]
    calm_ms, beside_ms = percentile_ms(_latencies_ms(calm), 99), percentile_ms(_latencies_ms(beside), 99)
    closed = _share(beside, (End.CROSSED,))
    unserved = _share(beside, (End.REFUSED, End.FAILED))
    report.figures |= {
        "requests beside the abuse": len(beside),
        "p50 ms": f"{percentile_ms(_latencies_ms(calm), 50):.0f} -> {percentile_ms(_latencies_ms(beside), 50):.0f}",
        "p99 ms": f"{calm_ms:.0f} -> {beside_ms:.0f}",
        "met a close": f"{closed:.1%}",
        "unserved": f"{unserved:.1%}",
    }
    allowed_ms = MAX_LATENCY_RATIO * calm_ms + MAX_ADDED_LATENCY_MS
    if beside_ms > allowed_ms:
        report.violations.append(f"latency: p99 of {beside_ms:.0f} ms, at most {allowed_ms:.0f} allowed")
    if closed > MAX_CLOSED_SHARE:
        report.violations.append(
            f"closes: {closed:.1%} of the requests met one, at most {MAX_CLOSED_SHARE:.0%} allowed"
        )
    if unserved > MAX_UNSERVED_SHARE:
        report.violations.append(f"unserved: {unserved:.1%} of the requests, at most {MAX_UNSERVED_SHARE:.0%} allowed")
    if not beside:
        report.violations.append("no well-behaved client could send a request")


def _judge_abusers(report: UpgradeReport) -> None:
    for abuse, figures in zip(report.plan.abuses, report.abuse_figures, strict=True):
        report.figures[f"{abuse.kind.value} x {abuse.clients}"] = figures
        if figures.get("owed"):
            report.violations.append(
                f"{abuse.kind.value}: {figures['owed']} connections got neither an error nor a close in time"
            )
        if figures.get("unanswered"):
            report.violations.append(f"{abuse.kind.value}: {figures['unanswered']} sound requests got no answer")


def _judge_attempts(report: UpgradeReport) -> None:
    """Judges the attempts for clients that had closed their connections."""
    if not report.closed_at:
        return
    late_s = [
        attempt.began_at - report.closed_at[client_id]
        for attempt in report.attempts
        if (client_id := attempt.request_id.partition(CLIENT_ID_END)[0]) in report.closed_at
    ]
    report.figures |= {"attempts for clients that close": len(late_s), "latest s": round(max(late_s, default=0.0), 3)}
    too_late = [seconds for seconds in late_s if seconds > MAX_NOTICE_S]
    if too_late:
        report.violations.append(
            f"closes: {len(too_late)} attempts began up to {max(too_late):.2f} s after their client's close, "
            f"at most {MAX_NOTICE_S:g} s allowed"
        )
    if not late_s:
        report.violations.append("closes: no attempt began for a client that closes")


def _latencies_ms(records: Iterable[RequestRecord]) -> list[float]:
    return [1000 * (record.ended_at - record.sent_at) for record in records if record.end is not None]


def _share(records: list[RequestRecord], ends: tuple[End, ...]) -> float:
    return sum(record.end in ends for record in records) / len(records) if records else 0.0

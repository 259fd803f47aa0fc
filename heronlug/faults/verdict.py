"""Judges a finished run: broken rules, unmet expectations and figures."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from heronlug.conformance import Violation
from heronlug.conformance.process_logs import check_process_logs
from heronlug.faults.history import History
from heronlug.faults.plan import ExpectTable, FailedTable, FaultPlan
from heronlug.faults.processes import Process
from heronlug.loadgen.tally import Tally


@dataclass
class Verdict:
    """Result of a run.

    Attributes:
        name: name of the test plan.
        violations: violations of the four rules.
        faults: unmet expectations and failures of processes or of the harness, one line each.
        figures: figures of the run by name.
        steps: steps as applied, each with its milliseconds since the start of the run.
    """

    name: str
    violations: list[Violation] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    steps: list[tuple[float, str]] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether all rules and expectations were met."""
        return not self.violations and not self.faults

    def text(self) -> str:
        """Returns the verdict as readable text, with at most 20 violations."""
        lines = [f"{self.name}: {'kept' if self.kept else 'BROKEN'}"]
        lines += [f"  rule {v.rule}: {v.what}" for v in self.violations[:20]]
        lines += [f"  {fault}" for fault in self.faults]
        lines += [f"  {name}: {value}" for name, value in self.figures.items()]
        return "\n".join(lines)


class FinishedRun(NamedTuple):
    """Observations of a finished run.

    Attributes:
        plan: test plan of the run.
        history: recorded events.
        processes: dispatchers by name.
        tallies: counts of the load generator, one tally per request class.
        watching: dispatchers that had a watch open at service discovery at the end.
        listed: whether each dispatcher that ran at the end had the complete list, by name.
        listed_after: seconds until each dispatcher had its list, by name.
        lost_with_dispatcher: requests lost because their dispatcher ended.
        list_bytes: bytes of all responses of service discovery.
        failures: failures of the harness, and processes that exited unexpectedly.
    """

    plan: FaultPlan
    history: History
    processes: Mapping[str, Process]
    tallies: Iterable[Tally]
    watching: list[str]
    listed: dict[str, bool]
    listed_after: dict[str, float]
    lost_with_dispatcher: int
    list_bytes: int
    failures: list[str]


def judge(run: FinishedRun) -> Verdict:
    """Returns the verdict of a finished run."""
    checker = run.history.checker
    verdict = Verdict(run.plan.name, checker.finish(run.history.now()), list(run.failures))
    verdict.steps, verdict.figures = run.history.steps, _figures(run)
    verdict.faults += _unmet_expectations(run, verdict.figures)
    verdict.faults += _failed_attempts(run, verdict.figures)
    for process in run.processes.values():
        if run.plan.dispatchers.log_taken:
            verdict.faults += check_process_logs(process.logs())
        verdict.faults += [f"{process.name}: {line[:400]}" for line in process.log_errors()]
    return verdict


def _figures(run: FinishedRun) -> dict[str, Any]:
    checker, tallies = run.history.checker, list(run.tallies)
    dials = {server: peak.most for server, peak in checker.statistics.dial_peaks.items()}
    after = sorted(run.listed_after.values())
    used = [process.usage() for process in run.processes.values() if process.running]
    return {
        "calls": checker.statistics.calls,
        "calls for the whole list": checker.statistics.list_calls,
        "calls turned away": checker.statistics.rejected_calls,
        "most calls in 100 ms": checker.statistics.short_call_peak.most,
        "most calls in 1 s": checker.statistics.long_call_peak.most,
        "reading in the end": len(run.watching),
        "listed in the end": sum(run.listed.values()),
        "running in the end": len(run.listed),
        "first and last listed after s": (round(after[0], 2), round(after[-1], 2)) if after else None,
        "jobs": sum(tally.request_count for tally in tallies),
        "served": sum(tally.outcomes["on_time"] + tally.outcomes["late"] for tally in tallies),
        "lost with their dispatcher": run.lost_with_dispatcher,
        "most dials at a runner in 1 s": max(dials.values(), default=0),
        "dials": sum(checker.statistics.dials.values()),
        "most of what a cold runner stands": round(checker.statistics.warmup_peak_load, 2),
        "CPU s of those that run": round(sum(usage.cpu_s for usage in used), 2),
        "peak MB of one": round(max((usage.peak_mb for usage in used), default=0.0), 1),
        "descriptors of one": max((usage.descriptors for usage in used), default=0),
        "bytes of lists": run.list_bytes,
        "longest delay of a step s": round(max((delay.delay_s for delay in run.history.delays), default=0.0), 2),
    }


def _bounds(expect: ExpectTable) -> dict[str, float | None]:
    return {
        "calls": expect.calls_most,
        "most calls in 1 s": expect.calls_in_1s_most,
        "most calls in 100 ms": expect.calls_in_100ms_most,
        "calls turned away": expect.turned_most,
        "most dials at a runner in 1 s": expect.dials_in_1s_most,
    }


def _unmet_expectations(run: FinishedRun, figures: dict[str, Any]) -> list[str]:
    """Returns a line for each expectation that the figures do not meet."""
    expect, faults = run.plan.expect, []
    for name, most in _bounds(expect).items():
        if most is not None and figures[name] > most:
            faults.append(f"{name}: {figures[name]}, at most {most:g} expected")
    if expect.listed and not all(run.listed.values()):
        without = [name for name, has_list in run.listed.items() if not has_list]
        faults.append(f"dispatchers without the complete list in the end: {', '.join(without)}")
    if expect.reading is not None and not expect.reading[0] <= len(run.watching) <= expect.reading[1]:
        faults.append(f"reading in the end: {', '.join(run.watching) or 'no dispatcher'}; {expect.reading} expected")
    counted = figures["jobs"] - run.lost_with_dispatcher
    if expect.served_least is not None and figures["served"] < expect.served_least * counted:
        share = f"at least {expect.served_least:g} of them expected"
        faults.append(f"served: {figures['served']} of {counted}, {share}")
    return faults


def _failed_attempts(run: FinishedRun, figures: dict[str, Any]) -> list[str]:
    """Returns a line for each exceeded bound on failed attempts into a zone; adds the counts to the figures."""
    faults = []
    for table in run.plan.expect.failed:
        count = sum(_count_failed_attempts(run, process, table) for process in run.processes.values())
        name = f"failed relays into {table.hall}, {table.from_s:g} to {table.to_s:g} s"
        figures[name] = count
        if count > table.most:
            faults.append(f"{name}: {count}, at most {table.most} expected")
    return faults


def _count_failed_attempts(run: FinishedRun, process: Process, table: FailedTable) -> int:
    """Returns the number of failed attempts into a zone that a dispatcher logged and began within the time span.

    The span moves with the last step planned before it, because a busy machine may delay the steps of a run.
    """
    count, delay_s = 0, run.history.delay_at(table.from_s)
    for line in process.logged_events("relay_ended"):
        at = (line["at"] * 1000 - line["ms"] - run.history.began_at_ms) / 1000
        counts = run.plan.zone_of(line["host"]) == table.hall and line["outcome"] not in ("moot", "cancelled")
        count += counts and table.from_s <= at - delay_s < table.to_s
    return count

"""Measures simultaneous cold starts of many dispatchers: ``python benchmarks/coldstart.py``.

Each case is a test plan without proxies between the processes: N dispatchers start at once on this machine. The
stand-in for service discovery processes calls one after another and rejects a call that would wait longer than one
second. With ``--before FOLDER``, a checkout of an earlier version, each case runs with that version and with this one.
"""

import asyncio
import resource
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import click

sys.path.insert(0, str(Path(__file__).parents[1]))

from heronlug.cli.helpers import print_columns, print_json
from heronlug.config.strict_toml import Source
from heronlug.emulator.scenario import load as load_scenario
from heronlug.emulator.world import World
from heronlug.faults.harness import FaultHarness
from heronlug.faults.plan import parse

CASE_TIMEOUT_S = 150.0
"""Duration of the test plan of a case in seconds."""
COLUMNS = (
    "case",
    "version",
    "all there s",
    "calls",
    "whole",
    "turned away",
    "most in 100 ms",
    "most in 1 s",
    "reading in the end",
    "least calls",
    "least s",
    "CPU s",
    "MB each",
)


class Case(NamedTuple):
    """A simultaneous start, or a start followed by an outage of service discovery.

    Attributes:
        name: name of the case.
        count: number of dispatchers.
        call_ms: milliseconds that service discovery takes for a call.
        cluster: whether the dispatchers form a cluster.
        down_s: duration in seconds of the outage that begins after all dispatchers are ready; 0 measures the start.
        more: TOML text added to the configuration of each dispatcher.
        settle_s: seconds to wait before the outage, or before the final counts if there is no outage.
    """

    name: str
    count: int
    call_ms: float
    cluster: bool = False
    down_s: float = 0.0
    more: str = ""
    settle_s: float = 0.0

    def text(self) -> str:
        """Returns the test plan as TOML."""
        more = self.more.replace("{count}", str(self.count)).replace("{call_ms}", str(self.call_ms))
        return f"""
name = "{self.name}"
span_s = {CASE_TIMEOUT_S}
relays = []
[dispatchers]
count = {self.count}
peers = false
cluster = "{'list' if self.cluster else ''}"
more = '''
{more}
'''
[register]
call_ms = {self.call_ms}
turned_ms = 1
[runners]
count = 4
"""


CASES = [
    Case("start of 50", 50, 20.0),
    Case("start of 100", 100, 50.0),
    Case("start of 200", 200, 20.0),
    Case("start of 300", 300, 50.0),
    Case("100, back after 8 s", 100, 50.0, down_s=8.0),
    Case("200, back after 6 s", 200, 20.0, down_s=6.0),
    Case("300, back after 15 s", 300, 50.0, down_s=15.0),
    Case("cluster, start of 100", 100, 50.0, cluster=True, settle_s=10.0),
    Case("cluster of 100, back after 8 s", 100, 50.0, cluster=True, down_s=8.0, settle_s=10.0),
]


async def run_case(case: Case, source: Path | None) -> dict[str, Any]:
    """Returns the figures of a case; ``source`` is a checkout of another version, None for this version."""
    plan = parse(Source.parse("case.toml", case.text().encode()))
    with tempfile.TemporaryDirectory() as folder:
        harness = FaultHarness(plan, Path(folder), None, source)
        harness_task = asyncio.create_task(harness.play())
        started_at = time.monotonic()
        cpu_before_s = _cpu_s(harness)

        async def wait_until(condition: Any) -> float:
            """Waits until the condition holds, the harness ends or ``CASE_TIMEOUT_S`` - 20 seconds have passed.

            Returns:
                The time waited in seconds.
            """
            wait_started_at = time.monotonic()
            while time.monotonic() - wait_started_at < CASE_TIMEOUT_S - 20 and not harness_task.done():
                if condition():
                    break
                await asyncio.sleep(0.02)
            return time.monotonic() - wait_started_at

        def all_ready() -> bool:
            if case.cluster:
                return len(harness.listed_after) == case.count
            return len(harness.watched_after) == case.count

        try:
            while not harness.processes:
                await asyncio.sleep(0.02)
            await wait_until(all_ready)
            ready_after_s = max(
                (harness.listed_after if case.cluster else harness.watched_after).values(), default=float("nan")
            )
            if case.settle_s:
                await asyncio.sleep(case.settle_s)
            if case.down_s:
                harness.set_discovery_down(True)
                await asyncio.sleep(case.down_s)
                harness.checker.statistics.reset_calls()
                harness.set_discovery_down(False)
                expected_count = 1 if case.cluster else case.count
                ready_after_s = await wait_until(lambda: len(set(harness.reading())) >= expected_count)
                await asyncio.sleep(20.0 if case.cluster else 0.0)
            statistics = harness.checker.statistics
            memory_mb = [
                _memory_mb(p.child.pid) for p in harness.processes.values() if p.running and p.child is not None
            ]
            least_calls = 1 if case.cluster else case.count * (1 if case.down_s else 2)
            return {
                "all there s": round(ready_after_s, 1),
                "calls": statistics.calls,
                "whole": statistics.list_calls,
                "turned away": statistics.rejected_calls,
                "most in 100 ms": harness.checker.statistics.short_call_peak.most,
                "most in 1 s": harness.checker.statistics.long_call_peak.most,
                "reading in the end": len(set(harness.reading())),
                "least calls": least_calls,
                "least s": round(least_calls * case.call_ms / 1000, 1),
                "CPU s": round(_cpu_s(harness) - cpu_before_s, 1),
                "MB each": round(sum(memory_mb) / len(memory_mb), 1) if memory_mb else 0.0,
                "took s": round(time.monotonic() - started_at, 1),
            }
        finally:
            harness_task.cancel()
            await asyncio.gather(harness_task, return_exceptions=True)


def starts_on_emulator() -> list[list[str]]:
    """Returns table rows on the service discovery calls of a cold start, by dispatcher count and pacing.

    The calls are not paced (``alone``), paced with a guessed cost of a call (``guess``), or paced with the configured
    cost (``told``). The servers are warm and the request rate is low.
    """
    pacing_variants = {"alone": (False, False), "guess": (True, False), "told": (True, True)}
    cases = [(count, pacing, *pacing_variants[pacing]) for count in (50, 200, 500, 1000) for pacing in pacing_variants]
    rows = [
        ["dispatchers", "way", "least calls", "calls, renewals too", "turned away", "last watches after s", "least s"]
    ]
    with ProcessPoolExecutor() as pool:
        rows += pool.map(_run_on_emulator, cases)
    return rows


def _run_on_emulator(case: tuple[int, str, bool, bool]) -> list[str]:
    """Returns the table row of one emulator run."""
    count, pacing, paced, cost_configured = case
    changes = {
        "dispatchers.count": count,
        "dispatchers.paced": paced,
        "register.told": cost_configured,
        "span_s": 10 + count * 0.1,
        "trouble": [],
        "arrivals.0.rate": 5,
        "arrivals.1.rate": 1,
        "dispatchers.may_tell": False,
    }
    world = World(load_scenario(Path(__file__).parents[1] / "scenarios" / "coldstart.toml", changes), 1)
    figures = world.run()
    least_calls = 2 * count
    return [
        str(count),
        pacing,
        str(least_calls),
        str(figures.discovery_calls),
        str(figures.rejected_discovery_calls),
        f"{figures.last_watch_ms / 1000:.1f}"
        + (f" ({figures.dispatchers_without_watch} never)" if figures.dispatchers_without_watch else ""),
        f"{least_calls * 0.02:.1f}",
    ]


def _cpu_s(harness: FaultHarness) -> float:
    """Returns the CPU time in seconds of all running dispatchers and of all child processes that have ended."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu_s = usage.ru_utime + usage.ru_stime
    for process in harness.processes.values():
        if process.child is not None and process.running:
            try:
                fields = Path(f"/proc/{process.child.pid}/stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            cpu_s += (int(fields[11]) + int(fields[12])) / 100
    return cpu_s


def _memory_mb(pid: int) -> float:
    """Returns the private memory of a process in MB; 0 if the process has ended meanwhile."""
    try:
        lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    except OSError:
        return 0.0
    return sum(int(line.split()[1]) for line in lines if line.startswith("Private")) / 1024


@click.command()
@click.option(
    "--before", type=click.Path(file_okay=False, path_type=Path), help="folder with a checkout of an earlier version"
)
@click.option("--only", multiple=True, help="run only cases whose name contains this text")
@click.option("--more", default="", help="TOML to append to the configuration files of this version")
@click.option("--json", "as_json", is_flag=True)
@click.option("--model", is_flag=True, help="run on the emulator with 50 to 1,000 dispatchers")
def main(before: Path | None, only: tuple[str, ...], more: str, as_json: bool, model: bool) -> None:
    """Run the cases and print the table."""
    if model:
        print_columns(starts_on_emulator())
        return
    rows = []
    for case in CASES:
        if only and not any(text in case.name for text in only):
            continue
        for version, source in (("before", before), ("now", None)):
            if version == "before" and before is None:
                continue
            configured_case = case._replace(more=more if version == "now" else "")
            figures = {"case": case.name, "version": version, **asyncio.run(run_case(configured_case, source))}
            rows.append(figures)
            print(figures, flush=True)
    if as_json:
        print_json(rows)
    else:
        print_columns([COLUMNS, *([str(row[column]) for column in COLUMNS] for row in rows)])


if __name__ == "__main__":
    main()

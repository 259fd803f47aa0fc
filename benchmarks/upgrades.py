"""Measures what upgrades cost clients, and what a request costs a core: ``python benchmarks/upgrades.py``.

``refusals`` runs two dispatchers side by side under the same steady load, one of which is upgraded again and again, and
compares the share of refusals and the 99th percentile of the latency. ``requests`` runs versions of the program in turn
under the same load, without upgrades, and compares the CPU time of the dispatcher for each request. Both use real
processes on loopback, and should run alone on the machine.
"""

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path
from random import Random
from statistics import mean

import click
import numpy as np

from heronlug.cli.helpers import print_columns
from heronlug.faults.upgrades.clients import End, RequestRecord
from heronlug.faults.upgrades.plan import ClientKind, Upgrade, UpgradePlan, series
from heronlug.faults.upgrades.run import UpgradeReport, UpgradeRun
from heronlug.faults.upgrades.usage import cpu_s_of

CLIENTS = {ClientKind.STEADY: 120}
"""Clients of each dispatcher: a quarter of what 1,024 descriptors allow, so that no limit is near."""
SPAN_S = 24.0
"""Length of the load in seconds."""
UPGRADE_COUNT = 6
UPGRADE_INTERVAL_S = 3.5
"""Seconds between the starts of two upgrades."""
MAX_RATIO = 1.1
"""Largest accepted ratio of a figure with upgrades to that without."""


def make_plan(seed: int, upgrades: tuple[Upgrade, ...], log_level: str, span_s: float = SPAN_S) -> UpgradePlan:
    """Returns a plan with steady load and idle slots."""
    return UpgradePlan(
        seed=seed,
        span_s=span_s,
        clients=CLIENTS,
        pause_s=(0.1, 0.5),
        servers=24,
        run_s=(0.02, 0.2),
        upgrades=upgrades,
        log_level=log_level,
    )


def refused_share(records: Sequence[RequestRecord]) -> float:
    """Returns the share of requests that were not served."""
    return sum(record.end is not End.SERVED for record in records) / len(records)


def latency_ms(records: Sequence[RequestRecord], percentile: float) -> float:
    """Returns a percentile of the latency of served requests in ms."""
    latencies = [record.ended_at - record.sent_at for record in records if record.end is End.SERVED]
    return float(np.percentile(latencies, percentile)) * 1000


async def play_side_by_side(plans: Sequence[UpgradePlan], folder: Path) -> list[UpgradeReport]:
    """Runs plans at the same time and returns their reports."""
    runs = []
    for number, plan in enumerate(plans):
        (folder / str(number)).mkdir()
        runs.append(UpgradeRun(plan, folder / str(number)).play())
    return await asyncio.gather(*runs)


async def cpu_us_of_a_request(plan: UpgradePlan, folder: Path, source: Path) -> float:
    """Returns the CPU time of the dispatcher for each request in microseconds."""
    run = UpgradeRun(plan, folder, (source,))
    used_s = 0.0

    async def sample() -> None:
        nonlocal used_s
        while True:
            used_s = max(used_s, *(cpu_s_of(pid) for pid in run.running_pids()), 0.0)
            await asyncio.sleep(0.05)

    sampling = asyncio.create_task(sample())
    report = await run.play()
    sampling.cancel()
    return used_s * 1e6 / len(report.records)


@click.group()
def main() -> None:
    """Measure upgrades."""


@main.command()
@click.option("--seeds", type=int, default=3)
def refusals(seeds: int) -> None:
    """Compare refusals and latency with and without upgrades, side by side."""
    rows = [["seed", "upgrades", "requests", "not served", "p50 ms", "p99 ms", "lost or broken"]]
    for seed in range(1, seeds + 1):
        upgrades = series(UPGRADE_COUNT, 2.0, UPGRADE_INTERVAL_S, Random(seed))
        plans = [make_plan(seed, each, "debug") for each in ((), upgrades)]
        with tempfile.TemporaryDirectory() as folder:
            reports = asyncio.run(play_side_by_side(plans, Path(folder)))
        for report in reports:
            records = report.records
            figures = [
                f"{refused_share(records):.4f}",
                f"{latency_ms(records, 50):.1f}",
                f"{latency_ms(records, 99):.1f}",
            ]
            counts = [str(seed), str(len(report.plan.upgrades)), str(len(records))]
            rows.append([*counts, *figures, str(len(report.violations))])
        before, after = (latency_ms(report.records, 99) for report in reports)
        verdict = "kept" if after <= MAX_RATIO * before else "exceeded"
        rows.append([str(seed), "ratio", "", "", "", f"{after / before:.3f}", f"bound {MAX_RATIO} {verdict}"])
    print_columns(rows)


@main.command()
@click.argument("sources", nargs=-1, type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--rounds", type=int, default=5)
@click.option("--log-level", default="info")
def requests(sources: tuple[Path, ...], rounds: int, log_level: str) -> None:
    """Compare the CPU time of a request between folders of versions of the program, in turn."""
    figures: dict[Path, list[float]] = {source: [] for source in sources}
    for seed in range(1, rounds + 1):
        for source in sources:
            plan = make_plan(seed, (), log_level, span_s=10.0)
            with tempfile.TemporaryDirectory() as folder:
                figures[source].append(asyncio.run(cpu_us_of_a_request(plan, Path(folder), source)))
    rows = [["source", "mean us", "least us", "most us"]]
    rows += [[str(s), f"{mean(f):.1f}", f"{min(f):.1f}", f"{max(f):.1f}"] for s, f in figures.items()]
    print_columns(rows)


if __name__ == "__main__":
    main()

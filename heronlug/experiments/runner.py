"""Plays an experiment's runs on all cores and keeps each as it ends."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import numpy as np

from heronlug.emulator import scenario as scenarios
from heronlug.emulator.figures import Figures, ServerFigures
from heronlug.emulator.world import World
from heronlug.experiments.experiment import PlannedRun
from heronlug.experiments.store import Store, StoredRun

QUANTILES = 200
MAX_STORED_VIOLATIONS = 20  # violations kept with what led to them


def play(job: PlannedRun) -> StoredRun:
    """One run, in a process of its own."""
    scenario = scenarios.load(Path(job.path), {**job.fixed, **job.params})
    world = World(scenario, job.seed)
    figures = world.run()
    return StoredRun(job.params, job.seed, job.code, figures.by_name(), _details(world, figures), figures.wall_time_s)


def _details(world: World, figures: Figures) -> dict[str, Any]:
    shares = np.linspace(0, 1, QUANTILES + 1)
    return {
        "quantiles": {
            lane.name: np.quantile(np.frombuffer(lane.latencies_ms), shares).round(2).tolist()
            for lane in figures.classes
            if len(lane.latencies_ms)
        },
        "by_second": figures.value_by_second.tolist(),
        "hosts": [_stored_server(server) for server in figures.servers],
        "violations": [
            {"rule": v.rule, "at": v.at, "what": v.what, "trail": [[type(e).__name__, *e] for e in v.trail]}
            for v in world.checker.violations[:MAX_STORED_VIOLATIONS]
        ],
        "recovery": [
            {"what": trouble.what, "at_s": trouble.at_s, "seconds": figures.recovery_s(trouble.at_s)}
            for trouble in world.scenario.trouble
        ],
        "aims": {lane.name: lane.latency_objective for lane in world.classes},
        "tip": world.scenario.safety.tip_multiple,
    }


def _stored_server(server: ServerFigures) -> dict[str, str | float]:
    """The figures of a server under the keys of the store, which earlier versions read too."""
    return {
        "name": server.name,
        "kind": server.kind,
        "load": server.mean_load,
        "runs": server.execution_count,
        "fell": server.overload_crashes,
        "peak": server.warmup_peak_load,
    }


def run(
    name: str,
    jobs: list[PlannedRun],
    store: Store,
    workers: int,
    done: Callable[[PlannedRun, StoredRun | None, str], None],
) -> tuple[int, int]:
    """Play what is not there yet; how many runs there are now, and how many failed.

    ``done`` is told of each: with the run, or with why it failed.  Interrupted, it leaves what is done.
    """
    there = store.has(name, [job.key for job in jobs])
    failed = 0
    with ProcessPoolExecutor(workers) as pool:
        waiting = {pool.submit(play, job): job for job in jobs if job.key not in there}
        try:
            for future in as_completed(waiting):
                job = waiting[future]
                try:
                    kept = future.result()
                except Exception as error:  # one run fails, the others go on
                    failed += 1
                    done(job, None, f"{type(error).__name__}: {error}")
                else:
                    store.put(name, job.key, kept)
                    done(job, kept, "")
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return len(jobs) - failed, failed

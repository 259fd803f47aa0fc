"""Executes the runs of an experiment in parallel processes and stores each result when its run ends."""

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
"""Number of equal intervals between the stored quantiles of latency."""
MAX_STORED_VIOLATIONS = 20
"""Maximum number of violations of a run that are stored with their events."""


def execute(planned: PlannedRun) -> StoredRun:
    """Executes one run; the pool calls it in a separate process."""
    scenario = scenarios.load(Path(planned.path), {**planned.fixed, **planned.params})
    world = World(scenario, planned.seed)
    figures = world.run()
    return StoredRun(
        planned.params, planned.seed, planned.code, figures.by_name(), _details(world, figures), figures.wall_time_s
    )


def _details(world: World, figures: Figures) -> dict[str, Any]:
    shares = np.linspace(0, 1, QUANTILES + 1)
    return {
        "quantiles": {
            request_class.name: np.quantile(np.frombuffer(request_class.latencies_ms), shares).round(2).tolist()
            for request_class in figures.classes
            if len(request_class.latencies_ms)
        },
        "by_second": figures.value_by_second.tolist(),
        "hosts": [_stored_server(server) for server in figures.servers],
        "violations": [
            {"rule": v.rule, "at": v.at, "what": v.what, "trail": [[type(e).__name__, *e] for e in v.trail]}
            for v in world.checker.violations[:MAX_STORED_VIOLATIONS]
        ],
        "recovery": [
            {"what": fault.what, "at_s": fault.at_s, "seconds": figures.recovery_s(fault.at_s)}
            for fault in world.scenario.trouble
        ],
        "aims": {request_class.name: request_class.latency_objective for request_class in world.classes},
        "tip": world.scenario.safety.tip_multiple,
    }


def _stored_server(server: ServerFigures) -> dict[str, str | float]:
    """Returns the figures of a server under the keys of the store, which earlier versions read as well."""
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
    planned_runs: list[PlannedRun],
    store: Store,
    workers: int,
    report_run: Callable[[PlannedRun, StoredRun | None, str], None],
) -> tuple[int, int]:
    """Executes the runs that are not in the store yet; an interruption leaves finished runs in the store.

    Args:
        name: name of the experiment.
        planned_runs: all runs of the experiment.
        store: store for the results.
        workers: number of processes.
        report_run: called after each run with the planned run, the result or None, and the error text or "".

    Returns:
        The number of runs that are now in the store and the number of runs that failed.
    """
    stored_keys = store.has(name, [planned.key for planned in planned_runs])
    failed = 0
    with ProcessPoolExecutor(workers) as pool:
        planned_by_future = {
            pool.submit(execute, planned): planned for planned in planned_runs if planned.key not in stored_keys
        }
        try:
            for future in as_completed(planned_by_future):
                planned = planned_by_future[future]
                try:
                    stored_run = future.result()
                except Exception as error:  # a failed run does not end the experiment
                    failed += 1
                    report_run(planned, None, f"{type(error).__name__}: {error}")
                else:
                    store.put(name, planned.key, stored_run)
                    report_run(planned, stored_run, "")
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return len(planned_runs) - failed, failed

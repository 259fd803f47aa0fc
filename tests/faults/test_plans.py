"""Runs the test plans of scenarios/rig, each with several processes of the program and faults between them.

Several plans run concurrently, since a plan mostly waits; no test asserts on speed.
"""

import os
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from heronlug.faults.harness import play
from heronlug.faults.plan import load
from heronlug.faults.verdict import Verdict

FOLDER = Path(__file__).parents[2] / "scenarios" / "rig"
SOAK_ONLY: set[str] = set()  # plans that only ``make soak`` runs
PLANS = [path for path in sorted(FOLDER.glob("*.toml")) if path.stem not in SOAK_ONLY or os.environ.get("RIG_ALL")]
CONCURRENT_RUNS = 3
_pool = ThreadPoolExecutor(CONCURRENT_RUNS)
_verdicts: dict[Path, Future[Verdict]] = {}


@pytest.mark.parametrize("path", PLANS, ids=lambda path: path.stem)
def test_plan_keeps_rules_and_expectations(path: Path) -> None:
    """Guards against a plan whose faults make the program break a rule or miss an expectation."""
    if not _verdicts:
        _verdicts.update({each: _pool.submit(play, load(each)) for each in PLANS})
    verdict = _verdicts[path].result(240)
    assert verdict.kept, verdict.text()
    assert verdict.figures["running in the end"] > 0

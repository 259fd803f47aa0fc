"""The scripts of scenarios/rig: several processes of the program with faults between them, each with its verdict.

Some play at once, since most of their time is waiting; nothing is asserted on speed.
"""

import os
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from heronlug.faults.harness import play
from heronlug.faults.plan import load
from heronlug.faults.verdict import Verdict

FOLDER = Path(__file__).parents[2] / "scenarios" / "rig"
SOAK_ONLY: set[str] = set()  # what ``make soak`` alone plays
PLANS = [path for path in sorted(FOLDER.glob("*.toml")) if path.stem not in SOAK_ONLY or os.environ.get("RIG_ALL")]
CONCURRENT_RUNS = 3
_pool = ThreadPoolExecutor(CONCURRENT_RUNS)
_verdicts: dict[Path, Future[Verdict]] = {}


@pytest.mark.parametrize("path", PLANS, ids=lambda path: path.stem)
def test_plan_keeps_rules_and_expectations(path: Path) -> None:
    if not _verdicts:
        _verdicts.update({each: _pool.submit(play, load(each)) for each in PLANS})
    verdict = _verdicts[path].result(240)
    assert verdict.kept, verdict.text()
    assert verdict.figures["running in the end"] > 0

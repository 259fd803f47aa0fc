"""Tests that a test plan fails when the mechanism that the plan guards is disabled in the program."""

import shutil
from pathlib import Path

from heronlug.faults.harness import play
from heronlug.faults.plan import load

ROOT = Path(__file__).parents[2]
# By plan: source file, original text, replacement, and a text that a reported fault must contain.
MUTANTS = {
    "own-told": (
        "discovery/poll_pacing.py",
        "if self.terms.cost_ms is None or self.terms.dispatchers == 1:",
        "if True:",
        "calls turned away",
    ),
    "own-kept": (
        "discovery/cache.py",
        "written_at > now + MAX_CLOCK_STEP_MS",
        "written_at < now + MAX_CLOCK_STEP_MS",
        "served",
    ),
    "halls-dead": (
        "balancer/zone_failover/controller.py",
        "excluded.update(_without_traffic(zone, in_order, following))",
        "pass",
        "failed relays",
    ),
    "shared-silent": (
        "cluster/shared_discovery.py",
        "if claims and writer.token is None:",
        "if claims and self.view.watching:",
        "calls",
    ),
}


def mutated_program(folder: Path, file: str, original: str, replacement: str) -> Path:
    shutil.copytree(ROOT / "heronlug", folder / "heronlug", ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "heronlug" / file
    text = path.read_text()
    assert text.count(original) == 1, f"{file} has changed: {original}"
    path.write_text(text.replace(original, replacement))
    return folder


def test_plan_detects_removed_mechanism(tmp_path: Path) -> None:
    """Guards against plans that pass although the mechanism under test does nothing."""

    def faults_of_mutant(name: str) -> list[str]:
        file, original, replacement, _ = MUTANTS[name]
        plan = load(ROOT / "scenarios" / "rig" / f"{name}.toml")
        return play(plan, source=mutated_program(tmp_path / name, file, original, replacement)).faults

    # One plan at a time: with concurrent runs, the number of calls depends on the speed of the machine.
    found = {name: faults_of_mutant(name) for name in MUTANTS}
    for name, (*_, expected) in MUTANTS.items():
        assert any(expected in fault for fault in found[name]), (name, found[name])

"""Each mechanism, taken out of the program, is missed by the script that guards it."""

import shutil
from pathlib import Path

from heronlug.faults.harness import play
from heronlug.faults.plan import load

ROOT = Path(__file__).parents[2]
MUTANTS = {  # script: file, what stands there, what is put in its place, and a word of the fault that has to be told
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
    def faults_of_mutant(name: str) -> list[str]:
        file, original, replacement, _ = MUTANTS[name]
        plan = load(ROOT / "scenarios" / "rig" / f"{name}.toml")
        return play(plan, source=mutated_program(tmp_path / name, file, original, replacement)).faults

    found = {
        name: faults_of_mutant(name) for name in MUTANTS
    }  # in turn: beside the others, calls depend on the machine's pace
    for name, (*_, expected) in MUTANTS.items():
        assert any(expected in fault for fault in found[name]), (name, found[name])

"""Each mechanism, taken out of the program, is missed by the script that guards it."""

import shutil
from pathlib import Path

from heronlug.faults.harness import play
from heronlug.faults.plan import load

ROOT = Path(__file__).parents[2]
BROKEN = {  # script: file, what stands there, what is put in its place, and a word of the fault that has to be told
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
        "if may_claim and writer.token is None:",
        "if may_claim and self.view.watching:",
        "calls",
    ),
}


def broken(folder: Path, file: str, stands: str, instead: str) -> Path:
    shutil.copytree(ROOT / "heronlug", folder / "heronlug", ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "heronlug" / file
    text = path.read_text()
    assert text.count(stands) == 1, f"{file} has changed: {stands}"
    path.write_text(text.replace(stands, instead))
    return folder


def test_a_mechanism_that_is_taken_out_is_missed(tmp_path: Path) -> None:
    def tried(name: str) -> list[str]:
        file, stands, instead, _ = BROKEN[name]
        script = load(ROOT / "scenarios" / "rig" / f"{name}.toml")
        return play(script, source=broken(tmp_path / name, file, stands, instead)).faults

    found = {name: tried(name) for name in BROKEN}  # in turn: beside the others, calls depend on the machine's pace
    for name, (*_, word) in BROKEN.items():
        assert any(word in fault for fault in found[name]), (name, found[name])

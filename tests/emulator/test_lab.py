"""Tests experiments: resumption, paired comparisons, the HTML page and the problems of invalid files."""

import sqlite3
import subprocess
import sys
from html.parser import HTMLParser
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from emulator.fleets import TEXT
from heronlug.cli import group
from heronlug.config.strict_toml import ConfigProblems
from heronlug.emulator import scenario as scenarios
from heronlug.emulator.draws import fit, stream
from heronlug.experiments import compare, experiment, runner
from heronlug.experiments.report import page
from heronlug.experiments.store import Store, StoredRun, StoreError

ROOT = Path(__file__).parents[2]
EXPERIMENT = """
name = "small"
scenario = "fleet.toml"
seeds = 4
[set]
span_s = 4
[vary]
policy = ["heronlug", "random"]
dispatchers.count = [1, 2]
"""


@pytest.fixture
def experiment_path(tmp_path: Path) -> Path:
    (tmp_path / "fleet.toml").write_text(TEXT + '[[trouble]]\nwhat = "crash"\nat_s = 2\nshare = 0.3\n')
    path = tmp_path / "small.toml"
    path.write_text(EXPERIMENT)
    return path


def run_command(*words: object) -> int:
    status = group.main([str(word) for word in words], standalone_mode=False)
    return status if isinstance(status, int) else 0


def test_an_interrupted_experiment_resumes_and_is_compared_and_reported(
    experiment_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """An interruption must lose no finished run, and resuming must execute only the missing runs."""
    name, planned_runs = experiment.read(experiment_path)[0].name, experiment.read(experiment_path)[1]
    assert len(planned_runs) == 16
    assert len({planned.key for planned in planned_runs}) == 16
    store = experiment_path.with_suffix(".sqlite")
    with Store(store) as store_file:
        done = []

        def stop_after_three(planned: experiment.PlannedRun, run: StoredRun | None, why: str) -> None:
            done.append(planned.key)
            if len(done) == 3:
                raise KeyboardInterrupt

        with pytest.raises(KeyboardInterrupt):
            runner.run(name, planned_runs, store_file, 2, stop_after_three)
        stored_keys = store_file.has(name, [planned.key for planned in planned_runs])
        assert stored_keys == set(done)
    assert run_command("experiment", "run", experiment_path, "--workers", 4) == 0
    assert "16 of 16 runs" in capsys.readouterr().out
    with Store(store) as store_file:
        runs = store_file.runs(name)
        assert len(runs) == 16
        stored = next(run for run in runs if run.params == planned_runs[0].params and run.seed == planned_runs[0].seed)
        repeated = runner.execute(planned_runs[0])
        assert repeated.figures == pytest.approx(stored.figures, nan_ok=True)
    assert run_command("experiment", "compare", store, "policy=heronlug", "policy=random", "--figure", "service") == 0
    output = capsys.readouterr().out
    assert "service" in output
    assert " 8 " in output
    assert run_command("experiment", "report", store) == 0
    text = store.with_suffix(".html").read_text()
    assert text.count("<svg") == 2 + 3
    assert 'src="' not in text
    assert 'href="http' not in text
    parser = BalancedTablesParser()
    parser.feed(text.split("<svg")[0])
    assert "crash" in text
    assert "dispatchers.count 1, policy random" in text


class BalancedTablesParser(HTMLParser):
    """Parser that checks that the page closes no table that is not open."""

    depth = 0

    def handle_starttag(self, tag: str, attrs: Any) -> None:
        self.depth += tag == "table"

    def handle_endtag(self, tag: str) -> None:
        self.depth -= tag == "table"
        assert self.depth >= 0


@pytest.mark.parametrize(
    ("text", "line", "wrong"),
    [
        (EXPERIMENT.replace("seeds = 4", "seeds = 0"), 4, "1 or more"),
        (EXPERIMENT.replace("seeds = 4", "sed = 4"), 4, "seeds"),
        (EXPERIMENT.replace("fleet.toml", "none.toml"), 3, "none.toml"),
        (EXPERIMENT.replace('["heronlug", "random"]', '"random"'), 8, "a list"),
        (EXPERIMENT.replace("[1, 2]", "[1, 1]"), 9, "duplicate value"),
        (EXPERIMENT.replace("[1, 2]", "[0]"), 3, "dispatchers.count"),
        (EXPERIMENT.replace("dispatchers.count", "pool.7.count"), 7, "no such key"),
        (EXPERIMENT.replace("span_s = 4", "dispatchers.count = 3"), 9, "already set elsewhere"),
    ],
)
def test_problems_of_an_experiment_file_name_the_line(experiment_path: Path, text: str, line: int, wrong: str) -> None:
    """A problem without its line would leave the user searching the file."""
    experiment_path.write_text(text)
    with pytest.raises(ConfigProblems) as raised:
        experiment.read(experiment_path)
    assert [problem.line for problem in raised.value.problems] == [line], raised.value
    assert wrong in str(raised.value)


@pytest.mark.parametrize(
    ("change", "key", "wrong"),
    [
        ("kind.0.slots=0", "kind.0.slots", "1 to 1024"),
        ("pool.0.kind=gen9", "pool.0.kind", "unknown kind"),
        ("pool.1.zone=c", "pool.1.zone", "unknown zone"),
        ("class.0.work.dist=cauchy", "class.0.work", "expected one of"),
        ("class.0.work.s=-1", "class.0.work", "times"),
        ("class.1.work.scale=inf", "class.1.work", "finite"),
        ("class.0.aim_ms=6000", "class.0.aim_ms", "later than the deadline"),
        ("class.0.slots=9", "class.0.slots", "slots of every kind"),
        ("arrivals.0.class=other", "arrivals.0.class", "unknown class"),
        ("arrivals.0.shape=trace", "arrivals.0.file", "does not exist"),
        ("policy=best", "policy", "expected one of"),
        ("warm_up_s=30", "warm_up_s", "shorter than the run"),
        ("dispatchers.cuont=3", "dispatchers.cuont", "count"),
        ("network.loss=1.5", "network.loss", "0 to 1"),
    ],
)
def test_problems_of_a_scenario_name_the_key(tmp_path: Path, change: str, key: str, wrong: str) -> None:
    """A value that is accepted although it is invalid would fail in the middle of a run."""
    from heronlug.cli.emulate import parse_changes

    path = tmp_path / "fleet.toml"
    path.write_text(TEXT)
    with pytest.raises(ConfigProblems) as raised:
        scenarios.load(path, parse_changes((change.replace("=inf", "=1e999"),)))
    assert any(problem.key.startswith(key) and wrong in str(problem) for problem in raised.value.problems), raised.value


@pytest.mark.parametrize("path", sorted((ROOT / "scenarios").glob("*.toml")), ids=lambda path: path.stem)
def test_bundled_scenarios_are_valid(path: Path) -> None:
    """A change of the scenario format must not break the scenarios of the repository."""
    assert scenarios.load(path).name == path.stem


@pytest.mark.parametrize("path", sorted((ROOT / "experiments").glob("*.toml")), ids=lambda path: path.stem)
def test_bundled_experiments_are_valid(path: Path) -> None:
    """A change of the experiment format must not break the experiments of the repository."""
    assert len(experiment.read(path)[1]) > 10


def stored_run(policy: str, seed: int, service: float) -> StoredRun:
    return StoredRun({"policy": policy}, seed, "v", {"service": service}, {}, 0.0)


def test_pairs_of_one_seed_separate_a_difference_from_noise() -> None:
    """Seeds differ by more than the variants do, so that a comparison without pairs would report only noise."""
    rng = np.random.default_rng(1)
    levels = rng.normal(0.8, 0.1, 20)
    runs = [stored_run("a", n, level) for n, level in enumerate(levels)]
    better = [stored_run("b", n, level + 0.01 + rng.normal(0, 0.004)) for n, level in enumerate(levels)]
    equal = [stored_run("c", n, level + rng.normal(0, 0.02)) for n, level in enumerate(levels)]
    (better_difference,) = compare.compare(compare.pairs([*runs, *better], {"policy": "a"}, {"policy": "b"}))
    assert not better_difference.noise
    assert better_difference.low > 0
    assert better_difference.change == pytest.approx(0.01, abs=0.003)
    assert better_difference.pairs == 20
    (equal_difference,) = compare.compare(compare.pairs([*runs, *equal], {"policy": "a"}, {"policy": "c"}))
    assert equal_difference.noise
    (self_difference,) = compare.compare(compare.pairs([*runs, *runs], {"policy": "a"}, {"policy": "a"}))
    assert self_difference.noise
    assert self_difference.change == 0


def test_confidence_intervals_cover_the_mean_as_often_as_stated() -> None:
    """Intervals that are too narrow would report noise as a difference."""
    rng = np.random.default_rng(2)
    within = sum(low <= 0 <= high for low, high in (compare.interval(rng.normal(0, 1, 20)) for _ in range(200)))
    assert 180 <= within <= 199


def test_comparisons_that_are_impossible_are_rejected() -> None:
    """Runs without pairs, parameters that do not vary and unknown figures must give an error that names the cause."""
    runs = [stored_run("a", 1, 0.5), stored_run("b", 2, 0.5)]
    comparisons = (
        ("policy=a", "policy=b", "no two runs of the variants"),
        ("x=1", "x=2", "does not vary"),
        ("a", "b", "KEY=VALUE"),
    )
    for a, b, message in comparisons:
        with pytest.raises(ValueError, match=message):
            compare.pairs(runs, compare.parse_params(a), compare.parse_params(b))
    with pytest.raises(ValueError, match="unknown figure"):
        compare.compare([(runs[0], runs[1])], ["speed"])
    with pytest.raises(ValueError, match="no runs"):
        page("none", [])


def test_a_file_of_another_format_is_rejected_and_left_unchanged(tmp_path: Path) -> None:
    """Opening a file as a store must not overwrite a file that is not a store or has a newer format."""
    path = tmp_path / "x.sqlite"
    path.write_bytes(b"something else " * 100)
    with pytest.raises(StoreError):
        Store(path)
    assert path.read_bytes() == b"something else " * 100
    newer = tmp_path / "newer.sqlite"
    with sqlite3.connect(newer) as db:
        db.execute("pragma user_version = 9")
    with pytest.raises(StoreError, match="format 9"):
        Store(newer)
    with pytest.raises(FileNotFoundError):
        Store(tmp_path / "none.sqlite", create=False)


def test_fitting_ranks_the_true_distribution_first() -> None:
    """A wrong number of parameters in the criterion would favour distributions with more parameters."""
    rng = stream(3, "fit")
    best = fit(rng.lognormal(5.0, 0.7, 4000))[0]
    assert best.name == "lognorm"
    assert best.params["s"] == pytest.approx(0.7, rel=0.05)
    assert best.ks < 0.03
    assert fit(rng.gamma(3.0, 40.0, 4000))[0].name == "gamma"
    with pytest.raises(ValueError, match="above 0"):
        fit(np.zeros(100))


def test_events_of_an_emulated_run_pass_the_checker_on_the_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """``rules check`` must accept the events of a correct run and report a request that is answered twice."""
    path, events = tmp_path / "fleet.toml", tmp_path / "events.jsonl"
    path.write_text(TEXT)
    assert run_command("emulate", path, "--set", "span_s=3", "--events", events) == 0
    assert "service 0.9" in capsys.readouterr().out
    assert run_command("rules", "check", events) == 0
    assert "all kept" in capsys.readouterr().out
    lines = events.read_bytes().splitlines()
    answers = [line for line in lines if line.startswith(b'["Answered"')]
    events.write_bytes(b"\n".join([*lines, answers[0]]))
    assert run_command("rules", "check", events) == 1
    assert "second answer" in capsys.readouterr().out


def test_the_version_of_a_run_covers_every_package_that_a_run_imports() -> None:
    """A package missing from the digest would let a store return results of older code as current."""
    listing = "import sys, heronlug.emulator.world; print(*{m.split('.')[1] for m in sys.modules if 'heronlug.' in m})"
    done = subprocess.run([sys.executable, "-c", listing], capture_output=True, text=True, check=True)
    assert set(done.stdout.split()) == set(experiment.CODE_PACKAGES)

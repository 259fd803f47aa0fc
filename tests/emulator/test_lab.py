"""Experiments: resumed where they were interrupted, paired comparisons, a page; broken files told with their line."""

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
FILE = """
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
def file(tmp_path: Path) -> Path:
    (tmp_path / "fleet.toml").write_text(TEXT + '[[trouble]]\nwhat = "crash"\nat_s = 2\nshare = 0.3\n')
    path = tmp_path / "small.toml"
    path.write_text(FILE)
    return path


def call(*words: object) -> int:
    status = group.main([str(word) for word in words], standalone_mode=False)
    return status if isinstance(status, int) else 0


def test_an_interrupted_experiment_goes_on_and_is_compared_and_reported(
    file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    name, jobs = experiment.read(file)[0].name, experiment.read(file)[1]
    assert len(jobs) == 16
    assert len({job.key for job in jobs}) == 16
    store = file.with_suffix(".sqlite")
    with Store(store) as kept:
        done = []

        def stop_after_three(job: experiment.PlannedRun, run: StoredRun | None, why: str) -> None:
            done.append(job.key)
            if len(done) == 3:
                raise KeyboardInterrupt

        with pytest.raises(KeyboardInterrupt):
            runner.run(name, jobs, kept, 2, stop_after_three)
        there = kept.has(name, [job.key for job in jobs])
        assert there == set(done)
    assert call("experiment", "run", file, "--workers", 4) == 0
    assert "16 of 16 runs" in capsys.readouterr().out
    with Store(store) as kept:
        runs = kept.runs(name)
        assert len(runs) == 16
        again = next(run for run in runs if run.params == jobs[0].params and run.seed == jobs[0].seed)
        fresh = runner.play(jobs[0])
        assert fresh.figures == pytest.approx(again.figures, nan_ok=True)
    assert call("experiment", "compare", store, "policy=heronlug", "policy=random", "--figure", "service") == 0
    out = capsys.readouterr().out
    assert "service" in out
    assert " 8 " in out
    assert call("experiment", "report", store) == 0
    text = store.with_suffix(".html").read_text()
    assert text.count("<svg") == 2 + 3
    assert 'src="' not in text
    assert 'href="http' not in text
    closing = Balanced()
    closing.feed(text.split("<svg")[0])
    assert "crash" in text
    assert "dispatchers.count 1, policy random" in text


class Balanced(HTMLParser):
    """Tables of the page are closed."""

    depth = 0

    def handle_starttag(self, tag: str, attrs: Any) -> None:
        self.depth += tag == "table"

    def handle_endtag(self, tag: str) -> None:
        self.depth -= tag == "table"
        assert self.depth >= 0


@pytest.mark.parametrize(
    ("text", "line", "wrong"),
    [
        (FILE.replace("seeds = 4", "seeds = 0"), 4, "1 or more"),
        (FILE.replace("seeds = 4", "sed = 4"), 4, "seeds"),
        (FILE.replace("fleet.toml", "none.toml"), 3, "none.toml"),
        (FILE.replace('["heronlug", "random"]', '"random"'), 8, "a list"),
        (FILE.replace("[1, 2]", "[1, 1]"), 9, "twice"),
        (FILE.replace("[1, 2]", "[0]"), 3, "dispatchers.count"),
        (FILE.replace("dispatchers.count", "pool.7.count"), 7, "no such place"),
        (FILE.replace("span_s = 4", "dispatchers.count = 3"), 9, "by something else"),
    ],
)
def test_a_broken_experiment_is_told_with_its_line(file: Path, text: str, line: int, wrong: str) -> None:
    file.write_text(text)
    with pytest.raises(ConfigProblems) as told:
        experiment.read(file)
    assert [fault.line for fault in told.value.problems] == [line], told.value
    assert wrong in str(told.value)


@pytest.mark.parametrize(
    ("change", "key", "wrong"),
    [
        ("kind.0.slots=0", "kind.0.slots", "1 to 1024"),
        ("pool.0.kind=gen9", "pool.0.kind", "no kind"),
        ("pool.1.zone=c", "pool.1.zone", "no zone"),
        ("class.0.work.dist=cauchy", "class.0.work", "none of"),
        ("class.0.work.s=-1", "class.0.work", "times"),
        ("class.1.work.scale=inf", "class.1.work", "finite"),
        ("class.0.aim_ms=6000", "class.0.aim_ms", "past the deadline"),
        ("class.0.slots=9", "class.0.slots", "no kind"),
        ("arrivals.0.class=other", "arrivals.0.class", "no class"),
        ("arrivals.0.shape=trace", "arrivals.0.file", "no file"),
        ("policy=best", "policy", "one of"),
        ("warm_up_s=30", "warm_up_s", "nothing is left"),
        ("dispatchers.cuont=3", "dispatchers.cuont", "count"),
        ("network.loss=1.5", "network.loss", "0 to 1"),
    ],
)
def test_a_broken_scenario_is_told_with_its_key(tmp_path: Path, change: str, key: str, wrong: str) -> None:
    from heronlug.cli.emulate import changed

    path = tmp_path / "fleet.toml"
    path.write_text(TEXT)
    with pytest.raises(ConfigProblems) as told:
        scenarios.load(path, changed((change.replace("=inf", "=1e999"),)))
    assert any(f.key.startswith(key) and wrong in str(f) for f in told.value.problems), told.value


@pytest.mark.parametrize("path", sorted((ROOT / "scenarios").glob("*.toml")), ids=lambda path: path.stem)
def test_the_scenarios_that_come_along_are_whole(path: Path) -> None:
    assert scenarios.load(path).name == path.stem


@pytest.mark.parametrize("path", sorted((ROOT / "experiments").glob("*.toml")), ids=lambda path: path.stem)
def test_the_experiments_that_come_along_are_whole(path: Path) -> None:
    assert len(experiment.read(path)[1]) > 10


def kept(policy: str, seed: int, service: float) -> StoredRun:
    return StoredRun({"policy": policy}, seed, "v", {"service": service}, {}, 0.0)


def test_a_difference_is_told_from_noise_by_pairs() -> None:
    """Seeds differ by more than the ways do: only the pairs show it."""
    rng = np.random.default_rng(1)
    levels = rng.normal(0.8, 0.1, 20)
    runs = [kept("a", n, level) for n, level in enumerate(levels)]
    better = [kept("b", n, level + 0.01 + rng.normal(0, 0.004)) for n, level in enumerate(levels)]
    alike = [kept("c", n, level + rng.normal(0, 0.02)) for n, level in enumerate(levels)]
    (one,) = compare.compare(compare.pairs([*runs, *better], {"policy": "a"}, {"policy": "b"}))
    assert not one.noise
    assert one.low > 0
    assert one.change == pytest.approx(0.01, abs=0.003)
    assert one.pairs == 20
    (other,) = compare.compare(compare.pairs([*runs, *alike], {"policy": "a"}, {"policy": "c"}))
    assert other.noise
    (same,) = compare.compare(compare.pairs([*runs, *runs], {"policy": "a"}, {"policy": "a"}))
    assert same.noise
    assert same.change == 0


def test_intervals_hold_as_often_as_they_say() -> None:
    rng = np.random.default_rng(2)
    within = sum(low <= 0 <= high for low, high in (compare.interval(rng.normal(0, 1, 20)) for _ in range(200)))
    assert 180 <= within <= 199


def test_what_cannot_be_compared_is_told() -> None:
    runs = [kept("a", 1, 0.5), kept("b", 2, 0.5)]
    ways = (("policy=a", "policy=b", "no two runs"), ("x=1", "x=2", "does not vary"), ("a", "b", "KEY=VALUE"))
    for a, b, why in ways:
        with pytest.raises(ValueError, match=why):
            compare.pairs(runs, compare.chosen(a), compare.chosen(b))
    with pytest.raises(ValueError, match="no figure"):
        compare.compare([(runs[0], runs[1])], ["speed"])
    with pytest.raises(ValueError, match="no runs"):
        page("none", [])


def test_a_file_that_is_no_store_is_left_as_it_is(tmp_path: Path) -> None:
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


def test_distributions_are_fitted_and_the_right_one_is_first() -> None:
    rng = stream(3, "fit")
    best = fit(rng.lognormal(5.0, 0.7, 4000))[0]
    assert best.name == "lognorm"
    assert best.params["s"] == pytest.approx(0.7, rel=0.05)
    assert best.ks < 0.03
    assert fit(rng.gamma(3.0, 40.0, 4000))[0].name == "gamma"
    with pytest.raises(ValueError, match="above 0"):
        fit(np.zeros(100))


def test_a_run_from_the_command_line_and_its_events_checked(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path, events = tmp_path / "fleet.toml", tmp_path / "events.jsonl"
    path.write_text(TEXT)
    assert call("emulate", path, "--set", "span_s=3", "--events", events) == 0
    assert "service 0.9" in capsys.readouterr().out
    assert call("rules", "check", events) == 0
    assert "all kept" in capsys.readouterr().out
    lines = events.read_bytes().splitlines()
    answers = [line for line in lines if line.startswith(b'["Answered"')]
    events.write_bytes(b"\n".join([*lines, answers[0]]))
    assert call("rules", "check", events) == 1
    assert "second answer" in capsys.readouterr().out


def test_the_version_of_a_run_covers_every_package_that_a_run_imports() -> None:
    listing = "import sys, heronlug.emulator.world; print(*{m.split('.')[1] for m in sys.modules if 'heronlug.' in m})"
    done = subprocess.run([sys.executable, "-c", listing], capture_output=True, text=True, check=True)
    assert set(done.stdout.split()) == set(experiment.CODE_PACKAGES)

"""Defines ``emulate``, ``experiment`` and ``rules``: emulator runs, sweeps and the conformance checker."""

import os
from pathlib import Path
from typing import Any

import click
import orjson

from heronlug.cli.helpers import FILE_PATH, print_columns, print_json

SET_OPTION = click.option(
    "--set", "changes", multiple=True, metavar="KEY=VALUE", help="replace a value of the scenario"
)
STORE_ARGUMENT = click.argument("store", type=FILE_PATH)


def _parse_value(text: str) -> Any:
    """Returns the value of a JSON text, or the text itself if it is not valid JSON."""
    try:
        return orjson.loads(text)
    except ValueError:
        return text


def parse_changes(changes: tuple[str, ...]) -> dict[str, Any]:
    """Returns the keys and values of the ``--set`` options.

    Raises:
        click.BadParameter: if an option does not have the form KEY=VALUE.
    """
    result = {}
    for text in changes:
        key, equals, value = text.partition("=")
        if not equals:
            msg = f"{text!r} does not have the form KEY=VALUE"
            raise click.BadParameter(msg, param_hint="--set")
        result[key] = _parse_value(value)
    return result


@click.command()
@click.argument("file", type=FILE_PATH)
@SET_OPTION
@click.option("--seed", type=int, help="seed to use instead of the scenario's")
@click.option("--events", type=FILE_PATH, help="write all events of the run to this file, one per line")
@click.option("--json", "as_json", is_flag=True, help="print all figures as one JSON object")
def emulate(file: Path, changes: tuple[str, ...], seed: int | None, events: Path | None, as_json: bool) -> int:
    """Run the scenario FILE once on the emulator. The exit status is 1 if a rule is violated."""
    from heronlug.conformance import write
    from heronlug.emulator.scenario import load
    from heronlug.emulator.world import World

    try:
        scenario = load(file, parse_changes(changes))
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    if events is None:
        world = World(scenario, seed)
        figures = world.run()
    else:
        with events.open("wb") as event_file:
            world = World(scenario, seed, record=lambda event: event_file.writelines((write(event),)))
            figures = world.run()
    if as_json:
        print_json(figures.by_name())
    else:
        print_columns(figures.class_table())
        loads = figures.by_name()
        print(
            f"service {figures.service:.4f}, servers {loads['load_mean']:.0%} loaded, "
            f"{loads['attempts_per_job']:.3f} attempts per request; "
            f"{figures.event_count} events in {figures.wall_time_s:.1f} s"
        )
        for violation in world.checker.violations[:10]:
            print(f"rule {violation.rule} broken at {violation.at:.0f} ms: {violation.what}")
    return 1 if figures.violations else 0


@click.group()
def rules() -> None:
    """Check the four rules on the recorded events of a run."""


@rules.command("check")
@click.argument("file", type=FILE_PATH)
@click.option(
    "--drain-grace-ms",
    default=2500.0,
    help="milliseconds for which attempts may still be sent to a server after its change is notified",
)
@click.option("--slack-ms", default=50.0, help="tolerance in milliseconds for clock differences between processes")
def check_rules(file: Path, drain_grace_ms: float, slack_ms: float) -> int:
    """Check the events in FILE, which ``emulate --events`` writes. The exit status is 1 if a rule is violated."""
    from heronlug.conformance import Checker, read

    checker, last_event_at = Checker(drain_grace_ms, slack_ms), 0.0
    try:
        with file.open("rb") as event_file:
            for event in read(event_file):
                checker.see(event)
                last_event_at = event.at
    except (OSError, ValueError) as error:
        msg = f"{file}: {error}"
        raise click.ClickException(msg) from None
    for violation in checker.finish(last_event_at):
        print(f"rule {violation.rule} broken at {violation.at:.0f} ms: {violation.what}")
        for event in violation.trail:
            print("    " + " ".join(map(str, (type(event).__name__, *event))))
    print(f"{checker.seen} events, " + (f"{sum(checker.counts.values())} violations" if checker.counts else "all kept"))
    return 1 if checker.counts else 0


@click.group()
def experiment() -> None:
    """Run sweeps over scenarios on all cores, and evaluate their results."""


def _store_path(file: Path, store: Path | None) -> Path:
    """Returns the path of the store, by default that of the experiment with the suffix ``.sqlite``."""
    return store if store is not None else file.with_suffix(".sqlite")


@experiment.command()
@click.argument("file", type=FILE_PATH)
@click.option("--store", type=FILE_PATH, help="file to store the runs in; default: FILE with the suffix .sqlite")
@click.option(
    "--workers", type=click.IntRange(1, 256), default=os.cpu_count() or 1, help="number of parallel processes"
)
def run(file: Path, store: Path | None, workers: int) -> int:
    """Run the experiment FILE, except the runs that are already stored.

    After an interruption, the same command continues the experiment.
    """
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from heronlug.experiments import runner
    from heronlug.experiments.experiment import PlannedRun, read
    from heronlug.experiments.store import Store, StoredRun

    try:
        experiment, planned_runs = read(file)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    with Store(_store_path(file, store)) as run_store:
        stored_keys = run_store.has(experiment.name, [planned_run.key for planned_run in planned_runs])
        columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
        with Progress(*columns) as progress:
            task = progress.add_task(experiment.name, total=len(planned_runs), completed=len(stored_keys))

            def on_run_done(planned_run: PlannedRun, stored_run: StoredRun | None, reason: str) -> None:
                progress.advance(task)
                if stored_run is None:
                    progress.console.print(f"seed {planned_run.seed} of {planned_run.params}: {reason}")

            succeeded, failed = runner.run(experiment.name, planned_runs, run_store, workers, on_run_done)
    print(
        f"{succeeded} of {len(planned_runs)} runs are in {_store_path(file, store)}; "
        f"{len(stored_keys)} were there before"
    )
    return 1 if failed else 0


@experiment.command()
@STORE_ARGUMENT
@click.argument("a")
@click.argument("b")
@click.option("--figure", "figures", multiple=True, help="a figure to compare; default: all figures")
@click.option("--experiment", "name", default="", help="experiment to read, if the store has several")
@click.option("--json", "as_json", is_flag=True)
def compare(store: Path, a: str, b: str, figures: tuple[str, ...], name: str, as_json: bool) -> int:
    """Compare variants A and B in STORE over pairs of runs with the same seed.

    A and B are parameter settings such as ``policy=heronlug``.
    """
    from heronlug.experiments import compare as comparison
    from heronlug.experiments.store import Store

    try:
        with Store(store, create=False) as run_store:
            run_pairs = comparison.pairs(run_store.runs(name), comparison.parse_params(a), comparison.parse_params(b))
        result = comparison.compare(run_pairs, figures)
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        print_json([{**item._asdict(), "noise": item.noise} for item in result])
        return 0
    rows = [["figure", a, b, "change", "95% from", "to", "pairs", ""]]
    for item in result:
        numbers = [f"{value:.4g}" for value in (item.a, item.b, item.change, item.low, item.high)]
        rows.append([item.figure, *numbers, str(item.pairs), "noise" if item.noise else ""])
    print_columns(rows)
    return 0


@experiment.command()
@STORE_ARGUMENT
@click.option("--out", type=FILE_PATH, help="HTML file to write; default: STORE with the suffix .html")
@click.option("--experiment", "name", default="", help="experiment to read, if the store has several")
def report(store: Path, out: Path | None, name: str) -> int:
    """Write an HTML report on the runs in STORE."""
    from heronlug.experiments.report import page
    from heronlug.experiments.store import Store

    try:
        with Store(store, create=False) as run_store:
            names = [item for item, _, _ in run_store.experiments()]
            if not name and len(set(names)) > 1:
                msg = f"{store}: --experiment must name one of {', '.join(sorted(set(names)))}"
                raise ValueError(msg)
            text = page(name or (names[0] if names else str(store)), run_store.runs(name))
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    target = out if out is not None else store.with_suffix(".html")
    target.write_text(text)
    print(target)
    return 0

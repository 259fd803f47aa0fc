"""``check`` and ``limits show``: files looked at without a daemon."""

from pathlib import Path

import click
import orjson

from heronlug.balancer.settings import Settings
from heronlug.cli.helpers import FILE_PATH, print_columns, print_json
from heronlug.config.desired_state import State, StateError
from heronlug.config.files import gather
from heronlug.config.limits.load import advice, rows
from heronlug.config.platform import ConfigError, load
from heronlug.config.strict_toml import ConfigProblem

CONFIG_OPTION = click.option(
    "--config", type=FILE_PATH, envvar="RELAY_CONFIG", help="the platform's JSON, where FILE holds no [site]"
)


def check_file(file: Path, config: Path | None) -> tuple[State | None, Settings | None, list[ConfigProblem]]:
    """A file's state, the site that it was checked against, and all its faults."""
    platform = load({"RELAY_CONFIG": str(config)}) if config is not None else None
    file_config, state, problems = gather(file, lambda: platform)
    return state, file_config.settings if file_config is not None else None, problems


@click.command()
@click.argument("file", type=FILE_PATH)
@CONFIG_OPTION
@click.option("--json", "as_json", is_flag=True, help="one JSON object: ok, faults, notes")
def check(file: Path, config: Path | None, as_json: bool) -> int:
    """Check FILE: its form and, with a [site] in it or --config, every rule.  The exit status is 1 for a fault."""
    state, settings, problems = check_file(file, config)
    notes = advice(settings, state["classes"]) if state is not None and settings is not None and not problems else []
    if settings is None and state is not None and not problems:
        notes.append("checked by its form alone: --config names the platform's settings")
    if as_json:
        report = {"ok": not problems, "faults": [problem._asdict() for problem in problems], "notes": notes}
        print_json(report)
    else:
        for problem in problems:
            print(problem)
        for note in notes:
            print(f"{file}: note: {note}")
        print(f"{file}: {len(problems)} faults" if problems else f"{file}: good")
    return 1 if problems else 0


@click.group()
def limits() -> None:
    """The limits of each class."""


@limits.command()
@click.argument("file", type=FILE_PATH)
@CONFIG_OPTION
@click.option("--json", "as_json", is_flag=True, help="a JSON list of rows")
def show(file: Path, config: Path | None, as_json: bool) -> int:
    """The resolved table: every limit of every class, and where it comes from."""
    state, settings, problems = check_file(file, config)
    if problems or state is None:
        raise StateError("\n".join(map(str, problems)))
    if settings is None:
        msg = f"{file}: no [site] in it, and no --config"
        raise ConfigError(msg)
    limit_rows = list(rows(settings, state["classes"], str(file)))
    if as_json:
        print_json([row._asdict() for row in limit_rows])
    else:
        cells = [(row.name, row.key, _format_value(row.value), row.origin) for row in limit_rows]
        print_columns([("class", "limit", "value", "from"), *cells])
    return 0


def _format_value(value: object) -> str:
    return value if isinstance(value, str) else orjson.dumps(value).decode()

"""Defines ``check`` and ``limits show``, which read files and need no running dispatcher."""

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
    "--config",
    type=FILE_PATH,
    envvar="RELAY_CONFIG",
    help="the platform's JSON configuration, for a FILE without [site]",
)


def check_file(file: Path, config: Path | None) -> tuple[State | None, Settings | None, list[ConfigProblem]]:
    """Reads and checks a file.

    Args:
        file: path of the operators' file.
        config: path of the platform's JSON configuration, or None. Without the configuration, only the form of a file
            without ``[site]`` is checked.

    Returns:
        The state, the settings that the state was checked against, and all problems. The state or the settings are
        None if unavailable.
    """
    platform = load({"RELAY_CONFIG": str(config)}) if config is not None else None
    file_config, state, problems = gather(file, lambda: platform)
    return state, file_config.settings if file_config is not None else None, problems


@click.command()
@click.argument("file", type=FILE_PATH)
@CONFIG_OPTION
@click.option("--json", "as_json", is_flag=True, help="print one JSON object with the keys ok, faults and notes")
def check(file: Path, config: Path | None, as_json: bool) -> int:
    """Check the form of FILE and, if FILE has a [site] or --config is given, all rules.

    The exit status is 1 if FILE has a problem.
    """
    state, settings, problems = check_file(file, config)
    notes = advice(settings, state["classes"]) if state is not None and settings is not None and not problems else []
    if settings is None and state is not None and not problems:
        notes.append("only the form was checked; --config names the platform's settings for a full check")
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
    """Show the limits of the request classes."""


@limits.command()
@click.argument("file", type=FILE_PATH)
@CONFIG_OPTION
@click.option("--json", "as_json", is_flag=True, help="print the rows as a JSON list")
def show(file: Path, config: Path | None, as_json: bool) -> int:
    """Show the resolved value and the origin of every limit of every class."""
    state, settings, problems = check_file(file, config)
    if problems or state is None:
        raise StateError("\n".join(map(str, problems)))
    if settings is None:
        msg = f"{file}: no [site] in the file and no --config given"
        raise ConfigError(msg)
    limit_rows = list(rows(settings, state["classes"], str(file)))
    if as_json:
        print_json([row._asdict() for row in limit_rows])
    else:
        cells = [(row.name, row.key, _format_value(row.value), row.origin) for row in limit_rows]
        print_columns([("class", "limit", "value", "from"), *cells])
    return 0


def _format_value(value: object) -> str:
    """Returns a string unchanged, and any other value as JSON."""
    return value if isinstance(value, str) else orjson.dumps(value).decode()

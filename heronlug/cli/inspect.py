"""``check`` and ``limits show``: files looked at without a daemon."""

from pathlib import Path

import click
import orjson

from heronlug.balancer.settings import Settings
from heronlug.cli.helpers import FILE, print_columns, print_json
from heronlug.config.desired_state import State, StateError
from heronlug.config.files import gather
from heronlug.config.limits.load import advice, rows
from heronlug.config.platform import ConfigError, load
from heronlug.config.strict_toml import ConfigProblem

CONFIG = click.option(
    "--config", type=FILE, envvar="RELAY_CONFIG", help="the platform's JSON, where FILE holds no [site]"
)


def look(file: Path, config: Path | None) -> tuple[State | None, Settings | None, list[ConfigProblem]]:
    """A file's state, the site that it was checked against, and all its faults."""
    platform = load({"RELAY_CONFIG": str(config)}) if config is not None else None
    conf, state, faults = gather(file, lambda: platform)
    return state, conf.settings if conf is not None else None, faults


@click.command()
@click.argument("file", type=FILE)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="one JSON object: ok, faults, notes")
def check(file: Path, config: Path | None, as_json: bool) -> int:
    """Check FILE: its form and, with a [site] in it or --config, every rule.  The exit status is 1 for a fault."""
    state, site, faults = look(file, config)
    notes = advice(site, state["classes"]) if state is not None and site is not None and not faults else []
    if site is None and state is not None and not faults:
        notes.append("checked by its form alone: --config names the platform's settings")
    if as_json:
        table = {"ok": not faults, "faults": [fault._asdict() for fault in faults], "notes": notes}
        print_json(table)
    else:
        for fault in faults:
            print(fault)
        for note in notes:
            print(f"{file}: note: {note}")
        print(f"{file}: {len(faults)} faults" if faults else f"{file}: good")
    return 1 if faults else 0


@click.group()
def limits() -> None:
    """The limits of each class."""


@limits.command()
@click.argument("file", type=FILE)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="a JSON list of rows")
def show(file: Path, config: Path | None, as_json: bool) -> int:
    """The resolved table: every limit of every class, and where it comes from."""
    state, site, faults = look(file, config)
    if faults or state is None:
        raise StateError("\n".join(map(str, faults)))
    if site is None:
        msg = f"{file}: no [site] in it, and no --config"
        raise ConfigError(msg)
    table = list(rows(site, state["classes"], str(file)))
    if as_json:
        print_json([row._asdict() for row in table])
    else:
        lines = [(row.name, row.key, _text(row.value), row.origin) for row in table]
        print_columns([("class", "limit", "value", "from"), *lines])
    return 0


def _text(value: object) -> str:
    return value if isinstance(value, str) else orjson.dumps(value).decode()

"""``store``: the file of accepted work, looked at while no daemon has it."""

from pathlib import Path

import click
import orjson

from heronlug.cli.helpers import FILE, print_columns
from heronlug.storage import sqlite


@click.group()
def store() -> None:
    """The file of accepted work.  A daemon that runs has it for itself."""


def _states(path: Path) -> dict[str, int]:
    db = sqlite.connect(path, create=False)
    try:
        states: dict[str, int] = {}
        for job in sqlite.rows(db):
            state = job.final or ("delivered" if job.delivered_at else "waiting")
            states[state] = states.get(state, 0) + 1
        return states
    finally:
        db.close()


@store.command()
@click.argument("file", type=FILE)
def check(file: Path) -> int:
    """Whether FILE is whole, and how many jobs it holds in which state."""
    try:
        states = _states(file)
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    print_columns([["state", "jobs"], *([state, str(count)] for state, count in sorted(states.items()))])
    print(f"{file}: good")
    return 0


@store.command()
@click.argument("file", type=FILE)
def dump(file: Path) -> int:
    """All jobs in FILE, a JSON object a line."""
    try:
        db = sqlite.connect(file, create=False)
        try:
            for job in sqlite.rows(db):
                table = orjson.loads(job.table) if job.table else None
                print(orjson.dumps({**job._asdict(), "table": table}).decode())
        finally:
            db.close()
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    return 0


@store.command()
@click.argument("file", type=FILE)
def compact(file: Path) -> int:
    """Give back what FILE holds and does not need."""
    try:
        before, after = sqlite.compact(file)
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    print(f"{file}: {before:,} bytes before, {after:,} after")
    return 0

"""``store``: the file of accepted work, looked at while no daemon has it."""

from pathlib import Path

import click
import orjson

from heronlug.cli.helpers import FILE_PATH, print_columns
from heronlug.storage import sqlite
from heronlug.storage.model import StoredRequest


@click.group()
def store() -> None:
    """The file of accepted work.  A daemon that runs has it for itself."""


def _count_states(path: Path) -> dict[str, int]:
    database = sqlite.connect(path, create=False)
    try:
        states: dict[str, int] = {}
        for request in sqlite.read_requests(database):
            state = request.final_state or ("delivered" if request.first_delivered_at else "waiting")
            states[state] = states.get(state, 0) + 1
        return states
    finally:
        database.close()


@store.command()
@click.argument("file", type=FILE_PATH)
def check(file: Path) -> int:
    """Whether FILE is whole, and how many jobs it holds in which state."""
    try:
        states = _count_states(file)
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    print_columns([["state", "jobs"], *([state, str(count)] for state, count in sorted(states.items()))])
    print(f"{file}: good")
    return 0


def _dump_row(request: StoredRequest) -> dict[str, object]:
    """A stored request under the keys that the dump has always had."""
    return {
        "jid": request.jid,
        "lane": request.class_name,
        "queue": request.queue,
        "table": orjson.loads(request.job) if request.job else None,
        "accepted_at": request.accepted_at,
        "remaining": request.time_allowed_ms,
        "due": request.not_before,
        "delivered_at": request.first_delivered_at,
        "final": request.final_state,
        "ended_at": request.ended_at,
    }


@store.command()
@click.argument("file", type=FILE_PATH)
def dump(file: Path) -> int:
    """All jobs in FILE, a JSON object a line."""
    try:
        database = sqlite.connect(file, create=False)
        try:
            for request in sqlite.read_requests(database):
                print(orjson.dumps(_dump_row(request)).decode())
        finally:
            database.close()
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    return 0


@store.command()
@click.argument("file", type=FILE_PATH)
def compact(file: Path) -> int:
    """Give back what FILE holds and does not need."""
    try:
        before, after = sqlite.compact(file)
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    print(f"{file}: {before:,} bytes before, {after:,} after")
    return 0

"""Defines ``store``, which checks, dumps and compacts the store of accepted requests while no dispatcher uses it."""

from pathlib import Path

import click
import orjson

from heronlug.cli.helpers import FILE_PATH, print_columns
from heronlug.storage import sqlite
from heronlug.storage.model import StoredRequest


@click.group()
def store() -> None:
    """Inspect the store of accepted requests. A running dispatcher locks its store."""


def _count_states(path: Path) -> dict[str, int]:
    """Returns the number of stored requests by state.

    Raises:
        StoreError: if the store cannot be read or is locked.
    """
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
    """Check that FILE is intact, and show the number of requests by state."""
    try:
        states = _count_states(file)
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    print_columns([["state", "jobs"], *([state, str(count)] for state, count in sorted(states.items()))])
    print(f"{file}: good")
    return 0


def _dump_row(request: StoredRequest) -> dict[str, object]:
    """Returns a stored request under the keys of the dump format, which stay stable for programs that read dumps."""
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
    """Print all requests in FILE, one JSON object per line."""
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
    """Release unused space in FILE to the file system."""
    try:
        before, after = sqlite.compact(file)
    except sqlite.StoreError as error:
        raise click.ClickException(str(error)) from None
    print(f"{file}: {before:,} bytes before, {after:,} after")
    return 0

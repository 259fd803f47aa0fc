"""``cluster members`` and ``cluster duties``: what a running member sees."""

from typing import Any

import click

from heronlug.cli.words import SOCKET, print_columns, print_json
from heronlug.life.control import ask

JSON = click.option("--json", "as_json", is_flag=True, help="a JSON list")


@click.group()
def cluster() -> None:
    """The dispatchers that share duties, as the running one sees them."""


def _show(control: str, what: str, as_json: bool) -> None:
    rows: list[dict[str, Any]] = ask(control, {"ask": what})[what]
    if as_json:
        print_json(rows)
    elif rows:
        print_columns([list(rows[0]), *(["-" if v is None else str(v) for v in row.values()] for row in rows)])


@cluster.command()
@JSON
@SOCKET
def members(as_json: bool, control: str) -> None:
    """Who is there, and since when."""
    _show(control, "members", as_json)


@cluster.command()
@JSON
@SOCKET
def duties(as_json: bool, control: str) -> None:
    """Each duty: whether it is ours, under which fence, the lease that is left, the last run, runs and takeovers."""
    _show(control, "duties", as_json)

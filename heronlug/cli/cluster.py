"""``cluster members`` and ``cluster duties``: what a running member sees."""

import sys
from typing import Any

import click
import orjson

from heronlug.cli.change import SOCKET
from heronlug.life.control import ask
from heronlug.life.state import StateError

JSON = click.option("--json", "as_json", is_flag=True, help="a JSON list")


@click.group()
def cluster() -> None:
    """The dispatchers that share duties, as the running one sees them."""


def _show(control: str, what: str, as_json: bool) -> None:
    if not control:
        raise StateError("environment: HERONLUG_CONTROL: not set, and no --control")
    rows: list[dict[str, Any]] = ask(control, {"ask": what})[what]
    if as_json:
        sys.stdout.write(orjson.dumps(rows, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE).decode())
        return
    lines = [list(rows[0])] if rows else []
    lines += [["-" if value is None else str(value) for value in row.values()] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        print("  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip())


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

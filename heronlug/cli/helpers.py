"""What the commands share: arguments, and how they print."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import orjson

FILE_PATH = click.Path(dir_okay=False, path_type=Path)
CONTROL_OPTION = click.option(
    "--control", envvar="HERONLUG_CONTROL", default="", metavar="SOCKET", help="the running daemon's control socket"
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="a JSON list")


def print_json(value: object) -> None:
    """For programs."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_columns(rows: Sequence[Sequence[str]]) -> None:
    """For people: columns as wide as their widest word."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def print_rows(rows: Sequence[dict[str, Any]], as_json: bool) -> None:
    """Rows with the same keys: for programs, or for people under their names."""
    if as_json:
        print_json(rows)
    elif rows:
        print_columns(
            [list(rows[0]), *(["-" if value is None else str(value) for value in row.values()] for row in rows)]
        )

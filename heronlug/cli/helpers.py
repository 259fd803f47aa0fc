"""What the commands share: arguments, and how they print."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import orjson

FILE = click.Path(dir_okay=False, path_type=Path)
SOCKET = click.option(
    "--control", envvar="HERONLUG_CONTROL", default="", metavar="SOCKET", help="the running daemon's control socket"
)
JSON = click.option("--json", "as_json", is_flag=True, help="a JSON list")


def print_json(value: object) -> None:
    """For programs."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_columns(lines: Sequence[Sequence[str]]) -> None:
    """For people: columns as wide as their widest word."""
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        print("  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip())


def print_rows(rows: Sequence[dict[str, Any]], as_json: bool) -> None:
    """Rows with the same keys: for programs, or for people under their names."""
    if as_json:
        print_json(rows)
    elif rows:
        print_columns([list(rows[0]), *(["-" if v is None else str(v) for v in row.values()] for row in rows)])

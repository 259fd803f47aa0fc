"""What the commands share: arguments, and how they print."""

from collections.abc import Sequence
from pathlib import Path

import click
import orjson

FILE = click.Path(dir_okay=False, path_type=Path)
SOCKET = click.option(
    "--control", envvar="HERONLUG_CONTROL", default="", metavar="SOCKET", help="the running daemon's control socket"
)


def print_json(value: object) -> None:
    """For programs."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_columns(lines: Sequence[Sequence[str]]) -> None:
    """For people: columns as wide as their widest word."""
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        print("  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip())

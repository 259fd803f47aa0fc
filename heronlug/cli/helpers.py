"""Options and output functions that the commands share."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
import orjson

FILE_PATH = click.Path(dir_okay=False, path_type=Path)
CONTROL_OPTION = click.option(
    "--control",
    envvar="HERONLUG_CONTROL",
    default="",
    metavar="SOCKET",
    help="control socket of the running dispatcher",
)
FIRST_SEED_ARGUMENT = click.argument("first", type=click.IntRange(0))
COUNT_ARGUMENT = click.argument("count", type=click.IntRange(1), default=1)
KEEP_OPTION = click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="keep configuration and logs in this folder"
)
SOURCES_OPTION = click.option(
    "--source",
    "sources",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    multiple=True,
    help="folder of a version of the program; with several, the processes run them in turn",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="print a JSON list")


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_columns(rows: Sequence[Sequence[str]]) -> None:
    """Prints rows of cells as text in aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def print_rows(rows: Sequence[dict[str, Any]], as_json: bool) -> None:
    """Prints rows with the same keys, as JSON or as a text table headed by the keys."""
    if as_json:
        print_json(rows)
    elif rows:
        print_columns(
            [list(rows[0]), *(["-" if value is None else str(value) for value in row.values()] for row in rows)]
        )

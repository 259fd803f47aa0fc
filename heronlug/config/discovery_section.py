"""Defines and reads the ``[register]`` table of an operators' file, which configures service discovery."""

from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, Struct, structs

from heronlug.config.strict_toml import ConfigProblem, Source
from heronlug.config.strict_toml.decode import decode

TABLE = "register"
"""Key of the table in the file."""


class RegisterTable(Struct, forbid_unknown_fields=True):
    """Settings for the polls of service discovery and for the cached list.

    Attributes:
        keep: Path of the file with the cached list, relative to the operators' file; empty if the list
            is not cached.
        keep_for_s: Maximum age of a cached list that is used, in seconds.
        calls_per_s: Polls per second that service discovery can answer; None if unknown.
    """

    keep: str = ""
    keep_for_s: Annotated[float, Meta(ge=1, le=1e8, description="seconds, 1 or more")] = 86_400.0
    calls_per_s: Annotated[float, Meta(gt=0, le=100_000, description="polls per second, more than 0")] | None = None


def read(source: Source) -> tuple[dict[str, Any], list[ConfigProblem]]:
    """Returns the table as plain values with an absolute path, and the problems of the table."""
    table, problems = decode(RegisterTable, source.table.get(TABLE, {}), source, (TABLE,))
    if table is None:
        return {}, problems
    cache_path = str((Path(source.path).parent / table.keep).resolve()) if table.keep else ""
    if cache_path and not Path(cache_path).parent.is_dir():
        found = f"{Path(cache_path).parent} is not a folder"
        problems.append(source.problem((TABLE, "keep"), found, "expected a file in an existing folder"))
    return {**structs.asdict(table), "keep": cache_path}, problems

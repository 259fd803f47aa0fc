"""The form of ``[register]`` in an operators' file."""

from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, Struct, structs

from heronlug.config.strict_toml import ConfigProblem, Source
from heronlug.config.strict_toml.decode import decode

AT = "register"


class RegisterTable(Struct, forbid_unknown_fields=True):
    """What is known of the node register, and what is kept of it."""

    keep: str = ""  # a file, beside this one
    keep_for_s: Annotated[float, Meta(ge=1, le=1e8, description="seconds, 1 or more")] = 86_400.0
    calls_per_s: Annotated[float, Meta(gt=0, le=100_000, description="calls a second, more than 0")] | None = None


def read(source: Source) -> tuple[dict[str, Any], list[ConfigProblem]]:
    """The table as plain values, the path made whole; and the faults of it."""
    table, faults = decode(RegisterTable, source.table.get(AT, {}), source, (AT,))
    if table is None:
        return {}, faults
    keep = str((Path(source.path).parent / table.keep).resolve()) if table.keep else ""
    if keep and not Path(keep).parent.is_dir():
        wrong = f"{Path(keep).parent} is no folder"
        faults.append(source.fault((AT, "keep"), wrong, "a file in a folder that is there"))
    return {**structs.asdict(table), "keep": keep}, faults

"""A table against its form, a msgspec struct: every key that is wrong is told, not only the first."""

import math
import re
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from heronlug.config.strict_toml.errors import ConfigProblem, near
from heronlug.config.strict_toml.source import Keys, Source

Form = TypeVar("Form", bound=msgspec.Struct)
INSIDE = re.compile(r" - at `\$(.*)`$")
STEP = re.compile(r"\[(\d+)\]|\.(\w+)")


def decode(form: type[Form], table: Any, source: Source, at: Keys) -> tuple[Form | None, list[ConfigProblem]]:
    """The struct of a table, or None with the problems that stood in its way.

    A field's ``Meta(description=...)`` says in an error what would be right.
    """
    if not isinstance(table, dict):
        return None, [source.problem(at, f"{_shown(table)} is no table", f"[{'.'.join(map(str, at))}]")]
    hints = get_type_hints(form, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(form)}
    problems: list[ConfigProblem] = []
    values: dict[str, Any] = {}
    for key, value in table.items():
        field = fields.get(key)
        if field is None:
            problems.append(source.problem((*at, key), "unknown key", near(key, fields)))
            continue
        kind, right = hints[field.name], _right(hints[field.name])
        try:
            if not _finite(value):
                msg = "not finite"
                raise msgspec.ValidationError(msg)
            values[field.name] = msgspec.convert(value, kind, strict=True)
        except (msgspec.ValidationError, OverflowError) as error:
            inside = INSIDE.search(str(error))
            steps: Keys = tuple(int(n) if n else name for n, name in STEP.findall(inside[1])) if inside else ()
            shown = value
            for step in steps:
                shown = shown[step]
            problems.append(source.problem((*at, key, *steps), f"{_shown(shown)} is not accepted", right))
    for key, field in fields.items():
        if field.required and key not in table:
            problems.append(source.problem((*at, key), "missing", _right(hints[field.name])))
    return (None, problems) if problems else (form(**values), [])


def _right(kind: Any) -> str:
    """What the form says of a field, else its bare type."""
    if get_origin(kind) is Annotated:
        for note in get_args(kind)[1:]:
            if isinstance(note, msgspec.Meta) and note.description:
                return f"expected {note.description}"
    for part in get_args(kind):
        if found := _right(part):
            return found
    return {int: "expected a whole number", float: "expected a number", str: "expected a text"}.get(kind, "")


def _finite(value: Any) -> bool:
    if isinstance(value, list):
        return all(map(_finite, value))
    return not isinstance(value, float) or math.isfinite(value)


def _shown(value: Any) -> str:
    try:
        text = repr(value)
    except ValueError:  # a whole number of more digits than Python writes out
        text = f"a whole number of {value.bit_length()} bits"
    return text if len(text) <= 60 else text[:57] + "..."

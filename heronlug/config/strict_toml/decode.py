"""Decodes a TOML table into a msgspec struct and reports all invalid keys of the table instead of the first only."""

import math
import re
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from heronlug.config.strict_toml.errors import ConfigProblem, suggest
from heronlug.config.strict_toml.source import Keys, Source

StructType = TypeVar("StructType", bound=msgspec.Struct)
ERROR_PATH = re.compile(r" - at `\$(.*)`$")
PATH_STEP = re.compile(r"\[(\d+)\]|\.(\w+)")


def decode(
    struct_type: type[StructType], table: Any, source: Source, key_path: Keys
) -> tuple[StructType | None, list[ConfigProblem]]:
    """Returns the struct of a table, or None and the problems of the table.

    Args:
        struct_type: The struct; ``Meta(description=...)`` of a field says in a problem which values are accepted.
        table: The value that should be a table.
        source: The file of the table.
        key_path: The path of the table in the file.
    """
    if not isinstance(table, dict):
        return None, [
            source.problem(
                key_path, f"{_format_value(table)} is not a table", f"expected [{'.'.join(map(str, key_path))}]"
            )
        ]
    hints = get_type_hints(struct_type, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    problems: list[ConfigProblem] = []
    values: dict[str, Any] = {}
    for key, value in table.items():
        field = fields.get(key)
        if field is None:
            problems.append(source.problem((*key_path, key), "unknown key", suggest(key, fields)))
            continue
        field_type, expected = hints[field.name], _expected(hints[field.name])
        try:
            if not _is_finite(value):
                msg = "not finite"
                raise msgspec.ValidationError(msg)
            values[field.name] = msgspec.convert(value, field_type, strict=True)
        except (msgspec.ValidationError, OverflowError) as error:
            error_path = ERROR_PATH.search(str(error))
            inner_keys: Keys = (
                tuple(int(n) if n else name for n, name in PATH_STEP.findall(error_path[1])) if error_path else ()
            )
            bad_value = value
            for inner_key in inner_keys:
                bad_value = bad_value[inner_key]
            problems.append(
                source.problem((*key_path, key, *inner_keys), f"{_format_value(bad_value)} is not accepted", expected)
            )
    for key, field in fields.items():
        if field.required and key not in table:
            problems.append(source.problem((*key_path, key), "missing", _expected(hints[field.name])))
    return (None, problems) if problems else (struct_type(**values), [])


def _expected(field_type: Any) -> str:
    """Returns which values a field accepts: the description of the field if there is one, otherwise the plain type."""
    if get_origin(field_type) is Annotated:
        for annotation in get_args(field_type)[1:]:
            if isinstance(annotation, msgspec.Meta) and annotation.description:
                return f"expected {annotation.description}"
    for argument in get_args(field_type):
        if expectation := _expected(argument):
            return expectation
    return {int: "expected a whole number", float: "expected a number", str: "expected a string"}.get(field_type, "")


def _is_finite(value: Any) -> bool:
    if isinstance(value, list):
        return all(map(_is_finite, value))
    return not isinstance(value, float) or math.isfinite(value)


def _format_value(value: Any) -> str:
    try:
        text = repr(value)
    except ValueError:  # repr() rejects an integer with more digits than Python converts
        text = f"a whole number of {value.bit_length()} bits"
    return text if len(text) <= 60 else text[:57] + "..."

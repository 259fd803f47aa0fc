"""Converts the limits of a class between the keys of a file and the fields of :class:`RequestClass`.

The limits of a file are not checked here; ``rules`` does that.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

from heronlug.balancer.settings import RequestClass

GivenLimits = dict[str, Any]
"""The limits that a file gives for a class: keys of ``KEYS`` with plain values; times in ms."""

KEYS = {
    "attempts": "max_attempts",
    "attempt_timeout_ms": "attempt_timeout",
    "after_timeout": "retry_after_timeout",
    "wait_ms": "retry_backoff",
    "second_copy": "hedge",
    "second_copy_after_ms": "hedge_after",
    "repeat_window_ms": "repeat_window",
    "give_up_ms": "give_up_after",
}
"""Fields of :class:`RequestClass` by the key of a ``[class.NAME]`` table that sets the field."""


def _field_value(key: str, value: Any) -> Any:
    return value == "again" if key == "after_timeout" else tuple(value) if key == "wait_ms" else value


def apply_limits(request_class: RequestClass, given: GivenLimits) -> RequestClass:
    """Returns the class with the given limits; other limits stay as they are."""
    return (
        replace(request_class, **{KEYS[key]: _field_value(key, value) for key, value in given.items()})
        if given
        else request_class
    )


def resolve(classes: Sequence[RequestClass], given: Mapping[str, GivenLimits]) -> tuple[RequestClass, ...]:
    """Returns all classes in their order, with the limits that a file gives for some of the classes by name."""
    return tuple(apply_limits(request_class, given.get(request_class.name, {})) for request_class in classes)


def write(request_class: RequestClass) -> GivenLimits:
    """Returns all limits of a class as a table for another process, which takes over open requests."""
    values = {key: getattr(request_class, field) for key, field in KEYS.items()}
    return {
        **values,
        "after_timeout": "again" if request_class.retry_after_timeout else "end",
        "wait_ms": list(request_class.retry_backoff),
    }


def read(request_class: RequestClass, table: Any) -> RequestClass:
    """Returns the class with the limits that another process wrote.

    Raises:
        ValueError: If a key or a value is invalid.
        TypeError: If a value has the wrong type.
    """
    if not isinstance(table, dict) or table.keys() != KEYS.keys():
        msg = "not a table with all limits"
        raise ValueError(msg)
    numbers = [table[key] for key in KEYS if key not in ("after_timeout", "wait_ms", "second_copy")]
    for number in [*numbers, *table["wait_ms"]]:
        if isinstance(number, bool) or not isinstance(number, int | float) or not 0 <= number < float("inf"):
            msg = f"{number!r} is not a limit, expected a finite number of 0 or more"
            raise ValueError(msg)
    if table["after_timeout"] not in ("again", "end") or not isinstance(table["second_copy"], bool):
        msg = 'after_timeout or second_copy is invalid, expected "again" or "end" and true or false'
        raise ValueError(msg)
    return apply_limits(request_class, table)

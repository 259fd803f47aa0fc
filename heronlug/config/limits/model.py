"""The limits of a class, as a file gives them and as the module takes them.  Nothing is checked here."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

from heronlug.balancer.settings import RequestClass

GivenLimits = dict[str, Any]
"""What a file gives for one class: the keys of ``KEYS`` with plain values; times in milliseconds."""

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
"""The keys of a ``[class]`` table, and the field of :class:`RequestClass` that each sets."""


def _field_value(key: str, value: Any) -> Any:
    return value == "again" if key == "after_timeout" else tuple(value) if key == "wait_ms" else value


def apply_limits(request_class: RequestClass, given: GivenLimits) -> RequestClass:
    """The class under these limits; what is not given stays."""
    return (
        replace(request_class, **{KEYS[key]: _field_value(key, value) for key, value in given.items()})
        if given
        else request_class
    )


def resolve(classes: Sequence[RequestClass], given: Mapping[str, GivenLimits]) -> tuple[RequestClass, ...]:
    """All classes, in their order, under the limits that a file gives for some of them by name."""
    return tuple(apply_limits(request_class, given.get(request_class.name, {})) for request_class in classes)


def write(request_class: RequestClass) -> GivenLimits:
    """All limits of a class, for another process to go on with."""
    values = {key: getattr(request_class, field) for key, field in KEYS.items()}
    return {
        **values,
        "after_timeout": "again" if request_class.retry_after_timeout else "end",
        "wait_ms": list(request_class.retry_backoff),
    }


def read(request_class: RequestClass, table: Any) -> RequestClass:
    """The class under limits that another process wrote; raises ``ValueError`` or ``TypeError``."""
    if not isinstance(table, dict) or table.keys() != KEYS.keys():
        msg = "no table of limits"
        raise ValueError(msg)
    numbers = [table[key] for key in KEYS if key not in ("after_timeout", "wait_ms", "second_copy")]
    for number in [*numbers, *table["wait_ms"]]:
        if isinstance(number, bool) or not isinstance(number, int | float) or not 0 <= number < float("inf"):
            msg = f"{number!r} is no limit"
            raise ValueError(msg)
    if table["after_timeout"] not in ("again", "end") or not isinstance(table["second_copy"], bool):
        msg = "no table of limits"
        raise ValueError(msg)
    return apply_limits(request_class, table)

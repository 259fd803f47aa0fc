"""The limits of a class, as a file gives them and as the module takes them.  Nothing is checked here."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

from heronlug.interface import JobClass

Given = dict[str, Any]
"""What a file gives for one class: the keys of ``KEYS`` with plain values; times in milliseconds."""

KEYS = {
    "attempts": "attempts",
    "attempt_timeout_ms": "attempt_timeout",
    "after_timeout": "again",
    "wait_ms": "waits",
    "second_copy": "second_copy",
    "second_copy_after_ms": "second_copy_after",
    "repeat_window_ms": "repeat_window",
    "give_up_ms": "give_up",
}
"""The keys of a ``[class]`` table, and the field of :class:`JobClass` that each sets."""


def _field(key: str, value: Any) -> Any:
    return value == "again" if key == "after_timeout" else tuple(value) if key == "wait_ms" else value


def limit(lane: JobClass, given: Given) -> JobClass:
    """The class under these limits; what is not given stays."""
    return replace(lane, **{KEYS[key]: _field(key, value) for key, value in given.items()}) if given else lane


def resolve(classes: Sequence[JobClass], given: Mapping[str, Given]) -> tuple[JobClass, ...]:
    """All classes, in their order, under the limits that a file gives for some of them by name."""
    return tuple(limit(lane, given.get(lane.name, {})) for lane in classes)


def write(lane: JobClass) -> Given:
    """All limits of a class, for another process to go on with."""
    values = {key: getattr(lane, field) for key, field in KEYS.items()}
    return {**values, "after_timeout": "again" if lane.again else "end", "wait_ms": list(lane.waits)}


def read(lane: JobClass, table: Any) -> JobClass:
    """The class under limits that another process wrote; raises ``ValueError`` or ``TypeError``."""
    if not isinstance(table, dict) or table.keys() != KEYS.keys():
        raise ValueError("no table of limits")
    numbers = [table[key] for key in KEYS if key not in ("after_timeout", "wait_ms", "second_copy")]
    for number in [*numbers, *table["wait_ms"]]:
        if isinstance(number, bool) or not isinstance(number, int | float) or not 0 <= number < float("inf"):
            raise ValueError(f"{number!r} is no limit")
    if table["after_timeout"] not in ("again", "end") or not isinstance(table["second_copy"], bool):
        raise ValueError("no table of limits")
    return limit(lane, table)

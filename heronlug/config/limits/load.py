"""Reads the ``[class.NAME]`` tables of a file, checks them against a site and lists the resulting limits."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from heronlug.balancer.settings import Settings
from heronlug.config.limits.model import KEYS, GivenLimits, apply_limits
from heronlug.config.limits.rules import RULES, ClassUnderCheck, notes
from heronlug.config.limits.schema import ClassTable
from heronlug.config.strict_toml import ConfigProblem, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.config.strict_toml.errors import suggest

SECTION = "class"  # key of the tables in the file


def read(source: Source) -> tuple[dict[str, GivenLimits], list[ConfigProblem]]:
    """Returns the limits that a file gives for each class, and the problems of the tables.

    A class whose table has problems has no limits in the result.
    """
    table = source.table.get(SECTION, {})
    if not isinstance(table, dict) or (table and not any(isinstance(value, dict) for value in table.values())):
        return {}, [source.problem((SECTION,), "not a table of classes", "expected [class.NAME]")]
    given: dict[str, GivenLimits] = {}
    problems: list[ConfigProblem] = []
    for name, values in table.items():
        decoded, wrong = decode(ClassTable, values, source, (SECTION, name))
        problems += wrong
        if values == {}:
            problems.append(
                source.problem((SECTION, name), "the table sets no limit", "expected at least one limit, or no table")
            )
        limits = msgspec.structs.asdict(decoded) if decoded is not None else {}
        given[name] = {key: value for key, value in limits.items() if value is not msgspec.UNSET}
    return given, problems


class BrokenClassRule(NamedTuple):
    """A rule that the limits of a class break.

    Attributes:
        name: Name of the class.
        key: Key of the limit; empty if the problem concerns the whole table.
        wrong: What is wrong.
        right: What is accepted.
    """

    name: str
    key: str
    wrong: str
    right: str


def check(site: Settings, given: Mapping[str, GivenLimits]) -> Iterator[BrokenClassRule]:
    """Yields all rules that the given limits break at a site."""
    classes_by_name = {request_class.name: request_class for request_class in site.classes}
    for name, limits in given.items():
        request_class = classes_by_name.get(name)
        if request_class is None:
            yield BrokenClassRule(name, "", "the site has no such class", suggest(name, classes_by_name))
            continue
        class_under_check = ClassUnderCheck(site, request_class, limits)
        for rule in RULES:
            broken = rule(class_under_check)
            if broken is not None:
                yield BrokenClassRule(name, *broken)


def problems(source: Source, broken: Iterator[BrokenClassRule]) -> list[ConfigProblem]:
    """Returns broken rules as problems of the file with the limits."""
    return [source.problem((SECTION, b.name, b.key) if b.key else (SECTION, b.name), b.wrong, b.right) for b in broken]


def advice(site: Settings, given: Mapping[str, GivenLimits]) -> list[str]:
    """Returns notes on limits that break no rule but may have a surprising effect."""
    classes_by_name = {request_class.name: request_class for request_class in site.classes}
    return [
        f"class.{name}.{note}"
        for name, limits in given.items()
        if name in classes_by_name
        for note in notes(ClassUnderCheck(site, classes_by_name[name], limits))
    ]


class Row(NamedTuple):
    """A limit of a class in effect.

    Attributes:
        name: Name of the class.
        key: Key of the limit.
        value: The value in effect.
        origin: Where the value comes from: a file, the site or a default.
    """

    name: str
    key: str
    value: Any
    origin: str


def rows(site: Settings, given: Mapping[str, GivenLimits], origin: str) -> Iterator[Row]:
    """Yields every limit of every class as in effect; ``origin`` names the file with the given limits."""
    for request_class in site.classes:
        limits = given.get(request_class.name, {})
        effective = apply_limits(request_class, limits)
        site_values = {
            "attempts": (site.max_attempts, "site: attempts_cap"),
            "attempt_timeout_ms": ("until the request is given up", "default"),
            "after_timeout": ("end" if request_class.effect.value == "once" else "again", "default"),
            "wait_ms": ([], "default"),
            "second_copy": (site.hedging and request_class.effect.value != "once", "site: second_copies"),
            "second_copy_after_ms": ("when the attempt seems stalled", "default"),
            "repeat_window_ms": (request_class.repeat_window, "site: repeat_window"),
            "give_up_ms": (request_class.deadline, "site: deadline"),
        }
        for key, field in KEYS.items():
            value, value_origin = site_values[key]
            if key in limits:
                value, value_origin = getattr(effective, field) if key != "after_timeout" else limits[key], origin
            if key == "second_copy_after_ms" and not (effective.hedge and site_values["second_copy"][0]):
                value, value_origin = "never", "hedging disabled"
            yield Row(request_class.name, key, list(value) if isinstance(value, tuple) else value, value_origin)

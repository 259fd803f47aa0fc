"""The ``[class]`` tables of a file: decoded, checked against a site, and explained."""

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

SECTION = "class"  # the key of the tables


def read(source: Source) -> tuple[dict[str, GivenLimits], list[ConfigProblem]]:
    """What a file gives for each class, and what is wrong with its form; a class with problems gives nothing."""
    table = source.table.get(SECTION, {})
    if not isinstance(table, dict) or (table and not any(isinstance(value, dict) for value in table.values())):
        return {}, [source.problem((SECTION,), "not a table of classes", "[class.NAME]")]
    given: dict[str, GivenLimits] = {}
    problems: list[ConfigProblem] = []
    for name, values in table.items():
        decoded, wrong = decode(ClassTable, values, source, (SECTION, name))
        problems += wrong
        if values == {}:
            problems.append(source.problem((SECTION, name), "it sets nothing", "at least one limit, or no table"))
        limits = msgspec.structs.asdict(decoded) if decoded is not None else {}
        given[name] = {key: value for key, value in limits.items() if value is not msgspec.UNSET}
    return given, problems


class BrokenClassRule(NamedTuple):
    """A rule that a class's limits break."""

    name: str
    key: str
    wrong: str
    right: str


def check(site: Settings, given: Mapping[str, GivenLimits]) -> Iterator[BrokenClassRule]:
    """All rules that these limits break at a site."""
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
    """Broken rules as problems of the file that gave the limits."""
    return [source.problem((SECTION, b.name, b.key) if b.key else (SECTION, b.name), b.wrong, b.right) for b in broken]


def advice(site: Settings, given: Mapping[str, GivenLimits]) -> list[str]:
    """Notes on limits that break no rule."""
    classes_by_name = {request_class.name: request_class for request_class in site.classes}
    return [
        f"class.{name}.{note}"
        for name, limits in given.items()
        if name in classes_by_name
        for note in notes(ClassUnderCheck(site, classes_by_name[name], limits))
    ]


class Row(NamedTuple):
    """One limit of a class as it holds, and where it comes from."""

    name: str
    key: str
    value: Any
    origin: str


def rows(site: Settings, given: Mapping[str, GivenLimits], origin: str) -> Iterator[Row]:
    """The resolved table: every limit of every class; ``origin`` names the file."""
    for request_class in site.classes:
        limits = given.get(request_class.name, {})
        effective = apply_limits(request_class, limits)
        site_values = {
            "attempts": (site.max_attempts, "site: attempts_cap"),
            "attempt_timeout_ms": ("as long as the job has", "default"),
            "after_timeout": ("end" if request_class.effect.value == "once" else "again", "default"),
            "wait_ms": ([], "default"),
            "second_copy": (site.hedging and request_class.effect.value != "once", "site: second_copies"),
            "second_copy_after_ms": ("when it seems stuck", "default"),
            "repeat_window_ms": (request_class.repeat_window, "site: repeat_window"),
            "give_up_ms": (request_class.deadline, "site: deadline"),
        }
        for key, field in KEYS.items():
            value, value_origin = site_values[key]
            if key in limits:
                value, value_origin = getattr(effective, field) if key != "after_timeout" else limits[key], origin
            if key == "second_copy_after_ms" and not (effective.hedge and site_values["second_copy"][0]):
                value, value_origin = "never", "no second copies"
            yield Row(request_class.name, key, list(value) if isinstance(value, tuple) else value, value_origin)

"""The ``[class]`` tables of a file: decoded, checked against a site, and explained."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from heronlug.balancer.settings import Settings
from heronlug.config.limits.model import KEYS, Given, limit
from heronlug.config.limits.rules import RULES, ClassUnderCheck, notes
from heronlug.config.limits.schema import ClassTable
from heronlug.config.strict_toml import ConfigProblem, Source
from heronlug.config.strict_toml.decode import decode
from heronlug.config.strict_toml.errors import near

AT = "class"  # the key of the tables


def read(source: Source) -> tuple[dict[str, Given], list[ConfigProblem]]:
    """What a file gives for each class, by its form alone, and the faults of it; a class with faults gives nothing."""
    table = source.table.get(AT, {})
    if not isinstance(table, dict) or (table and not any(isinstance(value, dict) for value in table.values())):
        return {}, [source.fault((AT,), "not a table of classes", "[class.NAME]")]
    given: dict[str, Given] = {}
    faults: list[ConfigProblem] = []
    for name, values in table.items():
        decoded, wrong = decode(ClassTable, values, source, (AT, name))
        faults += wrong
        if values == {}:
            faults.append(source.fault((AT, name), "it sets nothing", "at least one limit, or no table"))
        asked = msgspec.structs.asdict(decoded) if decoded is not None else {}
        given[name] = {key: value for key, value in asked.items() if value is not msgspec.UNSET}
    return given, faults


class Broken(NamedTuple):
    """A rule that a class's limits break."""

    name: str
    key: str
    wrong: str
    right: str


def check(site: Settings, given: Mapping[str, Given]) -> Iterator[Broken]:
    """All rules that these limits break at a site."""
    lanes = {lane.name: lane for lane in site.classes}
    for name, limits in given.items():
        lane = lanes.get(name)
        if lane is None:
            yield Broken(name, "", "the site has no such class", near(name, lanes))
            continue
        case = ClassUnderCheck(site, lane, limits)
        for rule in RULES:
            broken = rule(case)
            if broken is not None:
                yield Broken(name, *broken)


def faults(source: Source, broken: Iterator[Broken]) -> list[ConfigProblem]:
    """Broken rules as faults of the file that gave the limits."""
    return [source.fault((AT, b.name, b.key) if b.key else (AT, b.name), b.wrong, b.right) for b in broken]


def advice(site: Settings, given: Mapping[str, Given]) -> list[str]:
    """Notes on limits that break no rule."""
    lanes = {lane.name: lane for lane in site.classes}
    return [
        f"class.{name}.{note}"
        for name, limits in given.items()
        if name in lanes
        for note in notes(ClassUnderCheck(site, lanes[name], limits))
    ]


class Row(NamedTuple):
    """One limit of a class as it holds, and where it comes from."""

    name: str
    key: str
    value: Any
    origin: str


def rows(site: Settings, given: Mapping[str, Given], origin: str) -> Iterator[Row]:
    """The resolved table: every limit of every class; ``origin`` names the file."""
    for lane in site.classes:
        limits = given.get(lane.name, {})
        held = limit(lane, limits)
        absent = {
            "attempts": (site.max_attempts, "site: attempts_cap"),
            "attempt_timeout_ms": ("as long as the job has", "default"),
            "after_timeout": ("end" if lane.effect.value == "once" else "again", "default"),
            "wait_ms": ([], "default"),
            "second_copy": (site.hedging and lane.effect.value != "once", "site: second_copies"),
            "second_copy_after_ms": ("when it seems stuck", "default"),
            "repeat_window_ms": (lane.repeat_window, "site: repeat_window"),
            "give_up_ms": (lane.deadline, "site: deadline"),
        }
        for key, field in KEYS.items():
            value, whence = absent[key]
            if key in limits:
                value, whence = getattr(held, field) if key != "after_timeout" else limits[key], origin
            if key == "second_copy_after_ms" and not (held.hedge and absent["second_copy"][0]):
                value, whence = "never", "no second copies"
            yield Row(lane.name, key, list(value) if isinstance(value, tuple) else value, whence)

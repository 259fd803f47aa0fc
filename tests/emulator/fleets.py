"""Builds small scenarios for tests from one base text."""

from typing import Any

from heronlug.config.strict_toml import Source
from heronlug.emulator.scenario import Scenario, parse, put

TEXT = """
name = "test"
span_s = 30
zones = ["a", "b"]
[dispatchers]
count = 3
[[kind]]
name = "k"
slots = 4
[[pool]]
kind = "k"
count = 8
zone = "a"
[[pool]]
kind = "k"
count = 8
zone = "b"
[[class]]
name = "safe"
effect = "repeatable"
aim_ms = 500
deadline_ms = 5000
work = {dist = "lognorm", s = 0.5, scale = 150.0}
[[class]]
name = "once"
effect = "once"
aim_ms = 1000
deadline_ms = 8000
worth = 4
work = {dist = "gamma", a = 2.0, scale = 150.0}
[[arrivals]]
class = "safe"
rate = 120
[[arrivals]]
class = "once"
rate = 30
"""


def scenario(more: str = "", **changes: Any) -> Scenario:
    """Returns the scenario of the base text with changes.

    Args:
        more: text appended to the base text.
        **changes: values by dotted key with ``__`` for the dots, such as ``dispatchers__count=5``.
    """
    source = Source.parse("test.toml", (TEXT + more).encode())
    for key, value in changes.items():
        put(source.table, key.replace("__", "."), value)
    return parse(source)

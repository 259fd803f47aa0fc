"""Tests that each log call writes one line, whatever its fields are."""

import json
import os
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.lifecycle.log import Log


class Unprintable:
    def __repr__(self) -> str:
        raise RuntimeError


def nested(depth: int) -> list[Any]:
    value: list[Any] = []
    for _ in range(depth):
        value = [value]
    return value


def logged(**fields: Any) -> dict[str, Any]:
    """Logs one event and returns its line as it was written."""
    reader, writer = os.pipe()
    log = Log(writer)
    log("test", **fields)
    log.close()
    os.close(writer)
    with open(reader, "rb") as lines:
        line: dict[str, Any] = json.loads(lines.read())
    assert line["event"] == "test"
    return line


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        (10**20, "100000000000000000000"),
        (-(2**64), "-18446744073709551616"),
        ("half \ud800", "'half \\ud800'"),
        ({1: 10**20}, "{1: 100000000000000000000}"),
        (Unprintable(), "<Unprintable>"),
        ([Unprintable()], "<list>"),
        (nested(300), repr(nested(300))),
        (nested(100_000), "<list>"),
        (10**5000, "<int>"),
        ("x" * 70_000 + "\ud800", repr("x" * 70_000)[:1000]),
    ],
    ids=["large", "negative", "surrogate", "key", "repr", "list", "nested", "deep", "digits", "long"],
)
def test_field_that_is_no_json_does_not_raise_and_other_fields_are_kept(value: Any, shown: str) -> None:
    """Guards against a logged value that ends a start or a callback."""
    line = logged(left=value, jid="job-00001", count=3)
    assert (line["left"], line["jid"], line["count"]) == (shown, "job-00001", 3)


@given(st.dictionaries(st.sampled_from(["left", "why", "by_holder"]), st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary() | st.complex_numbers(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text() | st.integers(), inner) | st.tuples(inner),
)))  # fmt: skip
def test_log_call_never_raises(fields: dict[str, Any]) -> None:
    """Guards against a kind of value that a log call raises for."""
    assert set(logged(**fields)) >= set(fields)

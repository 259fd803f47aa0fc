"""The checker of the rules, event by event: each way to break one is found, and nothing else is."""

import pytest

from heronlug.conformance import Answered, Began, Checker, Ended, Event, Listed, Load, Sent, Started, Stopped, Taken

TAKEN = Taken(0.0, "d", "j", "once", True, 5000.0)
GOOD: list[Event] = [
    Started(0.0, "d"),
    Listed(0.0, "d", "h", "ready"),
    TAKEN,
    Sent(1.0, "d", "j", "h"),
    Began(2.0, "h", "j"),
    Answered(90.0, "d", "j", "served"),
]


def found(*events: Event, end: float = 1e6) -> list[tuple[int, str]]:
    checker = Checker(2500.0)
    for event in events:
        checker.see(event)
    return [(each.rule, each.what) for each in checker.finish(end)]


def test_nothing_is_found_where_all_is_well() -> None:
    assert found(*GOOD) == []
    assert found(*GOOD, Taken(100.0, "d", "j", "once", True, 5000.0), Answered(101.0, "d", "j", "refused")) == []
    assert found(TAKEN, Ended(10.0, "d", "j")) == []
    assert found(TAKEN, Stopped(10.0, "d", True)) == []
    assert found(TAKEN, end=4999.0) == []
    assert found(Listed(0.0, "d", "h", "draining"), TAKEN, Sent(2400.0, "d", "j", "h"), end=4000.0) == []
    assert (
        found(
            Listed(0.0, "d", "h", "gone"),
            Listed(9.0, "d", "h", "ready"),
            TAKEN,
            Sent(4000.0, "d", "j", "h"),
            end=4000.0,
        )
        == []
    )
    assert found(Load(0.0, "h", 0.99, False)) == []


@pytest.mark.parametrize(
    ("events", "rule", "what"),
    [
        ([TAKEN], 1, "has had no final answer"),
        ([TAKEN, Answered(5001.0, "d", "j", "served")], 1, "1 ms too late"),
        ([*GOOD, Answered(95.0, "d", "j", "served")], 1, "second answer"),
        ([Answered(95.0, "d", "j", "served")], 1, "never accepted"),
        ([TAKEN, TAKEN], 1, "accepted twice"),
        ([*GOOD, Sent(99.0, "d", "j", "h")], 1, "is not open"),
        ([TAKEN, Stopped(9.0, "d", False)], 1, "when d ended"),
        ([TAKEN, Began(2.0, "h", "j"), Began(3.0, "g", "j"), Answered(9.0, "d", "j", "failed")], 2, "ran at g"),
        (
            [*GOOD, Taken(100.0, "e", "j", "once", True, 9e3), Began(101.0, "h", "j"), Answered(102.0, "e", "j", "x")],
            2,
            "ran at h after having run at h",
        ),
        (
            [
                Listed(0.0, "d", "h", "draining"),
                Listed(2000.0, "d", "h", "gone"),
                TAKEN,
                Sent(2501.0, "d", "j", "h"),
                Answered(2600.0, "d", "j", "failed"),
            ],
            3,
            "2501 ms after",
        ),
        ([Load(0.0, "h", 1.2, True)], 4, "overloaded while warming up"),
    ],
)
def test_each_way_to_break_a_rule_is_found(events: list[Event], rule: int, what: str) -> None:
    violations = found(*events)
    assert [each for each, _ in violations] == [rule] * len(violations)
    assert violations
    assert what in violations[0][1]

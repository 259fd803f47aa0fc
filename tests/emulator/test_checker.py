"""Tests the conformance checker event by event: it reports each kind of violation and nothing else."""

import pytest

from heronlug.conformance import Answered, Began, Checker, Ended, Event, Listed, Load, Sent, Started, Stopped, Taken

ACCEPTED = Taken(0.0, "d", "j", "once", True, 5000.0)
VALID_HISTORY: list[Event] = [
    Started(0.0, "d"),
    Listed(0.0, "d", "h", "ready"),
    ACCEPTED,
    Sent(1.0, "d", "j", "h"),
    Began(2.0, "h", "j"),
    Answered(90.0, "d", "j", "served"),
]


def violations_of(*events: Event, end: float = 1e6) -> list[tuple[int, str]]:
    checker = Checker(2500.0)
    for event in events:
        checker.see(event)
    return [(each.rule, each.what) for each in checker.finish(end)]


def test_valid_histories_have_no_violations() -> None:
    """A false report would hide real violations; the histories stay just within the deadline and the drain grace."""
    assert violations_of(*VALID_HISTORY) == []
    assert (
        violations_of(
            *VALID_HISTORY, Taken(100.0, "d", "j", "once", True, 5000.0), Answered(101.0, "d", "j", "refused")
        )
        == []
    )
    assert violations_of(ACCEPTED, Ended(10.0, "d", "j")) == []
    assert violations_of(ACCEPTED, Stopped(10.0, "d", True)) == []
    assert violations_of(ACCEPTED, end=4999.0) == []
    assert violations_of(Listed(0.0, "d", "h", "draining"), ACCEPTED, Sent(2400.0, "d", "j", "h"), end=4000.0) == []
    assert (
        violations_of(
            Listed(0.0, "d", "h", "gone"),
            Listed(9.0, "d", "h", "ready"),
            ACCEPTED,
            Sent(4000.0, "d", "j", "h"),
            end=4000.0,
        )
        == []
    )
    assert violations_of(Load(0.0, "h", 0.99, False)) == []


@pytest.mark.parametrize(
    ("events", "rule", "what"),
    [
        ([ACCEPTED], 1, "has had no final answer"),
        ([ACCEPTED, Answered(5001.0, "d", "j", "served")], 1, "1 ms too late"),
        ([*VALID_HISTORY, Answered(95.0, "d", "j", "served")], 1, "second answer"),
        ([Answered(95.0, "d", "j", "served")], 1, "never accepted"),
        ([ACCEPTED, ACCEPTED], 1, "accepted twice"),
        ([*VALID_HISTORY, Sent(99.0, "d", "j", "h")], 1, "is not open"),
        ([ACCEPTED, Stopped(9.0, "d", False)], 1, "when d ended"),
        ([ACCEPTED, Began(2.0, "h", "j"), Began(3.0, "g", "j"), Answered(9.0, "d", "j", "failed")], 2, "ran at g"),
        (
            [
                *VALID_HISTORY,
                Taken(100.0, "e", "j", "once", True, 9e3),
                Began(101.0, "h", "j"),
                Answered(102.0, "e", "j", "x"),
            ],
            2,
            "ran at h after having run at h",
        ),
        (
            [
                Listed(0.0, "d", "h", "draining"),
                Listed(2000.0, "d", "h", "gone"),
                ACCEPTED,
                Sent(2501.0, "d", "j", "h"),
                Answered(2600.0, "d", "j", "failed"),
            ],
            3,
            "2501 ms after",
        ),
        ([Load(0.0, "h", 1.2, True)], 4, "overloaded while warming up"),
    ],
)
def test_each_kind_of_violation_is_reported(events: list[Event], rule: int, what: str) -> None:
    """A missed violation of a rule would let a faulty balancer pass every other test on the emulator."""
    violations = violations_of(*events)
    assert [each for each, _ in violations] == [rule] * len(violations)
    assert violations
    assert what in violations[0][1]

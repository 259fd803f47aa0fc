"""Tests when a change of the endpoint list counts as notified, which rule 3 of the checker depends on."""

from collections.abc import Sequence

import pytest

from heronlug.conformance import Changed, Checker, Event, Listed, Reachable, Sent, Started, Taken, Watching, WatchOver

DRAIN_GRACE_MS = 2_500.0
OPEN_WATCH = Watching(0.0, "d", 1, 20_000.0)
REMOVED = Changed(1_000.0, "s", "gone")

# The events in discovery's records, and the time in ms from which the change counts as notified.
CASES: dict[str, tuple[list[Event], float]] = {
    "written": ([OPEN_WATCH, REMOVED, Listed(1_100.0, "d", "s", "gone")], 1_100.0),
    "written late": ([REMOVED, Listed(5_000.0, "d", "s", "gone")], 5_000.0),
    "no watch": ([REMOVED], 7_000.0),
    "written after it counted": ([REMOVED, Listed(9_000.0, "d", "s", "gone")], 7_000.0),
    "missed by a watch, counts after its wait": ([OPEN_WATCH, REMOVED], 22_000.0),
    "missed by a watch with a short wait": ([Watching(0.0, "d", 1, 1_000.0), REMOVED], 7_000.0),
    "watch reset": ([OPEN_WATCH, REMOVED, WatchOver(3_000.0, "d", 1)], 9_000.0),
    "watch reset late": ([OPEN_WATCH, REMOVED, WatchOver(19_000.0, "d", 1)], 22_000.0),
    "another watch ended": ([OPEN_WATCH, REMOVED, WatchOver(3_000.0, "d", 7)], 22_000.0),
    "watch ended before the change": ([OPEN_WATCH, WatchOver(500.0, "d", 1), REMOVED], 7_000.0),
    "change while no process ran": ([REMOVED, Started(9_000.0, "d")], 7_000.0),
    "written to the previous process": (
        [OPEN_WATCH, REMOVED, Listed(1_100.0, "d", "s", "gone"), Started(2_000.0, "d")],
        1_100.0,
    ),
    "discovery unreachable for a while": (
        [Reachable(500.0, "d", False), REMOVED, Reachable(8_000.0, "d", True)],
        14_000.0,
    ),
    "discovery unreachable for another dispatcher": ([Reachable(500.0, "e", False), REMOVED], 7_000.0),
    "discovery unreachable after the change": ([REMOVED, Reachable(3_000.0, "d", False)], 7_000.0),
    "draining before the removal": ([Changed(200.0, "s", "draining"), REMOVED], 6_200.0),
}


def rule_3_violations(events: Sequence[Event], at: float) -> list[str]:
    """Returns the rule 3 violations that the checker reports if a request is sent to the server at a time in ms."""
    checker = Checker(DRAIN_GRACE_MS)
    taken = Taken(at, "d", "j", "safe", False, at + 5_000.0)
    for event in [Started(-1.0, "d"), Started(-1.0, "e"), *events, taken, Sent(at, "d", "j", "s")]:
        checker.see(event)
    return [violation.what for violation in checker.violations if violation.rule == 3]


@pytest.mark.parametrize("name", CASES)
def test_change_counts_as_notified_from_the_expected_time(name: str) -> None:
    """Failure: the checker accepts an attempt after the drain grace, or rejects an attempt within the drain grace."""
    events, counts_at = CASES[name]
    assert rule_3_violations(events, counts_at + DRAIN_GRACE_MS) == []
    assert len(rule_3_violations(events, counts_at + DRAIN_GRACE_MS + 1.0)) == 1


def test_server_that_is_ready_again_may_be_sent_requests() -> None:
    """Failure: an earlier removal counts after the server is ready again, or a later drain does not count."""
    ready_again = [REMOVED, Changed(2_000.0, "s", "ready")]
    assert rule_3_violations(ready_again, 60_000.0) == []
    assert rule_3_violations([OPEN_WATCH, *ready_again, Changed(3_000.0, "s", "draining")], 60_000.0)


def test_change_does_not_count_while_discovery_is_unreachable() -> None:
    """Failure: the checker reports a violation although the dispatcher could not be notified of the change."""
    assert rule_3_violations([Reachable(500.0, "d", False), REMOVED], 1e9) == []

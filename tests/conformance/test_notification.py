"""The oracle of rule 3: each sentence on when a change counts as notified, by events that discovery's records hold."""

from collections.abc import Sequence

import pytest

from heronlug.conformance import Changed, Checker, Event, Listed, Reachable, Sent, Started, Taken, Watching, WatchOver

DRAIN_GRACE_MS = 2_500.0
OPEN_WATCH = Watching(0.0, "d", 1, 20_000.0)
REMOVED = Changed(1_000.0, "s", "gone")

# What discovery's records hold, and since when the change counts.
CASES: dict[str, tuple[list[Event], float]] = {
    "written": ([OPEN_WATCH, REMOVED, Listed(1_100.0, "d", "s", "gone")], 1_100.0),
    "written late": ([REMOVED, Listed(5_000.0, "d", "s", "gone")], 5_000.0),
    "no watch": ([REMOVED], 7_000.0),
    "written after it counted": ([REMOVED, Listed(9_000.0, "d", "s", "gone")], 7_000.0),
    "a silent watch, by its wait": ([OPEN_WATCH, REMOVED], 22_000.0),
    "a silent watch with a short wait": ([Watching(0.0, "d", 1, 1_000.0), REMOVED], 7_000.0),
    "a watch that was reset": ([OPEN_WATCH, REMOVED, WatchOver(3_000.0, "d", 1)], 9_000.0),
    "a watch that was reset late": ([OPEN_WATCH, REMOVED, WatchOver(19_000.0, "d", 1)], 22_000.0),
    "another watch ended": ([OPEN_WATCH, REMOVED, WatchOver(3_000.0, "d", 7)], 22_000.0),
    "the watch ended before": ([OPEN_WATCH, WatchOver(500.0, "d", 1), REMOVED], 7_000.0),
    "a process that was away": ([REMOVED, Started(9_000.0, "d")], 7_000.0),
    "told to the process before": (
        [OPEN_WATCH, REMOVED, Listed(1_100.0, "d", "s", "gone"), Started(2_000.0, "d")],
        1_100.0,
    ),
    "out of reach for a while": ([Reachable(500.0, "d", False), REMOVED, Reachable(8_000.0, "d", True)], 14_000.0),
    "out of reach of another": ([Reachable(500.0, "e", False), REMOVED], 7_000.0),
    "out of reach later": ([REMOVED, Reachable(3_000.0, "d", False)], 7_000.0),
    "drains first, and leaves": ([Changed(200.0, "s", "draining"), REMOVED], 6_200.0),
}


def rule_3_violations(events: Sequence[Event], at: float) -> list[str]:
    """What the judge says of a request that goes to the server at this time."""
    checker = Checker(DRAIN_GRACE_MS)
    taken = Taken(at, "d", "j", "safe", False, at + 5_000.0)
    for event in [Started(-1.0, "d"), Started(-1.0, "e"), *events, taken, Sent(at, "d", "j", "s")]:
        checker.see(event)
    return [violation.what for violation in checker.violations if violation.rule == 3]


@pytest.mark.parametrize("name", CASES)
def test_change_counts_as_notified_from_the_expected_time(name: str) -> None:
    events, counts_at = CASES[name]
    assert rule_3_violations(events, counts_at + DRAIN_GRACE_MS) == []
    assert len(rule_3_violations(events, counts_at + DRAIN_GRACE_MS + 1.0)) == 1


def test_server_that_is_ready_again_may_be_sent_requests() -> None:
    ready_again = [REMOVED, Changed(2_000.0, "s", "ready")]
    assert rule_3_violations(ready_again, 60_000.0) == []
    assert rule_3_violations([OPEN_WATCH, *ready_again, Changed(3_000.0, "s", "draining")], 60_000.0)


def test_change_does_not_count_while_discovery_is_unreachable() -> None:
    assert rule_3_violations([Reachable(500.0, "d", False), REMOVED], 1e9) == []

"""The oracle of rule 3: each sentence on when a change counts as notified, by events that discovery's records hold."""

from collections.abc import Sequence

import pytest

from heronlug.conformance import Changed, Checker, Event, Listed, Reachable, Sent, Started, Taken, Watching, WatchOver

GRACE = 2_500.0
WATCH = Watching(0.0, "d", 1, 20_000.0)
GONE = Changed(1_000.0, "s", "gone")

# What discovery's records hold, and since when the change counts.
SENTENCES: dict[str, tuple[list[Event], float]] = {
    "written": ([WATCH, GONE, Listed(1_100.0, "d", "s", "gone")], 1_100.0),
    "written late": ([GONE, Listed(5_000.0, "d", "s", "gone")], 5_000.0),
    "no watch": ([GONE], 7_000.0),
    "written after it counted": ([GONE, Listed(9_000.0, "d", "s", "gone")], 7_000.0),
    "a silent watch, by its wait": ([WATCH, GONE], 22_000.0),
    "a silent watch with a short wait": ([Watching(0.0, "d", 1, 1_000.0), GONE], 7_000.0),
    "a watch that was reset": ([WATCH, GONE, WatchOver(3_000.0, "d", 1)], 9_000.0),
    "a watch that was reset late": ([WATCH, GONE, WatchOver(19_000.0, "d", 1)], 22_000.0),
    "another watch ended": ([WATCH, GONE, WatchOver(3_000.0, "d", 7)], 22_000.0),
    "the watch ended before": ([WATCH, WatchOver(500.0, "d", 1), GONE], 7_000.0),
    "a process that was away": ([GONE, Started(9_000.0, "d")], 7_000.0),
    "told to the process before": (
        [WATCH, GONE, Listed(1_100.0, "d", "s", "gone"), Started(2_000.0, "d")],
        1_100.0,
    ),
    "out of reach for a while": ([Reachable(500.0, "d", False), GONE, Reachable(8_000.0, "d", True)], 14_000.0),
    "out of reach of another": ([Reachable(500.0, "e", False), GONE], 7_000.0),
    "out of reach later": ([GONE, Reachable(3_000.0, "d", False)], 7_000.0),
    "drains first, and leaves": ([Changed(200.0, "s", "draining"), GONE], 6_200.0),
}


def breaks(events: Sequence[Event], at: float) -> list[str]:
    """What the judge says of a request that goes to the server at this time."""
    checker = Checker(GRACE)
    taken = Taken(at, "d", "j", "safe", False, at + 5_000.0)
    for event in [Started(-1.0, "d"), Started(-1.0, "e"), *events, taken, Sent(at, "d", "j", "s")]:
        checker.see(event)
    return [violation.what for violation in checker.violations if violation.rule == 3]


@pytest.mark.parametrize("name", SENTENCES)
def test_a_change_counts_from_its_time_on(name: str) -> None:
    events, counts_at = SENTENCES[name]
    assert breaks(events, counts_at + GRACE) == []
    assert len(breaks(events, counts_at + GRACE + 1.0)) == 1


def test_a_server_that_is_ready_again_may_get_work() -> None:
    back = [GONE, Changed(2_000.0, "s", "ready")]
    assert breaks(back, 60_000.0) == []
    assert breaks([WATCH, *back, Changed(3_000.0, "s", "draining")], 60_000.0)


def test_what_cannot_be_reached_does_not_count() -> None:
    assert breaks([Reachable(500.0, "d", False), GONE], 1e9) == []

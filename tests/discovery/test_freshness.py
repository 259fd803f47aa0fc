"""Tests how long an endpoint list may be used, with every short sequence of events, against an independent oracle.

The oracle follows the text of the protocol, sees the whole history at once and shares no constant with the program. Its
limit is the earliest time at which the grace of a change that the list may lack could end.
"""

import os
from itertools import product
from math import inf
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.discovery.freshness import Freshness, FreshnessEvent, FreshnessState

GRACE = 2500.0
GRACE_MARGIN = 150.0  # ms that a dispatcher may be delayed between checking the list and writing a request
POLL_WAIT = 20_000.0
SEQUENCE_LENGTH = int(os.environ.get("FRESHNESS_ORDERS", "6"))  # a manual run with 8 takes some minutes
WATCH_ENDS = (FreshnessEvent.FAILED, FreshnessEvent.REFUSED, FreshnessEvent.UNREACHABLE, FreshnessEvent.ADDRESS_CHANGED)


class TimedEvent(NamedTuple):
    """An event and its time in ms."""

    at: float
    event: FreshnessEvent


def change_notified_after(pushed: bool, poll_interval: float) -> float:
    """Returns the time, in ms, from a change without an open watch until the change counts as notified."""
    return 0.0 if pushed else min(poll_interval, 6_000.0)


def latest_usable_until(history: list[TimedEvent], pushed: bool, poll_interval: float) -> float:
    """Returns the latest time for new work on a server that may have left, if each answer is followed by a poll."""
    notified_after, address_change_notified_after = (
        change_notified_after(pushed, poll_interval),
        4_000.0 if pushed else min(poll_interval, 4_000.0),
    )
    answers = [number for number, (_, event) in enumerate(history) if event is FreshnessEvent.ANSWERED]
    events_since_answer = history[answers[-1] + 1 :] if answers else history
    limit, unwatched, poll_timed_out = -inf, not answers, False
    if answers:
        limit = history[answers[-1]].at + POLL_WAIT + 2_000.0 + GRACE
    for at, event in events_since_answer:
        if not unwatched and event is FreshnessEvent.TIMED_OUT:
            poll_timed_out = True  # the limit set for this poll stays in force
        elif (
            not unwatched and not poll_timed_out and event in WATCH_ENDS and event is not FreshnessEvent.ADDRESS_CHANGED
        ):
            unwatched, limit = True, min(limit, at + notified_after + GRACE)
        elif not answers and limit == -inf and event in (FreshnessEvent.REFUSED, FreshnessEvent.UNREACHABLE):
            limit = at + notified_after + GRACE  # discovery is unreachable, and no newer list exists
        elif unwatched and event is FreshnessEvent.REFUSED and at < limit - GRACE_MARGIN:
            limit = max(limit, at + notified_after + GRACE)  # discovery is down, so a missing change must be newer
        if event is FreshnessEvent.ADDRESS_CHANGED and limit > -inf:
            unwatched, limit = (
                unwatched or not poll_timed_out,
                min(limit, at + address_change_notified_after + GRACE),
            )
        elif event is FreshnessEvent.ANSWER_BEGUN and limit > -inf:
            limit = min(limit, at + GRACE)  # the changes in a started answer count as notified
    return limit


def freshness_after(history: list[TimedEvent], pushed: bool, poll_interval: float) -> Freshness:
    """Returns the freshness of the program after these events."""
    freshness = Freshness(pushed, poll_interval, GRACE)
    freshness.begin(0.0)
    for at, event in history:
        freshness.apply(event, at)
        freshness.poll_sent(at, POLL_WAIT)  # a poll follows each answer; in any other state a poll is not a watch
    return freshness


def check_usable_until(history: list[TimedEvent], pushed: bool, poll_interval: float) -> None:
    """Checks that the list becomes stale at the limit of the oracle, or at most ``GRACE_MARGIN`` earlier."""
    limit, usable_until = (
        latest_usable_until(history, pushed, poll_interval),
        freshness_after(history, pushed, poll_interval).usable_until,
    )
    assert usable_until <= limit, (history, limit, usable_until)
    assert usable_until >= limit - GRACE_MARGIN or usable_until == limit, (history, limit, usable_until)


@pytest.mark.parametrize("pushed", [False, True])
def test_usable_until_after_every_short_order_of_events(pushed: bool) -> None:
    """Guards against a sequence of failures that keeps a list in use after the grace of a missed change."""
    for gap in (200.0, 1_700.0):
        for events in product(FreshnessEvent, repeat=SEQUENCE_LENGTH if gap > 1_000.0 else SEQUENCE_LENGTH - 1):
            check_usable_until(
                [TimedEvent(gap * (index + 1), event) for index, event in enumerate(events)], pushed, 10_000.0
            )


EVENTS = st.lists(st.tuples(st.floats(1.0, 9_000.0), st.sampled_from(list(FreshnessEvent))), max_size=16)


@given(EVENTS, st.booleans(), st.sampled_from([0.0, 900.0, 6_000.0, 60_000.0]))
def test_usable_until_after_longer_orders_at_any_times(
    events: list[tuple[float, FreshnessEvent]], pushed: bool, poll_interval: float
) -> None:
    """Guards against the same fault in longer sequences, at any times and with any poll interval."""
    history, now = [], 0.0
    for gap, event in events:
        now += gap
        history.append(TimedEvent(now, event))
    check_usable_until(history, pushed, poll_interval)


@pytest.mark.parametrize(("wait", "notified_after"), [(20_000, 22_000), (12_000, 14_000), (1_000, 6_000), (0, 6_000)])
@pytest.mark.parametrize("pushed", [False, True])
def test_list_of_a_silent_watch_is_usable_until_missed_changes_count_as_notified(
    wait: float, notified_after: float, pushed: bool
) -> None:
    """Guards against using the list too long when the connection of the watch breaks without an error.

    Missed changes count as notified 6 s after the poll was sent, or 2 s after its wait ends, whichever is later.
    """
    freshness = Freshness(pushed, 10_000, GRACE)
    freshness.apply(FreshnessEvent.ANSWERED, 100)
    freshness.poll_sent(100, wait)
    assert freshness.usable_until == 100 + notified_after + GRACE - GRACE_MARGIN


def test_new_process_continues_with_the_remaining_time_of_the_list() -> None:
    """Guards against a hot restart that extends the use of an old list.

    Changes count as notified at most 2 s after the handover, and a list of unknown age is not usable.
    """
    freshness = Freshness(False, 10_000, GRACE)
    freshness.apply(FreshnessEvent.ANSWERED, 0)
    freshness.poll_sent(0, POLL_WAIT)
    assert freshness.remaining(1_000) == 6_000 + GRACE - GRACE_MARGIN
    for remaining, usable_for in ((8_000.0, 2_000 + GRACE - GRACE_MARGIN), (700.0, 700.0), (0.0, -inf)):
        handed_over = Freshness(False, 10_000, GRACE)
        handed_over.begin(50_000, remaining)
        assert handed_over.usable_until == 50_000 + usable_for
        assert handed_over.state is (FreshnessState.UNWATCHED if remaining else FreshnessState.UNCONFIRMED)


def test_retry_pause_fits_into_the_grace() -> None:
    """Guards against a list that becomes stale because a broken watch is reopened only after the grace."""
    for grace in (300.0, 1_200.0, 2_500.0):
        pause = Freshness(True, 10_000, grace).retry_pause
        assert pause is not None
        assert pause <= grace / 3
    assert Freshness(False, 10_000, GRACE).retry_pause is None
    assert Freshness(True, 10_000, 0.0).retry_pause == 50.0

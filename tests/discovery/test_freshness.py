"""Until when a list may be gone by, against an oracle that is read off the protocol: every short order of events.

The oracle looks at a whole history at once and shares no constant with the program.  It says until when the grace of
each change may run that could have been made and is not here, by the sentence that gives the earliest time.
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
GRACE_MARGIN = 150.0  # a dispatcher may be held up for so long between its freshness and its write
POLL_WAIT = 20_000.0
SEQUENCE_LENGTH = int(os.environ.get("FRESHNESS_ORDERS", "6"))  # 8 by hand: some minutes
WATCH_ENDS = (FreshnessEvent.FAILED, FreshnessEvent.REFUSED, FreshnessEvent.UNREACHABLE, FreshnessEvent.ADDRESS_CHANGED)


class TimedEvent(NamedTuple):
    """An event, and when."""

    at: float
    event: FreshnessEvent


def change_notified_after(pushed: bool, poll_interval: float) -> float:
    """Where no watch is on, a change counts so long after it was made."""
    return 0.0 if pushed else min(poll_interval, 6_000.0)


def latest_usable_until(history: list[TimedEvent], pushed: bool, poll_interval: float) -> float:
    """Until when new work may go to a server that may have left; a call that waits follows each answer at once."""
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
            poll_timed_out = True  # what it missed goes on counting by its own freshness
        elif (
            not unwatched and not poll_timed_out and event in WATCH_ENDS and event is not FreshnessEvent.ADDRESS_CHANGED
        ):
            unwatched, limit = True, min(limit, at + notified_after + GRACE)
        elif not answers and limit == -inf and event in (FreshnessEvent.REFUSED, FreshnessEvent.UNREACHABLE):
            limit = at + notified_after + GRACE  # nobody could reach it, and no list is newer
        elif unwatched and event is FreshnessEvent.REFUSED and at < limit - GRACE_MARGIN:
            limit = max(limit, at + notified_after + GRACE)  # it is down, so what is missing comes later
        if event is FreshnessEvent.ADDRESS_CHANGED and limit > -inf:
            unwatched, limit = (
                unwatched or not poll_timed_out,
                min(limit, at + address_change_notified_after + GRACE),
            )
        elif event is FreshnessEvent.ANSWER_BEGUN and limit > -inf:
            limit = min(limit, at + GRACE)  # what is written counts
    return limit


def freshness_after(history: list[TimedEvent], pushed: bool, poll_interval: float) -> Freshness:
    """The program's freshness after these events."""
    freshness = Freshness(pushed, poll_interval, GRACE)
    freshness.begin(0.0)
    for at, event in history:
        freshness.apply(event, at)
        freshness.poll_sent(at, POLL_WAIT)  # a call follows each answer; one in any other state is no watch
    return freshness


def check_usable_until(history: list[TimedEvent], pushed: bool, poll_interval: float) -> None:
    """The list is never good past the limit, and no earlier is it given up."""
    limit, usable_until = (
        latest_usable_until(history, pushed, poll_interval),
        freshness_after(history, pushed, poll_interval).usable_until,
    )
    assert usable_until <= limit, (history, limit, usable_until)
    assert usable_until >= limit - GRACE_MARGIN or usable_until == limit, (history, limit, usable_until)


@pytest.mark.parametrize("pushed", [False, True])
def test_usable_until_after_every_short_order_of_events(pushed: bool) -> None:
    for gap in (200.0, 1_700.0):
        for events in product(FreshnessEvent, repeat=SEQUENCE_LENGTH if gap > 1_000.0 else SEQUENCE_LENGTH - 1):
            check_usable_until([TimedEvent(gap * (n + 1), event) for n, event in enumerate(events)], pushed, 10_000.0)


EVENTS = st.lists(st.tuples(st.floats(1.0, 9_000.0), st.sampled_from(list(FreshnessEvent))), max_size=16)


@given(EVENTS, st.booleans(), st.sampled_from([0.0, 900.0, 6_000.0, 60_000.0]))
def test_usable_until_after_longer_orders_at_any_times(
    events: list[tuple[float, FreshnessEvent]], pushed: bool, poll_interval: float
) -> None:
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
    """What it misses counts 6 s after its call, or 2 s after the call's wait is over."""
    freshness = Freshness(pushed, 10_000, GRACE)
    freshness.apply(FreshnessEvent.ANSWERED, 100)
    freshness.poll_sent(100, wait)
    assert freshness.usable_until == 100 + notified_after + GRACE - GRACE_MARGIN


def test_new_process_continues_with_the_remaining_time_of_the_list() -> None:
    """News count 2 s after it serves at the latest, and a list of unknown age is good for nothing."""
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
    for grace in (300.0, 1_200.0, 2_500.0):
        pause = Freshness(True, 10_000, grace).retry_pause
        assert pause is not None
        assert pause <= grace / 3
    assert Freshness(False, 10_000, GRACE).retry_pause is None
    assert Freshness(True, 10_000, 0.0).retry_pause == 50.0

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

from heronlug.discovery.freshness import Event, Freshness, State

GRACE = 2500.0
KEPT_BACK = 150.0  # a dispatcher may be held up for so long between its clock and its write
WAIT = 20_000.0
LENGTH = int(os.environ.get("FRESHNESS_ORDERS", "6"))  # 8 by hand: some minutes
ENDS = (Event.FAILED, Event.REFUSED, Event.UNREACHABLE, Event.MOVED)


class Happened(NamedTuple):
    """An event, and when."""

    at: float
    event: Event


def counts_after(pushed: bool, ask_every: float) -> float:
    """Where no watch is on, a change counts so long after it was made."""
    return 0.0 if pushed else min(ask_every, 6_000.0)


def limit_of(history: list[Happened], pushed: bool, ask_every: float) -> float:
    """Until when new work may go to a server that may have left; a call that waits follows each answer at once."""
    after, moved_after = counts_after(pushed, ask_every), 4_000.0 if pushed else min(ask_every, 4_000.0)
    answers = [number for number, (_, event) in enumerate(history) if event is Event.ANSWERED]
    since = history[answers[-1] + 1 :] if answers else history
    limit, over, silent = -inf, not answers, False
    if answers:
        limit = history[answers[-1]].at + WAIT + 2_000.0 + GRACE
    for at, event in since:
        if not over and event is Event.GIVEN_UP:
            silent = True  # what it missed goes on counting by its own clock
        elif not over and not silent and event in ENDS and event is not Event.MOVED:
            over, limit = True, min(limit, at + after + GRACE)
        elif not answers and limit == -inf and event in (Event.REFUSED, Event.UNREACHABLE):
            limit = at + after + GRACE  # nobody could reach it, and no list is newer
        elif over and event is Event.REFUSED and at < limit - KEPT_BACK:
            limit = max(limit, at + after + GRACE)  # it is down, so what is missing comes later
        if event is Event.MOVED and limit > -inf:
            over, limit = over or not silent, min(limit, at + moved_after + GRACE)
        elif event is Event.BEGUN and limit > -inf:
            limit = min(limit, at + GRACE)  # what is written counts
    return limit


def play(history: list[Happened], pushed: bool, ask_every: float) -> Freshness:
    """The program's clock after these events."""
    clock = Freshness(pushed, ask_every, GRACE)
    clock.begin(0.0)
    for at, event in history:
        clock.happened(event, at)
        clock.called(at, WAIT)  # a call follows each answer; one in any other state is no watch
    return clock


def check(history: list[Happened], pushed: bool, ask_every: float) -> None:
    """The list is never good past the limit, and no earlier is it given up."""
    limit, good_until = limit_of(history, pushed, ask_every), play(history, pushed, ask_every).good_until
    assert good_until <= limit, (history, limit, good_until)
    assert good_until >= limit - KEPT_BACK or good_until == limit, (history, limit, good_until)


@pytest.mark.parametrize("pushed", [False, True])
def test_every_order_of_events(pushed: bool) -> None:
    for gap in (200.0, 1_700.0):
        for events in product(Event, repeat=LENGTH if gap > 1_000.0 else LENGTH - 1):
            check([Happened(gap * (n + 1), event) for n, event in enumerate(events)], pushed, 10_000.0)


EVENTS = st.lists(st.tuples(st.floats(1.0, 9_000.0), st.sampled_from(list(Event))), max_size=16)


@given(EVENTS, st.booleans(), st.sampled_from([0.0, 900.0, 6_000.0, 60_000.0]))
def test_longer_orders_at_any_times(events: list[tuple[float, Event]], pushed: bool, ask_every: float) -> None:
    history, now = [], 0.0
    for gap, event in events:
        now += gap
        history.append(Happened(now, event))
    check(history, pushed, ask_every)


@pytest.mark.parametrize(("wait", "told"), [(20_000, 22_000), (12_000, 14_000), (1_000, 6_000), (0, 6_000)])
@pytest.mark.parametrize("pushed", [False, True])
def test_a_watch_that_falls_silent(wait: float, told: float, pushed: bool) -> None:
    """What it misses counts 6 s after its call, or 2 s after the call's wait is over."""
    clock = Freshness(pushed, 10_000, GRACE)
    clock.happened(Event.ANSWERED, 100)
    clock.called(100, wait)
    assert clock.good_until == 100 + told + GRACE - KEPT_BACK


def test_a_process_that_takes_over_goes_on_with_the_time_that_was_left() -> None:
    """News count 2 s after it serves at the latest, and a list of unknown age is good for nothing."""
    clock = Freshness(False, 10_000, GRACE)
    clock.happened(Event.ANSWERED, 0)
    clock.called(0, WAIT)
    assert clock.remaining(1_000) == 6_000 + GRACE - KEPT_BACK
    for left, good in ((8_000.0, 2_000 + GRACE - KEPT_BACK), (700.0, 700.0), (0.0, -inf)):
        taken_over = Freshness(False, 10_000, GRACE)
        taken_over.begin(50_000, left)
        assert taken_over.good_until == 50_000 + good
        assert taken_over.state is (State.UNWATCHED if left else State.UNCONFIRMED)


def test_a_pause_that_fits_into_the_grace() -> None:
    for grace in (300.0, 1_200.0, 2_500.0):
        pause = Freshness(True, 10_000, grace).pause
        assert pause is not None and pause <= grace / 3
    assert Freshness(False, 10_000, GRACE).pause is None
    assert Freshness(True, 10_000, 0.0).pause == 50.0

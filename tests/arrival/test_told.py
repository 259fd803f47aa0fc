"""What counts as told, in virtual time: the page's clocks, each with the orders of events that could put it off."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.arrival.told import AFTER_WAIT, MARGIN, MOVED, SILENCE, Told

GRACE = 2500.0
LAST = GRACE - MARGIN  # after what counts as told


@pytest.mark.parametrize(("wait", "told"), [(20_000, 22_000), (12_000, 14_000), (1_000, 6_000), (0, 6_000)])
@pytest.mark.parametrize("pushed", [False, True])
def test_a_silent_call(wait: float, told: float, pushed: bool) -> None:
    clock = Told(pushed, 10_000, GRACE)
    clock.answered()
    clock.called(100, wait)
    assert clock.sure_until == 100 + told + LAST


@given(st.lists(st.sampled_from(["called", "failed", "parted", "silent"]), max_size=12), st.booleans())
def test_nothing_but_an_answer_puts_off_what_a_silent_watch_missed(events: list[str], pushed: bool) -> None:
    clock = Told(pushed, 10_000, GRACE)
    clock.answered()
    clock.called(0, 20_000)
    clock.silent()
    for at, event in enumerate(events):
        now = 20_500.0 + 300 * at
        if event == "called":
            clock.called(now, 0)
        elif event == "failed":
            clock.failed(now, now)
        elif event == "parted":
            clock.parted(now)
        else:
            clock.silent()
        assert clock.missing and clock.sure_until == 20_000 + AFTER_WAIT + LAST
    clock.answered()
    clock.called(30_000, 20_000)
    assert not clock.missing and clock.sure_until == 52_000 + LAST


def test_without_a_watch() -> None:
    asked, pushed = Told(False, 10_000, GRACE), Told(True, 10_000, GRACE)
    for clock in (asked, pushed):
        clock.begin(0)
    assert asked.sure_until == SILENCE + LAST and pushed.sure_until == LAST
    for clock in (asked, pushed):
        clock.called(10, 20_000)
    assert asked.sure_until == 10 + 22_000 + LAST
    assert pushed.sure_until == LAST and pushed.missing  # a watch that waits does not bring what was there before
    for clock in (asked, pushed):
        clock.answered()
        clock.called(100, 20_000)
        clock.failed(5_000, 100)  # the watch is reset
    assert asked.sure_until == 15_000 + LAST and pushed.sure_until == 5_000 + LAST
    for clock in (asked, pushed):
        clock.failed(5_300, 5_200)  # and the next call answered 503, or its dial refused
    assert asked.sure_until == 45_200 + LAST and pushed.sure_until == 5_300 + LAST
    for clock in (asked, pushed):
        clock.parted(9_000)  # a dial that never came up tells nothing
    assert asked.sure_until == 45_200 + LAST and pushed.sure_until == 5_300 + LAST
    for clock in (asked, pushed):
        clock.moved(20_000)
    assert asked.sure_until == pushed.sure_until == 20_000 + MOVED + LAST


def test_a_pause_that_fits_into_the_grace() -> None:
    for grace in (300.0, 1_200.0, 2_500.0):
        pause = Told(True, 10_000, grace).pause
        assert pause is not None and pause <= grace / 3
    assert Told(False, 10_000, GRACE).pause is None
    assert Told(True, 10_000, 0.0).pause == 50.0

"""The pace of calls, against a register modelled in a few lines: it queues, and turns away what would wait too long."""

import heapq
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.discovery import poll_pacing
from heronlug.discovery.poll_failure import PollFailure
from heronlug.discovery.poll_pacing import PollPacer, PollTerms

BOUND = 1000.0  # ms that a call may wait in the register


class Played(NamedTuple):
    calls: list[float]  # their times
    turned: int
    last: float  # when the last had its watch
    gaps: list[float]  # between a failure and the next call of the same dispatcher


def play(
    many: int,
    cost: float,
    *,
    told: bool = False,
    starts: float = 0.0,
    seed: int = 1,
    listed: bool = False,
    down_until: float = 0.0,
    make: Callable[[PollTerms, Callable[[], float]], PollPacer] = PollPacer,
) -> Played:
    """All start within ``starts`` ms; each needs its list, unless it has one, and then a watch."""
    rng, heap, order = Random(seed), list[tuple[float, int, int]](), 0
    pacers = [make(PollTerms(many, n, cost if told else None), Random(seed * 7919 + n).random) for n in range(many)]
    has, done, failed_at = [listed] * many, dict[int, float](), dict[int, float]()
    calls, gaps, turned, free = list[float](), list[float](), 0, 0.0

    def call_at(when: float, number: int) -> None:
        nonlocal order
        order += 1
        heapq.heappush(heap, (when, order, number))

    for number, pacer in enumerate(pacers):
        at = rng.uniform(0, starts)
        call_at(pacer.first_poll_at(at, listed), number)
    while heap and len(done) < many:
        now, _, number = heapq.heappop(heap)
        if now > 3_600_000:
            msg = "somebody starves"
            raise AssertionError(msg)
        if number in failed_at:
            gaps.append(now - failed_at.pop(number))
        if now < down_until:
            failed_at[number] = now
            call_at(pacers[number].on_failure(now, PollFailure.CONNECTION_LOST, has[number]), number)
            continue
        calls.append(now)
        wait = max(0.0, free - now)
        if wait > BOUND:
            turned, free, failed_at[number] = turned + 1, free + 1.0, now
            call_at(pacers[number].on_failure(now, PollFailure.REJECTED, has[number]), number)
            continue
        free = now + wait + cost
        if has[number]:
            done[number] = free  # a watch
            continue
        pacers[number].on_answer(wait + cost)
        has[number] = True
        call_at(free, number)  # at once: a watch goes on within 200 ms
    return Played(calls, turned, max(done.values()), gaps)


def most_in(times: list[float], span: float) -> int:
    ordered, first, most = sorted(times), 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


@given(
    many=st.integers(1, 60),
    cost=st.floats(1.0, 80.0),
    told=st.booleans(),
    starts=st.floats(0.0, 5000.0),
    listed=st.booleans(),
    down=st.sampled_from([0.0, 3000.0, 20_000.0]),
    seed=st.integers(0, 10_000),
)
def test_whatever_the_order_everybody_gets_its_watch(
    many: int, cost: float, told: bool, starts: float, listed: bool, down: float, seed: int
) -> None:
    played = play(many, cost, told=told, starts=starts, seed=seed, listed=listed, down_until=down)
    assert all(gap >= poll_pacing.MIN_RETRY_MS - 1e-6 for gap in played.gaps)
    least = many * (1 if listed else 2) * cost
    assert played.last <= starts + down + 6 * least + 6 * poll_pacing.MAX_GUESSED_ROUND_MS


@given(many=st.integers(20, 400), cost=st.floats(2.0, 60.0), starts=st.floats(0.0, 3000.0), seed=st.integers(0, 999))
def test_where_the_cost_is_told_calls_of_any_second_stay_under_the_bound(
    many: int, cost: float, starts: float, seed: int
) -> None:
    """First calls have a place each; each answer brings one call more, and places of two rounds may meet."""
    played = play(many, cost, told=True, starts=starts, seed=seed)
    assert most_in(played.calls, 1000.0) <= 2 * 1000.0 / cost + 4
    assert played.turned <= 0.05 * 2 * many


@pytest.mark.parametrize(("many", "cost"), [(100, 50.0), (300, 50.0), (1000, 20.0)])
def test_a_guess_costs_less_than_calls_that_know_nothing_of_each_other(many: int, cost: float) -> None:
    class Alone(PollPacer):
        """As it was: each waits for itself, at random, longer with each failure."""

        def on_failure(self, now: float, failure: PollFailure, has_list: bool, retry_after: float = 0.0) -> float:
            self.failures_in_row += 1
            return now + 312.5 * 2.0 ** min(self.failures_in_row, 4) * (0.5 + 0.5 * self._draw())

        def on_answer(self, took: float) -> None:
            self.failures_in_row = 0

    spread = many * 10.0
    now = [play(many, cost, starts=spread, seed=seed) for seed in range(3)]
    before = [play(many, cost, starts=spread, seed=seed, make=Alone) for seed in range(3)]
    assert sum(p.turned for p in now) < 0.7 * sum(p.turned for p in before)


def test_after_an_outage_everybody_comes_once() -> None:
    played = play(200, 20.0, listed=True, down_until=30_000.0, starts=2000.0)
    assert len(played.calls) <= 1.15 * 200
    assert played.turned <= 10


def test_the_register_says_when_to_come_again() -> None:
    pacer = PollPacer(PollTerms(10, 3), lambda: 0.5)
    assert pacer.on_failure(1000.0, PollFailure.REJECTED, True, 5000.0) >= 6000.0


def test_patience_grows_with_answers_that_come_late_and_falls_with_quick_ones() -> None:
    pacer = PollPacer(PollTerms(), lambda: 0.5)
    for _ in range(9):
        pacer.on_failure(0.0, PollFailure.TIMED_OUT, False)
    assert pacer.answer_timeout == poll_pacing.MAX_ANSWER_TIMEOUT_MS
    pacer.on_answer(5000.0)
    assert pacer.answer_timeout == 10_000.0
    pacer.on_answer(10.0)
    assert pacer.answer_timeout == poll_pacing.ANSWER_TIMEOUT_MS


def test_watches_of_many_begin_anew_less_often() -> None:
    assert PollPacer(PollTerms(), lambda: 0.5).poll_wait == poll_pacing.MIN_POLL_WAIT_MS
    assert PollPacer(PollTerms(300, 0, 50.0), lambda: 0.5).poll_wait == poll_pacing.MAX_POLL_WAIT_MS
    many = PollPacer(PollTerms(500, 0, 20.0), lambda: 0.5)
    assert 500 / (many.poll_wait / 1000) * 20.0 <= 1000 * poll_pacing.RENEWAL_SHARE

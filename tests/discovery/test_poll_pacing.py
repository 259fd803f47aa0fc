"""Tests the pacing of polls against a model of service discovery that queues polls and rejects those that wait long."""

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

MAX_QUEUE_WAIT_MS = 1000.0  # a poll that would wait longer in the queue of service discovery is rejected


class Simulation(NamedTuple):
    polls: list[float]  # times at which polls reached service discovery, in ms
    rejected: int  # number of rejected polls
    last_watch_at: float  # time at which the last dispatcher opened its watch, in ms
    retry_gaps: list[float]  # times from a failed poll to the next poll of the same dispatcher, in ms


def simulate(
    dispatchers: int,
    cost: float,
    *,
    cost_known: bool = False,
    start_spread: float = 0.0,
    seed: int = 1,
    has_list: bool = False,
    outage_end: float = 0.0,
    make_pacer: Callable[[PollTerms, Callable[[], float]], PollPacer] = PollPacer,
) -> Simulation:
    """Simulates dispatchers that start within ``start_spread`` ms; each fetches a list if needed and opens a watch."""
    rng, heap, order = Random(seed), list[tuple[float, int, int]](), 0
    pacers = [
        make_pacer(PollTerms(dispatchers, n, cost if cost_known else None), Random(seed * 7919 + n).random)
        for n in range(dispatchers)
    ]
    received_list, watch_began_at, failed_at = [has_list] * dispatchers, dict[int, float](), dict[int, float]()
    polls, retry_gaps, rejected, idle_at = list[float](), list[float](), 0, 0.0

    def schedule_poll(when: float, number: int) -> None:
        nonlocal order
        order += 1
        heapq.heappush(heap, (when, order, number))

    for number, pacer in enumerate(pacers):
        at = rng.uniform(0, start_spread)
        schedule_poll(pacer.first_poll_at(at, has_list), number)
    while heap and len(watch_began_at) < dispatchers:
        now, _, number = heapq.heappop(heap)
        if now > 3_600_000:
            msg = "a dispatcher has no watch after one hour"
            raise AssertionError(msg)
        if number in failed_at:
            retry_gaps.append(now - failed_at.pop(number))
        if now < outage_end:
            failed_at[number] = now
            schedule_poll(pacers[number].on_failure(now, PollFailure.CONNECTION_LOST, received_list[number]), number)
            continue
        polls.append(now)
        wait = max(0.0, idle_at - now)
        if wait > MAX_QUEUE_WAIT_MS:
            rejected, idle_at, failed_at[number] = rejected + 1, idle_at + 1.0, now
            schedule_poll(pacers[number].on_failure(now, PollFailure.REJECTED, received_list[number]), number)
            continue
        idle_at = now + wait + cost
        if received_list[number]:
            watch_began_at[number] = idle_at  # the poll with a list opens the watch
            continue
        pacers[number].on_answer(wait + cost)
        received_list[number] = True
        schedule_poll(idle_at, number)  # immediately: a watch must continue within 200 ms
    return Simulation(polls, rejected, max(watch_began_at.values()), retry_gaps)


def most_in_any_span(times: list[float], span: float) -> int:
    ordered, first, most = sorted(times), 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


@given(
    dispatchers=st.integers(1, 60),
    cost=st.floats(1.0, 80.0),
    cost_known=st.booleans(),
    start_spread=st.floats(0.0, 5000.0),
    has_list=st.booleans(),
    outage=st.sampled_from([0.0, 3000.0, 20_000.0]),
    seed=st.integers(0, 10_000),
)
def test_every_dispatcher_gets_a_watch_in_any_order(
    dispatchers: int, cost: float, cost_known: bool, start_spread: float, has_list: bool, outage: float, seed: int
) -> None:
    """Guards against a dispatcher that gets its watch late or never, and against retries before ``MIN_RETRY_MS``."""
    simulation = simulate(
        dispatchers,
        cost,
        cost_known=cost_known,
        start_spread=start_spread,
        seed=seed,
        has_list=has_list,
        outage_end=outage,
    )
    assert all(gap >= poll_pacing.MIN_RETRY_MS - 1e-6 for gap in simulation.retry_gaps)
    shortest_possible = dispatchers * (1 if has_list else 2) * cost
    assert (
        simulation.last_watch_at <= start_spread + outage + 6 * shortest_possible + 6 * poll_pacing.MAX_GUESSED_ROUND_MS
    )


@given(
    dispatchers=st.integers(20, 400),
    cost=st.floats(2.0, 60.0),
    start_spread=st.floats(0.0, 3000.0),
    seed=st.integers(0, 999),
)
def test_polls_per_second_stay_bounded_when_the_cost_is_known(
    dispatchers: int, cost: float, start_spread: float, seed: int
) -> None:
    """Guards against bursts of polls when many dispatchers start together.

    Each first poll has its own slot, each answer causes one more poll, and slots of two rounds may overlap.
    """
    simulation = simulate(dispatchers, cost, cost_known=True, start_spread=start_spread, seed=seed)
    assert most_in_any_span(simulation.polls, 1000.0) <= 2 * 1000.0 / cost + 4
    assert simulation.rejected <= 0.05 * 2 * dispatchers


@pytest.mark.parametrize(("dispatchers", "cost"), [(100, 50.0), (300, 50.0), (1000, 20.0)])
def test_shared_rounds_cause_fewer_rejections_than_independent_backoff(dispatchers: int, cost: float) -> None:
    """Guards against a guessed cost that makes dispatchers collide as often as independent backoff does."""

    class IndependentBackoff(PollPacer):
        """The usual scheme: each dispatcher doubles a random backoff independently."""

        def on_failure(self, now: float, failure: PollFailure, has_list: bool, retry_after: float = 0.0) -> float:
            self.failures_in_row += 1
            return now + 312.5 * 2.0 ** min(self.failures_in_row, 4) * (0.5 + 0.5 * self._draw())

        def on_answer(self, took: float) -> None:
            self.failures_in_row = 0

    start_spread = dispatchers * 10.0
    with_shared_rounds = [simulate(dispatchers, cost, start_spread=start_spread, seed=seed) for seed in range(3)]
    with_independent_backoff = [
        simulate(dispatchers, cost, start_spread=start_spread, seed=seed, make_pacer=IndependentBackoff)
        for seed in range(3)
    ]
    assert sum(p.rejected for p in with_shared_rounds) < 0.7 * sum(p.rejected for p in with_independent_backoff)


def test_dispatchers_poll_about_once_each_after_an_outage() -> None:
    """Guards against a burst of rejected polls when service discovery returns after an outage."""
    simulation = simulate(200, 20.0, has_list=True, outage_end=30_000.0, start_spread=2000.0)
    assert len(simulation.polls) <= 1.15 * 200
    assert simulation.rejected <= 10


def test_retry_waits_as_long_as_retry_after_says() -> None:
    """Guards against a poll before the Retry-After time of a rejection is over."""
    pacer = PollPacer(PollTerms(10, 3), lambda: 0.5)
    assert pacer.on_failure(1000.0, PollFailure.REJECTED, True, 5000.0) >= 6000.0


def test_answer_timeout_grows_after_timeouts_and_shrinks_after_fast_answers() -> None:
    """Guards against timing out every poll of a slow service discovery, and against keeping a long timeout."""
    pacer = PollPacer(PollTerms(), lambda: 0.5)
    for _ in range(9):
        pacer.on_failure(0.0, PollFailure.TIMED_OUT, False)
    assert pacer.answer_timeout == poll_pacing.MAX_ANSWER_TIMEOUT_MS
    pacer.on_answer(5000.0)
    assert pacer.answer_timeout == 10_000.0
    pacer.on_answer(10.0)
    assert pacer.answer_timeout == poll_pacing.ANSWER_TIMEOUT_MS


def test_polls_wait_longer_the_more_dispatchers_there_are() -> None:
    """Guards against overload of service discovery by polls that end without a change."""
    assert PollPacer(PollTerms(), lambda: 0.5).poll_wait == poll_pacing.MIN_POLL_WAIT_MS
    assert PollPacer(PollTerms(300, 0, 50.0), lambda: 0.5).poll_wait == poll_pacing.MAX_POLL_WAIT_MS
    pacer = PollPacer(PollTerms(500, 0, 20.0), lambda: 0.5)
    assert 500 / (pacer.poll_wait / 1000) * 20.0 <= 1000 * poll_pacing.RENEWAL_SHARE

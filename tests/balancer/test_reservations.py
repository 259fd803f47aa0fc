"""Tickets of cold workers: all together send about what these can do, however little they agree, and nobody twice."""

from bisect import bisect_left
from collections.abc import Callable
from math import inf, sqrt
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import ListKind, ServerEntry, ServerListUpdate, ServerState
from heronlug.balancer.model import Server
from heronlug.balancer.reservations import (
    CHECK_INTERVAL_MS,
    COLD_PACE,
    HIGHEST_PACE,
    MAX_OPEN_RESERVATIONS,
    MAX_RESERVATIONS_PER_REQUEST,
    WARM_PACE,
    Reservations,
)
from heronlug.balancer.servers import ServerTable
from heronlug.balancer.settings import RequestClass, Settings
from heronlug.balancer.slow_start import BUDGET_MARGIN, MAX_DISPATCHERS_WITHOUT_LOANS, CapacityShares

SPAN, TIP, SLOTS, USUAL, LOW, WHOLE, BORN = 1000.0, 3.0, 4.0, 450.0, 0.2, 20_000.0, 5000.0
MANY = 200


def told(position: int, count: int = MANY, tip: float = TIP) -> Settings:
    lane = RequestClass(latency_objective=USUAL, deadline=10_000.0)
    return Settings(
        (lane,),
        instances=count,
        position=position,
        warmup_capacity=LOW,
        warmup_time=WHOLE,
        overload_multiple=tip,
        overload_window=SPAN,
    )


def worker(number: int = 7) -> Server:
    return Server(ServerEntry(number, started_at=BORN), CapacityEstimate(SLOTS))


def fleet(count: int = MANY, usual: float = USUAL, tip: float = TIP) -> list[tuple[Reservations, Server]]:
    made = [(Reservations(told(position, count, tip), BUDGET_MARGIN), worker()) for position in range(count)]
    for tickets, there in made:
        there.slow_start.work_budget = 0.0
        tickets.add_warming(there, usual)
    return made


def warmth(at: float) -> float:
    return LOW + (1 - LOW) * min(1.0, (at - BORN) / WHOLE)


def jobs_given(until: float) -> float:
    """What such a worker is given by then, from its start on, added up step by step."""
    steps = 2000
    each = (until - BORN) / steps
    shares = [warmth(BORN + (n + 0.5) * each) for n in range(steps)]
    return sum(SLOTS / USUAL * share * (COLD_PACE + (WARM_PACE - COLD_PACE) * share) * each for share in shares)


def greedy(dispatchers: list[tuple[Reservations, Server]], work: float = USUAL) -> list[int]:
    """When they send while it is cold, all of them whatever they may."""
    when = []
    for at in range(int(BORN), int(BORN + WHOLE), 10):
        for tickets, there in dispatchers:
            if tickets.may_send(there, work, at):
                tickets.record_send(there, work, at)
                when.append(at)
    return when


def stands(at: float) -> float:
    """Jobs of usual size that it stands within the span."""
    mean = TIP * warmth(at) * SLOTS * SPAN / USUAL
    return mean + 3 * sqrt(mean) + 3


def test_each_ticket_has_one_holder_and_few_are_open_at_a_time() -> None:
    dispatchers = fleet()
    sends = 0
    at = BORN
    while at < BORN + WHOLE:
        holders = [pair for pair in dispatchers if pair[0].may_send(pair[1], USUAL, at)]
        assert len(holders) <= MAX_OPEN_RESERVATIONS
        for tickets, there in holders:
            tickets.record_send(there, USUAL, at)
            assert not tickets.may_send(there, USUAL, at)
            sends += 1
        at += 10.0
    assert abs(sends - jobs_given(at)) <= MAX_OPEN_RESERVATIONS


def test_a_turn_is_told_once_and_holds_until_it_is_used_or_over() -> None:
    dispatchers = fleet(20)
    tickets, there = next(pair for pair in dispatchers if pair[0].may_send(pair[1], USUAL, BORN))
    assert tickets.newly_open_servers(BORN) == [there]
    assert tickets.newly_open_servers(BORN + CHECK_INTERVAL_MS) == []
    assert tickets.may_send(there, USUAL, BORN + CHECK_INTERVAL_MS)
    passed = next(at for at in range(int(BORN), int(BORN + WHOLE), 10) if jobs_given(at) >= MAX_OPEN_RESERVATIONS)
    assert tickets.may_send(there, USUAL, passed - 20.0)
    assert not tickets.may_send(there, USUAL, passed + 10.0)
    again = next(at for at in range(int(passed), int(BORN + WHOLE), 10) if tickets.may_send(there, USUAL, at))
    assert jobs_given(again) >= 20
    assert tickets.newly_open_servers(again) == [there]


def test_a_new_process_has_tickets_of_its_own_and_a_warm_or_draining_one_has_none() -> None:
    tickets, there = next(pair for pair in fleet(20) if pair[0].may_send(pair[1], USUAL, BORN))
    tickets.record_send(there, USUAL, BORN)
    there.process_restarted(BORN + 100.0)
    there.slow_start.work_budget = 0.0
    tickets.add_warming(there, USUAL)
    assert tickets.may_send(there, USUAL, BORN + 100.0)
    there.state = ServerState.DRAINING
    assert tickets.newly_open_servers(BORN + 100.0) == []
    assert not tickets.may_send(there, USUAL, BORN + 100.0)
    there.state = ServerState.READY
    tickets.add_warming(there, USUAL)
    there.slow_start.work_budget = inf
    assert tickets.newly_open_servers(BORN + 200.0) == []
    assert not tickets.may_send(there, USUAL, BORN + 200.0)


def test_a_wide_job_takes_as_many_tickets_of_its_sender_and_one_too_wide_none() -> None:
    def sends(work: float) -> list[int]:
        return greedy([next(pair for pair in fleet(20) if pair[0].may_send(pair[1], USUAL, BORN))], work)

    one, three = sends(USUAL), sends(3 * USUAL)
    assert three == one[::3]
    assert len(one) > 3
    assert sends(MAX_RESERVATIONS_PER_REQUEST * USUAL + 1) == []


def test_who_stands_little_gets_little() -> None:
    assert len(greedy(fleet(tip=0.5))) < 0.6 * len(greedy(fleet()))


def disagreeing(seed: int, count: int) -> list[float]:
    """When they send: each takes another size for usual, which changes, some are started again, all want all."""
    rng = Random(seed)
    usual = [USUAL * rng.uniform(0.7, 1.4) for _ in range(count)]
    dispatchers = [(Reservations(told(p, count), BUDGET_MARGIN), worker()) for p in range(count)]
    for _, there in dispatchers:
        there.slow_start.work_budget = 0.0
    sends: list[float] = []
    at = BORN
    while at < BORN + WHOLE:
        for number, (tickets, there) in enumerate(dispatchers):
            if rng.random() < 0.02:
                usual[number] *= rng.uniform(0.97, 1.03)
                usual[number] = min(1.4 * USUAL, max(0.7 * USUAL, usual[number]))
            if rng.random() < 0.0005:  # a new process, which knows nothing of what it has sent
                tickets = Reservations(told(number, count), BUDGET_MARGIN)
                dispatchers[number] = tickets, there
            tickets.add_warming(there, usual[number])
            if tickets.may_send(there, USUAL, at):
                tickets.record_send(there, USUAL, at)
                sends.append(at)
            if rng.random() < 0.02:  # it hears of starts, at once most often, as if the worker did more than it says
                tickets.record_start(there, rng.choice((0.0, 0.0, 0.0, 0.0, 5000.0)))
        at += 25.0
    return sends


def too_many(sends: list[float]) -> list[tuple[float, int, float]]:
    """The spans that see more than it stands: when they begin, what they see, and what it stands."""
    counts = [bisect_left(sends, begin + SPAN) - bisect_left(sends, begin) for begin in sends]
    spans = zip(sends, counts, map(stands, sends), strict=True)
    return [span for span in spans if span[1] > span[2]]


@settings(deadline=None, max_examples=10)
@given(st.integers(0, 2**32), st.sampled_from([30, 80, MANY]))
def test_no_span_sees_more_than_a_cold_worker_stands_though_nobody_agrees(seed: int, count: int) -> None:
    sends = disagreeing(seed, count)
    assert too_many(sends) == []
    assert len(sends) > 0.5 * jobs_given(BORN + WHOLE)


@pytest.mark.parametrize(("name", "instead"), [("may_send", lambda *_: True), ("record_send", lambda *_: None)])
def test_no_turns_and_tickets_used_twice_are_found_out(
    name: str, instead: Callable[..., bool | None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound tells something."""
    monkeypatch.setattr(Reservations, name, instead)
    assert too_many(disagreeing(1, MANY))


def test_starts_at_once_have_more_sent_and_waits_less_within_bounds() -> None:
    def opened(waits: list[float]) -> float:
        (tickets, there), *_ = fleet(20)
        for wait in waits:
            tickets.record_start(there, wait)
        return tickets._curve.work_opened(WHOLE / 2, tickets._pace)

    assert opened([0.0] * 3) > opened([]) > opened([USUAL])
    assert opened([USUAL] * 50) == opened([USUAL] * 40) > 0.6 * opened([])
    assert opened([0.0] * 50) == opened([0.0] * 40) <= HIGHEST_PACE * (LOW + warmth(BORN + WHOLE / 2)) / 2 * WHOLE / 2
    assert opened([USUAL, *[0.0] * 50]) == opened([0.0] * 50)  # what it has done is counted anew


@pytest.mark.parametrize(
    ("count", "lends", "apart"),
    [(MAX_DISPATCHERS_WITHOUT_LOANS, False, False), (MANY, True, False), (MANY, False, True)],
)
def test_turns_are_for_many_that_may_not_talk(count: int, lends: bool, apart: bool) -> None:
    table = ServerTable()
    table.capacities[0] = CapacityEstimate(SLOTS)
    (there,) = table.apply_list(ServerListUpdate(ListKind.FULL, (ServerEntry(7, started_at=BORN),)), 0.0)
    ours = 0
    for position in range(count):
        lane = RequestClass(latency_objective=USUAL, deadline=10_000.0)
        parts = CapacityShares(
            Settings(
                (lane,),
                instances=count,
                position=position,
                lends_capacity=lends,
                gossip=lends,
                warmup_capacity=LOW,
                warmup_time=WHOLE,
                overload_multiple=TIP,
                overload_window=SPAN,
            )
        )
        there.slow_start.work_budget = parts.share(there, LOW, USUAL, BORN)
        ours += bool(parts.reservation_turns(BORN))
        assert not apart or (
            there.slow_start.work_budget == 0.0 and parts.may_send(there, USUAL, BORN) == ((7 - position) % count == 0)
        )
    assert ours == apart

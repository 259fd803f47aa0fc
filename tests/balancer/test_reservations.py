"""Tests that reservations limit the requests of all dispatchers together to what a warming server can serve."""

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

WINDOW_MS, OVERLOAD_MULTIPLE, SLOTS, USUAL_WORK, INITIAL_CAPACITY, WARMUP_MS, STARTED_AT = (
    1000.0,
    3.0,
    4.0,
    450.0,
    0.2,
    20_000.0,
    5000.0,
)
MANY_DISPATCHERS = 200


def make_settings(position: int, count: int = MANY_DISPATCHERS, multiple: float = OVERLOAD_MULTIPLE) -> Settings:
    request_class = RequestClass(latency_objective=USUAL_WORK, deadline=10_000.0)
    return Settings(
        (request_class,),
        instances=count,
        position=position,
        warmup_capacity=INITIAL_CAPACITY,
        warmup_time=WARMUP_MS,
        overload_multiple=multiple,
        overload_window=WINDOW_MS,
    )


def make_server(number: int = 7) -> Server:
    return Server(ServerEntry(number, started_at=STARTED_AT), CapacityEstimate(SLOTS))


def make_dispatchers(
    count: int = MANY_DISPATCHERS, usual_work: float = USUAL_WORK, multiple: float = OVERLOAD_MULTIPLE
) -> list[tuple[Reservations, Server]]:
    dispatchers = [
        (Reservations(make_settings(position, count, multiple), BUDGET_MARGIN), make_server())
        for position in range(count)
    ]
    for reservations, server in dispatchers:
        server.slow_start.work_budget = 0.0
        reservations.add_warming(server, usual_work)
    return dispatchers


def capacity_fraction(at: float) -> float:
    return INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * min(1.0, (at - STARTED_AT) / WARMUP_MS)


def expected_requests(until: float) -> float:
    """Returns the number of requests opened for the server until a time, by numeric integration."""
    steps = 2000
    step_ms = (until - STARTED_AT) / steps
    shares = [capacity_fraction(STARTED_AT + (n + 0.5) * step_ms) for n in range(steps)]
    return sum(SLOTS / USUAL_WORK * share * (COLD_PACE + (WARM_PACE - COLD_PACE) * share) * step_ms for share in shares)


def send_times(dispatchers: list[tuple[Reservations, Server]], work: float = USUAL_WORK) -> list[int]:
    """Returns the times in ms of all sends while the server warms up; every dispatcher sends whenever it may."""
    times = []
    for at in range(int(STARTED_AT), int(STARTED_AT + WARMUP_MS), 10):
        for reservations, server in dispatchers:
            if reservations.may_send(server, work, at):
                reservations.record_send(server, work, at)
                times.append(at)
    return times


def max_requests_in_window(at: float) -> float:
    """Returns the largest allowed number of usual requests in a window, with 3 standard deviations of margin."""
    mean = OVERLOAD_MULTIPLE * capacity_fraction(at) * SLOTS * WINDOW_MS / USUAL_WORK
    return mean + 3 * sqrt(mean) + 3


def test_each_reservation_has_one_holder_and_few_are_open_at_a_time() -> None:
    """Fails if two dispatchers may use the same reservation or if too many reservations are open at once.

    A server that warms up would then be overloaded, or get its requests in bursts.
    """
    dispatchers = make_dispatchers()
    sends = 0
    at = STARTED_AT
    while at < STARTED_AT + WARMUP_MS:
        holders = [pair for pair in dispatchers if pair[0].may_send(pair[1], USUAL_WORK, at)]
        assert len(holders) <= MAX_OPEN_RESERVATIONS
        for reservations, server in holders:
            reservations.record_send(server, USUAL_WORK, at)
            assert not reservations.may_send(server, USUAL_WORK, at)
            sends += 1
        at += 10.0
    assert abs(sends - expected_requests(at)) <= MAX_OPEN_RESERVATIONS


def test_an_open_reservation_is_returned_once_and_stays_open_until_used_or_closed() -> None:
    """Fails if a dispatcher is notified repeatedly of an open reservation or keeps one that has closed.

    A late dispatcher would then send in addition to the holders of the later reservations.
    """
    dispatchers = make_dispatchers(20)
    reservations, server = next(pair for pair in dispatchers if pair[0].may_send(pair[1], USUAL_WORK, STARTED_AT))
    assert reservations.newly_open_servers(STARTED_AT) == [server]
    assert reservations.newly_open_servers(STARTED_AT + CHECK_INTERVAL_MS) == []
    assert reservations.may_send(server, USUAL_WORK, STARTED_AT + CHECK_INTERVAL_MS)
    closed_at = next(
        at
        for at in range(int(STARTED_AT), int(STARTED_AT + WARMUP_MS), 10)
        if expected_requests(at) >= MAX_OPEN_RESERVATIONS
    )
    assert reservations.may_send(server, USUAL_WORK, closed_at - 20.0)
    assert not reservations.may_send(server, USUAL_WORK, closed_at + 10.0)
    next_open_at = next(
        at
        for at in range(int(closed_at), int(STARTED_AT + WARMUP_MS), 10)
        if reservations.may_send(server, USUAL_WORK, at)
    )
    assert expected_requests(next_open_at) >= 20
    assert reservations.newly_open_servers(next_open_at) == [server]


def test_a_restarted_server_has_new_reservations_and_a_warm_or_draining_server_has_none() -> None:
    """Fails if reservations of a former server process count for the new one, or a warm server still has any."""
    reservations, server = next(
        pair for pair in make_dispatchers(20) if pair[0].may_send(pair[1], USUAL_WORK, STARTED_AT)
    )
    reservations.record_send(server, USUAL_WORK, STARTED_AT)
    server.process_restarted(STARTED_AT + 100.0)
    server.slow_start.work_budget = 0.0
    reservations.add_warming(server, USUAL_WORK)
    assert reservations.may_send(server, USUAL_WORK, STARTED_AT + 100.0)
    server.state = ServerState.DRAINING
    assert reservations.newly_open_servers(STARTED_AT + 100.0) == []
    assert not reservations.may_send(server, USUAL_WORK, STARTED_AT + 100.0)
    server.state = ServerState.READY
    reservations.add_warming(server, USUAL_WORK)
    server.slow_start.work_budget = inf
    assert reservations.newly_open_servers(STARTED_AT + 200.0) == []
    assert not reservations.may_send(server, USUAL_WORK, STARTED_AT + 200.0)


def test_a_large_request_uses_several_reservations_and_a_too_large_request_is_not_sent() -> None:
    """Fails if a large request counts as a single request, which would overload a server that warms up."""

    def sends(work: float) -> list[int]:
        return send_times(
            [next(pair for pair in make_dispatchers(20) if pair[0].may_send(pair[1], USUAL_WORK, STARTED_AT))], work
        )

    single, triple = sends(USUAL_WORK), sends(3 * USUAL_WORK)
    assert triple == single[::3]
    assert len(single) > 3
    assert sends(MAX_RESERVATIONS_PER_REQUEST * USUAL_WORK + 1) == []


def test_a_server_with_a_small_overload_multiple_gets_fewer_requests() -> None:
    """Fails if the pace ignores the overload multiple, so that a sensitive server gets too many requests."""
    assert len(send_times(make_dispatchers(multiple=0.5))) < 0.6 * len(send_times(make_dispatchers()))


def send_times_with_disagreement(seed: int, count: int) -> list[float]:
    """Returns the times of all sends while dispatchers disagree on the usual size.

    Each dispatcher estimates another usual size, which drifts, and some dispatchers restart. Every dispatcher sends
    whenever it may.
    """
    rng = Random(seed)
    usual_work = [USUAL_WORK * rng.uniform(0.7, 1.4) for _ in range(count)]
    dispatchers = [
        (Reservations(make_settings(position, count), BUDGET_MARGIN), make_server()) for position in range(count)
    ]
    for _, server in dispatchers:
        server.slow_start.work_budget = 0.0
    sends: list[float] = []
    at = STARTED_AT
    while at < STARTED_AT + WARMUP_MS:
        for number, (reservations, server) in enumerate(dispatchers):
            if rng.random() < 0.02:
                usual_work[number] *= rng.uniform(0.97, 1.03)
                usual_work[number] = min(1.4 * USUAL_WORK, max(0.7 * USUAL_WORK, usual_work[number]))
            if rng.random() < 0.0005:  # a new process has no record of earlier sends
                reservations = Reservations(make_settings(number, count), BUDGET_MARGIN)
                dispatchers[number] = reservations, server
            reservations.add_warming(server, usual_work[number])
            if reservations.may_send(server, USUAL_WORK, at):
                reservations.record_send(server, USUAL_WORK, at)
                sends.append(at)
            if rng.random() < 0.02:  # most attempts start without a wait, which raises the pace
                reservations.record_start(server, rng.choice((0.0, 0.0, 0.0, 0.0, 5000.0)))
        at += 25.0
    return sends


def overloaded_windows(sends: list[float]) -> list[tuple[float, int, float]]:
    """Returns the windows with too many requests as their start, their number of requests and the limit."""
    counts = [bisect_left(sends, begin + WINDOW_MS) - bisect_left(sends, begin) for begin in sends]
    windows = zip(sends, counts, map(max_requests_in_window, sends), strict=True)
    return [window for window in windows if window[1] > window[2]]


@settings(deadline=None, max_examples=10)
@given(st.integers(0, 2**32), st.sampled_from([30, 80, MANY_DISPATCHERS]))
def test_no_window_exceeds_the_limit_when_dispatchers_disagree_on_estimates(seed: int, count: int) -> None:
    """Fails if dispatchers with different estimates together overload a warming server.

    Their reservation numbers differ then, so that two dispatchers may use the same reservation. At least half of the
    expected requests have to be sent as well.
    """
    sends = send_times_with_disagreement(seed, count)
    assert overloaded_windows(sends) == []
    assert len(sends) > 0.5 * expected_requests(STARTED_AT + WARMUP_MS)


@pytest.mark.parametrize(("name", "replacement"), [("may_send", lambda *_: True), ("record_send", lambda *_: None)])
def test_the_window_check_detects_ignored_turns_and_reused_reservations(
    name: str, replacement: Callable[..., bool | None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that the window check fails if every dispatcher may always send, or if sends are not recorded."""
    monkeypatch.setattr(Reservations, name, replacement)
    assert overloaded_windows(send_times_with_disagreement(1, MANY_DISPATCHERS))


def test_starts_without_wait_raise_the_pace_and_waits_lower_it_within_bounds() -> None:
    """Fails if the pace does not follow the waits of attempts, or if many equal waits move it beyond its bounds."""

    def opened(waits: list[float]) -> float:
        (reservations, server), *_ = make_dispatchers(20)
        for wait in waits:
            reservations.record_start(server, wait)
        return reservations._curve.work_opened(WARMUP_MS / 2, reservations._pace)

    assert opened([0.0] * 3) > opened([]) > opened([USUAL_WORK])
    assert opened([USUAL_WORK] * 50) == opened([USUAL_WORK] * 40) > 0.6 * opened([])
    assert (
        opened([0.0] * 50)
        == opened([0.0] * 40)
        <= HIGHEST_PACE * (INITIAL_CAPACITY + capacity_fraction(STARTED_AT + WARMUP_MS / 2)) / 2 * WARMUP_MS / 2
    )
    assert opened([USUAL_WORK, *[0.0] * 50]) == opened([0.0] * 50)  # an early wait has no lasting effect


@pytest.mark.parametrize(
    ("count", "lends", "uses_reservations"),
    [(MAX_DISPATCHERS_WITHOUT_LOANS, False, False), (MANY_DISPATCHERS, True, False), (MANY_DISPATCHERS, False, True)],
)
def test_reservations_are_used_only_by_many_dispatchers_without_gossip(
    count: int, lends: bool, uses_reservations: bool
) -> None:
    """Fails if dispatchers that could lend shares use reservations, or if none or several have the first one."""
    table = ServerTable()
    table.capacities[0] = CapacityEstimate(SLOTS)
    (server,) = table.apply_list(ServerListUpdate(ListKind.FULL, (ServerEntry(7, started_at=STARTED_AT),)), 0.0)
    dispatchers_with_turn = 0
    for position in range(count):
        request_class = RequestClass(latency_objective=USUAL_WORK, deadline=10_000.0)
        shares = CapacityShares(
            Settings(
                (request_class,),
                instances=count,
                position=position,
                lends_capacity=lends,
                gossip=lends,
                warmup_capacity=INITIAL_CAPACITY,
                warmup_time=WARMUP_MS,
                overload_multiple=OVERLOAD_MULTIPLE,
                overload_window=WINDOW_MS,
            )
        )
        server.slow_start.work_budget = shares.share(server, INITIAL_CAPACITY, USUAL_WORK, STARTED_AT)
        dispatchers_with_turn += bool(shares.reservation_turns(STARTED_AT))
        assert not uses_reservations or (
            server.slow_start.work_budget == 0.0
            and shares.may_send(server, USUAL_WORK, STARTED_AT) == ((7 - position) % count == 0)
        )
    assert dispatchers_with_turn == uses_reservations

"""The states of a hall: every state that can be reached, and what holds in each."""

from collections import deque
from dataclasses import replace
from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from heronlug.balancer.zone_failover.zone_state import (
    FAILED_RATIO,
    FIRST_EXCLUSION_MS,
    LEAST_FAILED_SERVERS,
    LEAST_SERVED_PROBES,
    LONGEST_EXCLUSION_MS,
    RELAPSE_MEMORY_MS,
    STAGE_MS,
    STAGES,
    ZoneObservation,
    ZonePhase,
    ZoneState,
)

DEAD = ZoneObservation(20.0, 8, True)
SOUND = ZoneObservation(-10.0, 0, True, served_servers=5)


def until(hall: ZoneState, phase: ZonePhase, view: ZoneObservation, now: float) -> float:
    for _ in range(2000):
        if hall.phase is phase:
            return now
        now += 100.0
        hall.step(view, now)
    msg = f"never {phase}"
    raise AssertionError(msg)


def test_every_state_that_can_be_reached_has_a_way_back_and_none_skips_a_stage() -> None:
    views = [
        ZoneObservation(value, bad, may, served, failed)
        for value, bad, may, served, failed in product((-5.0, 3.0, 9.0), (0, 2, 3), (True, False), (0, 2), (0.0, 1.0))
    ]
    steps = (100.0, STAGE_MS, 70_000.0)
    first = (ZonePhase.HEALTHY, 0, 0)
    seen, todo = {first}, deque([first])
    while todo:
        phase, stage, falls = todo.popleft()
        for view, step in product(views, steps):
            hall = ZoneState(phase, 1000.0, stage, falls)
            failed = 1000.0 + step if view.last_failed_at else 0.0
            hall.step(replace(view, last_failed_at=failed), 1000.0 + step)
            if hall.phase is ZonePhase.EXCLUDED and phase is not ZonePhase.EXCLUDED:
                assert view.failed_servers >= LEAST_SERVED_PROBES
                assert view.log_ratio > 0
                assert phase is ZonePhase.RETURNING or (
                    view.failed_servers >= LEAST_FAILED_SERVERS and view.log_ratio >= FAILED_RATIO and view.may_exclude
                )
            if phase is ZonePhase.EXCLUDED and hall.phase is not ZonePhase.EXCLUDED:
                assert hall.phase is ZonePhase.RETURNING
                assert hall.stage == 0
                assert view.served_servers >= LEAST_SERVED_PROBES
                assert not failed
                assert step >= hall.least_exclusion
            if hall.phase is ZonePhase.RETURNING and phase is ZonePhase.RETURNING and hall.stage != stage:
                assert hall.stage == stage + 1
                assert step >= STAGE_MS
                assert view.served_servers
            if hall.phase is ZonePhase.HEALTHY and phase is ZonePhase.RETURNING:
                assert stage == len(STAGES) - 1
            after = (hall.phase, hall.stage if hall.phase is ZonePhase.RETURNING else 0, min(hall.relapses, 3))
            if after not in seen:
                seen.add(after)
                todo.append(after)
    assert {phase for phase, _, _ in seen} == set(ZonePhase)
    assert {stage for phase, stage, _ in seen if phase is ZonePhase.RETURNING} == set(range(len(STAGES)))


def test_a_dead_hall_is_left_at_once_and_a_sound_one_has_all_its_work_again_within_a_stated_time() -> None:
    hall = ZoneState()
    left = until(hall, ZonePhase.EXCLUDED, DEAD, 0.0)
    assert left <= 200.0
    assert hall.offered_share == 0.0
    back = until(hall, ZonePhase.HEALTHY, SOUND, left)
    assert back - left <= FIRST_EXCLUSION_MS + len(STAGES) * (STAGE_MS + 200.0)


def test_each_fall_on_the_return_makes_the_wait_longer_up_to_a_bound_and_calm_forgets_it() -> None:
    hall, now, waits = ZoneState(), 0.0, list[float]()
    for _ in range(8):
        now = until(hall, ZonePhase.EXCLUDED, DEAD, now)
        began = now
        now = until(hall, ZonePhase.RETURNING, SOUND, now)
        waits.append(now - began)
    assert waits == sorted(waits)
    assert waits[-1] <= LONGEST_EXCLUSION_MS + 200.0
    assert waits[-1] > 10 * waits[0]
    now = until(hall, ZonePhase.HEALTHY, SOUND, now)
    hall.step(SOUND, now + RELAPSE_MEMORY_MS + 1)
    assert hall.relapses == 0


def test_a_hall_that_may_not_be_left_stays_doubtful_and_one_held_by_hand_stays_as_it_is() -> None:
    hall = ZoneState()
    for at in range(1, 50):
        hall.step(ZoneObservation(50.0, 20, False), at * 100.0)
    assert hall.offered_share == 1.0
    assert hall.phase.value == "doubtful"
    hall.hold(ZonePhase.EXCLUDED, 90_000.0, 5000.0)
    for at in range(51, 900):
        assert not hall.step(SOUND, at * 100.0)
    assert hall.offered_share == 0.0
    assert until(hall, ZonePhase.RETURNING, SOUND, 90_000.0) <= 90_200.0  # in stages, as after a failure


@given(st.lists(st.tuples(st.floats(-20, 20), st.integers(0, 9), st.booleans(), st.integers(0, 9)), max_size=80))
def test_whatever_is_seen_the_share_offered_rises_by_one_stage_at_a_time(
    looks: list[tuple[float, int, bool, int]],
) -> None:
    hall, now, shares = ZoneState(ZonePhase.EXCLUDED), 0.0, (0.0, *STAGES)
    for value, bad, may, served in looks:
        before = hall.offered_share
        now += 700.0
        hall.step(ZoneObservation(value, bad, may, served), now)
        if hall.offered_share > before:
            assert shares.index(hall.offered_share) <= shares.index(before) + 1

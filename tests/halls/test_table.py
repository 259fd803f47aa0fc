"""The states of a hall: every state that can be reached, and what holds in each."""

from collections import deque
from dataclasses import replace
from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from heronlug.halls.table import CALM, DWELL, GOOD, LEAST, LEAVE, STAGES, WAITS, Hall, Phase, View

DEAD = View(20.0, 8, True)
SOUND = View(-10.0, 0, True, served=5)


def until(hall: Hall, phase: Phase, view: View, now: float) -> float:
    for _ in range(2000):
        if hall.phase is phase:
            return now
        now += 100.0
        hall.look(view, now)
    raise AssertionError(f"never {phase}")


def test_every_state_that_can_be_reached_has_a_way_back_and_none_skips_a_stage() -> None:
    views = [
        View(value, bad, may, served, failed)
        for value, bad, may, served, failed in product((-5.0, 3.0, 9.0), (0, 2, 3), (True, False), (0, 2), (0.0, 1.0))
    ]
    steps = (100.0, DWELL, 70_000.0)
    first = (Phase.WELL, 0, 0)
    seen, todo = {first}, deque([first])
    while todo:
        phase, stage, falls = todo.popleft()
        for view, step in product(views, steps):
            hall = Hall(phase, 1000.0, stage, falls)
            failed = 1000.0 + step if view.failed_at else 0.0
            hall.look(replace(view, failed_at=failed), 1000.0 + step)
            if hall.phase is Phase.LEFT and phase is not Phase.LEFT:
                assert view.bad >= GOOD and view.ratio > 0
                assert phase is Phase.RETURNING or (view.bad >= LEAST and view.ratio >= LEAVE and view.may_leave)
            if phase is Phase.LEFT and hall.phase is not Phase.LEFT:
                assert hall.phase is Phase.RETURNING and hall.stage == 0
                assert view.served >= GOOD and not failed and step >= hall.wait
            if hall.phase is Phase.RETURNING and phase is Phase.RETURNING and hall.stage != stage:
                assert hall.stage == stage + 1 and step >= DWELL and view.served
            if hall.phase is Phase.WELL and phase is Phase.RETURNING:
                assert stage == len(STAGES) - 1
            after = (hall.phase, hall.stage if hall.phase is Phase.RETURNING else 0, min(hall.falls, 3))
            if after not in seen:
                seen.add(after)
                todo.append(after)
    assert {phase for phase, _, _ in seen} == set(Phase)
    assert {stage for phase, stage, _ in seen if phase is Phase.RETURNING} == set(range(len(STAGES)))


def test_a_dead_hall_is_left_at_once_and_a_sound_one_has_all_its_work_again_within_a_stated_time() -> None:
    hall = Hall()
    left = until(hall, Phase.LEFT, DEAD, 0.0)
    assert left <= 200.0
    assert hall.offered == 0.0
    back = until(hall, Phase.WELL, SOUND, left)
    assert back - left <= WAITS[0] + len(STAGES) * (DWELL + 200.0)


def test_each_fall_on_the_return_makes_the_wait_longer_up_to_a_bound_and_calm_forgets_it() -> None:
    hall, now, waits = Hall(), 0.0, list[float]()
    for _ in range(8):
        now = until(hall, Phase.LEFT, DEAD, now)
        began = now
        now = until(hall, Phase.RETURNING, SOUND, now)
        waits.append(now - began)
    assert waits == sorted(waits)
    assert waits[-1] <= WAITS[1] + 200.0 and waits[-1] > 10 * waits[0]
    now = until(hall, Phase.WELL, SOUND, now)
    hall.look(SOUND, now + CALM + 1)
    assert hall.falls == 0


def test_a_hall_that_may_not_be_left_stays_doubtful_and_one_held_by_hand_stays_as_it_is() -> None:
    hall = Hall()
    for at in range(1, 50):
        hall.look(View(50.0, 20, False), at * 100.0)
    assert hall.offered == 1.0
    assert hall.phase.value == "doubtful"
    hall.hold(Phase.LEFT, 90_000.0, 5000.0)
    for at in range(51, 900):
        assert not hall.look(SOUND, at * 100.0)
    assert hall.offered == 0.0
    assert until(hall, Phase.RETURNING, SOUND, 90_000.0) <= 90_200.0  # in stages, as after a failure


@given(st.lists(st.tuples(st.floats(-20, 20), st.integers(0, 9), st.booleans(), st.integers(0, 9)), max_size=80))
def test_whatever_is_seen_the_share_offered_rises_by_one_stage_at_a_time(
    looks: list[tuple[float, int, bool, int]],
) -> None:
    hall, now, shares = Hall(Phase.LEFT), 0.0, (0.0, *STAGES)
    for value, bad, may, served in looks:
        before = hall.offered
        now += 700.0
        hall.look(View(value, bad, may, served), now)
        if hall.offered > before:
            assert shares.index(hall.offered) <= shares.index(before) + 1

"""Tests the state machine of a zone: the transitions from all reachable states and what holds for each of them."""

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

ZONE_FAILED = ZoneObservation(20.0, 8, True)
ZONE_HEALTHY = ZoneObservation(-10.0, 0, True, served_servers=5)


def step_until(zone: ZoneState, phase: ZonePhase, observation: ZoneObservation, now: float) -> float:
    """Repeats an observation until the zone reaches a phase; returns the time in ms."""
    for _ in range(2000):
        if zone.phase is phase:
            return now
        now += 100.0
        zone.step(observation, now)
    message = f"the zone did not reach {phase}"
    raise AssertionError(message)


def test_every_reachable_transition_follows_the_state_table_without_skipping_stages() -> None:
    """Fails if a reachable state has a transition against the state table, or if a phase or stage is unreachable.

    A zone would then be excluded without evidence, or get all its traffic at once.
    """
    observations = [
        ZoneObservation(log_ratio, failing, may_exclude, served_servers, failed)
        for log_ratio, failing, may_exclude, served_servers, failed in product(
            (-5.0, 3.0, 9.0), (0, 2, 3), (True, False), (0, 2), (0.0, 1.0)
        )
    ]
    steps = (100.0, STAGE_MS, 70_000.0)
    first = (ZonePhase.HEALTHY, 0, 0)
    visited, to_visit = {first}, deque([first])
    while to_visit:
        phase, stage, relapses = to_visit.popleft()
        for observation, step in product(observations, steps):
            zone = ZoneState(phase, 1000.0, stage, relapses)
            failed = 1000.0 + step if observation.last_failed_at else 0.0
            zone.step(replace(observation, last_failed_at=failed), 1000.0 + step)
            if zone.phase is ZonePhase.EXCLUDED and phase is not ZonePhase.EXCLUDED:
                assert observation.failed_servers >= LEAST_SERVED_PROBES
                assert observation.log_ratio > 0
                assert phase is ZonePhase.RETURNING or (
                    observation.failed_servers >= LEAST_FAILED_SERVERS
                    and observation.log_ratio >= FAILED_RATIO
                    and observation.may_exclude
                )
            if phase is ZonePhase.EXCLUDED and zone.phase is not ZonePhase.EXCLUDED:
                assert zone.phase is ZonePhase.RETURNING
                assert zone.stage == 0
                assert observation.served_servers >= LEAST_SERVED_PROBES
                assert not failed
                assert step >= zone.least_exclusion
            if zone.phase is ZonePhase.RETURNING and phase is ZonePhase.RETURNING and zone.stage != stage:
                assert zone.stage == stage + 1
                assert step >= STAGE_MS
                assert observation.served_servers
            if zone.phase is ZonePhase.HEALTHY and phase is ZonePhase.RETURNING:
                assert stage == len(STAGES) - 1
            after = (zone.phase, zone.stage if zone.phase is ZonePhase.RETURNING else 0, min(zone.relapses, 3))
            if after not in visited:
                visited.add(after)
                to_visit.append(after)
    assert {phase for phase, _, _ in visited} == set(ZonePhase)
    assert {stage for phase, stage, _ in visited if phase is ZonePhase.RETURNING} == set(range(len(STAGES)))


def test_a_failed_zone_is_excluded_at_once_and_a_healthy_zone_returns_within_a_bound() -> None:
    """Fails if a failed zone keeps traffic, or a healthy zone returns later than its stages require."""
    zone = ZoneState()
    excluded_at = step_until(zone, ZonePhase.EXCLUDED, ZONE_FAILED, 0.0)
    assert excluded_at <= 200.0
    assert zone.offered_share == 0.0
    healthy_at = step_until(zone, ZonePhase.HEALTHY, ZONE_HEALTHY, excluded_at)
    assert healthy_at - excluded_at <= FIRST_EXCLUSION_MS + len(STAGES) * (STAGE_MS + 200.0)


def test_each_relapse_lengthens_the_exclusion_up_to_a_bound_and_relapses_are_forgotten() -> None:
    """Fails if a zone that keeps failing during its return is retried too often, or stays excluded without a bound."""
    zone, now, waits = ZoneState(), 0.0, list[float]()
    for _ in range(8):
        now = step_until(zone, ZonePhase.EXCLUDED, ZONE_FAILED, now)
        began = now
        now = step_until(zone, ZonePhase.RETURNING, ZONE_HEALTHY, now)
        waits.append(now - began)
    assert waits == sorted(waits)
    assert waits[-1] <= LONGEST_EXCLUSION_MS + 200.0
    assert waits[-1] > 10 * waits[0]
    now = step_until(zone, ZonePhase.HEALTHY, ZONE_HEALTHY, now)
    zone.step(ZONE_HEALTHY, now + RELAPSE_MEMORY_MS + 1)
    assert zone.relapses == 0


def test_a_zone_that_may_not_be_excluded_stays_doubtful_and_a_held_zone_keeps_its_phase() -> None:
    """Fails if a zone is excluded although the others can't take its load, or if evidence overrides an operator."""
    zone = ZoneState()
    for at in range(1, 50):
        zone.step(ZoneObservation(50.0, 20, False), at * 100.0)
    assert zone.offered_share == 1.0
    assert zone.phase.value == "doubtful"
    zone.hold(ZonePhase.EXCLUDED, 90_000.0, 5000.0)
    for at in range(51, 900):
        assert not zone.step(ZONE_HEALTHY, at * 100.0)
    assert zone.offered_share == 0.0
    # The zone returns in stages, as after a failure.
    assert step_until(zone, ZonePhase.RETURNING, ZONE_HEALTHY, 90_000.0) <= 90_200.0


@given(st.lists(st.tuples(st.floats(-20, 20), st.integers(0, 9), st.booleans(), st.integers(0, 9)), max_size=80))
def test_the_offered_share_rises_by_at_most_one_stage_at_a_time(
    checks: list[tuple[float, int, bool, int]],
) -> None:
    """Fails if any sequence of observations lets the traffic of a returning zone jump by more than one stage."""
    zone, now, shares = ZoneState(ZonePhase.EXCLUDED), 0.0, (0.0, *STAGES)
    for log_ratio, failing, may_exclude, served_servers in checks:
        before = zone.offered_share
        now += 700.0
        zone.step(ZoneObservation(log_ratio, failing, may_exclude, served_servers), now)
        if zone.offered_share > before:
            assert shares.index(zone.offered_share) <= shares.index(before) + 1

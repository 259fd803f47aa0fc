"""Runs random test plans of a few fixed seeds with real processes and checks how plans are drawn."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from heronlug.faults.harness import play
from heronlug.faults.plan import ACTIONS
from heronlug.faults.soak import LAST_STEP_S, draw

SEEDS = (11, 14, 19, 23, 31, 42)
CONCURRENT_RUNS = 6


@pytest.fixture(scope="module")
def verdicts() -> dict[int, str]:
    """Returns the report of each seed whose run failed, and an empty string for the others."""
    with ThreadPoolExecutor(CONCURRENT_RUNS) as pool:
        results = list(pool.map(lambda seed: play(draw(seed)), SEEDS))
    return {seed: "" if verdict.kept else verdict.text() for seed, verdict in zip(SEEDS, results, strict=True)}


@pytest.mark.parametrize("seed", SEEDS)
def test_the_rules_hold_under_random_faults(seed: int, verdicts: dict[int, str]) -> None:
    """Guards against a combination of faults, not covered by a written plan, under which the program breaks a rule."""
    assert verdicts[seed] == ""


def test_seed_determines_plan_and_seeds_cover_each_kind_of_fault() -> None:
    """Guards against a failing plan that cannot be drawn again, and against a fault that no plan contains."""
    assert draw(3) == draw(3) != draw(4)
    drawn = {step.do for seed in range(100) for step in draw(seed).step}
    assert (
        drawn
        == set(ACTIONS) & drawn
        >= {
            "kill",
            "replace",
            "stop",
            "hup",
            "down",
            "silent",
            "cut",
            "delay",
            "reset",
            "refuse",
            "die",
            "list",
            "slow",
            "turn",
            "hang",
            "half",
            "trickle",
        }
    )
    assert all(step.at_s <= 2 * LAST_STEP_S for seed in range(100) for step in draw(seed).step)

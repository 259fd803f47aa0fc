"""What speaks for a hall that has failed, and what does not."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronlug.balancer.zone_failover.evidence import (
    ServerOutcome,
    ZoneTally,
    failing_share_elsewhere,
    failure_log_ratio,
    tallies,
)
from heronlug.balancer.zone_failover.zone_state import DOUBT_RATIO, FAILED_RATIO


def of(*halls: tuple[int, int]) -> dict[int, ZoneTally]:
    """Each hall as (tried, bad)."""
    return {number: ZoneTally(*each) for number, each in enumerate(halls)}


def verdict(found: dict[int, ZoneTally], hall: int) -> float:
    return failure_log_ratio(found[hall], failing_share_elsewhere(found, hall))


def test_hosts_are_counted_by_hall_and_not_by_job() -> None:
    found = tallies([ServerOutcome(0, True), ServerOutcome(0, False), ServerOutcome(3, True)])
    assert (found[0].tried, found[0].failed, found[3].tried, found[3].failed) == (2, 1, 1, 1)


@pytest.mark.parametrize(
    ("halls", "left"),
    [
        (((3, 3), (9, 0), (9, 0), (9, 0)), True),  # three hosts of three
        (((5, 5), (0, 0), (0, 0), (0, 0)), True),  # nobody has tried elsewhere
        (((10, 9), (30, 1), (30, 2), (30, 0)), True),  # one is well, or was just before
        (((2, 2), (9, 0), (9, 0), (9, 0)), False),  # two are no hall
        (((50, 12), (50, 11), (50, 13), (50, 12)), False),  # a quarter of all hosts died at once
        (((50, 40), (50, 41), (50, 39), (50, 42)), False),  # a bad release everywhere, or an uplink of ours
        (((10, 6), (30, 0), (30, 0), (30, 0)), False),  # half of a hall: some of its racks
    ],
)
def test_a_hall_is_told_from_hosts_that_fail_each_for_itself(halls: tuple[tuple[int, int], ...], left: bool) -> None:
    assert (verdict(of(*halls), 0) >= FAILED_RATIO) is left


@given(st.integers(1, 200), st.data())
def test_one_more_bad_host_never_speaks_for_the_hall_s_health(tried: int, data: st.DataObject) -> None:
    bad = data.draw(st.integers(0, tried - 1))
    usual = data.draw(st.floats(0.05, 0.85))
    assert failure_log_ratio(ZoneTally(tried, bad + 1), usual) > failure_log_ratio(ZoneTally(tried, bad), usual)
    assert failure_log_ratio(ZoneTally(tried + 1, bad), usual) < failure_log_ratio(ZoneTally(tried, bad), usual)


def test_independent_failures_of_up_to_a_quarter_of_all_hosts_leave_no_hall() -> None:
    rng, left, doubtful = Random(7), 0, 0
    for look in range(20_000):
        rate = (0.02, 0.05, 0.1, 0.24)[look % 4]
        found = of(*((12, sum(rng.random() < rate for _ in range(12))) for _ in range(4)))
        worst = max(verdict(found, hall) for hall in found)
        left += worst >= FAILED_RATIO
        doubtful += worst >= DOUBT_RATIO
    assert left <= 2  # of 5,000 times that a quarter of 48 hosts failed at once
    assert doubtful < 200

"""Tests which outcomes of servers count as evidence of a failed zone."""

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


def zone_tallies(*zones: tuple[int, int]) -> dict[int, ZoneTally]:
    """Returns the tallies of zones that are given as (tried, failed)."""
    return {number: ZoneTally(*counts) for number, counts in enumerate(zones)}


def zone_log_ratio(by_zone: dict[int, ZoneTally], zone: int) -> float:
    return failure_log_ratio(by_zone[zone], failing_share_elsewhere(by_zone, zone))


def test_servers_are_counted_by_zone() -> None:
    """Fails if the outcomes of servers are counted for the wrong zone."""
    by_zone = tallies([ServerOutcome(0, True), ServerOutcome(0, False), ServerOutcome(3, True)])
    assert (by_zone[0].tried, by_zone[0].failed, by_zone[3].tried, by_zone[3].failed) == (2, 1, 1, 1)


@pytest.mark.parametrize(
    ("zones", "excluded"),
    [
        (((3, 3), (9, 0), (9, 0), (9, 0)), True),  # three of three servers failed
        (((5, 5), (0, 0), (0, 0), (0, 0)), True),  # no outcomes from other zones
        (((10, 9), (30, 1), (30, 2), (30, 0)), True),  # one server still serves, or served just before the failure
        (((2, 2), (9, 0), (9, 0), (9, 0)), False),  # two servers are too few to be a zone
        (((50, 12), (50, 11), (50, 13), (50, 12)), False),  # a quarter of all servers failed at once
        (
            ((50, 40), (50, 41), (50, 39), (50, 42)),
            False,
        ),  # a bad release in all zones, or a broken uplink of this dispatcher
        (((10, 6), (30, 0), (30, 0), (30, 0)), False),  # some racks, about half of the zone
    ],
)
def test_a_zone_failure_is_distinguished_from_independent_server_failures(
    zones: tuple[tuple[int, int], ...], excluded: bool
) -> None:
    """Fails if a failed zone is missed, or if failures of single servers or of all zones count as a zone failure."""
    assert (zone_log_ratio(zone_tallies(*zones), 0) >= FAILED_RATIO) is excluded


@given(st.integers(1, 200), st.data())
def test_another_failed_server_always_raises_the_log_ratio(tried: int, data: st.DataObject) -> None:
    """Fails if a further failed server lowers the evidence, or a further healthy server raises it."""
    failed = data.draw(st.integers(0, tried - 1))
    usual = data.draw(st.floats(0.05, 0.85))
    assert failure_log_ratio(ZoneTally(tried, failed + 1), usual) > failure_log_ratio(ZoneTally(tried, failed), usual)
    assert failure_log_ratio(ZoneTally(tried + 1, failed), usual) < failure_log_ratio(ZoneTally(tried, failed), usual)


def test_independent_failures_of_up_to_a_quarter_of_the_servers_exclude_no_zone() -> None:
    """Fails if random failures of servers, without a failed zone, often look like the failure of a zone."""
    rng, excluded, doubtful = Random(7), 0, 0
    for check in range(20_000):
        failure_rate = (0.02, 0.05, 0.1, 0.24)[check % 4]
        by_zone = zone_tallies(*((12, sum(rng.random() < failure_rate for _ in range(12))) for _ in range(4)))
        worst = max(zone_log_ratio(by_zone, zone) for zone in by_zone)
        excluded += worst >= FAILED_RATIO
        doubtful += worst >= DOUBT_RATIO
    assert excluded <= 2  # of 5,000 checks at which a quarter of the 48 servers failed
    assert doubtful < 200

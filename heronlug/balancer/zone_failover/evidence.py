"""What the servers of each zone have shown lately, and whether a zone has failed as one.

Each server counts once, by how the last attempt there ended that any dispatcher reported: a hundred requests that
fail at one server say no more than one. The statistic is Wald's sequential probability ratio: how much likelier the
observations are if most servers of the zone are down than if they fail as often as the servers of the other zones do.
So a bad release, a fifth of all servers failing, or a broken uplink of this dispatcher speaks for no zone: the same
is seen in the others.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import log
from typing import NamedTuple

DOWN_SHARE = 0.97
"""Share of the servers of a failed zone that fail."""

USUAL_SHARE = 0.05
"""Share of the servers of a sound zone whose last attempt failed, at least: usual during a rolling restart."""

PRIOR_SERVERS = 10.0
"""Servers that are taken to have failed as usual before any were observed in other zones."""


class ServerOutcome(NamedTuple):
    """The last reported outcome of one server."""

    zone: int
    failed: bool


@dataclass(slots=True)
class ZoneTally:
    """Servers of one zone that were tried lately, and how many of them failed."""

    tried: int = 0
    failed: int = 0


def tallies(outcomes: Iterable[ServerOutcome]) -> dict[int, ZoneTally]:
    """Count the outcomes by zone."""
    by_zone: dict[int, ZoneTally] = {}
    for outcome in outcomes:
        tally = by_zone.setdefault(outcome.zone, ZoneTally())
        tally.tried += 1
        tally.failed += outcome.failed
    return by_zone


def failing_share_elsewhere(by_zone: dict[int, ZoneTally], zone: int) -> float:
    """The share of servers that fail in the other zones."""
    tried = sum(tally.tried for other, tally in by_zone.items() if other != zone)
    failed = sum(tally.failed for other, tally in by_zone.items() if other != zone)
    return min(DOWN_SHARE - 0.1, max(USUAL_SHARE, (failed + USUAL_SHARE * PRIOR_SERVERS) / (tried + PRIOR_SERVERS)))


def failure_log_ratio(tally: ZoneTally, usual_share: float) -> float:
    """The logarithm of the likelihood ratio: above 0 the observations fit a failed zone better."""
    passed = tally.tried - tally.failed
    return tally.failed * log(DOWN_SHARE / usual_share) + passed * log((1 - DOWN_SHARE) / (1 - usual_share))

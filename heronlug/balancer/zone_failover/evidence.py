"""Evaluates the recent outcomes of a zone's servers as evidence that the whole zone has failed.

Each server counts once, by the outcome of the last attempt there that any dispatcher reported, because a hundred
requests that fail at the same server are no stronger evidence than a single failure. The statistic is Wald's sequential
probability ratio: the likelihood of the outcomes if most servers of the zone are down, divided by their likelihood if
the servers fail as often as the servers of the other zones. A bad release, a failure of a fifth of all servers or a
broken uplink of this dispatcher is therefore no evidence against a zone, because other zones show the same failures.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import log
from typing import NamedTuple

DOWN_SHARE = 0.97
"""Expected share of failing servers in a failed zone."""

USUAL_SHARE = 0.05
"""Least assumed share of failing servers in a healthy zone, as is usual during a rolling restart."""

PRIOR_SERVERS = 10.0
"""Number of assumed servers with the usual share of failures that is added to the observations of other zones."""


class ServerOutcome(NamedTuple):
    """The last reported outcome of one server."""

    zone: int
    failed: bool


@dataclass(slots=True)
class ZoneTally:
    """Counts of recent outcomes in a zone.

    Attributes:
        tried: number of servers with a recent outcome.
        failed: number of those servers whose last attempt failed.
    """

    tried: int = 0
    failed: int = 0


def tallies(outcomes: Iterable[ServerOutcome]) -> dict[int, ZoneTally]:
    """Returns the counts of the outcomes, by zone."""
    by_zone: dict[int, ZoneTally] = {}
    for outcome in outcomes:
        tally = by_zone.setdefault(outcome.zone, ZoneTally())
        tally.tried += 1
        tally.failed += outcome.failed
    return by_zone


def failing_share_elsewhere(by_zone: dict[int, ZoneTally], zone: int) -> float:
    """Returns the share of servers that fail in the other zones, within bounds that keep the ratio defined."""
    tried = sum(tally.tried for other, tally in by_zone.items() if other != zone)
    failed = sum(tally.failed for other, tally in by_zone.items() if other != zone)
    return min(DOWN_SHARE - 0.1, max(USUAL_SHARE, (failed + USUAL_SHARE * PRIOR_SERVERS) / (tried + PRIOR_SERVERS)))


def failure_log_ratio(tally: ZoneTally, usual_share: float) -> float:
    """Returns the logarithm of the likelihood ratio, which is above 0 if a failed zone explains the outcomes better."""
    passed = tally.tried - tally.failed
    return tally.failed * log(DOWN_SHARE / usual_share) + passed * log((1 - DOWN_SHARE) / (1 - usual_share))

"""Requests capacity loans from other dispatchers for queued requests, at servers that warm up."""

from collections.abc import Sequence

from heronlug.balancer.model import Request
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.ranking import Ranking
from heronlug.balancer.slow_start import CapacityShares


class LoanRequests:
    """Sends the messages that request capacity loans."""

    __slots__ = ("_outbox", "_ranking", "_shares")

    def __init__(self, outbox: Outbox, ranking: Ranking, shares: CapacityShares) -> None:
        self._outbox, self._ranking, self._shares = outbox, ranking, shares

    def ask(self, requests: Sequence[Request], now: float) -> None:
        """Requests a capacity loan for each of the first few requests."""
        self._outbox.extend(self._shares.request_loans(requests, self._ranking.warming, now))

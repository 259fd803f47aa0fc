"""Asks other dispatchers for capacity at servers that warm up, for requests that wait."""

from collections.abc import Sequence

from heronlug.balancer.model import Request
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.ranking import Ranking
from heronlug.balancer.slow_start import CapacityShares


class LoanRequests:
    """Sends the messages that ask for loans."""

    __slots__ = ("_outbox", "_ranking", "_shares")

    def __init__(self, outbox: Outbox, ranking: Ranking, shares: CapacityShares) -> None:
        self._outbox, self._ranking, self._shares = outbox, ranking, shares

    def ask(self, requests: Sequence[Request], now: float) -> None:
        """Ask for a loan for each of the first few requests."""
        self._outbox.extend(self._shares.request_loans(requests, self._ranking.warming, now))

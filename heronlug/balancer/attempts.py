"""Starts attempts, records them in the load accounting and hands them to the watchers."""

from typing import Protocol

from heronlug.balancer.actions import StartAttempt
from heronlug.balancer.model import Attempt, Request, Server
from heronlug.balancer.ranking import Ranking
from heronlug.balancer.retries import RetryBudget
from heronlug.balancer.slow_start import CapacityShares
from heronlug.balancer.state import BalancerState


class AttemptWatcher(Protocol):
    """Sets timers for an attempt that does not end in time."""

    def watch(self, attempt: Attempt, now: float) -> None:
        """Sets the timer, if any, for an attempt that is in flight from now on."""


class AttemptStarter:
    """Starts attempts at selected servers.

    Attributes:
        watchers: notified of each attempt in flight, in this order.
    """

    __slots__ = ("_budget", "_ranking", "_shares", "_state", "watchers")

    def __init__(self, state: BalancerState, ranking: Ranking, shares: CapacityShares, budget: RetryBudget) -> None:
        self._state, self._ranking, self._shares, self._budget = state, ranking, shares, budget
        self.watchers: list[AttemptWatcher] = []

    def start(self, request: Request, server: Server, now: float) -> None:
        """Starts the next attempt of a request."""
        self._budget.spend(request)
        attempt = Attempt(request, server, now, self._state.settings.reports_start)
        self._state.open_requests.begin_attempt(attempt)
        self._shares.record_send(server, request.work, now)
        self.watch(attempt, now)
        self._ranking.send_count += 1
        self._state.outbox.add(StartAttempt(request.id, server.id))

    def watch(self, attempt: Attempt, now: float) -> None:
        """Passes an attempt in flight to all watchers."""
        for watcher in self.watchers:
            watcher.watch(attempt, now)

"""Requests the endpoint list: at once while the list may be stale, and after a backoff if a request failed."""

from random import Random

from heronlug.balancer.actions import Subscribe
from heronlug.balancer.events import ListKind
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.settings import Settings
from heronlug.balancer.timers import TimerQueue

MAX_COUNTED_FAILURES = 4
"""Number of failures in a row after which the backoff stops growing."""

FIRST_BACKOFF_SHARE = 1 / 32
"""Base of the backoff as a share of the poll interval; doubled for each failure in a row."""

BACKOFF_JITTER = (0.5, 1.0)
"""Range of the random factor of a backoff, which spreads the polls of all dispatchers to one slow service."""


class ListSubscription:
    """Tracks whether this dispatcher receives changes of the endpoint list, and subscribes when it does not."""

    __slots__ = ("_failures", "_outbox", "_rng", "_settings", "_subscribed", "_timers")

    def __init__(self, settings: Settings, rng: Random, outbox: Outbox, timers: TimerQueue) -> None:
        self._settings, self._rng = settings, rng
        self._outbox, self._timers = outbox, timers
        self._subscribed = settings.list_pushed
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Schedules a new request after a backoff, as a poll or a subscription has failed."""
        self._subscribed = self._settings.list_pushed
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        first_backoff = self._settings.poll_interval * FIRST_BACKOFF_SHARE
        backoff = first_backoff * 2**self._failures * self._rng.uniform(*BACKOFF_JITTER)
        self._timers.call_at(now + backoff, self._subscribe_if_needed, None)

    def record_list(self, kind: ListKind, now: float) -> None:
        """Records the receipt of a list, and requests a current list if the received list is from a cache."""
        self._subscribed = self._settings.list_pushed or kind != ListKind.CACHED
        self._failures = 0
        self._subscribe_if_needed(None, now)

    def _subscribe_if_needed(self, _: None, now: float) -> None:
        if not self._subscribed:
            self._outbox.add(Subscribe())

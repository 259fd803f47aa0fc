"""When the endpoint list is asked for: at once while it may be stale, and with a backoff after a failure."""

from random import Random

from heronlug.balancer.actions import Subscribe
from heronlug.balancer.events import ListKind
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.settings import Settings
from heronlug.balancer.timers import TimerQueue

MAX_COUNTED_FAILURES = 4
"""Failures after which the backoff grows no more."""

FIRST_BACKOFF_SHARE = 1 / 32
"""Of the poll interval; it doubles with each failure."""

BACKOFF_JITTER = (0.5, 1.0)
"""A backoff is shortened by a random factor: all dispatchers poll one slow service."""


class ListSubscription:
    """Whether this dispatcher is told of changes of the endpoint list, and when it asks to be."""

    __slots__ = ("_failures", "_outbox", "_rng", "_settings", "_subscribed", "_timers")

    def __init__(self, settings: Settings, rng: Random, outbox: Outbox, timers: TimerQueue) -> None:
        self._settings, self._rng = settings, rng
        self._outbox, self._timers = outbox, timers
        self._subscribed = settings.list_pushed
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """A poll failed or a subscription broke: ask again after a backoff."""
        self._subscribed = self._settings.list_pushed
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        first_backoff = self._settings.poll_interval * FIRST_BACKOFF_SHARE
        backoff = first_backoff * 2**self._failures * self._rng.uniform(*BACKOFF_JITTER)
        self._timers.call_at(now + backoff, self._subscribe_if_needed, None)

    def record_list(self, kind: ListKind, now: float) -> None:
        """A list came; one from a cache may be stale, so that a current one is asked for."""
        self._subscribed = self._settings.list_pushed or kind != ListKind.CACHED
        self._failures = 0
        self._subscribe_if_needed(None, now)

    def _subscribe_if_needed(self, _: None, now: float) -> None:
        if not self._subscribed:
            self._outbox.add(Subscribe())

"""Reports when the endpoint list becomes stale and when the list may be used again."""

import math
from collections.abc import Callable

from heronlug.discovery.freshness import Freshness, FreshnessEvent
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog


class StalenessMonitor:
    """Sets the timer of a :class:`~heronlug.discovery.freshness.Freshness` and reports and logs its changes.

    Attributes:
        on_usable_change: Called with whether the list may be used; None if the age of the list is not limited.
        has_address: Whether service discovery has an address; without an address the list never becomes stale.
        answered_at: Time of the last answer, in ms; minus infinity before the first answer.
        report_next_answer: Whether the next answer is reported even if it contains no change, because the list was
            stale or the watch is new.
    """

    def __init__(
        self,
        freshness: Freshness,
        deadlines: Deadlines,
        log: EventLog,
        version: Callable[[], int | None],
        has_address: bool,
    ) -> None:
        self.on_usable_change: Callable[[bool], None] | None = None
        self.has_address = has_address
        self.answered_at = -math.inf
        self.report_next_answer = False
        self._freshness = freshness
        self._deadlines = deadlines
        self._log = log
        self._version = version
        self._timer: Key | None = None
        self._stale_reported = False

    @property
    def is_overdue(self) -> bool:
        """Returns whether the list has become stale and the timer that reports this has not fired yet."""
        return self._timer is not None and self._deadlines.clock() >= self._freshness.usable_until

    def apply(self, event: FreshnessEvent) -> None:
        """Applies an event, which may extend or shorten the time for which the list is usable."""
        freshness = self._freshness
        now = self._deadlines.clock()
        before = freshness.state
        was_usable = now < freshness.usable_until
        freshness.apply(event, now)
        if freshness.state is not before:
            remaining = freshness.usable_until - now
            self._log(
                "list_state",
                state=freshness.state.value,
                before=before.value,
                why=event.value,
                version=self._version(),
                good_ms=round(remaining) if math.isfinite(remaining) else None,
            )
        self.reset_timer()
        became_usable = not was_usable and now < freshness.usable_until
        # After an answer, the update of the list itself makes the list usable.
        if self.on_usable_change is not None and became_usable and event is not FreshnessEvent.ANSWERED:
            self.on_usable_change(True)

    def reset_timer(self) -> None:
        """Sets the timer to the time at which the list becomes stale."""
        self.cancel()
        if self.on_usable_change is None or not self.has_address:
            return
        usable_until = self._freshness.usable_until
        if usable_until <= self._deadlines.clock():
            self._report_stale()
            return
        self._stale_reported = False
        if math.isfinite(usable_until):
            self._timer = self._deadlines.call_at(usable_until, self._report_stale)

    def cancel(self) -> None:
        """Stops the timer."""
        self._deadlines.cancel(self._timer)
        self._timer = None

    def _report_stale(self) -> None:
        self._timer = None
        if self.on_usable_change is None or self._stale_reported:
            return
        self._stale_reported = True
        self.report_next_answer = True
        age = self._deadlines.clock() - self.answered_at
        self._log(
            "list_stale",
            state=self._freshness.state.value,
            version=self._version(),
            answered_ms_ago=round(age) if math.isfinite(age) else None,
        )
        self.on_usable_change(False)

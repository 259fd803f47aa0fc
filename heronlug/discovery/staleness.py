"""Reports when the endpoint list becomes too old to be used, and when it may be used again."""

import math
from collections.abc import Callable

from heronlug.discovery.freshness import Freshness, FreshnessEvent
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog


class StalenessMonitor:
    """Runs the clock of a :class:`~heronlug.discovery.freshness.Freshness`.

    Attributes:
        on_usable_change: Called with whether the list may be used; None where nobody wants to know.
        polls: Whether there is an address to poll; without one the list never becomes stale.
        answered_at: When the last answer came, in ms; minus infinity before the first.
        report_next_answer: The next answer is reported even if it brings no change, because the list was stale
            or the watch is new.
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
        """Whether the list has become stale and the timer that reports so has not run yet."""
        return self._timer is not None and self._deadlines.clock() >= self._freshness.usable_until

    def apply(self, event: FreshnessEvent) -> None:
        """Take in what became of a poll: the list may be usable for a longer or for a shorter time."""
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
        # An answer makes the list usable through the update that it brings.
        if self.on_usable_change is not None and became_usable and event is not FreshnessEvent.ANSWERED:
            self.on_usable_change(True)

    def reset_timer(self) -> None:
        """Set the timer to the moment at which the list becomes stale."""
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
        """Stop the timer."""
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

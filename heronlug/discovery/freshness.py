"""Limits how long the endpoint list may be used while service discovery does not answer.

Service discovery notifies dispatchers of a change by answering their polls. The grace of a change starts when the
change counts as notified: a server that has left may get new work until the grace ends, and none afterwards. A change
counts as notified some time after it was made, even if the answer never arrived at this dispatcher. Whenever an answer
is overdue, the list may therefore lack a change, and it becomes stale at the earliest time at which the grace of such a
change could end. After that, only an answer makes the list usable again.

Example: lists are pushed, and 850 ms of a grace of 1000 ms remain after the margin. An answer arrives at 8 s, so the
list is usable without a limit. The next poll is sent at 9 s and waits 20 s for a change. Its connection may be broken
without an error, and a change that this poll misses counts as notified 22 s after the poll was sent at the latest: the
list is usable until 9 + 22 + 0.85 = 31.85 s. At 10 s the connection is reset. Changes made from then on count as
notified immediately: the list is usable until 10.85 s (12.85 s if lists are polled every 2 s instead of pushed). An
answer at 10.5 s removes the limit.

Only :class:`Freshness` changes the state and the limit, by the tables ``TRANSITIONS`` and ``LIMIT_EXTENSIONS``; the
module does no I/O and has no clock.

=========== ====================================================================================================
state       notified changes that the list may lack
=========== ====================================================================================================
UNCONFIRMED any change: the list was given at the start of the process with unknown age, so it is not usable
WATCHED     changes that the poll in progress missed, if its connection broke without an error
UNWATCHED   changes made since the watch ended
MISSED      changes that a timed-out poll missed; the limit set when that poll was sent outlasts later polls
=========== ====================================================================================================

Times are in milliseconds on one clock.
"""

from enum import Enum
from math import inf

SILENT_NOTIFIED_AFTER_MS = 6_000.0
"""Longest time, in ms, from a change until the change counts as notified, even if its answer did not arrive."""

NOTIFIED_AFTER_WAIT_MS = 2_000.0
"""Time, in ms, from the end of an unanswered poll's wait until missed changes count as notified.

``SILENT_NOTIFIED_AFTER_MS`` after the poll was sent applies instead if that is later.
"""

HANDOVER_NOTIFIED_AFTER_MS = 2_000.0
"""Longest time from a handover of the list, in ms, until changes missed by the previous process count as notified."""

ADDRESS_CHANGE_NOTIFIED_AFTER_MS = 4_000.0
"""Time, in ms, from a change of discovery's address until changes count as notified according to the protocol."""

GRACE_MARGIN_MS = 150.0
"""Time subtracted from the grace, in ms, because a process may be delayed between reading the clock and writing."""

GRACE_MARGIN_SHARE = 1 / 4
"""Upper bound of the margin, as a fraction of the grace."""

RETRIES_IN_GRACE = 6
"""Number of times that a broken watch is reopened within the grace if lists are pushed."""

SHORTEST_RETRY_PAUSE_MS = 50.0
"""Minimum pause before a broken watch is reopened, in ms."""


class FreshnessState(Enum):
    """States of the endpoint list, by the changes that the list may lack; the values are written to the log."""

    UNCONFIRMED = "unconfirmed"
    WATCHED = "watched"
    UNWATCHED = "unwatched"
    MISSED = "missed"


class FreshnessEvent(Enum):
    """Events of the polls of service discovery; the values are written to the log."""

    ANSWER_BEGUN = "begun"
    """The headers of an answer with a list arrived; its changes count as notified from the start of the answer."""

    ANSWERED = "answered"
    """An answer is complete, and the list is up to date."""

    TIMED_OUT = "given up"
    """A poll was not answered within its timeout."""

    FAILED = "failed"
    """The poll was rejected, the answer was not a list, the connection was reset, or this machine failed."""

    REFUSED = "refused"
    """A machine without a listening process refused the dial, so service discovery is down at this moment."""

    UNREACHABLE = "unreachable"
    """The other machine did not reply to the dial."""

    ADDRESS_CHANGED = "moved"
    """A new configuration contains another address of service discovery."""


TRANSITIONS: dict[tuple[FreshnessState, FreshnessEvent], FreshnessState] = {
    (FreshnessState.UNCONFIRMED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
    # While service discovery is down, the given list is the best information available.
    (FreshnessState.UNCONFIRMED, FreshnessEvent.REFUSED): FreshnessState.UNWATCHED,
    (FreshnessState.UNCONFIRMED, FreshnessEvent.UNREACHABLE): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.TIMED_OUT): FreshnessState.MISSED,
    (FreshnessState.WATCHED, FreshnessEvent.FAILED): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.REFUSED): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.UNREACHABLE): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.ADDRESS_CHANGED): FreshnessState.UNWATCHED,
    (FreshnessState.UNWATCHED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
    (FreshnessState.MISSED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
}
"""Next state by state and event; any pair not listed leaves the state unchanged."""

LIMIT_EXTENSIONS: set[tuple[FreshnessState, FreshnessEvent]] = {
    (FreshnessState.UNCONFIRMED, FreshnessEvent.REFUSED),
    (FreshnessState.UNCONFIRMED, FreshnessEvent.UNREACHABLE),
    (FreshnessState.UNWATCHED, FreshnessEvent.REFUSED),
}
"""Pairs that extend the limit: discovery is down or the list is unconfirmed, so changes can be missed only later."""


class Freshness:
    """Tracks how long the endpoint list may be used, from the start of the process.

    The limit is enforced if the platform provides the configuration. If the operators run service discovery themselves
    (``Config.paced``), the last list is used until another one arrives, and only the state matters.

    Attributes:
        pushed: Whether the platform pushes lists, so that a change counts as notified at once while no watch is open.
        state: State of the list, by the changes that the list may lack.
        usable_until: Time at which the list becomes stale, in ms; infinite if no change can be missing, minus infinity
            before the list is usable for the first time.
    """

    def __init__(self, pushed: bool, poll_interval: float, grace: float) -> None:
        """Starts with an unconfirmed list.

        Args:
            pushed: Whether the platform pushes lists.
            poll_interval: Time from a change until the change counts as notified, in ms, if lists are not pushed.
            grace: Time for which a draining server may still get new work, in ms.
        """
        self.pushed = pushed
        self.state = FreshnessState.UNCONFIRMED
        self.usable_until = -inf
        self._notified_after = 0.0 if pushed else min(poll_interval, SILENT_NOTIFIED_AFTER_MS)
        self._address_change_notified_after = (
            ADDRESS_CHANGE_NOTIFIED_AFTER_MS if pushed else min(poll_interval, ADDRESS_CHANGE_NOTIFIED_AFTER_MS)
        )
        self._grace = max(0.0, grace - min(GRACE_MARGIN_MS, grace * GRACE_MARGIN_SHARE))

    @property
    def retry_pause(self) -> float | None:
        """Returns the pause before the next poll, in ms; None, which permits a backoff, if lists are not pushed."""
        if not self.pushed:
            return None
        return max(SHORTEST_RETRY_PAUSE_MS, self._grace / RETRIES_IN_GRACE)

    @property
    def may_miss_changes(self) -> bool:
        """Returns whether the list may lack a notified change, so that the next poll should be answered immediately."""
        return self.state is not FreshnessState.WATCHED

    def remaining(self, now: float) -> float:
        """Returns the time, in ms, for which a process that starts with this list now could use the list."""
        return max(0.0, min(self.usable_until, self._unwatched_until(now)) - now)

    def begin(self, now: float, remaining: float = 0.0) -> None:
        """Starts with a list that another process found usable for ``remaining`` more ms; 0 for an unknown age."""
        if remaining > 0.0:
            self.state = FreshnessState.UNWATCHED
            longest_after_handover = HANDOVER_NOTIFIED_AFTER_MS + self._grace
            self.usable_until = now + min(remaining, self._notified_after + self._grace, longest_after_handover)

    def poll_sent(self, now: float, wait: float) -> None:
        """Records a poll that waits ``wait`` ms for a change; the poll is a watch only if it follows an answer."""
        if self.state is FreshnessState.WATCHED:
            notified_after = max(SILENT_NOTIFIED_AFTER_MS, wait + NOTIFIED_AFTER_WAIT_MS)
            self.usable_until = min(self.usable_until, now + notified_after + self._grace)

    def apply(self, event: FreshnessEvent, now: float) -> None:
        """Applies an event of a poll, or a change of the address of service discovery, at time ``now`` in ms."""
        previous_state = self.state
        self.state = TRANSITIONS.get((previous_state, event), previous_state)
        if event is FreshnessEvent.ANSWERED:
            self.usable_until = inf
        elif (previous_state, event) in LIMIT_EXTENSIONS:
            # A stale list stays stale: discovery may have been up since, and changes made then count as notified.
            if previous_state is FreshnessState.UNCONFIRMED or now < self.usable_until:
                self.usable_until = max(self.usable_until, self._unwatched_until(now))
        elif event is FreshnessEvent.ANSWER_BEGUN:
            self.usable_until = min(self.usable_until, now + self._grace)
        elif event is FreshnessEvent.ADDRESS_CHANGED:
            self.usable_until = min(self.usable_until, now + self._address_change_notified_after + self._grace)
        elif previous_state is FreshnessState.WATCHED and self.state is FreshnessState.UNWATCHED:
            # The watch may have been broken before it ended, so an earlier limit set for its poll stays in force.
            self.usable_until = min(self.usable_until, self._unwatched_until(now))

    def _unwatched_until(self, now: float) -> float:
        """Returns the time, in ms, until which a list may be used if its watch ends now."""
        return now + self._notified_after + self._grace

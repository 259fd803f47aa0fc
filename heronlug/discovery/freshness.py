"""Until when the endpoint list may be used: the time at which a change that has not arrived counts as notified.

Whatever happens to the polls of service discovery, a change that it has made counts as notified some time later. Past
that time and the grace for drains, a server that has left may get no new work. So a list may be used until the earliest
moment at which a change that is missing here could have come to that point; then nothing but an answer renews it.

Only :class:`Freshness` changes the state, by the two tables below; the module does no I/O and has no clock.

=========== ====================================================================================================
state       what may have been notified and is missing here
=========== ====================================================================================================
UNCONFIRMED anything: the list was given at the start of the process, and its age is unknown
WATCHED     what the poll in flight has missed, if its connection has died without a sign
UNWATCHED   what has changed since the watch ended
MISSED      what a silent watch did not bring; its clock runs from its last poll, whatever is polled later
=========== ====================================================================================================

Times are in milliseconds on one clock.
"""

from enum import Enum
from math import inf

SILENT_NOTIFIED_AFTER_MS = 6_000.0
"""A change counts as notified so long after it was made, if discovery could be reached or a silent poll missed it."""

NOTIFIED_AFTER_WAIT_MS = 2_000.0
"""What a silent poll missed counts as notified so long after the end of its wait, if that is later."""

HANDOVER_NOTIFIED_AFTER_MS = 2_000.0
"""A change counts as notified so long after a hot restart."""

MOVE_NOTIFIED_AFTER_MS = 4_000.0
"""A change counts as notified so long after a new configuration, as the protocol has it for pushed lists."""

GRACE_MARGIN_MS = 150.0
"""Reserved from the grace, because a process may be delayed between its clock and its write."""

GRACE_MARGIN_SHARE = 1 / 4
"""The margin is at most this share of the grace."""

RETRIES_IN_GRACE = 6
"""Where lists are pushed, a broken watch is opened again so often within the grace."""

SHORTEST_RETRY_PAUSE_MS = 50.0


class FreshnessState(Enum):
    """What is known of the list that is held; the values stand in the log."""

    UNCONFIRMED = "unconfirmed"
    WATCHED = "watched"
    UNWATCHED = "unwatched"
    MISSED = "missed"


class FreshnessEvent(Enum):
    """What can happen to the polls of service discovery; the values stand in the log."""

    ANSWER_BEGUN = "begun"
    """The first bytes of an answer came; its changes count from its writing on."""

    ANSWERED = "answered"
    """The list is complete as of now."""

    TIMED_OUT = "given up"
    """A poll brought nothing in its time."""

    FAILED = "failed"
    """An answer rejected the poll or was no list, the connection was reset, or this machine failed."""

    REFUSED = "refused"
    """A machine on which nothing listens refused the dial: discovery is down at this moment."""

    UNREACHABLE = "unreachable"
    """Nothing replied to the dial."""

    MOVED = "moved"
    """A new configuration names another address."""


TRANSITIONS: dict[tuple[FreshnessState, FreshnessEvent], FreshnessState] = {
    (FreshnessState.UNCONFIRMED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
    # Without service discovery nothing can be known but the list.
    (FreshnessState.UNCONFIRMED, FreshnessEvent.REFUSED): FreshnessState.UNWATCHED,
    (FreshnessState.UNCONFIRMED, FreshnessEvent.UNREACHABLE): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.TIMED_OUT): FreshnessState.MISSED,
    (FreshnessState.WATCHED, FreshnessEvent.FAILED): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.REFUSED): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.UNREACHABLE): FreshnessState.UNWATCHED,
    (FreshnessState.WATCHED, FreshnessEvent.MOVED): FreshnessState.UNWATCHED,
    (FreshnessState.UNWATCHED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
    (FreshnessState.MISSED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
}
"""Where an event leads; all others leave the state as it is."""

RENEWALS: set[tuple[FreshnessState, FreshnessEvent]] = {
    (FreshnessState.UNCONFIRMED, FreshnessEvent.REFUSED),
    (FreshnessState.UNCONFIRMED, FreshnessEvent.UNREACHABLE),
    (FreshnessState.UNWATCHED, FreshnessEvent.REFUSED),
}
"""Events after which a missing change can only have been made later: discovery is down, or nothing is known."""


class Freshness:
    """The clock of one list, from the start of a process on.

    Attributes:
        pushed: Whether the platform pushes lists, so that a change counts at once where no watch is open.
        state: What is known of the list.
        usable_until: When the list becomes stale, in ms.
    """

    def __init__(self, pushed: bool, poll_interval: float, grace: float) -> None:
        """Begin with an unconfirmed list.

        Args:
            pushed: Whether the platform pushes lists.
            poll_interval: Where lists are not pushed, a change counts as notified so long after it was made, in ms.
            grace: How long a draining server may still get new work, in ms.
        """
        self.pushed = pushed
        self.state = FreshnessState.UNCONFIRMED
        self.usable_until = -inf
        self._notified_after = 0.0 if pushed else min(poll_interval, SILENT_NOTIFIED_AFTER_MS)
        self._move_notified_after = MOVE_NOTIFIED_AFTER_MS if pushed else min(poll_interval, MOVE_NOTIFIED_AFTER_MS)
        self._grace = max(0.0, grace - min(GRACE_MARGIN_MS, grace * GRACE_MARGIN_SHARE))

    @property
    def retry_pause(self) -> float | None:
        """The pause before the next poll, in ms, where the protocol leaves no time for a backoff; else None."""
        if not self.pushed:
            return None
        return max(SHORTEST_RETRY_PAUSE_MS, self._grace / RETRIES_IN_GRACE)

    @property
    def may_miss_changes(self) -> bool:
        """Whether a notified change may be missing here, so that only an immediate answer helps."""
        return self.state is not FreshnessState.WATCHED

    def remaining(self, now: float) -> float:
        """How long, in ms, the list would be usable in a process that begins with it now."""
        return max(0.0, min(self.usable_until, self._unwatched_until(now)) - now)

    def begin(self, now: float, remaining: float = 0.0) -> None:
        """Start with a list that another process knows to be usable for ``remaining`` ms; 0 for an unknown age."""
        if remaining > 0.0:
            self.state = FreshnessState.UNWATCHED
            after_handover = HANDOVER_NOTIFIED_AFTER_MS + self._grace
            self.usable_until = now + min(remaining, self._notified_after + self._grace, after_handover)

    def poll_sent(self, now: float, wait: float) -> None:
        """A poll was sent that waits ``wait`` ms for a change; it is a watch only if it follows an answer."""
        if self.state is FreshnessState.WATCHED:
            notified_after = max(SILENT_NOTIFIED_AFTER_MS, wait + NOTIFIED_AFTER_WAIT_MS)
            self.usable_until = min(self.usable_until, now + notified_after + self._grace)

    def apply(self, event: FreshnessEvent, now: float) -> None:
        """Take in what happened to a poll, or to the address of service discovery."""
        before = self.state
        self.state = TRANSITIONS.get((before, event), before)
        if event is FreshnessEvent.ANSWERED:
            self.usable_until = inf
        elif (before, event) in RENEWALS:
            # A list that has become stale stays so: discovery was up meanwhile, and what changed then counts.
            if before is FreshnessState.UNCONFIRMED or now < self.usable_until:
                self.usable_until = max(self.usable_until, self._unwatched_until(now))
        elif event is FreshnessEvent.ANSWER_BEGUN:
            self.usable_until = min(self.usable_until, now + self._grace)
        elif event is FreshnessEvent.MOVED:
            self.usable_until = min(self.usable_until, now + self._move_notified_after + self._grace)
        elif before is FreshnessState.WATCHED and self.state is FreshnessState.UNWATCHED:
            # The watch may have been silent before it ended, so its own clock goes on.
            self.usable_until = min(self.usable_until, self._unwatched_until(now))

    def _unwatched_until(self, now: float) -> float:
        """Until when a list may be used whose watch ends now."""
        return now + self._notified_after + self._grace

"""Until when the endpoint list may be used while service discovery does not answer.

Service discovery notifies dispatchers of a change by answering their polls. From the moment at which a change counts as
notified the grace runs: a server that has left may still get new work until it is over, and none afterwards. A change
counts as notified some time after it was made, even if the answer never arrived here. So whenever an answer is
overdue, the list may lack a change, and it becomes stale at the earliest moment at which the grace after such a change
could be over. From then on only an answer makes it usable again.

Example: lists are pushed, and of a grace of 1000 ms 850 are left after the margin. An answer arrives at 8 s; the list
is usable without a limit. The next poll is sent at 9 s and waits 20 s for a change. Its connection may have died
without a sign, and what it misses counts as notified 22 s after it was sent at the latest: the list is usable until
9 + 22 + 0.85 = 31.85 s. At 10 s the connection is reset. What changes from now on counts as notified at once: the list
is usable until 10.85 s. (Where lists are not pushed but polled every 2 s, until 12.85 s.) An answer at 10.5 s ends the
limit.

Only :class:`Freshness` changes the state, by the two tables below; the module does no I/O and has no clock.

=========== ====================================================================================================
state       what may have been notified and is missing here
=========== ====================================================================================================
UNCONFIRMED anything: the list was given at the start of the process, and its age is unknown; it is not usable
WATCHED     what the poll in flight has missed, if its connection has died without a sign
UNWATCHED   what has changed since the watch ended
MISSED      what a poll that timed out did not bring; the limit set when it was sent stays, whatever is polled later
=========== ====================================================================================================

Times are in milliseconds on one clock.
"""

from enum import Enum
from math import inf

SILENT_NOTIFIED_AFTER_MS = 6_000.0
"""A change counts as notified so long after it was made at the latest, in ms, even if its answer did not arrive."""

NOTIFIED_AFTER_WAIT_MS = 2_000.0
"""What a poll without an answer missed counts as notified so long after its wait, in ms, if that is later."""

HANDOVER_NOTIFIED_AFTER_MS = 2_000.0
"""What another process has missed counts as notified at most so long after it handed its list over, in ms."""

ADDRESS_CHANGE_NOTIFIED_AFTER_MS = 4_000.0
"""A change counts as notified so long after discovery's address was changed, in ms, as the protocol has it."""

GRACE_MARGIN_MS = 150.0
"""Taken off the grace, in ms, because a process may be delayed between reading the clock and its write."""

GRACE_MARGIN_SHARE = 1 / 4
"""The margin is at most this fraction of the grace."""

RETRIES_IN_GRACE = 6
"""Where lists are pushed, a broken watch is opened again so often within the grace."""

SHORTEST_RETRY_PAUSE_MS = 50.0
"""The shortest pause before a broken watch is opened again, in ms."""


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

    ADDRESS_CHANGED = "moved"
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
    (FreshnessState.WATCHED, FreshnessEvent.ADDRESS_CHANGED): FreshnessState.UNWATCHED,
    (FreshnessState.UNWATCHED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
    (FreshnessState.MISSED, FreshnessEvent.ANSWERED): FreshnessState.WATCHED,
}
"""Where an event leads; all others leave the state as it is."""

LIMIT_EXTENSIONS: set[tuple[FreshnessState, FreshnessEvent]] = {
    (FreshnessState.UNCONFIRMED, FreshnessEvent.REFUSED),
    (FreshnessState.UNCONFIRMED, FreshnessEvent.UNREACHABLE),
    (FreshnessState.UNWATCHED, FreshnessEvent.REFUSED),
}
"""Events after which a missing change can only have been made later: discovery is down, or nothing is known."""


class Freshness:
    """Until when one endpoint list may be used, from the start of a process on.

    The limit is enforced where the platform gives the configuration. With a service discovery of the operators' own
    (``Config.paced``) the last list is used until another comes, and only the state matters.

    Attributes:
        pushed: Whether the platform pushes lists, so that a change counts at once where no watch is open.
        state: What is known of the list.
        usable_until: When the list becomes stale, in ms; infinite if no change can be missing.
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
        self._address_change_notified_after = (
            ADDRESS_CHANGE_NOTIFIED_AFTER_MS if pushed else min(poll_interval, ADDRESS_CHANGE_NOTIFIED_AFTER_MS)
        )
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
            longest_after_handover = HANDOVER_NOTIFIED_AFTER_MS + self._grace
            self.usable_until = now + min(remaining, self._notified_after + self._grace, longest_after_handover)

    def poll_sent(self, now: float, wait: float) -> None:
        """A poll was sent that waits ``wait`` ms for a change; it is a watch only if it follows an answer."""
        if self.state is FreshnessState.WATCHED:
            notified_after = max(SILENT_NOTIFIED_AFTER_MS, wait + NOTIFIED_AFTER_WAIT_MS)
            self.usable_until = min(self.usable_until, now + notified_after + self._grace)

    def apply(self, event: FreshnessEvent, now: float) -> None:
        """Take in what happened to a poll, or to the address of service discovery."""
        previous_state = self.state
        self.state = TRANSITIONS.get((previous_state, event), previous_state)
        if event is FreshnessEvent.ANSWERED:
            self.usable_until = inf
        elif (previous_state, event) in LIMIT_EXTENSIONS:
            # A list that has become stale stays so: discovery was up meanwhile, and what changed then counts.
            if previous_state is FreshnessState.UNCONFIRMED or now < self.usable_until:
                self.usable_until = max(self.usable_until, self._unwatched_until(now))
        elif event is FreshnessEvent.ANSWER_BEGUN:
            self.usable_until = min(self.usable_until, now + self._grace)
        elif event is FreshnessEvent.ADDRESS_CHANGED:
            self.usable_until = min(self.usable_until, now + self._address_change_notified_after + self._grace)
        elif previous_state is FreshnessState.WATCHED and self.state is FreshnessState.UNWATCHED:
            # The watch may have been silent before it ended, so its own clock goes on.
            self.usable_until = min(self.usable_until, self._unwatched_until(now))

    def _unwatched_until(self, now: float) -> float:
        """Until when a list may be used whose watch ends now."""
        return now + self._notified_after + self._grace

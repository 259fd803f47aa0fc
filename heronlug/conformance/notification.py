"""Determines when a change of the endpoint list counts as notified to a dispatcher, from discovery's records alone.

Rule 3 is checked with these times. For independence, this module imports no code and no constant of the checked
dispatcher. A change that discovery has not written to a dispatcher counts as notified even if the change never arrives:

- if the dispatcher has no open watch, 6 s after discovery has made the change and is reachable for the dispatcher;
- if a watch was open at the time of the change, 6 s after the change or 2 s after the end of the watch's wait,
  whichever is later; if that watch has ended in the meantime, 6 s after the end of the watch, if that is earlier and
  discovery is reachable.

A change that discovery has written counts from the time of the write. These times apply to a dispatcher as a whole,
whichever of its processes runs, even if none runs. If two sentences of the protocol give different times, the earlier
time counts, except for a watch that appears healthy.

Times are in milliseconds.
"""

from math import inf
from typing import NamedTuple

COUNTS_AFTER_MS = 6_000.0
"""Time, in ms, from when a change could have arrived until the change counts even if it has not arrived."""
COUNTS_AFTER_WAIT_MS = 2_000.0
"""Time, in ms, from the end of a watch's wait until a missed change counts, unless ``COUNTS_AFTER_MS`` ends later."""
READY = "ready"
"""State of a server that accepts requests, as written in the records."""


class Notified(NamedTuple):
    """The time from which a server counts as draining or gone for a dispatcher.

    Attributes:
        at: Time from which the change counts as notified.
        reason: Reason for this time, as a clause that completes "the server's change counted as notified, which".
    """

    at: float
    reason: str


class Watch(NamedTuple):
    """A watch call that waits for a change at discovery.

    Attributes:
        call: Number of the call, unique within a run.
        opened_at: Time at which discovery received the call.
        wait_ms: Longest time that the call waits.
    """

    call: int
    opened_at: float
    wait_ms: float

    @property
    def missed_change_counts_at(self) -> float:
        """Returns the latest time at which a change made right after the call, and missed by this watch, counts."""
        return max(self.opened_at + COUNTS_AFTER_MS, self.opened_at + self.wait_ms + COUNTS_AFTER_WAIT_MS)


class UnwrittenChange(NamedTuple):
    """A change that has not been written to a dispatcher.

    Attributes:
        at: Time of the change.
        watch: Watch that was open at that time; None if there was none.
        reachable_at: Earliest time from ``at`` on at which discovery was reachable; None if discovery has been
            unreachable since.
    """

    at: float
    watch: Watch | None
    reachable_at: float | None

    @property
    def counts_at(self) -> float:
        """Returns the time at which the change counts as notified, even if the change never arrives."""
        if self.watch is not None:
            return max(self.at + COUNTS_AFTER_MS, self.watch.missed_change_counts_at)
        return self.reachable_at + COUNTS_AFTER_MS if self.reachable_at is not None else inf

    @property
    def reason(self) -> str:
        """Returns the reason for ``counts_at``, as a clause for a violation message."""
        if self.watch is not None:
            return "was missed by a watch"
        return f"was made at {self.at:.0f} ms, and discovery was reachable at {self.reachable_at:.0f} ms"


class DispatcherNotifications:
    """The changes that count as notified to one dispatcher, or that will.

    Attributes:
        reachable: Whether discovery is reachable for the dispatcher now.
        watch: Open watch of the dispatcher; None if there is none.
        unwritten: First change to draining or gone that was not written to the dispatcher, by server.
        written: Change to draining or gone that was written to the dispatcher, by server.
    """

    __slots__ = ("reachable", "unwritten", "watch", "written")

    def __init__(self) -> None:
        self.reachable = True
        self.watch: Watch | None = None
        self.unwritten: dict[str, UnwrittenChange] = {}
        self.written: dict[str, Notified] = {}

    def add_unwritten(self, server: str, at: float, watch: Watch | None) -> None:
        """Adds a change that has not been written to the dispatcher.

        Args:
            server: Name of the server.
            at: Time of the change.
            watch: Watch that was open at that time; None if there was none.
        """
        self.unwritten[server] = UnwrittenChange(at, watch, at if self.reachable else None)

    def end_watch(self, at: float, call: int) -> None:
        """Ends a watch.

        A change that the watch missed now counts ``COUNTS_AFTER_MS`` after this end, if that is earlier.
        """
        if self.watch is not None and self.watch.call == call:
            self.watch = None
        for server, change in self.unwritten.items():
            missed = change.watch is not None and change.watch.call == call
            if missed and at + COUNTS_AFTER_MS < change.counts_at:
                self.add_unwritten(server, at, None)


class NotificationHistory:
    """Records the changes and watch calls of a run by dispatcher."""

    def __init__(self) -> None:
        self._dispatchers: dict[str, DispatcherNotifications] = {}

    def notifications_of(self, name: str) -> DispatcherNotifications:
        """Returns the notifications of a dispatcher, which are created on first use."""
        return self._dispatchers.setdefault(name, DispatcherNotifications())

    def record_change(self, at: float, server: str, state: str) -> None:
        """Records that discovery has changed the state of a server."""
        for dispatcher in self._dispatchers.values():
            if state == READY:
                dispatcher.unwritten.pop(server, None)
                dispatcher.written.pop(server, None)
            elif server not in dispatcher.written and server not in dispatcher.unwritten:
                dispatcher.add_unwritten(server, at, dispatcher.watch)

    def record_written(self, at: float, dispatcher: str, server: str, state: str) -> None:
        """Records that discovery has written the state of a server to a dispatcher."""
        notifications = self.notifications_of(dispatcher)
        change = notifications.unwritten.pop(server, None)
        if state == READY:
            notifications.written.pop(server, None)
        elif change is not None and change.counts_at < at:
            notifications.written.setdefault(server, Notified(change.counts_at, change.reason))
        else:
            notifications.written.setdefault(server, Notified(at, "was written"))

    def record_watch(self, at: float, dispatcher: str, call: int, wait_ms: float) -> None:
        """Records that a watch call of a dispatcher waits for a change."""
        self.notifications_of(dispatcher).watch = Watch(call, at, wait_ms)

    def record_watch_end(self, at: float, dispatcher: str, call: int) -> None:
        """Records that a watch call was answered, or that the connection of the call has ended."""
        self.notifications_of(dispatcher).end_watch(at, call)

    def record_reachability(self, at: float, dispatcher: str, reachable: bool) -> None:
        """Records that discovery has become reachable or unreachable for a dispatcher."""
        notifications = self.notifications_of(dispatcher)
        notifications.reachable = reachable
        if not reachable:
            return
        for server, change in notifications.unwritten.items():
            if change.reachable_at is None:
                notifications.unwritten[server] = change._replace(reachable_at=at)

    def notified_since(self, dispatcher: str, server: str) -> Notified | None:
        """Returns when a server starts to count as draining or gone for a dispatcher, and why; None if never.

        The time may be in the future.
        """
        notifications = self.notifications_of(dispatcher)
        if server in notifications.written:
            return notifications.written[server]
        change = notifications.unwritten.get(server)
        if change is None or change.counts_at == inf:
            return None
        return Notified(change.counts_at, change.reason)

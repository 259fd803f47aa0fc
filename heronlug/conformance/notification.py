"""When a change of the endpoint list counts as notified to a dispatcher, from the records of discovery alone.

This decides for rule 3 without what it judges: it imports nothing of that and takes no constant from it. A change that
discovery has made and not written to a dispatcher counts, whether or not it ever arrives,

- 6 s after discovery had it and could be reached by that dispatcher, where that has no watch;
- where a watch was open when the change was made: 6 s after it, or 2 s after the wait of that call is over, if that is
  later; and where the watch has ended meanwhile, 6 s after that end, if that is sooner and discovery can be reached.

What was written counts from its writing. All this holds for a dispatcher, whichever of its processes runs, or none.
Where two sentences of the protocol give different times the earlier one counts, except for a watch that looks healthy.

Times are in milliseconds.
"""

from math import inf
from typing import NamedTuple

COUNTS_AFTER_MS = 6_000.0
"""A change that has not arrived counts this long after it could have."""
COUNTS_AFTER_WAIT_MS = 2_000.0
"""A change that a watch has missed counts this long after the wait of the watch is over, if that is later."""
READY = "ready"
"""The state of a server that takes requests, in the records."""


class Notified(NamedTuple):
    """A server counts as draining or gone for a dispatcher.

    Attributes:
        at: since when.
        reason: why since then; completes "its change counted as notified, which".
    """

    at: float
    reason: str


class Watch(NamedTuple):
    """A call that waits for an event.

    Attributes:
        call: its number.
        opened_at: when it came.
        wait_ms: how long it waits at most.
    """

    call: int
    opened_at: float
    wait_ms: float

    @property
    def missed_change_counts_at(self) -> float:
        """When a change that it does not bring counts at the latest, if it was made right after the call."""
        return max(self.opened_at + COUNTS_AFTER_MS, self.opened_at + self.wait_ms + COUNTS_AFTER_WAIT_MS)


class UnwrittenChange(NamedTuple):
    """A change that has not been written to a dispatcher.

    Attributes:
        at: when it was made.
        watch: that was open then.
        reachable_at: the first moment from then on at which discovery could be reached; None: not yet.
    """

    at: float
    watch: Watch | None
    reachable_at: float | None

    @property
    def counts_at(self) -> float:
        """When it counts as notified, whether or not it arrives."""
        if self.watch is not None:
            return max(self.at + COUNTS_AFTER_MS, self.watch.missed_change_counts_at)
        return self.reachable_at + COUNTS_AFTER_MS if self.reachable_at is not None else inf

    @property
    def reason(self) -> str:
        """Why it counts then."""
        if self.watch is not None:
            return "was missed by a watch"
        return f"was made at {self.at:.0f}, and discovery could be reached at {self.reachable_at:.0f}"


class DispatcherNotifications:
    """What one dispatcher counts as notified of.

    Attributes:
        reachable: whether it can reach discovery now.
        watch: that it has open.
        unwritten: by server, the first change to draining or gone that was not written to it.
        written: by server, the change to draining or gone that was written to it.
    """

    __slots__ = ("reachable", "unwritten", "watch", "written")

    def __init__(self) -> None:
        self.reachable = True
        self.watch: Watch | None = None
        self.unwritten: dict[str, UnwrittenChange] = {}
        self.written: dict[str, Notified] = {}

    def add_unwritten(self, server: str, at: float, watch: Watch | None) -> None:
        """A change that was made at a time has not been written."""
        self.unwritten[server] = UnwrittenChange(at, watch, at if self.reachable else None)

    def end_watch(self, at: float, call: int) -> None:
        """A watch has ended: what it has missed counts as long after that as without a watch, if that is sooner."""
        if self.watch is not None and self.watch.call == call:
            self.watch = None
        for server, change in self.unwritten.items():
            missed = change.watch is not None and change.watch.call == call
            if missed and at + COUNTS_AFTER_MS < change.counts_at:
                self.add_unwritten(server, at, None)


class NotificationHistory:
    """The changes and calls of a run, by dispatcher."""

    def __init__(self) -> None:
        self._dispatchers: dict[str, DispatcherNotifications] = {}

    def notifications_of(self, name: str) -> DispatcherNotifications:
        """What is known of a dispatcher; one that is new starts here."""
        return self._dispatchers.setdefault(name, DispatcherNotifications())

    def record_change(self, at: float, server: str, state: str) -> None:
        """Discovery has another state of a server."""
        for dispatcher in self._dispatchers.values():
            if state == READY:
                dispatcher.unwritten.pop(server, None)
                dispatcher.written.pop(server, None)
            elif server not in dispatcher.written and server not in dispatcher.unwritten:
                dispatcher.add_unwritten(server, at, dispatcher.watch)

    def record_written(self, at: float, dispatcher: str, server: str, state: str) -> None:
        """Discovery has written a state of a server to a dispatcher."""
        notifications = self.notifications_of(dispatcher)
        change = notifications.unwritten.pop(server, None)
        if state == READY:
            notifications.written.pop(server, None)
        elif change is not None and change.counts_at < at:
            notifications.written.setdefault(server, Notified(change.counts_at, change.reason))
        else:
            notifications.written.setdefault(server, Notified(at, "was written"))

    def record_watch(self, at: float, dispatcher: str, call: int, wait_ms: float) -> None:
        """A call of a dispatcher waits for an event."""
        self.notifications_of(dispatcher).watch = Watch(call, at, wait_ms)

    def record_watch_end(self, at: float, dispatcher: str, call: int) -> None:
        """That call was answered, or its connection has ended."""
        self.notifications_of(dispatcher).end_watch(at, call)

    def record_reachability(self, at: float, dispatcher: str, reachable: bool) -> None:
        """Discovery can be reached by a dispatcher from now on, or not any more."""
        notifications = self.notifications_of(dispatcher)
        notifications.reachable = reachable
        if not reachable:
            return
        for server, change in notifications.unwritten.items():
            if change.reachable_at is None:
                notifications.unwritten[server] = change._replace(reachable_at=at)

    def notified_since(self, dispatcher: str, server: str) -> Notified | None:
        """Since when a server counts as draining or gone for a dispatcher; None: it does not, as far as is known."""
        notifications = self.notifications_of(dispatcher)
        if server in notifications.written:
            return notifications.written[server]
        change = notifications.unwritten.get(server)
        if change is None or change.counts_at == inf:
            return None
        return Notified(change.counts_at, change.reason)

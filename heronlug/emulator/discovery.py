"""Emulates service discovery: delivers each change of the endpoint list to each dispatcher after a random lag.

If calls have a cost, service discovery handles them one after another and rejects a call that would wait too long. A
dispatcher first requests the list and then a watch; when a watch ends without an event, the dispatcher requests the
next watch.
"""

from collections.abc import Callable
from typing import Protocol

from heronlug.balancer.events import ListKind, ServerState
from heronlug.conformance import Called, Event
from heronlug.emulator.draws import Draws
from heronlug.emulator.timeline import Timeline
from heronlug.requests.model import ListedServer

REJECTION_COST_MS = 1.0
"""Time in ms that service discovery needs to reject a call."""
DEFAULT_MAX_WAIT_MS = 1000.0
"""Default maximum wait of a call in ms; a call that would wait longer is rejected."""


def _record_nothing(event: Event) -> None:
    """Discards an event."""


class ListWatcher(Protocol):
    """Interface of a dispatcher towards service discovery.

    Attributes:
        name: name of the dispatcher in events for the conformance checker.
        up: whether the dispatcher has a running process.
        incarnation: number of processes that the dispatcher has had, the present one included.
    """

    name: str
    up: bool
    incarnation: int

    @property
    def watch_timeout_ms(self) -> float:
        """Time in ms after which a watch without an event ends."""

    def receive_list(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Handles an endpoint list or a watch event."""

    def list_call_answered(self, took_ms: float) -> None:
        """Handles the answer to a list call, which took ``took_ms``."""

    def list_call_rejected(self) -> None:
        """Handles the rejection of a call; the dispatcher has no watch afterwards."""


class ServiceDiscovery:
    """Stores the endpoint list and sends changes to the dispatchers that watch the list.

    Attributes:
        entries: endpoint list, by server name.
        watchers: watching dispatchers, each with the arrival time in ms of the latest event sent to it; a later event
            arrives no earlier, so that events keep their order.
        silent: whether service discovery sends nothing.
        calls: number of calls, if calls have a cost.
        rejected_calls: number of these calls that were rejected.
        first_watch_at: by dispatcher name, the time in ms of the first watch.
    """

    def __init__(
        self,
        timeline: Timeline,
        lag: Draws,
        call_ms: float = 0.0,
        max_wait_ms: float = DEFAULT_MAX_WAIT_MS,
        record_event: Callable[[Event], None] = _record_nothing,
    ) -> None:
        """Creates a service discovery with an empty endpoint list.

        Args:
            timeline: virtual time of the run.
            lag: draws of the delay in ms until a list or an event reaches a dispatcher.
            call_ms: time in ms that one call occupies service discovery; 0 to answer all calls at once.
            max_wait_ms: longest wait of a call in ms; a call that would wait longer is rejected.
            record_event: called with an event for each call, if calls have a cost.
        """
        self.entries: dict[str, ListedServer] = {}
        self.watchers: dict[ListWatcher, float] = {}
        self.silent = False
        self.calls = 0
        self.rejected_calls = 0
        self.first_watch_at: dict[str, float] = {}
        self._timeline, self._lag, self._record_event = timeline, lag, record_event
        self._call_ms, self._max_wait_ms = call_ms, max_wait_ms
        self._idle_at = 0.0
        self._deferred_entries: list[ListedServer] = []

    def update(self, entry: ListedServer) -> None:
        """Adds or replaces the entry of a server."""
        self.entries[entry.name] = entry
        if self.silent:
            self._deferred_entries.append(entry)
            return
        for watcher in self.watchers:
            self._send(watcher, ListKind.CHANGES, [entry])

    def watch(self, watcher: ListWatcher) -> None:
        """Sends a dispatcher the whole list and, from then on, each change."""
        if self._call_ms:
            self._call(watcher, watcher.incarnation, self._answer_list_call)
        else:
            self._send_whole_list(watcher)

    def unwatch(self, watcher: ListWatcher) -> None:
        """Stops sending changes to a dispatcher."""
        self.watchers.pop(watcher, None)

    def end_silence(self) -> None:
        """Ends the silence and sends the changes that were deferred during the silence."""
        self.silent = False
        deferred, self._deferred_entries = self._deferred_entries, []
        if deferred:
            for watcher in self.watchers:
                self._send(watcher, ListKind.CHANGES, deferred)

    # -- calls with a cost

    def _call(self, watcher: ListWatcher, incarnation: int, answer: Callable[[ListWatcher, int, float], None]) -> None:
        """Queues a call, or rejects the call if it would wait too long."""
        if not _is_alive(watcher, incarnation):
            return
        now = self._timeline.now
        wait = max(0.0, self._idle_at - now)
        rejected = wait > self._max_wait_ms
        self.calls += 1
        self.rejected_calls += rejected
        self._record_event(Called(now, watcher.name, answer == self._answer_list_call, rejected, wait))
        if rejected:
            self._idle_at += REJECTION_COST_MS
            self.watchers.pop(watcher, None)
            self._timeline.schedule_after(self._lag.next(), self._reject, watcher, incarnation)
        else:
            took_ms = wait + self._call_ms
            self._idle_at = now + wait + self._call_ms
            self._timeline.schedule_at(self._idle_at, answer, watcher, incarnation, took_ms)

    def _reject(self, watcher: ListWatcher, incarnation: int) -> None:
        if _is_alive(watcher, incarnation):
            watcher.list_call_rejected()

    def _answer_list_call(self, watcher: ListWatcher, incarnation: int, took_ms: float) -> None:
        if _is_alive(watcher, incarnation):
            self._send_whole_list(watcher)
            watcher.list_call_answered(took_ms)
            self._call(watcher, incarnation, self._hold_watch_open)

    def _hold_watch_open(self, watcher: ListWatcher, incarnation: int, took_ms: float) -> None:
        if _is_alive(watcher, incarnation):
            self.first_watch_at.setdefault(watcher.name, self._timeline.now)
            timeout_ms = watcher.watch_timeout_ms
            self._timeline.schedule_after(timeout_ms, self._call, watcher, incarnation, self._hold_watch_open)

    # -- sending

    def _send_whole_list(self, watcher: ListWatcher) -> None:
        self.watchers[watcher] = self._timeline.now
        if not self.silent:
            listed = [entry for entry in self.entries.values() if entry.state is not ServerState.REMOVED]
            self._send(watcher, ListKind.FULL, listed)

    def _send(self, watcher: ListWatcher, kind: ListKind, entries: list[ListedServer]) -> None:
        arrives_at = max(self._timeline.now + self._lag.next(), self.watchers[watcher])
        self.watchers[watcher] = arrives_at
        self._timeline.schedule_at(arrives_at, self._deliver, watcher, kind, entries)

    def _deliver(self, watcher: ListWatcher, kind: ListKind, entries: list[ListedServer]) -> None:
        if watcher in self.watchers and watcher.up:
            watcher.receive_list(kind, entries)


def _is_alive(watcher: ListWatcher, incarnation: int) -> bool:
    """Returns whether the process that made a call is still running."""
    return watcher.up and incarnation == watcher.incarnation

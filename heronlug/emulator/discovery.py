"""Emulated service discovery: each change of the endpoint list reaches each dispatcher after a lag of its own.

Where a call costs something, calls are handled one after another, and a call that would wait too long is rejected. A
dispatcher calls for the list, then for a watch, and for a watch again when that has ended without an event.
"""

from collections.abc import Callable
from typing import Protocol

from heronlug.balancer.events import ListKind, ServerState
from heronlug.conformance import Called, Event
from heronlug.emulator.draws import Draws
from heronlug.emulator.timeline import Timeline
from heronlug.requests.model import ListedServer

REJECTION_COST_MS = 1.0
"""How long service discovery needs to reject a call."""
DEFAULT_MAX_WAIT_MS = 1000.0
"""How long a call waits at most before it is rejected, unless the scenario says otherwise."""


def _record_nothing(event: Event) -> None:
    """Record no event."""


class ListWatcher(Protocol):
    """A dispatcher, as service discovery knows it.

    Attributes:
        name: in the records of the conformance checker.
        up: whether it has a process.
        incarnation: how many processes it has had.
    """

    name: str
    up: bool
    incarnation: int

    @property
    def watch_timeout_ms(self) -> float:
        """How long its watch waits for an event."""

    def receive_list(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """An endpoint list or watch event has come."""

    def list_call_answered(self, took_ms: float) -> None:
        """A call for the list has been answered after so many ms."""

    def list_call_rejected(self) -> None:
        """A call has been rejected, and there is no watch."""


class ServiceDiscovery:
    """The endpoint list and its watchers.

    Attributes:
        entries: the list, by server.
        watchers: the dispatchers that watch, each with the time of the last event to it, since events keep their order.
        silent: whether nothing is sent to anybody.
        calls: that came, where they cost something.
        rejected_calls: those of them that were rejected.
        first_watch_at: when a watch of a dispatcher was first held open, by name.
    """

    def __init__(
        self,
        timeline: Timeline,
        lag: Draws,
        call_ms: float = 0.0,
        max_wait_ms: float = DEFAULT_MAX_WAIT_MS,
        record_event: Callable[[Event], None] = _record_nothing,
    ) -> None:
        """Start with an empty list.

        Args:
            timeline: the time that it runs in.
            lag: draws of the time until something reaches a dispatcher, in ms.
            call_ms: what a call costs; 0: calls are answered at once, all of them.
            max_wait_ms: how long a call waits at most before it is rejected.
            record_event: called with an event for each call that costs something.
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
        """Add or change the entry of a server."""
        self.entries[entry.name] = entry
        if self.silent:
            self._deferred_entries.append(entry)
            return
        for watcher in self.watchers:
            self._send(watcher, ListKind.CHANGES, [entry])

    def watch(self, watcher: ListWatcher) -> None:
        """Send a dispatcher the whole list, and each change from then on."""
        if self._call_ms:
            self._call(watcher, watcher.incarnation, self._answer_list_call)
        else:
            self._send_whole_list(watcher)

    def unwatch(self, watcher: ListWatcher) -> None:
        """Send a dispatcher nothing more."""
        self.watchers.pop(watcher, None)

    def end_silence(self) -> None:
        """Send again, with all that was held back."""
        self.silent = False
        deferred, self._deferred_entries = self._deferred_entries, []
        if deferred:
            for watcher in self.watchers:
                self._send(watcher, ListKind.CHANGES, deferred)

    # -- calls that cost something

    def _call(self, watcher: ListWatcher, incarnation: int, answer: Callable[[ListWatcher, int, float], None]) -> None:
        """Queue a call, or reject it if it would wait too long."""
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

    # -- what is sent

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
    """Whether the process that made a call still runs."""
    return watcher.up and incarnation == watcher.incarnation

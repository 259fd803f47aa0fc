"""The node register as dispatchers hear of it: each change comes to each one after a lag of its own.

Where a call costs something the register works through calls one after another, and turns away what would wait too
long. Whoever reads calls for the list and again for a watch, and for a watch again when that has waited in vain.
"""

from collections.abc import Callable
from typing import Protocol

from heronlug.balancer.events import ListKind, ServerState
from heronlug.conformance import Called, Event
from heronlug.emulator.draws import Draws
from heronlug.emulator.timeline import Timeline
from heronlug.requests.model import ListedServer

REJECTION_COST_MS = 1.0  # ms that it costs to turn a call away


class ListWatcher(Protocol):
    """Who watches."""

    name: str
    up: bool
    incarnation: int

    @property
    def watch_timeout_ms(self) -> float:
        """How long its watch waits for news."""

    def receive_list(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """News."""

    def list_call_answered(self, took: float) -> None:
        """A call that did not wait for news has been answered."""

    def list_call_rejected(self) -> None:
        """A call has been turned away, and there is no watch."""


class ServiceDiscovery:
    """All entries, and who watches them."""

    def __init__(
        self,
        line: Timeline,
        lag: Draws,
        call_ms: float = 0.0,
        wait_most: float = 1000.0,
        tell: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self.entries: dict[str, ListedServer] = {}
        self.watchers: dict[ListWatcher, float] = {}  # and up to when each has been told: news keep their order
        self.silent = False
        self.calls = self.rejected_calls = 0
        self.first_watch_at: dict[str, float] = {}  # when a reader's first watch waited for news
        self._timeline, self._lag, self._record_event = line, lag, tell
        self._call_ms, self._max_wait_ms, self._idle_at = call_ms, wait_most, 0.0
        self._held_back: list[ListedServer] = []

    def update(self, entry: ListedServer) -> None:
        """A host's entry is new or other."""
        self.entries[entry.name] = entry
        if self.silent:
            self._held_back.append(entry)
        else:
            for reader in self.watchers:
                self._send(reader, ListKind.CHANGES, [entry])

    def watch(self, reader: ListWatcher) -> None:
        """Tell it of all there is, and then of changes."""
        if self._call_ms:
            self._call(reader, reader.incarnation, self._answer_list_call)
            return
        self._send_whole_list(reader)

    def unwatch(self, reader: ListWatcher) -> None:
        """It is not there any more."""
        self.watchers.pop(reader, None)

    def end_silence(self) -> None:
        """The silence is over: all is told that was held back."""
        self.silent, held, self._held_back = False, self._held_back, []
        if held:
            for reader in self.watchers:
                self._send(reader, ListKind.CHANGES, held)

    # -- calls that cost something

    def _call(self, reader: ListWatcher, life: int, then: Callable[[ListWatcher, int, float], None]) -> None:
        if not reader.up or life != reader.incarnation:
            return
        now = self._timeline.now
        wait = max(0.0, self._idle_at - now)
        turned = wait > self._max_wait_ms
        self.calls += 1
        self.rejected_calls += turned
        self._record_event(Called(now, reader.name, then == self._answer_list_call, turned, wait))
        if turned:
            self._idle_at += REJECTION_COST_MS
            self.watchers.pop(reader, None)
            self._timeline.schedule_after(self._lag.next(), self._reject, reader, life)
        else:
            self._idle_at = now + wait + self._call_ms
            self._timeline.schedule_at(self._idle_at, then, reader, life, wait + self._call_ms)

    def _reject(self, reader: ListWatcher, life: int) -> None:
        if reader.up and life == reader.incarnation:
            reader.list_call_rejected()

    def _answer_list_call(self, reader: ListWatcher, life: int, took: float) -> None:
        if reader.up and life == reader.incarnation:
            self._send_whole_list(reader)
            reader.list_call_answered(took)
            self._call(reader, life, self._start_watch_call)

    def _start_watch_call(self, reader: ListWatcher, life: int, took: float) -> None:
        if reader.up and life == reader.incarnation:
            self.first_watch_at.setdefault(reader.name, self._timeline.now)
            self._timeline.schedule_after(reader.watch_timeout_ms, self._call, reader, life, self._start_watch_call)

    def _send_whole_list(self, reader: ListWatcher) -> None:
        self.watchers[reader] = self._timeline.now
        if not self.silent:
            self._send(reader, ListKind.FULL, [e for e in self.entries.values() if e.state is not ServerState.REMOVED])

    def _send(self, reader: ListWatcher, kind: ListKind, entries: list[ListedServer]) -> None:
        when = max(self._timeline.now + self._lag.next(), self.watchers[reader])
        self.watchers[reader] = when
        self._timeline.schedule_at(when, self._deliver, reader, kind, entries)

    def _deliver(self, reader: ListWatcher, kind: ListKind, entries: list[ListedServer]) -> None:
        if reader in self.watchers and reader.up:
            reader.receive_list(kind, entries)

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

TURNED = 1.0  # ms that it costs to turn a call away


class Reader(Protocol):
    """Who watches."""

    name: str
    up: bool
    life: int

    @property
    def watch_ms(self) -> float:
        """How long its watch waits for news."""

    def listed(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """News."""

    def answered(self, took: float) -> None:
        """A call that did not wait for news has been answered."""

    def turned_away(self) -> None:
        """A call has been turned away, and there is no watch."""


class Register:
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
        self.readers: dict[Reader, float] = {}  # and up to when each has been told: news keep their order
        self.silent = False
        self.calls = self.turned = 0
        self.watched_at: dict[str, float] = {}  # when a reader's first watch waited for news
        self._line, self._lag, self._tell_event = line, lag, tell
        self._call_ms, self._wait_most, self._free_at = call_ms, wait_most, 0.0
        self._held: list[ListedServer] = []

    def put(self, entry: ListedServer) -> None:
        """A host's entry is new or other."""
        self.entries[entry.name] = entry
        if self.silent:
            self._held.append(entry)
        else:
            for reader in self.readers:
                self._tell(reader, ListKind.CHANGES, [entry])

    def watch(self, reader: Reader) -> None:
        """Tell it of all there is, and then of changes."""
        if self._call_ms:
            self._call(reader, reader.life, self._list)
            return
        self._open(reader)

    def leave(self, reader: Reader) -> None:
        """It is not there any more."""
        self.readers.pop(reader, None)

    def speak(self) -> None:
        """The silence is over: all is told that was held back."""
        self.silent, held, self._held = False, self._held, []
        if held:
            for reader in self.readers:
                self._tell(reader, ListKind.CHANGES, held)

    # -- calls that cost something

    def _call(self, reader: Reader, life: int, then: Callable[[Reader, int, float], None]) -> None:
        if not reader.up or life != reader.life:
            return
        now = self._line.now
        wait = max(0.0, self._free_at - now)
        turned = wait > self._wait_most
        self.calls += 1
        self.turned += turned
        self._tell_event(Called(now, reader.name, then == self._list, turned, wait))
        if turned:
            self._free_at += TURNED
            self.readers.pop(reader, None)
            self._line.after(self._lag.next(), self._turn_away, reader, life)
        else:
            self._free_at = now + wait + self._call_ms
            self._line.at(self._free_at, then, reader, life, wait + self._call_ms)

    def _turn_away(self, reader: Reader, life: int) -> None:
        if reader.up and life == reader.life:
            reader.turned_away()

    def _list(self, reader: Reader, life: int, took: float) -> None:
        if reader.up and life == reader.life:
            self._open(reader)
            reader.answered(took)
            self._call(reader, life, self._park)

    def _park(self, reader: Reader, life: int, took: float) -> None:
        if reader.up and life == reader.life:
            self.watched_at.setdefault(reader.name, self._line.now)
            self._line.after(reader.watch_ms, self._call, reader, life, self._park)

    def _open(self, reader: Reader) -> None:
        self.readers[reader] = self._line.now
        if not self.silent:
            self._tell(reader, ListKind.FULL, [e for e in self.entries.values() if e.state is not ServerState.REMOVED])

    def _tell(self, reader: Reader, kind: ListKind, entries: list[ListedServer]) -> None:
        when = max(self._line.now + self._lag.next(), self.readers[reader])
        self.readers[reader] = when
        self._line.at(when, self._arrive, reader, kind, entries)

    def _arrive(self, reader: Reader, kind: ListKind, entries: list[ListedServer]) -> None:
        if reader in self.readers and reader.up:
            reader.listed(kind, entries)

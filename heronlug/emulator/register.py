"""The node register as dispatchers hear of it: each change comes to each one after a lag of its own."""

from typing import Protocol

from heronlug.emulator.draws import Draws
from heronlug.emulator.timeline import Timeline
from heronlug.interface import ListKind, WorkerState
from heronlug.memory.core import HostEntry


class Reader(Protocol):
    """Who watches."""

    up: bool

    def listed(self, kind: ListKind, entries: list[HostEntry]) -> None:
        """News."""


class Register:
    """All entries, and who watches them."""

    def __init__(self, line: Timeline, lag: Draws) -> None:
        self.entries: dict[str, HostEntry] = {}
        self.readers: dict[Reader, float] = {}  # and up to when each has been told: news keep their order
        self.silent = False
        self._line, self._lag = line, lag
        self._held: list[HostEntry] = []

    def put(self, entry: HostEntry) -> None:
        """A host's entry is new or other."""
        self.entries[entry.name] = entry
        if self.silent:
            self._held.append(entry)
        else:
            for reader in self.readers:
                self._tell(reader, ListKind.CHANGES, [entry])

    def watch(self, reader: Reader) -> None:
        """Tell it of all there is, and then of changes."""
        self.readers[reader] = self._line.now
        if not self.silent:
            self._tell(reader, ListKind.FULL, [e for e in self.entries.values() if e.state is not WorkerState.GONE])

    def leave(self, reader: Reader) -> None:
        """It is not there any more."""
        self.readers.pop(reader, None)

    def speak(self) -> None:
        """The silence is over: all is told that was held back."""
        self.silent, held, self._held = False, self._held, []
        if held:
            for reader in self.readers:
                self._tell(reader, ListKind.CHANGES, held)

    def _tell(self, reader: Reader, kind: ListKind, entries: list[HostEntry]) -> None:
        when = max(self._line.now + self._lag.next(), self.readers[reader])
        self.readers[reader] = when
        self._line.at(when, self._arrive, reader, kind, entries)

    def _arrive(self, reader: Reader, kind: ListKind, entries: list[HostEntry]) -> None:
        if reader in self.readers and reader.up:
            reader.listed(kind, entries)

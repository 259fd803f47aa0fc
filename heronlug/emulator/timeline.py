"""What is to happen when: a heap, and deadlines of the real core on it."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from heronlug.requests.deadlines import Deadlines, Key

Entry = list[Any]  # when, number, what, its arguments; what is None once it is cancelled


class Timeline:
    """Events in virtual time, in milliseconds; those of the same moment in the order in which they were told."""

    __slots__ = ("_heap", "_seq", "done", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self.done = 0  # events that have happened
        self._heap: list[Entry] = []
        self._seq = 0

    def __len__(self) -> int:
        return len(self._heap)

    def at(self, when: float, what: Callable[..., object], *args: Any) -> Entry:
        """Let it happen at that time, now if that is past; the entry serves to cancel it."""
        self._seq += 1
        entry = [when if when > self.now else self.now, self._seq, what, args]
        heappush(self._heap, entry)
        return entry

    def after(self, delay: float, what: Callable[..., object], *args: Any) -> Entry:
        """Let it happen after that time."""
        return self.at(self.now + delay, what, *args)

    @staticmethod
    def cancel(entry: Entry | None) -> None:
        """It does not happen; one that has happened is no error."""
        if entry is not None:
            entry[2] = None
            entry[3] = ()

    def run(self, until: float) -> None:
        """Let all happen up to that time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            entry = heappop(heap)
            what = entry[2]
            if what is not None:
                self.now = entry[0]
                self.done += 1
                entry[2] = None
                what(*entry[3])
        self.now = until


class VirtualDeadlines(Deadlines):
    """A core's deadlines, each an event of the timeline; all are void once ``dead`` (its process has ended)."""

    __slots__ = ("_line", "_live", "dead")

    def __init__(self, line: Timeline) -> None:
        super().__init__(lambda: line.now)
        self._line = line
        self._live: dict[Key, Entry] = {}
        self.dead = False

    def __len__(self) -> int:
        return len(self._live)

    def call_at(self, when: float, what: Callable[..., object], *args: Any) -> Key:
        """As :meth:`Deadlines.at`."""
        self._seq += 1
        key = (when, self._seq)
        self._live[key] = self._line.at(when, self._call, key, what, args)
        return key

    def cancel(self, key: Key | None) -> None:
        """As :meth:`Deadlines.drop`."""
        if key is not None:
            self._line.cancel(self._live.pop(key, None))

    def _call(self, key: Key, what: Callable[..., object], args: tuple[Any, ...]) -> None:
        del self._live[key]
        if not self.dead:
            what(*args)

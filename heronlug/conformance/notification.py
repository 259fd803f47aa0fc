"""When a change of the list counts as notified to a dispatcher, from the records of service discovery alone.

An oracle for rule 3: it imports nothing of what it judges, and takes no constant from it.  A change that discovery has
made and not written to a dispatcher counts, whether or not it ever arrives,

- 6 s after discovery had it and could be reached by that dispatcher, where that has no watch;
- where a watch was open when the change was made: 6 s after it, or 2 s after the wait of that call is over, if that is
  later; and where the watch has ended meanwhile, 6 s after that end, if that is sooner and discovery can be reached.

What was written counts from its writing.  All this holds for a dispatcher, whichever of its processes runs, or none.
Where two sentences of the protocol give different times the earlier one counts, but of a watch that looks well.

Times in milliseconds.
"""

from math import inf
from typing import NamedTuple

COUNTS_AFTER = 6_000.0
AFTER_WAIT = 2_000.0


class Watch(NamedTuple):
    """A call that waits for news."""

    call: int
    since: float
    wait: float

    @property
    def silent_counts_at(self) -> float:
        """When a change that it does not bring counts at the latest, if it was made right after the call."""
        return max(self.since + COUNTS_AFTER, self.since + self.wait + AFTER_WAIT)


class Missed(NamedTuple):
    """A change that a dispatcher has not been written."""

    at: float
    watch: Watch | None  # that was open when it was made
    reached_at: float | None  # the first moment from then on at which discovery could be reached; None: not yet

    @property
    def counts_at(self) -> float:
        """When it counts, whether or not it arrives."""
        if self.watch is not None:
            return max(self.at + COUNTS_AFTER, self.watch.silent_counts_at)
        return self.reached_at + COUNTS_AFTER if self.reached_at is not None else inf

    @property
    def reason(self) -> str:
        """Why then."""
        if self.watch is not None:
            return "was missed by a watch"
        return f"was made at {self.at:.0f}, and discovery could be reached at {self.reached_at:.0f}"


class Line:
    """One dispatcher, as discovery sees it."""

    __slots__ = ("missed", "reachable", "watch", "written")

    def __init__(self) -> None:
        self.reachable = True  # discovery, for this dispatcher, now
        self.watch: Watch | None = None
        self.missed: dict[str, Missed] = {}  # by server: the first change that says it drains or is gone
        self.written: dict[str, tuple[float, str]] = {}  # since when a server counts so, and why

    def miss(self, server: str, at: float, watch: Watch | None) -> None:
        """A change that was made then is not here."""
        self.missed[server] = Missed(at, watch, at if self.reachable else None)

    def end_watch(self, at: float, call: int) -> None:
        """What a watch has missed counts so long after its end, if that is sooner."""
        if self.watch is not None and self.watch.call == call:
            self.watch = None
        for server, change in self.missed.items():
            if change.watch is not None and change.watch.call == call and at + COUNTS_AFTER < change.counts_at:
                self.miss(server, at, None)


class Notified:
    """The changes and calls of a run, dispatcher by dispatcher."""

    def __init__(self) -> None:
        self._lines: dict[str, Line] = {}

    def line(self, dispatcher: str) -> Line:
        """What is known of a dispatcher; one that is new has just been made."""
        return self._lines.setdefault(dispatcher, Line())

    def changed(self, at: float, server: str, state: str) -> None:
        """Discovery has another state of a server."""
        for line in self._lines.values():
            if state == "ready":
                line.missed.pop(server, None)
                line.written.pop(server, None)
            elif server not in line.written and server not in line.missed:
                line.miss(server, at, line.watch)

    def wrote(self, at: float, dispatcher: str, server: str, state: str) -> None:
        """Discovery has written a state of a server to a dispatcher."""
        line = self.line(dispatcher)
        change = line.missed.pop(server, None)
        if state == "ready":
            line.written.pop(server, None)
        elif change is not None and change.counts_at < at:
            line.written.setdefault(server, (change.counts_at, change.reason))
        else:
            line.written.setdefault(server, (at, "was written"))

    def watching(self, at: float, dispatcher: str, call: int, wait: float) -> None:
        """A call of a dispatcher waits for news."""
        self.line(dispatcher).watch = Watch(call, at, wait)

    def watch_over(self, at: float, dispatcher: str, call: int) -> None:
        """That call was answered, or its connection has ended."""
        self.line(dispatcher).end_watch(at, call)

    def reachable(self, at: float, dispatcher: str, reachable: bool) -> None:
        """Discovery can be reached by a dispatcher from now on, or not any more."""
        line = self.line(dispatcher)
        line.reachable = reachable
        if reachable:
            late = {s: c._replace(reached_at=at) for s, c in line.missed.items() if c.reached_at is None}
            line.missed.update(late)

    def counts_at(self, dispatcher: str, server: str) -> tuple[float, str] | None:
        """Since when a server counts as draining or gone for a dispatcher, with the reason; None: not known to be."""
        line = self.line(dispatcher)
        if server in line.written:
            return line.written[server]
        change = line.missed.get(server)
        return (change.counts_at, change.reason) if change is not None and change.counts_at < inf else None

"""Proves the four rules on a run's events, one after the other as they come.

1. Every accepted job ends in exactly one final answer, in time.
2. What must not run twice does not.
3. A host that counts as draining or gone for a dispatcher gets nothing new of it after the grace
   (:mod:`heronlug.conformance.notification`).
4. No cold host is pushed over, by all dispatchers together.

Beside these it counts what spares others: calls of the register and dials at hosts, the most in any window of time.

A violation comes with the events that led to it. Memory is bounded by what is open and, for rule 2, by the jobs that
must not run twice.
"""

from collections import Counter, deque
from math import inf
from typing import NamedTuple

from heronlug.conformance.events import (
    Answered,
    Began,
    Called,
    Changed,
    Dialled,
    Ended,
    Event,
    Listed,
    Load,
    Reachable,
    Sent,
    Started,
    Stopped,
    Taken,
    Watching,
    WatchOver,
)
from heronlug.conformance.notification import Notified

TRAIL = 12  # events kept for each open job, and for each host
KEPT = 200  # violations kept whole; all are counted


class Violation(NamedTuple):
    """A rule was broken."""

    rule: int
    at: float
    what: str
    trail: tuple[Event, ...]  # the events that led there, the last last


class Rush:
    """The most that came within a window of time, of a kind of event."""

    __slots__ = ("_last", "most", "span")

    def __init__(self, span: float) -> None:
        """``span`` in milliseconds."""
        self.span, self.most = span, 0
        self._last: deque[float] = deque()

    def see(self, at: float) -> None:
        """One more."""
        self._last.append(at)
        while self._last[0] <= at - self.span:
            self._last.popleft()
        self.most = max(self.most, len(self._last))


class Open:
    """A job that is owed an answer."""

    __slots__ = ("taken", "trail")

    def __init__(self, taken: Taken) -> None:
        self.taken = taken
        self.trail: deque[Event] = deque([taken], maxlen=TRAIL)


class Checker:
    """Give it events by :meth:`see`, and at the end :meth:`finish`."""

    def __init__(self, drain_grace: float = 2500.0, slack: float = 0.0) -> None:
        """``slack`` in milliseconds is granted to answers, for clocks of different processes."""
        self.drain_grace, self.slack = drain_grace, slack
        self.violations: list[Violation] = []
        self.counts: Counter[int] = Counter()  # by rule
        self.seen = 0
        self.coldest = 0.0  # the highest share of what a cold host stands
        self.calls: Counter[str] = Counter()  # of the register: all, whole, turned
        self.call_rush = Rush(100.0), Rush(1000.0)
        self.dials: Counter[str] = Counter()  # by host
        self.dial_rush: dict[str, Rush] = {}
        self._open: dict[tuple[str, str], Open] = {}
        self._over: dict[str, set[str]] = {}  # by dispatcher: jobs that have had their answer
        self._once: set[str] = set()
        self._ran: dict[str, Began] = {}  # what must not run twice, and has run
        self._notified = Notified()
        self._hosts: dict[str, deque[Event]] = {}
        self._last = -inf

    def see(self, event: Event) -> None:
        """One event."""
        self.seen += 1
        self._last = event.at
        if isinstance(event, Taken):
            self._taken(event)
        elif isinstance(event, Answered):
            self._answered(event)
        elif isinstance(event, Sent):
            self._sent(event)
        elif isinstance(event, Began):
            self._began(event)
        elif isinstance(event, Listed):
            self._listed(event)
        elif isinstance(event, Load):
            self._load(event)
        elif isinstance(event, Ended):
            if self._open.pop((event.dispatcher, event.job), None) is not None:
                self._over.setdefault(event.dispatcher, set()).add(event.job)
        elif isinstance(event, Started):
            self._over[event.dispatcher] = set()
            self._notified.line(event.dispatcher)  # its clocks run on from process to process
        elif isinstance(event, Changed):
            self._trail(event.host).append(event)
            self._notified.changed(event.at, event.host, event.state)
        elif isinstance(event, Watching):
            self._notified.watching(event.at, event.dispatcher, event.call, event.wait)
        elif isinstance(event, WatchOver):
            self._notified.watch_over(event.at, event.dispatcher, event.call)
        elif isinstance(event, Reachable):
            self._notified.reachable(event.at, event.dispatcher, event.reachable)
        elif isinstance(event, Called):
            self.calls.update(all=1, whole=int(event.whole), turned=int(event.turned))
            for rush in self.call_rush:
                rush.see(event.at)
        elif isinstance(event, Dialled):
            self.dials[event.host] += 1
            self.dial_rush.setdefault(event.host, Rush(1000.0)).see(event.at)
        else:
            self._stopped(event)

    def finish(self, at: float) -> list[Violation]:
        """The run is over: what is still open and out of time has had no answer."""
        for job in self._open.values():
            if job.taken.give_up_at + self.slack < at:
                self._break(1, at, f"{job.taken.job} has had no final answer", job.trail)
        return self.violations

    # -- inside

    def _break(self, rule: int, at: float, what: str, trail: "deque[Event] | tuple[Event, ...]") -> None:
        self.counts[rule] += 1
        if len(self.violations) < KEPT:
            self.violations.append(Violation(rule, at, what, tuple(trail)))

    def _trail(self, host: str) -> "deque[Event]":
        return self._hosts.setdefault(host, deque(maxlen=TRAIL))

    def _taken(self, event: Taken) -> None:
        key = event.dispatcher, event.job
        if key in self._open:
            self._break(1, event.at, f"{event.job} was taken twice while it is open", (*self._open[key].trail, event))
        self._open[key] = Open(event)
        self._over.setdefault(event.dispatcher, set()).discard(event.job)
        if event.once:
            self._once.add(event.job)

    def _answered(self, event: Answered) -> None:
        job = self._open.pop((event.dispatcher, event.job), None)
        over = self._over.setdefault(event.dispatcher, set())
        if job is None:
            why = "has had a second answer" if event.job in over else "was answered and never taken"
            self._break(1, event.at, f"{event.job} {why}", (event,))
        elif event.at > job.taken.give_up_at + self.slack:
            late = event.at - job.taken.give_up_at
            self._break(1, event.at, f"{event.job} was answered {late:.0f} ms too late", (*job.trail, event))
        over.add(event.job)

    def _sent(self, event: Sent) -> None:
        job = self._open.get((event.dispatcher, event.job))
        if job is not None:
            job.trail.append(event)
        else:
            self._break(1, event.at, f"{event.job} was sent and is not open", (event,))
        found = self._notified.counts_at(event.dispatcher, event.host)
        if found is not None and event.at - found[0] > self.drain_grace:
            since, trail = event.at - found[0], (*self._trail(event.host), event)
            what = f"{event.host} was sent {event.job} {since:.0f} ms after its change counted as notified, which"
            self._break(3, event.at, f"{what} {found[1]}", trail)

    def _began(self, event: Began) -> None:
        if event.job not in self._once:
            return
        before = self._ran.get(event.job)
        if before is not None:
            what = f"{event.job} ran at {event.host} after it had at {before.host}"
            trails = [job.trail for (_, name), job in self._open.items() if name == event.job]
            self._break(2, event.at, what, (*(trails[0] if trails else ()), before, event))
        self._ran[event.job] = event

    def _listed(self, event: Listed) -> None:
        self._trail(event.host).append(event)
        self._notified.wrote(event.at, event.dispatcher, event.host, event.state)

    def _load(self, event: Load) -> None:
        self.coldest = max(self.coldest, event.share)
        trail = self._trail(event.host)
        trail.append(event)
        if event.fell:
            self._break(4, event.at, f"{event.host} was pushed over while it was cold", trail)

    def _stopped(self, event: Stopped) -> None:
        held = [key for key in self._open if key[0] == event.dispatcher]
        for key in held:
            job = self._open.pop(key)
            if not event.killed:
                what = f"{job.taken.job} has had no final answer when {event.dispatcher} ended"
                self._break(1, event.at, what, (*job.trail, event))
        self._over.pop(event.dispatcher, None)

"""Hosts: slots, a bounded queue, cold starts, tipping over, pauses, hangs, crashes.

A host runs jobs in slots; a job takes ``work / speed`` milliseconds. A fresh process has a share ``cold_from`` of its
slots and all of them after ``warm_after``, growing evenly. What is in it, running and waiting, may pass
``tip_multiple`` times its present slots for ``overload_for``; longer, and it falls over: everything in it is lost and a
new process starts cold. That is the platform's rule 4, as a model.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from heronlug.emulator.timeline import Entry, Timeline

PRESENT = 0.25  # slots are counted so finely while a host warms up


class Kind(NamedTuple):
    """A kind of host."""

    name: str
    slots: int
    speed: float = 1.0
    queue: int = 64  # jobs that may wait; one more is turned away
    order: str = "fifo"  # "fifo": the first waits until it fits; "backfill": the first that fits; "priority": by worth


class Warmth(NamedTuple):
    """How a fresh process comes to its full capacity; the scenario's ``[safety]``."""

    cold_from: float = 0.15
    warm_after: float = 20_000.0
    tip_multiple: float = 3.0
    overload_for: float = 3000.0


@dataclass(slots=True, eq=False)
class Run:
    """One attempt at a host."""

    job: Any  # the dispatcher's own
    work: float
    need: float
    worth: float
    told: Callable[["Run", str], None]  # "started", "done", "lost"
    came_at: float = 0.0
    began_at: float = -1.0
    ends: Entry | None = None
    left: float = 0.0  # of its time, while the host stands still


@dataclass(slots=True, eq=False)
class Host:
    """One process, and those after it under the same name."""

    name: str
    kind: Kind
    zone: int
    line: Timeline
    warmth: Warmth
    started_at: float = 0.0  # 0: long past
    up: bool = True
    still: bool = False  # paused or hung: nothing in it goes on
    slow: float = 1.0  # jobs that begin now take so many times as long
    running: list[Run] = field(default_factory=list)
    waiting: list[Run] = field(default_factory=list)
    used: float = 0.0  # slots that run
    inside: float = 0.0  # slots that run or wait
    coming: float = 0.0  # slots that are on their way here
    busy: float = 0.0  # slot milliseconds that have run
    peak: float = 0.0  # the most of what it stands that was in it while it was cold, 1 is where it begins to tip
    runs: int = 0
    fell: int = 0
    tipped: Callable[["Host"], None] | None = None
    began: Callable[["Host", Run], None] | None = None  # told of each run that begins
    _over: Entry | None = None
    _warming: Entry | None = None

    def capacity(self) -> float:
        """Slots that it has now."""
        age = self.line.now - self.started_at if self.started_at else float("inf")
        if age >= self.warmth.warm_after:
            return float(self.kind.slots)
        share = self.warmth.cold_from + (1 - self.warmth.cold_from) * age / self.warmth.warm_after
        return self.kind.slots * share

    @property
    def cold(self) -> bool:
        """Whether it has less than all its slots."""
        return bool(self.started_at) and self.line.now - self.started_at < self.warmth.warm_after

    def take(self, run: Run) -> bool:
        """A run has come; False turns it away, for the queue is full."""
        if len(self.waiting) >= self.kind.queue and self.used + run.need > self._room():
            return False
        run.came_at = self.line.now
        self.waiting.append(run)
        self.inside += run.need
        self._begin()
        self._weigh()
        return True

    def drop(self, run: Run) -> bool:
        """Nobody waits for it any more; returns whether it was here."""
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self._stop(run)
        else:
            return False
        self.inside -= run.need
        self._begin()
        self._weigh()
        return True

    def stand(self) -> None:
        """Nothing goes on."""
        if not self.still:
            self.still = True
            for run in self.running:
                run.left = run.ends[0] - self.line.now if run.ends is not None else 0.0
                self.line.cancel(run.ends)
                run.ends = None

    def go_on(self) -> None:
        """All goes on where it stood."""
        if self.still:
            self.still = False
            for run in self.running:
                run.ends = self.line.after(run.left, self._done, run)
            self._begin()

    def end(self) -> list[Run]:
        """The process ends; returns what was in it."""
        lost = [*self.running, *self.waiting]
        for run in [*self.running]:
            self._stop(run)
        self.waiting.clear()
        self.inside = 0.0
        self.up = self.still = False
        self.line.cancel(self._over)
        self.line.cancel(self._warming)
        self._over = self._warming = None
        return lost

    def start(self) -> None:
        """A new process, cold."""
        self.up, self.started_at = True, max(self.line.now, 1e-3)
        self._warm()

    # -- inside

    def _room(self) -> float:
        """Slots that may run now: at least one job does, however cold it is."""
        return max(1.0, self.capacity())

    def _begin(self) -> None:
        """Begin what fits, in the order that the kind has."""
        while self.waiting and self.up and not self.still:
            free = self._room() - self.used + 1e-9
            first = 0
            if self.kind.order == "priority":
                first = max(range(len(self.waiting)), key=lambda n: (self.waiting[n].worth, -n))
            elif self.kind.order == "backfill":
                first = next((n for n, run in enumerate(self.waiting) if run.need <= free), 0)
            run = self.waiting[first]
            if run.need > free and self.running:  # one that never fits runs alone
                return
            del self.waiting[first]
            self.used += run.need
            self.running.append(run)
            self.runs += 1
            run.began_at = self.line.now
            run.ends = self.line.after(run.work * self.slow / self.kind.speed, self._done, run)
            if self.began is not None:
                self.began(self, run)
            run.told(run, "started")

    def _stop(self, run: Run) -> None:
        self.running.remove(run)
        self.line.cancel(run.ends)
        run.ends = None
        self.used = self.used - run.need if self.running else 0.0
        self.busy += (self.line.now - run.began_at) * run.need

    def _done(self, run: Run) -> None:
        self._stop(run)
        self.inside = self.inside - run.need if self.running or self.waiting else 0.0
        self._begin()
        self._weigh()
        run.told(run, "done")

    def _weigh(self) -> None:
        """Whether it holds more than it stands, and since when."""
        stands = self.warmth.tip_multiple * self.capacity()
        if self.cold:
            self.peak = max(self.peak, self.inside / stands)
        if self.inside <= stands:
            self.line.cancel(self._over)
            self._over = None
        elif self._over is None and self.up:
            self._over = self.line.after(self.warmth.overload_for, self._fall)

    def _warm(self) -> None:
        """While it warms up more fits in, also when nothing comes or ends."""
        if self.up and self.cold:
            self._begin()
            self._weigh()
            self._warming = self.line.after(self.warmth.warm_after * PRESENT / self.kind.slots, self._warm)

    def _fall(self) -> None:
        self._over = None
        self.fell += 1
        if self.tipped is not None:
            self.tipped(self)

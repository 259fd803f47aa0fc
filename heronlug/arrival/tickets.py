"""Turns at a cold worker, where dispatchers may not talk: who sends it the next job.  No I/O, no clock, no chance.

From the start of a cold worker on, its tickets open one after the other, each when the worker has warmed enough to have
done one more job of usual size.  Who has a ticket follows from its number, the worker's and the position.  So all
together send what the worker can do, each seldom, and not at once: at any time few tickets are open.

What a worker can do is not told, only that it warms at least evenly.  So tickets open the sooner the more of our jobs
started at once at cold workers, and the later the more waited there, within bounds that hold whatever is heard.

Figures of usual size and of slots differ a little from one dispatcher to the next, and so do the numbers of tickets:
two may hold one, and nobody the next.  That is chance, and there is room for it in what a cold worker stands.
"""

from math import ceil, floor, inf

from heronlug import interface as pk
from heronlug.records import Worker

COOL, WARM, MOST = 0.4, 1.2, 1.5  # of what a worker does when it is cold, when it is warm, and ever
UP, DOWN, LOW, HIGH = 1.1, 0.7, 0.7, 2.5  # by so much more after a start at once, and less after a wait; as bounds
SOON = 0.25  # of a job of usual size: who starts within that has not waited
KEPT = 3  # tickets open at a time: whoever has no job while its own is open lets it go
WIDE = 4.0  # jobs of usual size that one may be worth: it takes as many of its sender's tickets
LOOK = 20.0  # ms between two looks at all cold workers


class Tickets:
    """One dispatcher's."""

    __slots__ = ("_cold", "_level", "_looked_at", "_most", "_s", "_told", "_used")

    def __init__(self, settings: pk.Settings, margin: float) -> None:
        """``margin`` of what a cold worker stands is used at most."""
        self._s, self._most = settings, min(MOST, margin * settings.tip_multiple)
        self._level = 1.0  # of what is given by rule: what it can do in truth shows in how soon jobs start
        self._cold: dict[int, tuple[Worker, float, float]] = {}  # when it began, and what a job of usual size takes
        self._used: dict[int, tuple[float, int]] = {}  # by worker: when it began, and the last ticket used
        self._told: dict[int, tuple[float, int]] = {}  # by worker: the open ticket that has been told
        self._looked_at = -inf

    def cold(self, worker: Worker, job: float) -> None:
        """It is cold, and a job of usual size takes so long."""
        self._cold[worker.id] = worker, worker.cold_since, job

    def turns(self, now: float) -> list[Worker]:
        """The cold workers at which our turn has come, each told once."""
        if now - self._looked_at < LOOK:
            return []
        self._looked_at = now
        ready = pk.WorkerState.READY
        for number in [n for n, (w, *_) in self._cold.items() if w.budget == inf or w.state is not ready]:
            del self._cold[number]
        tickets = {n: ticket for n, (worker, *_) in self._cold.items() if (ticket := self._ticket(worker, now))}
        news = [self._cold[n][0] for n, ticket in tickets.items() if self._told.get(n) != ticket]
        self._told = tickets
        return news

    def may(self, worker: Worker, work: float, now: float) -> bool:
        """Whether one of our tickets is open there, for a job that takes so long."""
        return self._ticket(worker, now) is not None and work <= WIDE * self._cold[worker.id][2]

    def sent(self, worker: Worker, work: float, now: float) -> None:
        """It is used, and with it the next ones where the job is a wide one."""
        if (ticket := self._ticket(worker, now)) is not None:
            more = max(0, ceil(work / self._cold[worker.id][2] - 0.5) - 1)
            self._used[worker.id] = ticket[0], ticket[1] + more * self._s.instances

    def started(self, worker: Worker, wait: float) -> None:
        """A job has started there after so long."""
        if worker.id in self._cold and worker.budget < inf:
            self._level *= UP if wait <= SOON * self._cold[worker.id][2] else DOWN
            self._level = max(LOW, min(HIGH, self._level))

    def _ticket(self, worker: Worker, now: float) -> tuple[float, int] | None:
        if worker.id not in self._cold:
            return None
        _, since, job = self._cold[worker.id]
        opened = floor(worker.model.slots / job * self._done(max(0.0, now - since)))
        number = opened - (opened - self._s.position + worker.id) % self._s.instances
        began, used = self._used.get(worker.id, (since, -1))
        if number < 0 or opened - number >= KEPT or (began == since and number <= used):
            return None
        return since, number

    def _done(self, age: float) -> float:
        """The time in which one slot of a warm worker does what one of this is given until then."""
        low, rise = self._s.cold_from, (1 - self._s.cold_from) / self._s.warm_after
        warmth = low + rise * age
        alike = age * (low + warmth) / 2  # the warmth until then, added up; and its square
        square = age * (low * low + low * warmth + warmth * warmth) / 3
        cool, warm = min(COOL * self._level, self._most), min(WARM * self._level, self._most)
        return cool * alike + (warm - cool) * square

"""Turns at a cold worker, where dispatchers may not talk: who sends it the next job.  No I/O, no clock, no chance.

From the start of a cold worker on, its tickets open one after the other, each when the worker has warmed enough to have
done one more job of usual size.  Who has a ticket follows from its number, the worker's and the position.  So all
together send what the worker can do, each seldom, and not at once: at any time few tickets are open.

What a worker can do is not told, only that it warms at least evenly.  So tickets open the sooner the more of our jobs
started at once at cold workers, and the later the more waited there, within bounds that hold whatever is heard.

Our turn at a worker comes seldom, and at most of thousands never, so not all are looked at for each job.  The tickets
that may be open by a time are bounded by the highest level and slots that still hold; who is below its next one by that
bound is left alone until it can have been reached.

Figures of usual size and of slots differ a little from one dispatcher to the next, and so do the numbers of tickets:
two may hold one, and nobody the next.  That is chance, and there is room for it in what a cold worker stands.
"""

from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from math import ceil, floor, inf

from heronlug import interface as pk
from heronlug.decisions.model import Kind, Worker

COOL, WARM, MOST = 0.4, 1.2, 1.5  # of what a worker does when it is cold, when it is warm, and ever
UP, DOWN, LOW, HIGH = 1.1, 0.7, 0.7, 2.5  # by so much more after a start at once, and less after a wait; as bounds
SOON = 0.25  # of a job of usual size: who starts within that has not waited
KEPT = 3  # tickets open at a time: whoever has no job while its own is open lets it go
WIDE = 4.0  # jobs of usual size that one may be worth: it takes as many of its sender's tickets
LOOK = 20.0  # ms between two looks at the cold workers whose turn may have come
NEAR_AGAIN, LONGEST = 200.0, 4_000.0  # ms until a worker is looked at again where a ticket may be open, or may not
LEVEL_ROOM, SLOTS_ROOM = 1.15, 1.1  # level and slots may change by so much before all cold workers are looked at again


def _waits(worker: Worker) -> bool:
    """Whether it is cold and listed ready, so that somebody may have a turn."""
    return worker.budget < inf and worker.state is pk.WorkerState.READY


class Bounds:
    """The level and the slots of each kind between which the workers that may have an open ticket stay the same."""

    __slots__ = ("high", "low", "slots")

    def __init__(self, level: float) -> None:
        self.low, self.high = level / LEVEL_ROOM, level * LEVEL_ROOM
        self.slots: dict[Kind, tuple[float, float]] = {}

    def of(self, model: Kind) -> tuple[float, float]:
        """The least and the most slots of a kind."""
        if model not in self.slots:
            self.slots[model] = model.slots / SLOTS_ROOM, model.slots * SLOTS_ROOM
        return self.slots[model]

    def hold(self, level: float) -> bool:
        """Whether all are still between them."""
        if not self.low <= level <= self.high:
            return False
        return all(low <= model.slots <= high for model, (low, high) in self.slots.items())


class Tickets:
    """One dispatcher's."""

    __slots__ = (
        "_bounds",
        "_cold",
        "_due",
        "_level",
        "_looked_at",
        "_most",
        "_near",
        "_news",
        "_places",
        "_s",
        "_told",
        "_used",
    )

    def __init__(self, settings: pk.Settings, margin: float) -> None:
        """``margin`` of what a cold worker stands is used at most."""
        self._s, self._most = settings, min(MOST, margin * settings.tip_multiple)
        self._level = 1.0  # of what is given by rule: what it can do in truth shows in how soon jobs start
        self._cold: dict[int, tuple[Worker, float, float]] = {}  # when it began, and what a job of usual size takes
        self._used: dict[int, tuple[float, int]] = {}  # by worker: when it began, and the last ticket used
        self._told: dict[int, tuple[float, int]] = {}  # by worker: the open ticket that has been told
        self._looked_at = -inf
        self._bounds: Bounds | None = None  # None where all cold workers are to be looked at
        self._near: dict[int, None] = {}  # the cold workers that may have an open ticket
        self._places: dict[int, int] = {}  # of each in the order in which they were told to be cold
        self._due: list[tuple[float, int]] = []  # when each of the others may have one
        self._news: list[Worker] = []  # the workers that have become near, or are so no more

    def cold(self, worker: Worker, job: float) -> None:
        """It is cold, and a job of usual size takes so long."""
        if worker.id not in self._cold:
            self._bounds = None
        self._cold[worker.id] = worker, worker.cold_since, job

    def ranked(self) -> None:
        """All that are cold have been told of."""
        self._bounds = None

    def turns(self, now: float) -> list[Worker]:
        """The cold workers at which our turn has come, each told once."""
        if now - self._looked_at < LOOK:
            return []
        self._looked_at = now
        self._advance(now)
        for number in [n for n in self._near if n not in self._cold or not _waits(self._cold[n][0])]:
            self._cold.pop(number, None)
            del self._near[number]
        tickets = {n: ticket for n in self._near if (ticket := self._ticket(self._cold[n][0], now))}
        news = [n for n, ticket in tickets.items() if self._told.get(n) != ticket]
        self._told = tickets
        return [self._cold[n][0] for n in sorted(news, key=self._places.__getitem__)]

    def may(self, worker: Worker, work: float, now: float) -> bool:
        """Whether one of our tickets is open there, for a job that takes so long."""
        return self._ticket(worker, now) is not None and work <= WIDE * self._cold[worker.id][2]

    def may_open(self, worker: Worker) -> bool:
        """Whether one of our tickets may be open there, as of the last :meth:`moved`."""
        return worker.id in self._near

    def moved(self, now: float) -> Sequence[Worker]:
        """The workers for which :meth:`may_open` has changed since the last call."""
        self._advance(now)
        news, self._news = self._news, []
        return news

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

    # -- who is looked at

    def _advance(self, now: float) -> None:
        """Bring the workers that may have an open ticket up to date."""
        if self._bounds is None or not self._bounds.hold(self._level):
            self._look_at_all(now)
        due = self._due
        while due and due[0][0] <= now:
            self._look_at(heappop(due)[1], now)

    def _look_at_all(self, now: float) -> None:
        self._bounds = Bounds(self._level)
        for number in [n for n, (worker, *_) in self._cold.items() if not _waits(worker)]:
            del self._cold[number]
        before, self._near, self._due = self._near, {}, []
        for number in self._cold:
            self._due.append((self._next_look(number, now), number))
        heapify(self._due)
        self._places = {number: place for place, number in enumerate(self._cold)}
        self._news += [self._cold[number][0] for number in before.keys() ^ self._near.keys() if number in self._cold]

    def _look_at(self, number: int, now: float) -> None:
        if number not in self._cold:
            return
        was = number in self._near
        heappush(self._due, (self._next_look(number, now), number))
        if was != (number in self._near):
            self._news.append(self._cold[number][0])

    def _next_look(self, number: int, now: float) -> float:
        """Note whether one of our tickets may be open there now, and tell when to ask again at the latest."""
        worker, since, job = self._cold[number]
        bounds = self._bounds or Bounds(self._level)
        (fewest, most), age = bounds.of(worker.model), max(0.0, now - since)
        least = floor(fewest / job * self._done(age, bounds.low))
        highest = most / job * self._done(age, bounds.high)
        began, used = self._used.get(number, (since, -1))
        first = max(0, least - KEPT + 1, used + 1 if began == since else 0)
        ours = first + (self._s.position - number - first) % self._s.instances
        if highest >= ours:
            self._near[number] = None
            return now + NEAR_AGAIN
        self._near.pop(number, None)
        fastest = most / job * self._pace(age + LONGEST, bounds.high)  # tickets a ms until then
        return now + min(LONGEST, (ours - highest) / fastest)

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

    def _pace(self, age: float, level: float) -> float:
        """How fast :meth:`_done` grows at that age."""
        warmth = self._s.cold_from + (1 - self._s.cold_from) / self._s.warm_after * age
        cool, warm = min(COOL * level, self._most), min(WARM * level, self._most)
        return warmth * (cool + (warm - cool) * warmth)

    def _done(self, age: float, level: float | None = None) -> float:
        """The time in which one slot of a warm worker does what one of this is given until then."""
        low, rise = self._s.cold_from, (1 - self._s.cold_from) / self._s.warm_after
        warmth = low + rise * age
        alike = age * (low + warmth) / 2  # the warmth until then, added up; and its square
        square = age * (low * low + low * warmth + warmth * warmth) / 3
        level = self._level if level is None else level
        cool, warm = min(COOL * level, self._most), min(WARM * level, self._most)
        return cool * alike + (warm - cool) * square

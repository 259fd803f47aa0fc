"""Clients: when jobs come, whom they are handed to, and what becomes of them."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf, pi, sin
from pathlib import Path
from typing import TYPE_CHECKING

from heronlug.balancer.settings import Effect
from heronlug.emulator.draws import BATCH, Draws, distribution, stream
from heronlug.emulator.scenario import Arrivals
from heronlug.requests.model import FinalAnswer

if TYPE_CHECKING:
    from heronlug.emulator.world import World


@dataclass(slots=True, eq=False)
class Job:
    """One job from its arrival to its end."""

    name: str
    lane: int
    work: float  # ms at speed 1
    need: int  # slots
    arrived_at: float
    give_up_at: float
    tries: int = 0
    attempts: int = 0


def times(arrivals: Arrivals, seed: int, number: int, span: float, folder: str) -> Iterator[float]:
    """When jobs come, in milliseconds, in order; all chance is of a stream of its own."""
    rng = stream(seed, "arrivals", str(number))
    begin = arrivals.from_s * 1000
    end = min(span, arrivals.to_s * 1000 if arrivals.to_s is not None else inf)
    if arrivals.shape == "trace":
        lines = (Path(folder) / arrivals.file).read_text().split()
        yield from (when for when in sorted(begin + float(line) * 1000 for line in lines) if when < end)
    elif arrivals.shape == "bursts":
        first = begin
        while first < end:
            burst = sorted(first + float(share) * arrivals.over_s * 1000 for share in rng.random(arrivals.size))
            yield from (when for when in burst if when < end)
            first += arrivals.every_s * 1000
    else:
        assert arrivals.rate is not None
        waves = arrivals.shape == "waves"
        most = arrivals.rate / 1000 * (1 + arrivals.depth if waves else 1)
        now = begin
        while True:
            gaps, chances = rng.exponential(1 / most, BATCH), rng.random(BATCH)
            for gap, chance in zip(map(float, gaps), map(float, chances), strict=True):
                now += gap
                if now >= end:
                    return
                if waves:  # thinning (Lewis, Shedler 1979)
                    level = 1 + arrivals.depth * sin(2 * pi * (now - begin) / (arrivals.period_s * 1000))
                    if chance * (1 + arrivals.depth) >= level:
                        continue
                yield now


class Clients:
    """All clients together."""

    def __init__(self, world: "World") -> None:
        self._world = world
        scenario, seed = world.scenario, world.seed
        self._names = {lane.name: number for number, lane in enumerate(scenario.classes)}
        self._works = [Draws(distribution(lane.work), stream(seed, "work", lane.name)) for lane in scenario.classes]
        self._choice = stream(seed, "doors")
        self._doors: list[int] = []
        self._count = 0
        self.open = 0  # jobs that have come and not ended
        self.area = 0.0  # of open over time
        self.stay = 0.0  # of all that have ended
        self.ended = 0
        self._since = 0.0

    def begin(self) -> None:
        """The first of each kind of arrival."""
        scenario = self._world.scenario
        for number, arrivals in enumerate(scenario.arrivals):
            come = times(arrivals, self._world.seed, number, scenario.span_s * 1000, scenario.folder)
            self._next(self._names[arrivals.lane], come)

    def _next(self, lane: int, come: Iterator[float]) -> None:
        when = next(come, None)
        if when is not None:
            self._world.line.at(when, self._arrive, lane, come)

    def _arrive(self, lane: int, come: Iterator[float]) -> None:
        now, table = self._world.line.now, self._world.scenario.classes[lane]
        self._count += 1
        work = self._works[lane].next()
        job = Job(f"j{self._count}", lane, work, table.slots, now, now + table.deadline_ms)
        self.level(1)
        self._hand(job)
        self._next(lane, come)

    def level(self, change: int) -> None:
        """So many more are open, for Little's law."""
        now = self._world.line.now
        self.area += self.open * (now - self._since)
        self.open += change
        self._since = now

    def _hand(self, job: Job) -> None:
        """To a dispatcher that is there, each as likely."""
        if not self._doors:
            self._doors = [*map(int, self._choice.integers(0, 1 << 30, BATCH))]
        draw = self._doors.pop()
        up = self._world.up
        job.tries += 1
        if up:
            up[draw % len(up)].take(job)
        else:
            self._over(job, "lost")

    def answered(self, job: Job, final: FinalAnswer, come_back: float) -> None:
        """A final answer of a dispatcher."""
        now, table = self._world.line.now, self._world.scenario.classes[job.lane]
        if final is FinalAnswer.SERVED:
            self._over(job, "on_time" if now - job.arrived_at <= table.aim_ms else "late")
        elif final is FinalAnswer.REFUSED:
            self._again(job, max(come_back, table.retry_wait_ms), "refused")
        else:
            self._over(job, "failed")

    def lost(self, job: Job) -> None:
        """Its dispatcher is gone: only what may run twice is handed in again."""
        lane = self._world.lanes[job.lane]
        if lane.effect is Effect.NON_IDEMPOTENT:
            self._over(job, "lost")
        else:
            self._again(job, self._world.scenario.classes[job.lane].retry_wait_ms, "lost")

    def _again(self, job: Job, wait: float, otherwise: str) -> None:
        table = self._world.scenario.classes[job.lane]
        if job.tries <= table.retries and self._world.line.now + wait < job.give_up_at:
            self._world.line.after(wait, self._hand, job)
        else:
            self._over(job, otherwise)

    def _over(self, job: Job, how: str) -> None:
        self.level(-1)
        self.stay += self._world.line.now - job.arrived_at
        self.ended += 1
        self._world.ended(job, how)

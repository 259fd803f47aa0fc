"""Clients: when their requests arrive, which dispatcher gets them, and how they end."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf, pi, sin
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np

from heronlug.balancer.settings import Effect
from heronlug.emulator.draws import BATCH_SIZE, Draws, distribution, stream
from heronlug.emulator.scenario import Arrivals
from heronlug.requests.model import FinalAnswer

if TYPE_CHECKING:
    from heronlug.emulator.world import World

CHOICE_RANGE = 1 << 30
"""Draws of a dispatcher are below this; the remainder by the number of dispatchers counts."""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request from its arrival to its end.

    Attributes:
        name: unique in a run.
        class_number: the index of its class.
        work_ms: of it at speed 1.
        slots: that it takes at a server.
        arrived_at: when its client submitted it first, in ms.
        give_up_at: its deadline, in ms.
        submissions: to dispatchers.
        attempts: of dispatchers at servers.
    """

    name: str
    class_number: int
    work_ms: float
    slots: int
    arrived_at: float
    give_up_at: float
    submissions: int = 0
    attempts: int = 0


def arrival_times(arrivals: Arrivals, seed: int, number: int, span: float, folder: str) -> Iterator[float]:
    """When requests arrive, in ms and in order; each table of arrivals has a random stream of its own.

    Args:
        arrivals: the table of the scenario.
        seed: of the run.
        number: of the table.
        span: of the run, in ms.
        folder: of the scenario file, where traces are.
    """
    rng = stream(seed, "arrivals", str(number))
    begin = arrivals.from_s * 1000
    end = min(span, arrivals.to_s * 1000 if arrivals.to_s is not None else inf)
    if arrivals.shape == "trace":
        return _trace_arrivals(Path(folder) / arrivals.file, begin, end)
    if arrivals.shape == "bursts":
        return _burst_arrivals(arrivals, rng, begin, end)
    if arrivals.rate is None:
        msg = f"arrivals of {arrivals.lane} have no rate; {arrivals.shape} arrivals need one"
        raise ValueError(msg)
    if arrivals.shape == "waves":
        return _wave_arrivals(arrivals, arrivals.rate, rng, begin, end)
    return (arrival.time for arrival in _poisson_arrivals(arrivals.rate / 1000, rng, begin, end))


def _trace_arrivals(file: Path, begin: float, end: float) -> Iterator[float]:
    """Arrivals as recorded: a line for each, in seconds from the beginning."""
    times = sorted(begin + float(line) * 1000 for line in file.read_text().split())
    return (time for time in times if time < end)


def _burst_arrivals(arrivals: Arrivals, rng: np.random.Generator, begin: float, end: float) -> Iterator[float]:
    """Bursts at fixed intervals, each spread evenly over a time."""
    first = begin
    while first < end:
        burst = sorted(first + float(share) * arrivals.over_s * 1000 for share in rng.random(arrivals.size))
        yield from (time for time in burst if time < end)
        first += arrivals.every_s * 1000


@dataclass(slots=True, frozen=True)
class PoissonArrival:
    """An arrival of a Poisson process.

    Attributes:
        time: of it, in ms.
        chance: evenly distributed from 0 to 1, for thinning.
    """

    time: float
    chance: float


def _poisson_arrivals(rate: float, rng: np.random.Generator, begin: float, end: float) -> Iterator[PoissonArrival]:
    """A Poisson process with a rate per ms."""
    now = begin
    while True:
        gaps, chances = rng.exponential(1 / rate, BATCH_SIZE), rng.random(BATCH_SIZE)
        for gap, chance in zip(map(float, gaps), map(float, chances), strict=True):
            now += gap
            if now >= end:
                return
            yield PoissonArrival(now, chance)


def _wave_arrivals(
    arrivals: Arrivals, rate: float, rng: np.random.Generator, begin: float, end: float
) -> Iterator[float]:
    """A Poisson process with a rate that follows a sine, by thinning (Lewis and Shedler 1979)."""
    highest = 1 + arrivals.depth
    for arrival in _poisson_arrivals(rate / 1000 * highest, rng, begin, end):
        level = 1 + arrivals.depth * sin(2 * pi * (arrival.time - begin) / (arrivals.period_s * 1000))
        if arrival.chance * highest < level:
            yield arrival.time


class Clients:
    """All clients together.

    Attributes:
        open_requests: requests that have arrived and not ended.
        open_request_ms: open requests, summed over time.
        total_stay_ms: of all requests that have ended.
        ended_requests: how many have ended.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        scenario, seed = world.scenario, world.seed
        self._class_numbers = {table.name: number for number, table in enumerate(scenario.classes)}
        self._work_draws = [
            Draws(distribution(table.work), stream(seed, "work", table.name)) for table in scenario.classes
        ]
        self._dispatcher_choice = stream(seed, "doors")
        self._choice_batch: list[int] = []
        self._request_count = 0
        self.open_requests = 0
        self.open_request_ms = 0.0
        self.total_stay_ms = 0.0
        self.ended_requests = 0
        self._open_requests_changed_at = 0.0

    def start(self) -> None:
        """Schedule the first arrival of each table of arrivals."""
        scenario = self._world.scenario
        for number, arrivals in enumerate(scenario.arrivals):
            times = arrival_times(arrivals, self._world.seed, number, scenario.span_s * 1000, scenario.folder)
            self._schedule_arrival(self._class_numbers[arrivals.lane], times)

    def change_open_requests(self, change: int) -> None:
        """So many more requests are open from now on; keeps the sum for Little's law."""
        now = self._world.timeline.now
        self.open_request_ms += self.open_requests * (now - self._open_requests_changed_at)
        self.open_requests += change
        self._open_requests_changed_at = now

    def answered(self, request: ClientRequest, final: FinalAnswer, retry_after: float) -> None:
        """A dispatcher has given a request its final answer, with a Retry-After in ms, 0 for none."""
        table = self._world.scenario.classes[request.class_number]
        if final is FinalAnswer.SERVED:
            on_time = self._world.timeline.now - request.arrived_at <= table.aim_ms
            self._end(request, "on_time" if on_time else "late")
        elif final is FinalAnswer.REFUSED:
            self._retry_or_end(request, max(retry_after, table.retry_wait_ms), "refused")
        else:
            self._end(request, "failed")

    def dispatcher_lost(self, request: ClientRequest) -> None:
        """The dispatcher of a request was killed: only what may run twice is submitted again."""
        if self._world.classes[request.class_number].effect is Effect.NON_IDEMPOTENT:
            self._end(request, "lost")
        else:
            wait = self._world.scenario.classes[request.class_number].retry_wait_ms
            self._retry_or_end(request, wait, "lost")

    def _schedule_arrival(self, class_number: int, times: Iterator[float]) -> None:
        time = next(times, None)
        if time is not None:
            self._world.timeline.schedule_at(time, self._arrive, class_number, times)

    def _arrive(self, class_number: int, times: Iterator[float]) -> None:
        now = self._world.timeline.now
        table = self._world.scenario.classes[class_number]
        self._request_count += 1
        name = f"j{self._request_count}"
        work_ms = self._work_draws[class_number].next()
        self.change_open_requests(1)
        self._submit(ClientRequest(name, class_number, work_ms, table.slots, now, now + table.deadline_ms))
        self._schedule_arrival(class_number, times)

    def _submit(self, request: ClientRequest) -> None:
        """Submit a request to one of the running dispatchers, each as likely."""
        if not self._choice_batch:
            self._choice_batch = [*map(int, self._dispatcher_choice.integers(0, CHOICE_RANGE, BATCH_SIZE))]
        draw = self._choice_batch.pop()
        running = self._world.running_dispatchers
        request.submissions += 1
        if running:
            running[draw % len(running)].accept(request)
        else:
            self._end(request, "lost")

    def _retry_or_end(self, request: ClientRequest, wait: float, outcome: str) -> None:
        """Submit a request again after a wait in ms, or end it so if its retries or its time are used up."""
        table = self._world.scenario.classes[request.class_number]
        if request.submissions <= table.retries and self._world.timeline.now + wait < request.give_up_at:
            self._world.timeline.schedule_after(wait, self._submit, request)
        else:
            self._end(request, outcome)

    def _end(self, request: ClientRequest, outcome: str) -> None:
        now, scenario = self._world.timeline.now, self._world.scenario
        self.change_open_requests(-1)
        self.total_stay_ms += now - request.arrived_at
        self.ended_requests += 1
        if request.arrived_at >= scenario.warm_up_s * 1000:
            table = scenario.classes[request.class_number]
            self._world.figures.request_ended(request, table, outcome, now)

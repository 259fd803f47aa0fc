"""Emulates clients: generates arrivals, submits requests to dispatchers and records how each request ends."""

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
"""Exclusive upper bound of the draws that choose a dispatcher, taken modulo the number of running dispatchers."""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """Client's view of a request, from its arrival to its end.

    Attributes:
        name: name of the request, unique in a run.
        class_number: index of the request class.
        work_ms: execution time in ms at speed 1.
        slots: number of slots that the request occupies at a server.
        arrived_at: time of the first submission in ms.
        give_up_at: deadline in ms.
        submissions: number of submissions to dispatchers.
        attempts: number of attempts that dispatchers have sent to servers.
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
    """Returns the arrival times of one arrivals table in ascending order, in ms; each table has its own random stream.

    Args:
        arrivals: arrivals table of the scenario.
        seed: seed of the run.
        number: index of the table in the scenario.
        span: length of the run in ms.
        folder: folder of the scenario file, which trace files are relative to.

    Raises:
        ValueError: if a Poisson or wave table has no rate.
    """
    rng = stream(seed, "arrivals", str(number))
    begin = arrivals.from_s * 1000
    end = min(span, arrivals.to_s * 1000 if arrivals.to_s is not None else inf)
    if arrivals.shape == "trace":
        return _trace_arrivals(Path(folder) / arrivals.file, begin, end)
    if arrivals.shape == "bursts":
        return _burst_arrivals(arrivals, rng, begin, end)
    if arrivals.rate is None:
        msg = f"arrivals of class {arrivals.class_name!r} have no rate, which shape {arrivals.shape!r} requires"
        raise ValueError(msg)
    if arrivals.shape == "waves":
        return _wave_arrivals(arrivals, arrivals.rate, rng, begin, end)
    return (arrival.time for arrival in _poisson_arrivals(arrivals.rate / 1000, rng, begin, end))


def _trace_arrivals(file: Path, begin: float, end: float) -> Iterator[float]:
    """Returns recorded arrivals in ascending order; the file has one line per arrival, in seconds from ``begin``."""
    times = sorted(begin + float(line) * 1000 for line in file.read_text().split())
    return (time for time in times if time < end)


def _burst_arrivals(arrivals: Arrivals, rng: np.random.Generator, begin: float, end: float) -> Iterator[float]:
    """Yields bursts of arrivals at fixed intervals; the arrivals of a burst are spread uniformly over ``over_s``."""
    first = begin
    while first < end:
        burst = sorted(first + float(share) * arrivals.over_s * 1000 for share in rng.random(arrivals.size))
        yield from (time for time in burst if time < end)
        first += arrivals.every_s * 1000


@dataclass(slots=True, frozen=True)
class PoissonArrival:
    """Arrival of a Poisson process.

    Attributes:
        time: time of the arrival in ms.
        chance: draw from the uniform distribution on 0 to 1, for thinning.
    """

    time: float
    chance: float


def _poisson_arrivals(rate: float, rng: np.random.Generator, begin: float, end: float) -> Iterator[PoissonArrival]:
    """Yields the arrivals of a Poisson process; the rate is in arrivals per ms."""
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
    """Yields arrivals of a Poisson process whose rate follows a sine, by thinning (Lewis and Shedler 1979)."""
    highest = 1 + arrivals.depth
    for arrival in _poisson_arrivals(rate / 1000 * highest, rng, begin, end):
        level = 1 + arrivals.depth * sin(2 * pi * (arrival.time - begin) / (arrivals.period_s * 1000))
        if arrival.chance * highest < level:
            yield arrival.time


class Clients:
    """Emulates all clients of a run.

    Attributes:
        open_requests: number of requests that have arrived and not ended.
        open_request_ms: integral of ``open_requests`` over time, in ms.
        total_stay_ms: sum of the times in ms from arrival to end, over all ended requests.
        ended_requests: number of requests that have ended.
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
        """Schedules the first arrival of each arrivals table."""
        scenario = self._world.scenario
        for number, arrivals in enumerate(scenario.arrivals):
            times = arrival_times(arrivals, self._world.seed, number, scenario.span_s * 1000, scenario.folder)
            self._schedule_arrival(self._class_numbers[arrivals.class_name], times)

    def change_open_requests(self, change: int) -> None:
        """Changes the number of open requests and updates its integral over time, for the check of Little's law."""
        now = self._world.timeline.now
        self.open_request_ms += self.open_requests * (now - self._open_requests_changed_at)
        self.open_requests += change
        self._open_requests_changed_at = now

    def answered(self, request: ClientRequest, final: FinalAnswer, retry_after: float) -> None:
        """Handles the final answer of a dispatcher to a request; ``retry_after`` is in ms, 0 for none."""
        table = self._world.scenario.classes[request.class_number]
        if final is FinalAnswer.SERVED:
            on_time = self._world.timeline.now - request.arrived_at <= table.aim_ms
            self._end(request, "on_time" if on_time else "late")
        elif final is FinalAnswer.REFUSED:
            self._retry_or_end(request, max(retry_after, table.retry_wait_ms), "refused")
        else:
            self._end(request, "failed")

    def dispatcher_lost(self, request: ClientRequest) -> None:
        """Handles the kill of a request's dispatcher: a request is submitted again only if it may run twice."""
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
        """Submits a request to a running dispatcher, chosen uniformly at random."""
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
        """Submits a request again after a wait in ms, or ends it with ``outcome`` if no retry or no time is left."""
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

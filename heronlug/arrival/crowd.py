"""What the starts of our own jobs tell of everybody's, where nothing else does.  No I/O, no clock, no chance.

Where dispatchers may not talk and workers report nothing, each sees a job of its own at a worker once in a while, and
of the fleet only how long its jobs wait there.  A fleet that does not mind stays in a jam once it has got into one:
all workers are busy with jobs that are late already.  So, where starts are told and dispatchers are many:

* **Jobs are held here while there is a crowd.** By Little's law what waits at workers over what runs there is the wait,
  in runs.  While that is more than half of what a job has left until it must start, it is held, the newest first; what
  is late and worth nothing is given up at once.  What is late where it waits tells of a worker that stands still, and
  does not count.
* **A run is counted from its start**: with the wait in it, the aim of a job that stretches with its run would grow in
  a jam, and what a cold worker bears, in jobs of usual size, would shrink.
"""

from heronlug.arrival.parts import Parts
from heronlug.decisions.model import Flight, Job
from heronlug.decisions.state import State

PART = 0.5  # of a job's time until it must start: half of all jobs wait for longer than the mean


class Crowd:
    """Of one dispatcher."""

    __slots__ = ("_blind", "_parts", "_state")

    def __init__(self, state: State, parts: Parts, by_starts: bool) -> None:
        """``by_starts``: of workers, starts alone are told."""
        self._state, self._parts = state, parts
        self._blind = by_starts and parts.apart

    def started(self, flight: Flight, now: float) -> None:
        """A job of ours has started."""
        flight.waiting, flight.began = False, now
        flight.worker.waiting -= 1
        self._state.lags[flight.worker.zone].heard(now - flight.sent)
        self._parts.started(flight.worker, now - flight.sent)

    def run(self, flight: Flight, latency: float, now: float) -> float:
        """How long it has run, as far as that is known."""
        return now - flight.began if self._blind else latency

    def waits_long(self, job: Job, now: float) -> bool:
        """Whether a job that went out now would wait too long."""
        if not self._blind:
            return False
        flights = self._state.flights.values()
        waiting = sum(flight.waiting and now < flight.job.due for flight in flights)
        running = sum(not flight.waiting for flight in flights)
        left = PART * max(0.0, job.last_start - now)
        return waiting > 1 and waiting * self._state.mean_span > (running + 1) * left

    def vain(self, job: Job, run: float, now: float) -> bool:
        """Whether a job that is late would die running, or be worth nothing where there is a crowd."""
        return now > job.give_up_at - run or (self._blind and now > job.last_start and not job.lane.late_value)

"""Other ways to choose a host, to compare the module with: a floor and a ceiling for every figure.

Each takes the module's place in a core: events in, actions out. All retry alike (what the effect allows, at once, up to
the cap) and send nothing to a host that is not ready; they differ in the choice alone. None keeps a margin for cold
hosts or hands on what it knows.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from heronlug.balancer.actions import Action, CancelAttempt, Fail, Reject, StartAttempt, Subscribe
from heronlug.balancer.events import (
    NEVER_RAN,
    AttemptEnded,
    ClientGone,
    Event,
    FinalAnswerDue,
    ListKind,
    RequestArrived,
    RequestHandedOver,
    ServerEntry,
    ServerListUpdate,
    ServerState,
)
from heronlug.balancer.settings import Effect, Settings


class Look(NamedTuple):
    """What is true of a host at this moment; dispatchers do not see it, and two of the policies do."""

    inside: float  # slots that run or wait
    coming: float  # slots that are on their way to it, from all dispatchers
    stands: float  # slots in it that it stands for long
    capacity: float  # slots that it has now
    speed: float
    well: bool  # it is up and does not stand still
    far: float  # ms to reach it and back


class Worker:
    """A host as a policy knows it."""

    __slots__ = ("entry", "number", "out")

    def __init__(self, entry: ServerEntry) -> None:
        self.number, self.entry = entry.server, entry
        self.out = 0.0  # slots that we have sent and that have not ended


class Job:
    """An open job."""

    __slots__ = ("arrived", "hosts", "out", "spoiled", "tries")

    def __init__(self, arrived: RequestArrived) -> None:
        self.arrived = arrived
        self.tries = 0
        self.out: set[int] = set()
        self.hosts: list[int] = []
        self.spoiled = False  # an attempt may have run


class Policy:
    """The base: everything but the choice.  ``look`` takes a worker's number."""

    name = ""

    def __init__(self, settings: Settings, seed: int, look: Callable[[int], Look]) -> None:
        self.s, self.rng, self.look = settings, Random(seed), look
        self.workers: dict[int, Worker] = {}
        self.ready: list[Worker] = []
        self.jobs: dict[int, Job] = {}
        self._subscribed = False

    def choose(self, job: Job, among: list[Worker]) -> Worker | None:
        """A worker of those, of which there is at least one; None turns the job away."""
        raise NotImplementedError

    def avoided(self, now: float) -> set[int]:
        """None is avoided for what it did."""
        return set()

    def handle(self, now: float, event: Event) -> list[Action]:
        """The actions that an event leads to."""
        out: list[Action] = []
        if isinstance(event, RequestArrived):
            self.jobs[event.request] = Job(event)
            self._send(event.request, now, out)
        elif isinstance(event, AttemptEnded):
            self._ended(event, now, out)
        elif isinstance(event, ServerListUpdate):
            self._listed(event, out)
        elif isinstance(event, ClientGone | RequestHandedOver):
            job = self.jobs.pop(event.request, None)
            if job is not None:
                out += [CancelAttempt(event.request, attempt) for attempt in job.out]
        elif isinstance(event, FinalAnswerDue):
            if self.jobs.pop(event.request, None) is not None:
                out.append(Fail(event.request))
        return out

    def _listed(self, event: ServerListUpdate, out: list[Action]) -> None:
        if event.kind is ListKind.FAILED:
            self._subscribed = False
            return
        if event.kind is not ListKind.CHANGES:
            here = {entry.server for entry in event.entries}
            for gone in self.workers.keys() - here:
                del self.workers[gone]
        for entry in event.entries:
            if entry.state is ServerState.REMOVED:
                self.workers.pop(entry.server, None)
            elif entry.server in self.workers:
                self.workers[entry.server].entry = entry
            else:
                self.workers[entry.server] = Worker(entry)
        self.ready = [worker for worker in self.workers.values() if worker.entry.state is ServerState.READY]
        if not self._subscribed:
            self._subscribed = True
            out.append(Subscribe())

    def _send(self, number: int, now: float, out: list[Action]) -> None:
        job = self.jobs[number]
        arrived = job.arrived
        lane = arrived.policy or self.s.classes[arrived.request_class]
        if job.tries >= self.s.max_attempts_of(lane) or now >= arrived.give_up_at or not self.ready:
            del self.jobs[number]
            out.append(Fail(number) if job.spoiled else Reject(number))
            return
        among = [worker for worker in self.ready if worker.number not in job.hosts] or self.ready
        worker = self.choose(job, among)
        if worker is None:
            del self.jobs[number]
            out.append(Fail(number) if job.spoiled else Reject(number))
            return
        worker.out += arrived.slots
        job.out.add(job.tries)
        job.hosts.append(worker.number)
        job.tries += 1
        out.append(StartAttempt(number, worker.number))

    def _ended(self, event: AttemptEnded, now: float, out: list[Action]) -> None:
        job = self.jobs.get(event.request)
        worker = self.workers.get(event.server)
        if worker is not None:
            worker.out = max(0.0, worker.out - (job.arrived.slots if job is not None else 1.0))
        if job is None:
            return
        job.out.discard(event.attempt)
        if event.final:
            del self.jobs[event.request]
            return
        lane = job.arrived.policy or self.s.classes[job.arrived.request_class]
        ran = event.outcome not in NEVER_RAN
        job.spoiled = job.spoiled or ran
        if ran and lane.effect is not Effect.IDEMPOTENT:
            del self.jobs[event.request]
            out.append(Fail(event.request))
        else:
            self._send(event.request, now, out)


class RandomChoice(Policy):
    """Any."""

    name = "random"

    def choose(self, job: Job, among: list[Worker]) -> Worker:
        """Any of them, each as likely."""
        return self.rng.choice(among)


class RoundRobin(Policy):
    """One after the other."""

    name = "round-robin"
    _next = 0

    def choose(self, job: Job, among: list[Worker]) -> Worker:
        """The next."""
        self._next += 1
        return among[self._next % len(among)]


class LeastInFlight(Policy):
    """The one to which we have sent the least that has not ended."""

    name = "least-in-flight"

    def choose(self, job: Job, among: list[Worker]) -> Worker:
        """Of those with as little, any."""
        least = min(worker.out for worker in among)
        return self.rng.choice([worker for worker in among if worker.out == least])


class TwoChoices(Policy):
    """Of two, the one with less of ours in flight (Mitzenmacher 2001)."""

    name = "two-choices"

    def choose(self, job: Job, among: list[Worker]) -> Worker:
        """Of two at random, the better."""
        one, other = self.rng.choice(among), self.rng.choice(among)
        return one if one.out <= other.out else other


class ShortestQueue(Policy):
    """The one with the least in it, whoever sent it: join the shortest queue, which no dispatcher can see."""

    name = "shortest-queue"

    def choose(self, job: Job, among: list[Worker]) -> Worker:
        """Of those with as little, any."""
        inside = [(self.look(worker.number).inside, worker) for worker in among]
        least = min(each for each, _ in inside)
        return self.rng.choice([worker for each, worker in inside if each == least])


class Oracle(Policy):
    """Sees all: queues, what is on its way, capacity, speed, distance, who stands still, and how much a host stands.

    Chooses by when the job would be done, and turns it away where every host has as much as it stands.
    """

    name = "oracle"

    def choose(self, job: Job, among: list[Worker]) -> Worker | None:
        """The one where it would be done first, by how much stands before it."""

        def waits(worker: Worker) -> float:
            seen = self.look(worker.number)
            after = seen.inside + seen.coming + job.arrived.slots
            if not seen.well or (after > seen.stands and seen.inside + seen.coming > 0):
                return float("inf")
            over = max(0.0, after - seen.capacity) / seen.capacity
            return (1 + over) * MEAN_WORK / seen.speed + seen.far

        best = min(among, key=waits)
        return best if waits(best) < float("inf") else None


MEAN_WORK = 200.0  # ms: only the proportion of waiting to distance depends on it
POLICIES: dict[str, type[Policy]] = {
    policy.name: policy for policy in (RandomChoice, RoundRobin, LeastInFlight, TwoChoices, ShortestQueue, Oracle)
}
OURS = "heronlug"

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


class ServerTruth(NamedTuple):
    """What is true of a server at this moment; dispatchers do not see it, and two of the policies do.

    Attributes:
        occupied_slots: slots of what runs or is queued there.
        inbound_slots: slots of attempts on their way to it, from all dispatchers.
        overload_slots: slots that may be in it without overload.
        capacity: slots that it has now.
        speed: divides the work of an execution.
        responsive: whether it is up, not suspended and can be reached.
        round_trip_ms: the median time to reach it and back.
    """

    occupied_slots: float
    inbound_slots: float
    overload_slots: float
    capacity: float
    speed: float
    responsive: bool
    round_trip_ms: float

    @classmethod
    def of_missing_server(cls) -> "ServerTruth":
        """What is true of a server that is not there any more."""
        return cls(0.0, 0.0, 1.0, 1.0, 1.0, responsive=False, round_trip_ms=0.0)


class KnownServer:
    """A host as a policy knows it."""

    __slots__ = ("entry", "number", "own_slots")

    def __init__(self, entry: ServerEntry) -> None:
        self.number, self.entry = entry.server, entry
        self.own_slots = 0.0  # slots that we have sent and that have not ended


class OpenRequest:
    """An open job."""

    __slots__ = ("arrived", "attempt_count", "attempts_in_flight", "may_have_run", "servers")

    def __init__(self, arrived: RequestArrived) -> None:
        self.arrived = arrived
        self.attempt_count = 0
        self.attempts_in_flight: set[int] = set()
        self.servers: list[int] = []
        self.may_have_run = False  # an attempt may have run


class Policy:
    """The base: everything but the choice.  ``look`` takes a worker's number."""

    name = ""

    def __init__(self, settings: Settings, seed: int, look: Callable[[int], ServerTruth]) -> None:
        self.settings, self.rng, self.server_truth = settings, Random(seed), look
        self.servers: dict[int, KnownServer] = {}
        self.ready_servers: list[KnownServer] = []
        self.requests: dict[int, OpenRequest] = {}
        self._subscribed = False

    def choose(self, job: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        """A worker of those, of which there is at least one; None turns the job away."""
        raise NotImplementedError

    def avoided(self, now: float) -> set[int]:
        """None is avoided for what it did."""
        return set()

    def handle(self, now: float, event: Event) -> list[Action]:
        """The actions that an event leads to."""
        out: list[Action] = []
        if isinstance(event, RequestArrived):
            self.requests[event.request] = OpenRequest(event)
            self._send(event.request, now, out)
        elif isinstance(event, AttemptEnded):
            self._ended(event, now, out)
        elif isinstance(event, ServerListUpdate):
            self._listed(event, out)
        elif isinstance(event, ClientGone | RequestHandedOver):
            job = self.requests.pop(event.request, None)
            if job is not None:
                out += [CancelAttempt(event.request, attempt) for attempt in job.attempts_in_flight]
        elif isinstance(event, FinalAnswerDue):
            if self.requests.pop(event.request, None) is not None:
                out.append(Fail(event.request))
        return out

    def _listed(self, event: ServerListUpdate, out: list[Action]) -> None:
        if event.kind is ListKind.FAILED:
            self._subscribed = False
            return
        if event.kind is not ListKind.CHANGES:
            here = {entry.server for entry in event.entries}
            for gone in self.servers.keys() - here:
                del self.servers[gone]
        for entry in event.entries:
            if entry.state is ServerState.REMOVED:
                self.servers.pop(entry.server, None)
            elif entry.server in self.servers:
                self.servers[entry.server].entry = entry
            else:
                self.servers[entry.server] = KnownServer(entry)
        self.ready_servers = [worker for worker in self.servers.values() if worker.entry.state is ServerState.READY]
        if not self._subscribed:
            self._subscribed = True
            out.append(Subscribe())

    def _send(self, number: int, now: float, out: list[Action]) -> None:
        job = self.requests[number]
        arrived = job.arrived
        lane = arrived.policy or self.settings.classes[arrived.request_class]
        if (
            job.attempt_count >= self.settings.max_attempts_of(lane)
            or now >= arrived.give_up_at
            or not self.ready_servers
        ):
            del self.requests[number]
            out.append(Fail(number) if job.may_have_run else Reject(number))
            return
        among = [worker for worker in self.ready_servers if worker.number not in job.servers] or self.ready_servers
        worker = self.choose(job, among)
        if worker is None:
            del self.requests[number]
            out.append(Fail(number) if job.may_have_run else Reject(number))
            return
        worker.own_slots += arrived.slots
        job.attempts_in_flight.add(job.attempt_count)
        job.servers.append(worker.number)
        job.attempt_count += 1
        out.append(StartAttempt(number, worker.number))

    def _ended(self, event: AttemptEnded, now: float, out: list[Action]) -> None:
        job = self.requests.get(event.request)
        worker = self.servers.get(event.server)
        if worker is not None:
            worker.own_slots = max(0.0, worker.own_slots - (job.arrived.slots if job is not None else 1.0))
        if job is None:
            return
        job.attempts_in_flight.discard(event.attempt)
        if event.final:
            del self.requests[event.request]
            return
        lane = job.arrived.policy or self.settings.classes[job.arrived.request_class]
        ran = event.outcome not in NEVER_RAN
        job.may_have_run = job.may_have_run or ran
        if ran and lane.effect is not Effect.IDEMPOTENT:
            del self.requests[event.request]
            out.append(Fail(event.request))
        else:
            self._send(event.request, now, out)


class RandomChoice(Policy):
    """Any."""

    name = "random"

    def choose(self, job: OpenRequest, among: list[KnownServer]) -> KnownServer:
        """Any of them, each as likely."""
        return self.rng.choice(among)


class RoundRobin(Policy):
    """One after the other."""

    name = "round-robin"
    _next = 0

    def choose(self, job: OpenRequest, among: list[KnownServer]) -> KnownServer:
        """The next."""
        self._next += 1
        return among[self._next % len(among)]


class LeastInFlight(Policy):
    """The one to which we have sent the least that has not ended."""

    name = "least-in-flight"

    def choose(self, job: OpenRequest, among: list[KnownServer]) -> KnownServer:
        """Of those with as little, any."""
        least = min(worker.own_slots for worker in among)
        return self.rng.choice([worker for worker in among if worker.own_slots == least])


class TwoChoices(Policy):
    """Of two, the one with less of ours in flight (Mitzenmacher 2001)."""

    name = "two-choices"

    def choose(self, job: OpenRequest, among: list[KnownServer]) -> KnownServer:
        """Of two at random, the better."""
        one, other = self.rng.choice(among), self.rng.choice(among)
        return one if one.own_slots <= other.own_slots else other


class ShortestQueue(Policy):
    """The one with the least in it, whoever sent it: join the shortest queue, which no dispatcher can see."""

    name = "shortest-queue"

    def choose(self, job: OpenRequest, among: list[KnownServer]) -> KnownServer:
        """Of those with as little, any."""
        inside = [(self.server_truth(worker.number).occupied_slots, worker) for worker in among]
        least = min(each for each, _ in inside)
        return self.rng.choice([worker for each, worker in inside if each == least])


class Oracle(Policy):
    """Sees all: queues, what is on its way, capacity, speed, distance, who stands still, and how much a host stands.

    Chooses by when the job would be done, and turns it away where every host has as much as it stands.
    """

    name = "oracle"

    def choose(self, job: OpenRequest, among: list[KnownServer]) -> KnownServer | None:
        """The one where it would be done first, by how much stands before it."""

        def waits(worker: KnownServer) -> float:
            seen = self.server_truth(worker.number)
            after = seen.occupied_slots + seen.inbound_slots + job.arrived.slots
            if not seen.responsive or (after > seen.overload_slots and seen.occupied_slots + seen.inbound_slots > 0):
                return float("inf")
            over = max(0.0, after - seen.capacity) / seen.capacity
            return (1 + over) * MEAN_WORK_MS / seen.speed + seen.round_trip_ms

        best = min(among, key=waits)
        return best if waits(best) < float("inf") else None


MEAN_WORK_MS = 200.0  # ms: only the proportion of waiting to distance depends on it
POLICIES: dict[str, type[Policy]] = {
    policy.name: policy for policy in (RandomChoice, RoundRobin, LeastInFlight, TwoChoices, ShortestQueue, Oracle)
}
BUILT_IN_POLICY = "heronlug"

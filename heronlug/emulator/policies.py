"""Other policies to choose a server by, to compare the balancer with: a floor and a ceiling for every figure.

Each takes the balancer's place in a core: events in, actions out. All retry alike (what the effect allows, at once, up
to the cap) and send nothing to a server that is not ready; they differ in the choice alone. None reserves capacity at
servers that warm up or hands on what it has learned.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
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
from heronlug.balancer.settings import Effect, RequestClass, Settings

BUILT_IN_POLICY = "heronlug"
"""The name of the balancer itself among the policies."""
MEAN_WORK_MS = 200.0
"""The work of a request that the oracle reckons with; only the proportion of queueing to distance depends on it."""


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


@dataclass(slots=True)
class KnownServer:
    """A server as a policy knows it.

    Attributes:
        number: of the server.
        entry: its entry in the endpoint list.
        own_slots: slots of our attempts that have not ended.
    """

    number: int
    entry: ServerEntry
    own_slots: float = 0.0


@dataclass(slots=True)
class OpenRequest:
    """A request that has had no final answer.

    Attributes:
        arrived: its arrival.
        attempt_count: attempts that were started.
        attempts_in_flight: the numbers of those that have not ended.
        servers: that it was sent to.
        may_have_run: whether an attempt may have run.
    """

    arrived: RequestArrived
    attempt_count: int = 0
    attempts_in_flight: set[int] = field(default_factory=set)
    servers: list[int] = field(default_factory=list)
    may_have_run: bool = False


class Policy:
    """The base of all: everything but the choice.

    Attributes:
        name: in scenario files.
        settings: of the dispatcher.
        rng: its random draws.
        server_truth: tells what is true of the server with a number.
        servers: of the endpoint list, by number.
        ready_servers: those that are ready.
        requests: that are open, by number.
    """

    name = ""

    def __init__(self, settings: Settings, seed: int, server_truth: Callable[[int], ServerTruth]) -> None:
        self.settings, self.rng, self.server_truth = settings, Random(seed), server_truth
        self.servers: dict[int, KnownServer] = {}
        self.ready_servers: list[KnownServer] = []
        self.requests: dict[int, OpenRequest] = {}
        self._subscribed = False

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        """Choose one of at least one candidate for the next attempt of a request; None rejects the request."""
        raise NotImplementedError

    def avoided(self, now: float) -> set[int]:
        """The servers that are avoided for what they did: none."""
        return set()

    def handle(self, now: float, event: Event) -> list[Action]:
        """The actions that an event leads to."""
        actions: list[Action] = []
        if isinstance(event, RequestArrived):
            self.requests[event.request] = OpenRequest(event)
            self._start_attempt(event.request, now, actions)
        elif isinstance(event, AttemptEnded):
            self._attempt_ended(event, now, actions)
        elif isinstance(event, ServerListUpdate):
            self._update_servers(event, actions)
        elif isinstance(event, ClientGone | RequestHandedOver):
            request = self.requests.pop(event.request, None)
            if request is not None:
                actions += [CancelAttempt(event.request, attempt) for attempt in request.attempts_in_flight]
        elif isinstance(event, FinalAnswerDue):
            if self.requests.pop(event.request, None) is not None:
                actions.append(Fail(event.request))
        return actions

    # -- the endpoint list

    def _update_servers(self, event: ServerListUpdate, actions: list[Action]) -> None:
        if event.kind is ListKind.FAILED:
            self._subscribed = False
            return
        if event.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in event.entries}
            for unlisted in self.servers.keys() - listed:
                del self.servers[unlisted]
        for entry in event.entries:
            self._update_server(entry)
        self.ready_servers = [server for server in self.servers.values() if server.entry.state is ServerState.READY]
        if not self._subscribed:
            self._subscribed = True
            actions.append(Subscribe())

    def _update_server(self, entry: ServerEntry) -> None:
        if entry.state is ServerState.REMOVED:
            self.servers.pop(entry.server, None)
        elif entry.server in self.servers:
            self.servers[entry.server].entry = entry
        else:
            self.servers[entry.server] = KnownServer(entry.server, entry)

    # -- attempts

    def _start_attempt(self, number: int, now: float, actions: list[Action]) -> None:
        """Start the next attempt of a request, or end the request if there is no server, time or attempt left."""
        request = self.requests[number]
        server = self._next_server(request, now)
        if server is None:
            del self.requests[number]
            actions.append(Fail(number) if request.may_have_run else Reject(number))
            return
        server.own_slots += request.arrived.slots
        request.attempts_in_flight.add(request.attempt_count)
        request.servers.append(server.number)
        request.attempt_count += 1
        actions.append(StartAttempt(number, server.number))

    def _next_server(self, request: OpenRequest, now: float) -> KnownServer | None:
        """The server of the next attempt, if possible one that the request was not sent to; None: no attempt."""
        exhausted = request.attempt_count >= self.settings.max_attempts_of(self._class_of(request))
        if exhausted or now >= request.arrived.give_up_at or not self.ready_servers:
            return None
        untried = [server for server in self.ready_servers if server.number not in request.servers]
        return self.choose(request, untried or self.ready_servers)

    def _attempt_ended(self, event: AttemptEnded, now: float, actions: list[Action]) -> None:
        request = self.requests.get(event.request)
        server = self.servers.get(event.server)
        if server is not None:
            slots = request.arrived.slots if request is not None else 1.0
            server.own_slots = max(0.0, server.own_slots - slots)
        if request is None:
            return
        request.attempts_in_flight.discard(event.attempt)
        if event.final:
            del self.requests[event.request]
            return
        ran = event.outcome not in NEVER_RAN
        request.may_have_run = request.may_have_run or ran
        if ran and self._class_of(request).effect is not Effect.IDEMPOTENT:
            del self.requests[event.request]
            actions.append(Fail(event.request))
        else:
            self._start_attempt(event.request, now, actions)

    def _class_of(self, request: OpenRequest) -> RequestClass:
        return request.arrived.policy or self.settings.classes[request.arrived.request_class]


class RandomChoice(Policy):
    """Any server."""

    name = "random"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Any candidate, each as likely."""
        return self.rng.choice(candidates)


class RoundRobin(Policy):
    """One server after the other."""

    name = "round-robin"
    _position = 0

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """The next candidate."""
        self._position += 1
        return candidates[self._position % len(candidates)]


class LeastInFlight(Policy):
    """The server with the fewest slots of our own attempts in flight."""

    name = "least-in-flight"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Any of the candidates with the fewest."""
        fewest = min(server.own_slots for server in candidates)
        return self.rng.choice([server for server in candidates if server.own_slots == fewest])


class TwoChoices(Policy):
    """Of two servers, the one with fewer slots of our own attempts in flight (Mitzenmacher 2001)."""

    name = "two-choices"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Of two random candidates, the one with fewer."""
        one, other = self.rng.choice(candidates), self.rng.choice(candidates)
        return one if one.own_slots <= other.own_slots else other


class ShortestQueue(Policy):
    """The server with the least in it, from whichever dispatcher: join the shortest queue, which no dispatcher sees."""

    name = "shortest-queue"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Any of the candidates with the least."""
        occupied = {server.number: self.server_truth(server.number).occupied_slots for server in candidates}
        least = min(occupied.values())
        return self.rng.choice([server for server in candidates if occupied[server.number] == least])


class Oracle(Policy):
    """Knows all: queues, attempts on their way, capacity, speed, distance, suspension, and what a server bears.

    Chooses by when the request would be done, and rejects it where every server has as much as it bears.
    """

    name = "oracle"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        """The candidate where the request would be done first."""
        best = min(candidates, key=lambda server: self._time_to_done(request, server))
        return best if self._time_to_done(request, best) < float("inf") else None

    def _time_to_done(self, request: OpenRequest, server: KnownServer) -> float:
        """About how many ms a server would need, by what is in it or on its way; infinite if it must not be chosen."""
        truth = self.server_truth(server.number)
        before = truth.occupied_slots + truth.inbound_slots
        after = before + request.arrived.slots
        if not truth.responsive or (after > truth.overload_slots and before > 0):
            return float("inf")
        queueing = max(0.0, after - truth.capacity) / truth.capacity
        return (1 + queueing) * MEAN_WORK_MS / truth.speed + truth.round_trip_ms


POLICIES: dict[str, type[Policy]] = {
    policy.name: policy for policy in (RandomChoice, RoundRobin, LeastInFlight, TwoChoices, ShortestQueue, Oracle)
}
"""The policies by their names in scenario files."""

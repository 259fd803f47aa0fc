"""Provides simple policies for choosing a server, which give lower and upper bounds to compare the balancer with.

A policy replaces the balancer in a core: it receives events and returns actions. All policies retry in the same way (if
the effect allows a retry, at once, up to the maximum number of attempts) and send nothing to a server that is not
ready; the policies differ only in the choice of the server. No policy reserves capacity at servers that are warming up
or shares its observations with other dispatchers.
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
"""Name of the balancer itself among the policies."""
MEAN_WORK_MS = 200.0
"""Work of a request in ms that the oracle assumes; sets the weight of queueing relative to network delay."""


class ServerTruth(NamedTuple):
    """Actual state of a server, which dispatchers cannot observe; the shortest-queue and oracle policies use it.

    Attributes:
        occupied_slots: slots of running and queued executions.
        inbound_slots: slots of attempts that are on the way to the server, from all dispatchers.
        overload_slots: slots above which the server is overloaded.
        capacity: slots that the server has at this time.
        speed: divisor of the work of an execution.
        responsive: whether the server is up, not suspended and reachable.
        round_trip_ms: median network round-trip time in ms.
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
        """Returns the state of a server that no longer exists."""
        return cls(0.0, 0.0, 1.0, 1.0, 1.0, responsive=False, round_trip_ms=0.0)


@dataclass(slots=True)
class KnownServer:
    """Server in the endpoint list of a policy.

    Attributes:
        number: number of the server.
        entry: entry in the endpoint list.
        own_slots: slots of this dispatcher's attempts that have not ended.
    """

    number: int
    entry: ServerEntry
    own_slots: float = 0.0


@dataclass(slots=True)
class OpenRequest:
    """Request without a final answer.

    Attributes:
        arrived: arrival event of the request.
        attempt_count: number of attempts that were started.
        attempts_in_flight: numbers of the attempts that have not ended.
        servers: numbers of the servers that the request was sent to.
        may_have_run: whether an attempt may have run.
    """

    arrived: RequestArrived
    attempt_count: int = 0
    attempts_in_flight: set[int] = field(default_factory=set)
    servers: list[int] = field(default_factory=list)
    may_have_run: bool = False


class Policy:
    """Base class of the policies; implements everything except the choice of the server.

    Attributes:
        name: name of the policy in scenario files.
        settings: settings of the dispatcher.
        rng: random number generator of the policy.
        server_truth: returns the actual state of the server with a number.
        servers: servers of the endpoint list, by number.
        ready_servers: servers of the list that are ready.
        requests: open requests, by number.
    """

    name = ""

    def __init__(self, settings: Settings, seed: int, server_truth: Callable[[int], ServerTruth]) -> None:
        self.settings, self.rng, self.server_truth = settings, Random(seed), server_truth
        self.servers: dict[int, KnownServer] = {}
        self.ready_servers: list[KnownServer] = []
        self.requests: dict[int, OpenRequest] = {}
        self._subscribed = False

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        """Returns the candidate for the next attempt of a request, or None to end the request.

        Args:
            request: the request.
            candidates: servers to choose from, at least one.
        """
        raise NotImplementedError

    def avoided(self, now: float) -> set[int]:
        """Returns the servers that are avoided because of their behaviour: none."""
        return set()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles an event and returns the resulting actions."""
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
        """Starts the next attempt of a request, or ends the request if no server, time or attempt is left."""
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
        """Returns the server of the next attempt, if possible an untried server; None if no attempt is to be made."""
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
    """Chooses a server uniformly at random."""

    name = "random"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Returns a random candidate."""
        return self.rng.choice(candidates)


class RoundRobin(Policy):
    """Chooses servers in round-robin order."""

    name = "round-robin"
    _position = 0

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Returns the next candidate in round-robin order."""
        self._position += 1
        return candidates[self._position % len(candidates)]


class LeastInFlight(Policy):
    """Chooses the server with the fewest slots of this dispatcher's own attempts in flight."""

    name = "least-in-flight"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Returns a random one of the candidates with the fewest own slots."""
        fewest = min(server.own_slots for server in candidates)
        return self.rng.choice([server for server in candidates if server.own_slots == fewest])


class TwoChoices(Policy):
    """Chooses the less loaded of two random servers, by own attempts in flight (Mitzenmacher 2001)."""

    name = "two-choices"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Returns the one of two random candidates with fewer own slots."""
        one, other = self.rng.choice(candidates), self.rng.choice(candidates)
        return one if one.own_slots <= other.own_slots else other


class ShortestQueue(Policy):
    """Chooses the server with the fewest occupied slots of all dispatchers, which a dispatcher cannot observe."""

    name = "shortest-queue"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        """Returns a random one of the candidates with the fewest occupied slots."""
        occupied = {server.number: self.server_truth(server.number).occupied_slots for server in candidates}
        least = min(occupied.values())
        return self.rng.choice([server for server in candidates if occupied[server.number] == least])


class Oracle(Policy):
    """Chooses the server with the earliest estimated end, from the actual state of all servers.

    The estimate uses queues, attempts on the way, capacity, speed, network delay, suspension and overload limits. The
    request is rejected if every server is unresponsive or at its overload limit.
    """

    name = "oracle"

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer | None:
        """Returns the candidate with the earliest estimated end, or None if no candidate is admissible."""
        best = min(candidates, key=lambda server: self._time_to_done(request, server))
        return best if self._time_to_done(request, best) < float("inf") else None

    def _time_to_done(self, request: OpenRequest, server: KnownServer) -> float:
        """Returns the estimated time in ms until a server is done; infinite if the server must not be chosen."""
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
"""Policies by their names in scenario files."""

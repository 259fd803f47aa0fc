"""Runs the real core and balancer of a dispatcher with an emulated frontend, backend and service discovery."""

from random import Random
from typing import TYPE_CHECKING

from heronlug.balancer.events import ListKind, ServerState
from heronlug.balancer.settings import Effect, Settings
from heronlug.conformance import Answered, Listed, Started, Stopped, Taken
from heronlug.discovery.poll_failure import PollFailure
from heronlug.discovery.poll_pacing import MIN_POLL_WAIT_MS, PollPacer, PollTerms
from heronlug.emulator.backend import EmulatedBackend
from heronlug.emulator.clients import ClientRequest
from heronlug.emulator.policies import BUILT_IN_POLICY, POLICIES, ServerTruth
from heronlug.emulator.timeline import VirtualDeadlines
from heronlug.requests.core import Core
from heronlug.requests.model import Attempt, FinalAnswer, ListedServer, Request, Workload

if TYPE_CHECKING:
    from heronlug.emulator.world import World

MAX_RETRY_AFTER_MS = 2000.0
"""Longest Retry-After of a rejection, in ms."""


class EmulatedDispatcher:
    """One dispatcher with its successive processes.

    Attributes:
        world: run that the dispatcher belongs to.
        number: index of the dispatcher.
        name: name of the dispatcher in events for the conformance checker.
        zone: index of the dispatcher's zone.
        up: whether the dispatcher has a running process.
        incarnation: number of processes that the dispatcher has had, the present one included.
        deadlines: deadlines of the present process.
        core: core of the present process.
    """

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"d{number}"
        self.zone = number % len(world.scenario.zones)
        self.up = False
        self.incarnation = 0
        self.deadlines: VirtualDeadlines
        self.core: Core
        self._backend: EmulatedBackend
        self._cached_list: list[ListedServer] = []

    # -- start and end of the process

    def start(self) -> None:
        """Starts a process with the endpoint list of the previous process as its cached list."""
        world = self.world
        self.incarnation += 1
        self.up = True
        seed = world.seed * 1000003 + self.number * 101 + self.incarnation
        settings = world.settings(self.number, self.zone)
        self.deadlines = VirtualDeadlines(world.timeline)
        self.core = self._make_core(settings, seed)
        self._backend = EmulatedBackend(world, self.name, self.zone, self.core)
        self._pacer = self._make_pacer(settings, seed)
        self._has_list = bool(self._cached_list) or world.scenario.dispatchers.listed
        self._polling = False
        world.record_event(Started(world.timeline.now, self.name))
        cached = self._cached_list or (list(world.discovery.entries.values()) if self._has_list else [])
        self.receive_list(ListKind.CACHED, cached)

    def kill(self) -> None:
        """Ends the process at once; its clients notice and retry where a retry is allowed."""
        world = self.world
        self.up = False
        self.deadlines.cancelled = True
        known = [server.entry for server in self.core.directory.by_number.values()]
        self._cached_list = [entry for entry in known if entry.state is not ServerState.REMOVED]
        world.discovery.unwatch(self)
        world.record_event(Stopped(world.timeline.now, self.name, True))
        self._backend.close()
        for request in list(self.core.requests):
            if not request.closed:
                world.clients.dispatcher_lost(request.payload)

    def _make_core(self, settings: Settings, seed: int) -> Core:
        world = self.world
        core = Core(
            settings,
            seed,
            self,
            self.deadlines,
            subscribe=self._subscribe,
            send_peer_message=self._send_peer_message,
            max_open=world.scenario.dispatchers.max_open,
            max_retry_after=MAX_RETRY_AFTER_MS,
        )
        policy = world.scenario.policy
        if policy != BUILT_IN_POLICY:
            core.events.dispatcher = POLICIES[policy](settings, seed, self._server_truth)  # type: ignore[assignment]
        elif world.decision_module is not None:
            core.events.dispatcher = world.decision_module(settings, seed)
        return core

    def _make_pacer(self, settings: Settings, seed: int) -> PollPacer | None:
        if not self.world.scenario.dispatchers.paced:
            return None
        table = self.world.scenario.register
        cost = table.call_ms if table.told and table.call_ms else None
        terms = PollTerms(settings.instances, settings.position, cost)
        return PollPacer(terms, Random(seed).random)

    # -- frontend and backend of the core

    def accept(self, request: ClientRequest) -> None:
        """Accepts a request of a client."""
        world = self.world
        request_class = world.classes[request.class_number]
        once = request_class.effect is Effect.NON_IDEMPOTENT
        now = world.timeline.now
        world.record_event(Taken(now, self.name, request.name, request_class.name, once, request.give_up_at))
        self.core.accept(
            request,
            request.class_number,
            request.give_up_at - now,
            request_id=request.name,
            workload=Workload(slots=float(request.slots)),
        )

    def client_waits(self, request: Request) -> bool:
        """Returns True, since emulated clients wait until their deadline."""
        return True

    def may_hide_disconnect(self, request: Request) -> bool:
        """Returns False, since emulated clients have no input behind a request."""
        return False

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Sends a client its final answer."""
        client_request: ClientRequest = request.payload
        now = self.world.timeline.now
        self.world.record_event(Answered(now, self.name, client_request.name, final.value))
        self.world.clients.answered(client_request, final, retry_after)

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its server."""
        self._backend.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt at its server."""
        self._backend.cancel(attempt)

    # -- service discovery

    @property
    def watch_timeout_ms(self) -> float:
        """Time in ms after which a watch without an event ends."""
        return self._pacer.poll_wait if self._pacer is not None else MIN_POLL_WAIT_MS

    def receive_list(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Handles an endpoint list or a watch event."""
        now = self.world.timeline.now
        for entry in entries:
            self.world.record_event(Listed(now, self.name, entry.name, _recorded_state(entry.state)))
        self.core.update_servers(kind, entries)

    def list_call_answered(self, took_ms: float) -> None:
        """Handles the answer to a list call, which took ``took_ms``."""
        self._has_list = True
        if self._pacer is not None:
            self._pacer.on_answer(took_ms)

    def list_call_rejected(self) -> None:
        """Handles the rejection of a call to service discovery."""
        if self._pacer is not None:
            now = self.deadlines.clock()
            self._schedule_poll(self._pacer.on_failure(now, PollFailure.REJECTED, self._has_list))
        self.receive_list(ListKind.FAILED, [])

    def _subscribe(self) -> None:
        if self._pacer is None:
            self.world.discovery.watch(self)
        elif not self._polling:
            self._polling = True
            self._schedule_poll(self._pacer.first_poll_at(self.deadlines.clock(), self._has_list))

    def _schedule_poll(self, when: float) -> None:
        """Schedules the next poll at the pacer's time; earlier subscriptions of the balancer wait for this poll."""
        self.deadlines.call_at(when, self.world.discovery.watch, self)

    # -- messages between dispatchers

    def receive_peer_message(self, sender: int, content: bytes) -> None:
        """Handles a datagram of another dispatcher."""
        if self.up:
            self.core.peer_message(sender, content)

    def _send_peer_message(self, content: bytes, peer: int) -> None:
        world = self.world
        for other in world.dispatchers if peer < 0 else [world.dispatchers[peer]]:
            if other is not self:
                world.figures.peer_messages += 1
                deliver = other.receive_peer_message
                world.network.send_datagram(self.zone, other.zone, deliver, self.number, content)

    # -- policies that the balancer is compared with

    def _server_truth(self, number: int) -> ServerTruth:
        """Returns the actual state of a server, for policies that use more than a dispatcher can observe."""
        network = self.world.network
        server = self.world.servers.get(self.core.directory.by_number[number].entry.name)
        if server is None:
            return ServerTruth.of_missing_server()
        return ServerTruth(
            occupied_slots=server.occupied_slots,
            inbound_slots=server.inbound_slots,
            overload_slots=server.overload_slots,
            capacity=server.capacity(),
            speed=server.kind.speed / server.slowdown,
            responsive=server.up and not server.unresponsive and not network.is_partitioned(self.zone, server.zone),
            round_trip_ms=2 * network.median_one_way_ms(self.zone, server.zone),
        )


def _recorded_state(state: ServerState) -> str:
    """Returns the name of a server state in events for the conformance checker."""
    return "gone" if state is ServerState.REMOVED else state.name.lower()

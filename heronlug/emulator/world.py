"""Runs a scenario with emulated servers, dispatchers, clients, network and service discovery."""

import time
from collections.abc import Callable
from typing import Any

from heronlug.balancer.events import ServerState
from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.conformance import Began, Checker, Event, Load
from heronlug.emulator.clients import Clients
from heronlug.emulator.discovery import ServiceDiscovery
from heronlug.emulator.dispatchers import EmulatedDispatcher
from heronlug.emulator.draws import stream
from heronlug.emulator.faults import FaultInjector
from heronlug.emulator.figures import Figures, LittlesLaw, ServerFigures
from heronlug.emulator.network import EmulatedNetwork, lognormal_draws
from heronlug.emulator.scenario import Scenario
from heronlug.emulator.servers import EmulatedServer, Execution, ExecutionState, ServerKind, WarmupModel
from heronlug.emulator.timeline import Timeline
from heronlug.requests.model import ListedServer

ANSWER_SLACK_MS = 5.0
"""Time in ms that an answer needs to reach its client."""
CHECKER_SLACK_MS = 1e-6
"""Tolerance in ms of the checker for deadlines, since events of the same time may be recorded in any order."""
TICK_MS = 1.0
"""Tick of the emulated dispatchers in ms."""
PROGRESS_INTERVAL_MS = 1000.0
"""Interval in ms at which servers report progress, as configured in the dispatchers."""

EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.IDEMPOTENT_BY_KEY, "once": Effect.NON_IDEMPOTENT}
"""Effects by their names in scenario files."""

DecisionModule = Callable[[Settings, int], Any]
"""Creates a decision module from the settings and a seed."""


class World:
    """A run of a scenario with all its parts.

    Attributes:
        scenario: scenario of the run.
        seed: seed of all random streams.
        decision_module: creates a replacement for the balancer in tests; None for the balancer itself.
        checks_before_write: whether the core checks an attempt again before the attempt is written; True outside tests.
        timeline: virtual time.
        checker: conformance checker of the four rules.
        classes: request classes of the scenario.
        network: network between dispatchers and servers.
        servers: servers by name, without replaced servers.
        discovery: service discovery.
        figures: figures of the run.
        clients: clients of the run.
        dispatchers: all dispatchers.
        running_dispatchers: dispatchers with a running process, in order of their numbers.
        faults: fault injector.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int | None = None,
        record: Callable[[Event], None] | None = None,
        decision_module: DecisionModule | None = None,
        *,
        checks_before_write: bool = True,
    ) -> None:
        self.scenario = scenario
        self.seed = scenario.seed if seed is None else seed
        self.decision_module = decision_module
        self.checks_before_write = checks_before_write
        self.timeline = Timeline()
        self.checker = Checker(scenario.safety.drain_grace_ms, CHECKER_SLACK_MS)
        self._record = record
        self.classes = _request_classes(scenario)
        self.network = EmulatedNetwork(self.timeline, scenario.network, self.seed)
        self.servers: dict[str, EmulatedServer] = {}
        self._replaced_servers: list[EmulatedServer] = []
        self._kind_numbers = {kind.name: number for number, kind in enumerate(scenario.kind)}
        self._warmup = WarmupModel(
            scenario.safety.cold_from,
            scenario.safety.warm_after_ms,
            scenario.safety.tip_multiple,
            scenario.safety.overload_for_ms,
        )
        self.discovery = self._make_discovery()
        self.figures = Figures.of_scenario(scenario, self.seed)
        self.clients = Clients(self)
        self._add_pools()
        self.dispatchers = [EmulatedDispatcher(self, number) for number in range(scenario.dispatchers.count)]
        self.running_dispatchers: list[EmulatedDispatcher] = []
        self.faults = FaultInjector(self, scenario.trouble, scenario.zones, self.seed)

    def run(self) -> Figures:
        """Runs the scenario to its end and beyond until all deadlines have passed; returns the figures."""
        began = time.perf_counter()
        self._schedule_dispatchers()
        self.clients.start()
        span = self.scenario.span_s * 1000
        self.timeline.run(span)
        longest_deadline = max(request_class.deadline_ms for request_class in self.scenario.classes)
        self.timeline.run(span + longest_deadline + 1)
        self.checker.finish(self.timeline.now)
        self._complete_figures(span)
        self.figures.wall_time_s = time.perf_counter() - began
        return self.figures

    def record_event(self, event: Event) -> None:
        """Passes an event to the checker and to the recorder, if there is one."""
        self.checker.see(event)
        if self._record is not None:
            self._record(event)

    def settings(self, position: int, zone: int) -> Settings:
        """Returns the settings of the dispatcher with a position and a zone."""
        table, safety = self.scenario.dispatchers, self.scenario.safety
        return Settings(
            classes=self.classes,
            instances=table.count,
            position=position,
            zone=zone,
            max_attempts=table.attempts_cap,
            hedging=table.second_copies,
            may_cancel=True,
            gossip=table.may_tell,
            lends_capacity=table.lends,
            zone_failover=table.halls,
            dial_timeout=self.scenario.network.dial_timeout_ms,
            tick=TICK_MS,
            answer_slack=ANSWER_SLACK_MS,
            progress_interval=PROGRESS_INTERVAL_MS,
            reports_start=True,
            drain_grace=safety.drain_grace_ms,
            warmup_capacity=safety.cold_from,
            warmup_time=safety.warm_after_ms,
            overload_multiple=safety.tip_multiple,
            overload_window=safety.overload_for_ms,
        )

    # -- interface for fault injection, see heronlug.emulator.faults

    def stop_server(self, server: EmulatedServer) -> None:
        """Ends a server's process; its running and queued executions are lost."""
        for execution in server.stop():
            execution.notify(execution, ExecutionState.LOST)

    def list_server(self, server: EmulatedServer, state: ServerState) -> None:
        """Changes the state of a server in service discovery."""
        self.discovery.update(self._entry(server, state))

    def replace_server(self, server: EmulatedServer) -> None:
        """Replaces a server by a cold successor with a new name."""
        base, _, generation = server.name.partition("+")
        successor = self._add_server(f"{base}+{int(generation or 0) + 1}", server.kind, server.zone)
        self._replaced_servers.append(self.servers.pop(server.name))
        successor.slowdown = server.slowdown
        successor.start()
        self.list_server(successor, ServerState.READY)

    def silence_discovery(self) -> None:
        """Stops service discovery from sending."""
        self.discovery.silent = True

    def end_discovery_silence(self) -> None:
        """Lets service discovery send again, beginning with the changes that were deferred during the silence."""
        self.discovery.end_silence()

    def kill_dispatcher(self, dispatcher: EmulatedDispatcher) -> None:
        """Ends a dispatcher's process at once and schedules the start of its next process."""
        self.running_dispatchers.remove(dispatcher)
        dispatcher.kill()
        self.timeline.schedule_after(self.scenario.dispatchers.start_s * 1000, self._start_dispatcher, dispatcher)

    def partition_zone(self, zone: int) -> None:
        """Cuts a zone off from all other zones."""
        self.network.partition(zone)

    def heal_zone(self, zone: int) -> None:
        """Reconnects a zone and delivers the reports that the partition postponed."""
        self.network.heal(zone)

    # -- construction of the parts

    def _make_discovery(self) -> ServiceDiscovery:
        table = self.scenario.register
        lag = lognormal_draws(table.sigma, self.seed, "register", median=table.lag_ms)
        return ServiceDiscovery(self.timeline, lag, table.call_ms, table.wait_most_ms, self.record_event)

    def _add_pools(self) -> None:
        kinds = {
            kind.name: ServerKind(kind.name, kind.slots, kind.speed, kind.queue, kind.order)
            for kind in self.scenario.kind
        }
        for pool_number, pool in enumerate(self.scenario.pool):
            zone = self.scenario.zones.index(pool.zone) if pool.zone else 0
            for number in range(pool.count):
                self._add_server(f"{pool.kind}-{pool_number}-{number}", kinds[pool.kind], zone)

    def _add_server(self, name: str, kind: ServerKind, zone: int) -> EmulatedServer:
        server = self.servers[name] = EmulatedServer(name, kind, zone, self.timeline, self._warmup)
        self.network.add_server(name)
        server.on_overload = self._crash_from_overload
        server.on_execution_start = self._record_execution_start
        if self.timeline.now == 0:
            self.discovery.entries[name] = self._entry(server, ServerState.READY)
        return server

    def _entry(self, server: EmulatedServer, state: ServerState) -> ListedServer:
        """Returns the entry of a server in the endpoint list."""
        kind_number = self._kind_numbers[server.kind.name]
        return ListedServer(server.name, f"{server.name}:1", state, server.zone, kind_number, 0, 1.0, server.started_at)

    def _schedule_dispatchers(self) -> None:
        """Starts all dispatchers, at once or at random times within ``over_s`` of the scenario."""
        spread_ms = self.scenario.dispatchers.over_s * 1000
        starts = stream(self.seed, "starts")
        for dispatcher in self.dispatchers:
            if spread_ms:
                self.timeline.schedule_at(float(starts.uniform(0.0, spread_ms)), self._start_dispatcher, dispatcher)
            else:
                self._start_dispatcher(dispatcher)

    def _start_dispatcher(self, dispatcher: EmulatedDispatcher) -> None:
        self.running_dispatchers.append(dispatcher)
        self.running_dispatchers.sort(key=lambda each: each.number)
        dispatcher.start()

    # -- reports from servers

    def _crash_from_overload(self, server: EmulatedServer) -> None:
        self.record_event(Load(self.timeline.now, server.name, server.load(), server.warming_up))
        self.faults.crash_server(server)

    def _record_execution_start(self, server: EmulatedServer, execution: Execution) -> None:
        request = execution.owner.attempt.request.payload
        self.record_event(Began(self.timeline.now, server.name, request.name))

    # -- figures

    def _complete_figures(self, span: float) -> None:
        """Adds the figures that are known only at the end of a run; ``span`` is the length of the run in ms."""
        figures, discovery = self.figures, self.discovery
        figures.littles_law = self._littles_law(span)
        for server in [*self.servers.values(), *self._replaced_servers]:
            figures.servers.append(ServerFigures.of_server(server, span))
        figures.violations = dict(self.checker.counts)
        figures.discovery_calls = discovery.calls
        figures.rejected_discovery_calls = discovery.rejected_calls
        figures.last_watch_ms = max(discovery.first_watch_at.values(), default=float("nan"))
        if discovery.calls:
            figures.dispatchers_without_watch = len(self.dispatchers) - len(discovery.first_watch_at)
        figures.event_count = self.timeline.event_count

    def _littles_law(self, span: float) -> LittlesLaw:
        """Returns the two sides of Little's law, which are equal over a run that ends without open requests."""
        self.clients.change_open_requests(0)
        return LittlesLaw(self.clients.open_request_ms / span, self.clients.total_stay_ms / span)


def _request_classes(scenario: Scenario) -> tuple[RequestClass, ...]:
    """Returns the request classes of a scenario as settings of the balancer."""
    return tuple(
        RequestClass(
            latency_objective=table.aim_ms,
            deadline=table.deadline_ms,
            effect=EFFECTS[table.effect],
            priority_weight=table.worth,
            late_value=table.late_worth,
            name=table.name,
        )
        for table in scenario.classes
    )

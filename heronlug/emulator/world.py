"""One run of a scenario."""

import time
from collections.abc import Callable
from typing import Any

import numpy as np
from scipy.stats import lognorm

from heronlug.balancer.events import ServerState
from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.conformance import Began, Checker, Event, Load
from heronlug.emulator.clients import Clients, Job
from heronlug.emulator.discovery import Register
from heronlug.emulator.dispatchers import Dispatcher
from heronlug.emulator.draws import Draws, stream
from heronlug.emulator.faults import Troubles
from heronlug.emulator.figures import Figures, HostFigures, Lane
from heronlug.emulator.scenario import Scenario
from heronlug.emulator.servers import Host, Kind, Run, Warmth
from heronlug.emulator.timeline import Timeline
from heronlug.requests.model import ListedServer

ANSWER_SLACK = 5.0  # ms that an answer needs to its client
MODULE_MS = 1e-6  # answers are due at a moment, and events of the same moment come in some order


class World:
    """All parts, and what they tell.  ``module`` makes another decision module in place of ours, for tests."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int | None = None,
        record: Callable[[Event], None] | None = None,
        module: Callable[[Settings, int], Any] | None = None,
        guarded: bool = True,
    ) -> None:
        self.scenario, self.seed, self.module = scenario, scenario.seed if seed is None else seed, module
        self.guarded = guarded  # whether the core looks again at the write, as it does; off only to see that it does
        self.line = Timeline()
        self.checker = Checker(scenario.safety.drain_grace_ms, MODULE_MS)
        self._record = record
        effects = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.IDEMPOTENT_BY_KEY, "once": Effect.NON_IDEMPOTENT}
        self.lanes = tuple(
            RequestClass(
                latency_objective=lane.aim_ms,
                deadline=lane.deadline_ms,
                effect=effects[lane.effect],
                priority_weight=lane.worth,
                late_value=lane.late_worth,
                name=lane.name,
            )
            for lane in scenario.classes
        )
        self.cut_off: set[int] = set()  # zones that nothing passes into or out of
        self.held: list[tuple[Any, ...]] = []  # what waits for a cut to heal
        self._kinds = {
            kind.name: Kind(kind.name, kind.slots, kind.speed, kind.queue, kind.order) for kind in scenario.kind
        }
        self._warmth = Warmth(
            scenario.safety.cold_from,
            scenario.safety.warm_after_ms,
            scenario.safety.tip_multiple,
            scenario.safety.overload_for_ms,
        )
        self.hosts: dict[str, Host] = {}
        self._gone: list[Host] = []
        self._ways: dict[str, Draws] = {}
        self._by_way: Draws = self._spread(scenario.network.sigma, "datagrams")
        self._losses = stream(self.seed, "losses")
        lag = self._spread(scenario.register.sigma, "register", scale=scenario.register.lag_ms)
        table = scenario.register
        self.register = Register(self.line, lag, table.call_ms, table.wait_most_ms, self.tell)
        self.figures = Figures(
            scenario.name,
            scenario.policy,
            self.seed,
            (scenario.span_s - scenario.warm_up_s) * 1000,
            [Lane(lane.name, lane.worth) for lane in scenario.classes],
            np.zeros((2, int(scenario.span_s) + 1)),
        )
        self.clients = Clients(self)
        for pool_number, pool in enumerate(scenario.pool):
            zone = scenario.zones.index(pool.zone) if pool.zone else 0
            for number in range(pool.count):
                self._add(f"{pool.kind}-{pool_number}-{number}", self._kinds[pool.kind], zone)
        self.dispatchers = [Dispatcher(self, number) for number in range(scenario.dispatchers.count)]
        self.up: list[Dispatcher] = []
        self.troubles = Troubles(self)

    def run(self) -> Figures:
        """Play it to its end, and until all that came has been answered."""
        began = time.perf_counter()
        starts = stream(self.seed, "starts")
        for dispatcher in self.dispatchers:
            if self.scenario.dispatchers.over_s:
                when = float(starts.uniform(0.0, self.scenario.dispatchers.over_s * 1000))
                self.line.at(when, self._start, dispatcher)
            else:
                self._start(dispatcher)
        self.clients.begin()
        span = self.scenario.span_s * 1000
        self.line.run(span)
        rest = max(lane.deadline_ms for lane in self.scenario.classes)
        self.line.run(span + rest + 1)
        self.clients.level(0)
        figures = self.figures
        # over the whole run, to its empty end, both are the same sum counted in two ways
        figures.little = self.clients.area / span, self.clients.stay / span
        for host in [*self.hosts.values(), *self._gone]:
            load = host.busy / (host.kind.slots * span)
            figures.hosts.append(HostFigures(host.name, host.kind.name, load, host.runs, host.fell, host.peak))
        self.checker.finish(self.line.now)
        figures.violations = dict(self.checker.counts)
        figures.calls, figures.turned = self.register.calls, self.register.turned
        figures.watched = max(self.register.watched_at.values(), default=float("nan"))
        figures.unread = len(self.dispatchers) - len(self.register.watched_at) if figures.calls else 0
        figures.events = self.line.done
        figures.wall = time.perf_counter() - began
        return figures

    # -- what the parts ask

    def tell(self, event: Event) -> None:
        """An event for the checker, and for whoever records."""
        self.checker.see(event)
        if self._record is not None:
            self._record(event)

    def settings(self, position: int, zone: int) -> Settings:
        """What a dispatcher is told at its start."""
        table, safety = self.scenario.dispatchers, self.scenario.safety
        return Settings(
            classes=self.lanes,
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
            tick=1.0,
            answer_slack=ANSWER_SLACK,
            progress_interval=1000.0,
            reports_start=True,
            drain_grace=safety.drain_grace_ms,
            warmup_capacity=safety.cold_from,
            warmup_time=safety.warm_after_ms,
            overload_multiple=safety.tip_multiple,
            overload_window=safety.overload_for_ms,
        )

    def median(self, one: int, other: int) -> float:
        """The median of one way between two zones, in milliseconds."""
        network = self.scenario.network
        return float(network.inside_ms if one == other else network.across_ms)

    def delay(self, zone: int, host: Host) -> float:
        """One way to a host, or back."""
        return self.median(zone, host.zone) * self._ways[host.name].next()

    def cut(self, one: int, other: int) -> bool:
        """Whether nothing passes between two zones."""
        return one != other and bool(self.cut_off) and (one in self.cut_off or other in self.cut_off)

    def datagram(self, sender: Dispatcher, target: Dispatcher, content: bytes) -> None:
        """One between dispatchers: perhaps lost, in no order."""
        self.figures.told += 1
        loss = self.scenario.network.loss
        if self.cut(sender.zone, target.zone) or (loss and self._losses.random() < loss):
            return
        way = self.median(sender.zone, target.zone) * self._by_way.next()
        self.line.after(way, target.heard, sender.number, content)

    def sent(self, job: Job, zone: int, other: int) -> None:
        """An attempt has gone out."""
        job.attempts += 1
        self.figures.crossing += zone != other

    def ended(self, job: Job, how: str) -> None:
        """A job is over."""
        if job.arrived_at < self.scenario.warm_up_s * 1000:
            return
        lane, table = self.figures.lanes[job.lane], self.scenario.classes[job.lane]
        lane.finals[how] += 1
        lane.attempts += job.attempts
        lane.tries += job.tries
        earned = table.worth if how == "on_time" else table.worth * table.late_worth if how == "late" else 0.0
        lane.earned += earned
        if how in ("on_time", "late"):
            lane.latencies.append(self.line.now - job.arrived_at)
        second = int(job.arrived_at / 1000)
        self.figures.by_second[0, second] += earned
        self.figures.by_second[1, second] += table.worth

    # -- what troubles ask

    def lose(self, host: Host) -> None:
        """Its process ends, with all that is in it."""
        for run in host.end():
            run.told(run, "lost")

    def list_host(self, host: Host, state: ServerState) -> None:
        """The register has it so."""
        self.register.put(self._entry(host, state))

    def replace(self, host: Host) -> None:
        """A cold successor under a name of its own."""
        base, _, number = host.name.partition("+")
        successor = self._add(f"{base}+{int(number or 0) + 1}", host.kind, host.zone)
        self._gone.append(self.hosts.pop(host.name))
        successor.slow = host.slow
        successor.start()
        self.list_host(successor, ServerState.READY)

    def kill(self, dispatcher: Dispatcher) -> None:
        """It is gone, and started again."""
        self.up.remove(dispatcher)
        dispatcher.kill()
        self.line.after(self.scenario.dispatchers.start_s * 1000, self._start, dispatcher)

    def heal(self, zone: int) -> None:
        """The zone is reached again."""
        self.cut_off.discard(zone)
        held, self.held = self.held, []
        for what, *args in held:
            what(*args)

    # -- inside

    def _start(self, dispatcher: Dispatcher) -> None:
        self.up.append(dispatcher)
        self.up.sort(key=lambda each: each.number)
        dispatcher.start()

    def _spread(self, sigma: float, *names: str, scale: float = 1.0) -> Draws:
        """Times or factors round a median: lognormal."""
        return Draws(lognorm(sigma, scale=scale) if sigma and scale else scale, stream(self.seed, "ways", *names))

    def _add(self, name: str, kind: Kind, zone: int) -> Host:
        host = self.hosts[name] = Host(name, kind, zone, self.line, self._warmth)
        self._ways[name] = self._spread(self.scenario.network.sigma, name)
        host.tipped, host.began = self._tipped, self._began
        if self.line.now == 0:
            self.register.entries[name] = self._entry(host, ServerState.READY)
        return host

    def _entry(self, host: Host, state: ServerState) -> ListedServer:
        kinds = list(self._kinds)
        return ListedServer(
            host.name, f"{host.name}:1", state, host.zone, kinds.index(host.kind.name), 0, 1.0, host.started_at
        )

    def _tipped(self, host: Host) -> None:
        stands = self._warmth.tip_multiple * host.capacity()
        self.tell(Load(self.line.now, host.name, host.inside / stands, host.cold))
        self.troubles.fall(host)

    def _began(self, host: Host, run: Run) -> None:
        relay, _, _ = run.job
        self.tell(Began(self.line.now, host.name, relay.request.payload.name))


def play(scenario: Scenario, seed: int | None = None) -> Figures:
    """One run."""
    return World(scenario, seed).run()

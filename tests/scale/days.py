"""Simulates random virtual days of several dispatchers around the decision module.

Fleets, endpoint lists, outcomes and faults are random but seeded. Each action of each dispatcher is recorded, so that
two implementations of a decision can be compared down to the last action.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from heronlug.balancer.actions import Action, CancelAttempt, SendPeerMessage, SetTimer, StartAttempt
from heronlug.balancer.dispatcher import Dispatcher
from heronlug.balancer.events import (
    AttemptEnded,
    AttemptProgress,
    ClientGone,
    Event,
    ListKind,
    Outcome,
    PeerMessage,
    ProgressKind,
    RequestArrived,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    TimerFired,
)
from heronlug.balancer.settings import Effect, KeyScope, RequestClass, Settings

FAILURES = (Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET)


@dataclass
class Server:
    """A simulated server.

    Attributes:
        number: number of the server.
        started_at: start time in ms, 0 if unknown.
        state: state in the endpoint list.
        slots: attempts that run at the same time.
        busy: attempts that run now.
        failure_share: share of attempts that fail.
        waiting: dispatcher, request and attempt of each waiting attempt.
    """

    number: int
    started_at: float
    state: ServerState = ServerState.READY
    slots: int = 3
    busy: int = 0
    failure_share: float = 0.0
    waiting: list[tuple[int, int, int]] = field(default_factory=list)

    def entry(self) -> ServerEntry:
        """Returns the entry of the server in the endpoint list."""
        number = self.number
        return ServerEntry(number, self.state, number % 3, number % 2, number // 4, 1.0, self.started_at)


def draw_settings(rng: Random, instances: int, position: int, gossip: bool) -> Settings:
    """Returns random settings of a deployment; equal generators give equal settings except for the position."""
    effects = [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT, Effect.IDEMPOTENT_BY_KEY]
    classes = tuple(
        RequestClass(
            latency_objective=rng.choice([200, 500, 1000]),
            deadline=rng.choice([2000, 4000]),
            effect=effect,
            latency_factor=2,
            priority_weight=rng.choice([1, 3, 8]),
            late_value=rng.choice([0.0, 0.5]),
            repeat_window=1500,
            key_scope=rng.choice(list(KeyScope)),
            server_kind=rng.choice([-1, -1, 1]),
            name=effect.value,
        )
        for effect in effects
    )
    reports_start = rng.random() < 0.7
    return Settings(
        classes=classes,
        instances=instances,
        position=position,
        max_attempts=4,
        hedging=rng.random() < 0.7,
        may_cancel=True,
        gossip=gossip,
        lends_capacity=gossip and rng.random() < 0.7,
        reports_start=reports_start,
        progress_interval=500.0 if reports_start else 0.0,
        drain_grace=2500,
        warmup_capacity=0.2,
        warmup_time=rng.choice([2000, 8000]),
        overload_multiple=3,
        overload_window=2000,
        cross_zone_price=0.02,
        worst_class_weight=0.3,
        zone=position % 3,
        tick=2.0,
        report_fields=() if reports_start or rng.random() < 0.5 else ("x0",),
        zone_failover=rng.random() < 0.3,
        cpu_per_request=rng.choice([0.0, 10.0]),
        retry_burst=rng.choice([1.0, 3.0, 20.0]),
    )


class RandomDay:
    """A random day, simulated by :meth:`run`."""

    def __init__(
        self, seed: int, *, make: Callable[[Settings, int], Any] = Dispatcher, servers: int = 60, instances: int = 0
    ) -> None:
        self.rng = Random(seed)
        gossip, settings_seed = self.rng.random() < 0.6, self.rng.random()
        self.now, self.record = 1000.0, list[tuple[float, int, Any]]()
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        warming_since = 900.0 if self.rng.random() < 0.5 else 0.0
        self.servers = {index * 97 + 5: Server(index * 97 + 5, warming_since) for index in range(servers)}
        self.next_server = servers
        for server in self.rng.sample(list(self.servers.values()), servers // 5):
            server.failure_share = self.rng.random()
        instances = instances or self.rng.choice([3, 12, 12])
        self.dispatchers = [
            make(draw_settings(Random(settings_seed), instances, index, gossip), seed + index)
            for index in range(instances)
        ]
        self.requests = count(1)
        self.mean_gap = self.rng.choice([3.0, 8.0, 20.0])
        self.attempts: dict[tuple[int, int], list[int]] = {}  # servers of a request's attempts, 0 for an ended attempt

    def at(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in ms."""
        heapq.heappush(self._callbacks, (self.now + delay, next(self._order), callback))

    def run(self, duration: float = 4000.0) -> list[tuple[float, int, Any]]:
        """Simulates ``duration`` ms of the day; returns each action with its time and dispatcher."""
        all_entries = tuple(server.entry() for server in self.servers.values())
        for index in range(len(self.dispatchers)):
            self.deliver(index, ServerListUpdate(ListKind.CACHED, all_entries))
            self.at(30.0, lambda index=index: self.deliver(index, ServerListUpdate(ListKind.FULL, all_entries)))  # type: ignore[misc]
        self.at(1.0, self._request_arrives)
        self.at(500.0, self._change_servers)
        while self._callbacks and self._callbacks[0][0] <= 1000.0 + duration:
            self.now, _, callback = heapq.heappop(self._callbacks)
            callback()
        return self.record

    def deliver(self, index: int, event: Event) -> None:
        """Hands an event to a dispatcher, and carries out the resulting actions."""
        for action in self.dispatchers[index].handle(self.now, event):
            self.record.append((round(self.now, 6), index, action))
            self._carry_out(index, action)

    def _carry_out(self, index: int, action: Action) -> None:
        rng = self.rng
        if isinstance(action, StartAttempt):
            attempts = self.attempts.setdefault((index, action.request), [])
            attempts.append(action.server)
            number = len(attempts) - 1
            self.at(rng.uniform(1, 20), lambda: self._reach_server(index, action.request, number, action.server))
        elif isinstance(action, CancelAttempt):
            self._end(index, action.request, action.attempt, Outcome.CANCELLED, 0.0)
        elif isinstance(action, SetTimer):
            self.at(action.delay, lambda: self.deliver(index, TimerFired(action.token)))
        elif isinstance(action, SendPeerMessage):
            others = range(len(self.dispatchers)) if action.peer < 0 else [action.peer]
            for other in others:
                if other != index and rng.random() < 0.95:
                    self.at(rng.uniform(1, 10), lambda o=other: self.deliver(o, PeerMessage(index, action.content)))  # type: ignore[misc]

    def _request_arrives(self) -> None:
        index, request, rng = self.rng.randrange(len(self.dispatchers)), next(self.requests), self.rng
        class_index = rng.randrange(3)
        give_up = self.now + rng.uniform(200, 4000)
        self.deliver(
            index,
            RequestArrived(request, class_index, give_up, rng.choice([1.0, 1.0, 2.0]), 0.0, rng.choice([0.0, 150.0])),
        )
        if rng.random() < 0.05:
            self.at(rng.uniform(1, 500), lambda: self.deliver(index, ClientGone(request)))
        self.at(rng.expovariate(1 / self.mean_gap), self._request_arrives)

    def _reach_server(self, index: int, request: int, number: int, server_number: int) -> None:
        server = self.servers.get(server_number)
        if not self.attempts[index, request][number]:
            return
        if server is None or server.state is ServerState.REMOVED:
            self._end(index, request, number, Outcome.CONNECT_FAILED, 1.0)
        elif self.rng.random() < server.failure_share:
            self._end(index, request, number, self.rng.choice(FAILURES), 5.0)
        else:
            server.waiting.append((index, request, number))
            self._start_waiting(server)

    def _start_waiting(self, server: Server) -> None:
        while server.waiting and server.busy < server.slots:
            index, request, number = server.waiting.pop(0)
            if not self.attempts[index, request][number]:
                continue
            server.busy += 1
            run = self.rng.uniform(20, 250)
            if self.dispatchers[index].settings.reports_start:
                self.deliver(index, AttemptProgress(request, number, server.number, ProgressKind.STARTED))
            self.at(run, lambda index=index, r=request, a=number: self._finish_run(server, index, r, a))  # type: ignore[misc]

    def _finish_run(self, server: Server, index: int, request: int, number: int) -> None:
        server.busy -= 1
        self._end(index, request, number, Outcome.SERVED, 120.0)
        self._start_waiting(server)

    def _end(self, index: int, request: int, number: int, outcome: Outcome, latency: float) -> None:
        attempts = self.attempts[index, request]
        server_number, attempts[number] = attempts[number], 0
        if server_number:
            final = outcome is Outcome.SERVED
            report = (float(self.rng.randrange(3)),) if self.dispatchers[index].settings.report_fields else ()
            self.deliver(index, AttemptEnded(request, number, server_number, outcome, latency, final, report))

    def _change_servers(self) -> None:
        """Drains, removes, returns and adds random servers; the dispatchers are notified soon after."""
        rng, changed = self.rng, []
        for server in rng.sample(list(self.servers.values()), max(1, len(self.servers) // 8)):
            server.state = rng.choice([ServerState.DRAINING, ServerState.REMOVED, ServerState.READY])
            changed.append(server)
        for _ in range(rng.randrange(len(self.servers) // 6 + 1)):
            number = self.next_server * 97 + 5
            self.next_server += 1
            self.servers[number] = Server(number, self.now)
            changed.append(self.servers[number])
        is_full = rng.random() < 0.3
        listed_servers = (
            [s for s in self.servers.values() if s.state is not ServerState.REMOVED] if is_full else changed
        )
        kind = ListKind.FULL if is_full else ListKind.CHANGES
        update = ServerListUpdate(kind, tuple(server.entry() for server in listed_servers))
        for index in range(len(self.dispatchers)):
            self.at(rng.uniform(1, 80), lambda index=index: self.deliver(index, update))  # type: ignore[misc]
        self.at(rng.uniform(200, 1500), self._change_servers)

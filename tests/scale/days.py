"""Seeded virtual days of several dispatchers round the decision module: random fleets, lists, outcomes and troubles.

Each action of each dispatcher is recorded, so that two ways to come to a decision can be held against each other, to
the last one.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from heronlug import interface as pk
from heronlug.logic import Dispatcher

FAILURES = (pk.Outcome.ERROR, pk.Outcome.FULL, pk.Outcome.CONNECT_FAILED, pk.Outcome.RESET)


@dataclass
class Server:
    """A server as the day has it."""

    number: int
    started_at: float
    state: pk.WorkerState = pk.WorkerState.READY
    slots: int = 3
    busy: int = 0
    bad: float = 0.0  # part of its attempts that fail
    waiting: list[tuple[int, int, int]] = field(default_factory=list)  # dispatcher, request, attempt

    def entry(self) -> pk.WorkerEntry:
        """Its line of the list."""
        number = self.number
        return pk.WorkerEntry(number, self.state, number % 3, number % 2, number // 4, 1.0, self.started_at)


def settings(rng: Random, instances: int, position: int, peers: bool) -> pk.Settings:
    """Settings of a deployment, the same for all positions if drawn alike."""
    effects = [pk.Effect.REPEATABLE, pk.Effect.ONCE, pk.Effect.BY_KEY]
    classes = tuple(
        pk.JobClass(
            aim=rng.choice([200, 500, 1000]),
            deadline=rng.choice([2000, 4000]),
            effect=effect,
            stretch=2,
            worth=rng.choice([1, 3, 8]),
            late_value=rng.choice([0.0, 0.5]),
            repeat_window=1500,
            key_scope=rng.choice(list(pk.KeyScope)),
            worker_kind=rng.choice([-1, -1, 1]),
            name=effect.value,
        )
        for effect in effects
    )
    starts = rng.random() < 0.7
    return pk.Settings(
        classes=classes,
        instances=instances,
        position=position,
        attempts_cap=4,
        second_copies=rng.random() < 0.7,
        may_cancel=True,
        may_tell=peers,
        lends=peers and rng.random() < 0.7,
        tells_start=starts,
        progress_every=500.0 if starts else 0.0,
        drain_grace=2500,
        cold_from=0.2,
        warm_after=rng.choice([2000, 8000]),
        tip_multiple=3,
        overload_for=2000,
        cross_zone_price=0.02,
        worst_class=0.3,
        zone=position % 3,
        tick=2.0,
        report_fields=() if starts or rng.random() < 0.5 else ("x0",),
        halls=rng.random() < 0.3,
        cpu_per_request=rng.choice([0.0, 10.0]),
        retry_burst=rng.choice([1.0, 3.0, 20.0]),
    )


class Day:
    """One day, played to its end by :meth:`run`."""

    def __init__(
        self, seed: int, *, make: Callable[[pk.Settings, int], Any] = Dispatcher, servers: int = 60, instances: int = 0
    ) -> None:
        self.rng = Random(seed)
        peers, draw = self.rng.random() < 0.6, self.rng.random()
        self.now, self.record = 1000.0, list[tuple[float, int, Any]]()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        cold = 900.0 if self.rng.random() < 0.5 else 0.0
        self.servers = {n * 97 + 5: Server(n * 97 + 5, cold) for n in range(servers)}
        self.next_server = servers
        for server in self.rng.sample(list(self.servers.values()), servers // 5):
            server.bad = self.rng.random()
        instances = instances or self.rng.choice([3, 12, 12])
        self.dispatchers = [make(settings(Random(draw), instances, n, peers), seed + n) for n in range(instances)]
        self.requests = count(1)
        self.gap = self.rng.choice([3.0, 8.0, 20.0])
        self.attempts: dict[tuple[int, int], list[int]] = {}  # servers of a request's attempts; 0 once one has ended

    def at(self, delay: float, act: Callable[[], None]) -> None:
        """Do it after that time."""
        heapq.heappush(self._heap, (self.now + delay, next(self._order), act))

    def run(self, span: float = 4000.0) -> list[tuple[float, int, Any]]:
        """Play it; returns each action with its time and dispatcher."""
        everyone = tuple(server.entry() for server in self.servers.values())
        for n in range(len(self.dispatchers)):
            self.give(n, pk.WorkerList(pk.ListKind.CACHED, everyone))
            self.at(30.0, lambda n=n: self.give(n, pk.WorkerList(pk.ListKind.FULL, everyone)))  # type: ignore[misc]
        self.at(1.0, self._arrive)
        self.at(500.0, self._change)
        while self._heap and self._heap[0][0] <= 1000.0 + span:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        return self.record

    def give(self, n: int, event: pk.Event) -> None:
        """Hand an event to a dispatcher, and carry out what follows."""
        for action in self.dispatchers[n].handle(self.now, event):
            self.record.append((round(self.now, 6), n, action))
            self._do(n, action)

    def _do(self, n: int, action: pk.Action) -> None:
        rng = self.rng
        if isinstance(action, pk.Send):
            attempts = self.attempts.setdefault((n, action.job), [])
            attempts.append(action.worker)
            number = len(attempts) - 1
            self.at(rng.uniform(1, 20), lambda: self._reach(n, action.job, number, action.worker))
        elif isinstance(action, pk.Cancel):
            self._end(n, action.job, action.attempt, pk.Outcome.CANCELLED, 0.0)
        elif isinstance(action, pk.SetTimer):
            self.at(action.delay, lambda: self.give(n, pk.TimerFired(action.token)))
        elif isinstance(action, pk.Tell):
            others = range(len(self.dispatchers)) if action.peer < 0 else [action.peer]
            for other in others:
                if other != n and rng.random() < 0.95:
                    self.at(rng.uniform(1, 10), lambda o=other: self.give(o, pk.PeerMessage(n, action.content)))  # type: ignore[misc]

    def _arrive(self) -> None:
        n, request, rng = self.rng.randrange(len(self.dispatchers)), next(self.requests), self.rng
        cls = rng.randrange(3)
        give_up = self.now + rng.uniform(200, 4000)
        self.give(n, pk.JobArrived(request, cls, give_up, rng.choice([1.0, 1.0, 2.0]), 0.0, rng.choice([0.0, 150.0])))
        if rng.random() < 0.05:
            self.at(rng.uniform(1, 500), lambda: self.give(n, pk.ClientGone(request)))
        self.at(rng.expovariate(1 / self.gap), self._arrive)

    def _reach(self, n: int, request: int, number: int, worker: int) -> None:
        server = self.servers.get(worker)
        if not self.attempts[n, request][number]:
            return
        if server is None or server.state is pk.WorkerState.GONE:
            self._end(n, request, number, pk.Outcome.CONNECT_FAILED, 1.0)
        elif self.rng.random() < server.bad:
            self._end(n, request, number, self.rng.choice(FAILURES), 5.0)
        else:
            server.waiting.append((n, request, number))
            self._start(server)

    def _start(self, server: Server) -> None:
        while server.waiting and server.busy < server.slots:
            n, request, number = server.waiting.pop(0)
            if not self.attempts[n, request][number]:
                continue
            server.busy += 1
            run = self.rng.uniform(20, 250)
            if self.dispatchers[n].s.tells_start:
                self.give(n, pk.Note(request, number, server.number, pk.NoteKind.STARTED))
            self.at(run, lambda n=n, r=request, a=number: self._done(server, n, r, a))  # type: ignore[misc]

    def _done(self, server: Server, n: int, request: int, number: int) -> None:
        server.busy -= 1
        self._end(n, request, number, pk.Outcome.SERVED, 120.0)
        self._start(server)

    def _end(self, n: int, request: int, number: int, outcome: pk.Outcome, latency: float) -> None:
        attempts = self.attempts[n, request]
        worker, attempts[number] = attempts[number], 0
        if worker:
            final = outcome is pk.Outcome.SERVED
            report = (float(self.rng.randrange(3)),) if self.dispatchers[n].s.report_fields else ()
            self.give(n, pk.AttemptEnded(request, number, worker, outcome, latency, final, report))

    def _change(self) -> None:
        """Some servers drain, some are gone, some are new; the dispatchers hear of it soon."""
        rng, changed = self.rng, []
        for server in rng.sample(list(self.servers.values()), max(1, len(self.servers) // 8)):
            server.state = rng.choice([pk.WorkerState.DRAINING, pk.WorkerState.GONE, pk.WorkerState.READY])
            changed.append(server)
        for _ in range(rng.randrange(len(self.servers) // 6 + 1)):
            number = self.next_server * 97 + 5
            self.next_server += 1
            self.servers[number] = Server(number, self.now)
            changed.append(self.servers[number])
        whole = rng.random() < 0.3
        told = [s for s in self.servers.values() if s.state is not pk.WorkerState.GONE] if whole else changed
        kind = pk.ListKind.FULL if whole else pk.ListKind.CHANGES
        news = pk.WorkerList(kind, tuple(server.entry() for server in told))
        for n in range(len(self.dispatchers)):
            self.at(rng.uniform(1, 80), lambda n=n: self.give(n, news))  # type: ignore[misc]
        self.at(rng.uniform(200, 1500), self._change)

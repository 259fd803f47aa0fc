"""What one dispatcher holds, before anything has happened and after.  Little is decided here."""

from collections import defaultdict
from typing import Any

from heronlug import interface as pk
from heronlug.decisions.agenda import Agenda
from heronlug.decisions.estimates import Lag, TokenBucket
from heronlug.decisions.model import Flight, Job, Kind, Worker
from heronlug.decisions.peer_reports import PeerReports


class State:
    """What a dispatcher holds, before anything has happened."""

    halls: Any  # what its host decides of whole halls, see heronlug.halls

    def __init__(self) -> None:
        self.retries = TokenBucket(0.0, 0.0)  # as the settings grant
        self.out: list[pk.Action] = []  # what is to be done about this event
        self.agenda, self.peers = Agenda(), PeerReports()
        self.kinds: defaultdict[int, Kind] = defaultdict(Kind)
        self.jobs: dict[int, Job] = {}
        self.flights: dict[tuple[int, int], Flight] = {}
        self.workers: dict[int, Worker] = {}
        self.left_at: dict[int, float] = {}  # when each that has left was told of as gone, oldest first
        self.order: list[Worker] = []  # the ready workers: O of Algorithm 2
        self.cold: list[Worker] = []  # those of them that have not their whole budget yet
        self.slot_bounds: dict[Kind, tuple[float, float]] = {}  # the slots of a kind for which the candidates hold
        self.sweep: list[Worker] = []  # whom the sweep has still to visit, last first
        self.held: list[tuple[float, int, Job]] = []  # may still be in time
        self.late: list[tuple[float, int, Job]] = []  # late already, or over a tenant's share; by worth
        self.sends = self.ranked_at = 0.0  # sends remembered; when all were ranked
        self.span: defaultdict[int, float] = defaultdict(float)  # mean latency per size, by class
        self.usual_pace: defaultdict[int, float] = defaultdict(float)  # the same as a geometric mean
        self.log_t = 0.0  # log T
        self.lags: defaultdict[int, Lag] = defaultdict(Lag)  # by zone
        self.mean_span = 0.0  # mean latency of all classes, or of the runs alone
        self.usual = 0.0  # mean of the known scores: that of a worker with N = 0
        self.ejected = 0  # ready workers on trial
        self.unranked = 0.0  # scores that outcomes since the last ranking have earned
        self.freed: list[Worker] = []  # where a slot of ours has just ended
        self.turn = 0  # on the rota
        self.trial: Worker | None = None  # the marked worker that is ours to try
        self.worst = -1  # the worst-served class, while there is not enough for all
        self.rechecking = False
        self.seen = 0  # sums read when the held jobs were last looked at
        self.top = 0  # a load level from which on a worker is full
        self.seq = self.arrivals = self.asks = 0

    def listed(self, event: pk.WorkerList, now: float = 0.0) -> list[Worker]:
        """Take a list in; returns the workers that are ready and were not before."""
        fresh: dict[int, Worker] = {}
        for entry in event.entries:
            worker = self.workers.get(entry.worker) or Worker(entry, self.kinds[entry.kind])
            self.workers[entry.worker] = worker
            worker.known_before |= event.kind == pk.ListKind.CACHED
            if entry.started_at != worker.started_at:
                worker.fresh(entry.started_at)
            worker.state, worker.zone, worker.kind, worker.cell = entry[1:5]
            if worker.state is pk.WorkerState.GONE:
                self.left_at.setdefault(worker.id, now)
            else:
                self.left_at.pop(worker.id, None)
            if worker.state is pk.WorkerState.READY and not worker.ranked:
                fresh[worker.id] = worker
        if event.kind != pk.ListKind.CHANGES:
            for gone in self.workers.keys() - {entry.worker for entry in event.entries}:
                self.workers[gone].state = pk.WorkerState.GONE
                self.left_at.setdefault(gone, now)
        self._forget_workers(now)
        return list(fresh.values())

    def _forget_workers(self, now: float) -> None:
        """Drop what is kept of workers that left long ago, once nothing of ours is out there."""
        for number in [n for n, at in self.left_at.items() if at <= now - pk.FORGET_AFTER]:
            if not self.workers[number].flights:
                del self.workers[number], self.left_at[number]
                self.peers.drop(number)

    def book(self, flight: Flight, way: int) -> None:
        """One attempt of ours more in flight, or one less (-1)."""
        worker, slots = flight.worker, way * flight.job.need
        if worker.moved_at != self.peers.reads:
            worker.moved_at, worker.moved = self.peers.reads, 0.0
        worker.moved += slots
        worker.own = max(0.0, worker.own + slots)
        worker.flights += way
        worker.waiting += way * flight.waiting
        self.peers.changed[worker.id] = worker
        self.peers.moved(worker)

    def avoided(self, now: float) -> set[int]:
        """Workers that get no ordinary jobs now: told off, ejected or on trial, standing still, or marked."""
        return {
            w.id
            for w in self.workers.values()
            if w.state is not pk.WorkerState.READY
            or now < w.ejected_until
            or w.trials
            or w.still
            or w.suspect
            or w.closed
        }

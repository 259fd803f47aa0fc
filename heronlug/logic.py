"""All decisions of heronlug.  Settings, events and actions are described in ``heronlug/interface.py``.
Ordinary jobs go where Upper-Confidence Priority-K sends them; ``docs/design.md`` tells of each exception."""

from collections.abc import Callable, Iterable
from heapq import heapify, heappop, heappush
from math import exp, inf, log, sqrt
from operator import attrgetter
from random import Random

from heronlug import interface as pk
from heronlug.arrival.crowd import Crowd
from heronlug.arrival.parts import Parts
from heronlug.decisions import Candidates, Group
from heronlug.decisions.estimates import Ledger, TokenBucket
from heronlug.decisions.model import QUIET, SUSPECT, Flight, Job, Kind, Worker
from heronlug.decisions.peer_reports import PeerReports
from heronlug.decisions.state import State
from heronlug.halls.offers import Halls
from heronlug.learned import flights, recall

T_START = 16  # T is this many plus the remembered sends (design)
C1 = 0.3  # K = C1 log T, in slots a worker has: a few hundred sends fill it, few dispatchers queue on it
PAYOFF_TOP = 8.0  # graded payoffs run from 0 to this: the bonus supposes noise of about 1, theirs is 1/8
UNTOLD = 4.0  # slots of a worker where no report tells of them, until starts and waits do
MEMORY, LEARN = 20.0, 1 / 16  # counts age over so many mean running times, running means over 16 values
EJECT_DIALS, EJECT_DOUBLINGS = 4.0, 3  # first ejection, in connection time-outs, and how often it may double
TRIALS = 4  # half-open trials to pass in a row: a worker that fails four in ten passes them one time in eight
PANIC = 0.7  # with more than this share of the ready workers ejected, the fault lies elsewhere
SHARE_SLACK, SHARE_BURST = 1.2, 4.0  # a tenant is over its share of our jobs beyond this, and so many at once
READS = 16  # news of others that one may have to read for each own job; past that, relays sum them up
RELAYS, VIEWS = 2, 4  # so many sum up, for one may die, and tell sums so often within the middle aim
SILENT = 4  # who misses so many sums is dead; counts of the dead, or not told again, are void
SCORES, SCORES_PER_US = 128, 3.2  # for an outcome at most; where CPU is short, a sixth of what a job may use
LOOKS_PER_AIM = 16  # views are told, and held jobs looked at again, so often within the shortest aim

SLOTS_LOW, SLOTS_MORE = 0.8, 0.5  # candidates are looked for anew below this part of a kind's slots, and above
SUSPECTS = 0.2  # at most this share of the workers, or what can be spared, is marked in the sums as failing
ILL, WELL = 0.6, 0.8  # health below which it is marked, after two bad ends, and above which no more
FAULTS = 2  # workers that find fault with a job, and it is the job's
BAD = frozenset({pk.Outcome.ERROR, pk.Outcome.FULL, pk.Outcome.CONNECT_FAILED, pk.Outcome.RESET})


class Dispatcher(State):
    """Decides for one dispatcher: ``handle(now, event)`` returns the actions to carry out, in order."""

    def __init__(self, settings: pk.Settings, seed: int) -> None:
        super().__init__()
        self.s, self.rng = settings, Random(seed)
        self.retries = TokenBucket(settings.retry_burst, settings.retry_share)
        self.ledger, self.parts, self.halls = Ledger(len(self.s.classes)), Parts(settings), Halls(self)
        total = sum(settings.quotas) or 1.0
        self.tenants = [TokenBucket(SHARE_BURST, SHARE_SLACK * quota / total) for quota in settings.quotas]
        self.candidates = Candidates(self._may_fit)
        self.peers.moved = self.candidates.touch
        self.tell, self.subscribed = settings.may_tell and settings.instances > 1, settings.list_pushed
        self.look, self.way = min(c.aim for c in settings.classes) / LOOKS_PER_AIM, 2 * settings.dial_timeout
        self.relayed = self.tell and 2 * (settings.instances - 1) > READS
        self.tell_gap = 0.0 if self.relayed else self.look * settings.instances / 2  # what each has to read
        aims = self.aims = sorted(c.aim for c in settings.classes)
        self.view_gap = aims[len(aims) // 2 if self.relayed else -1] / VIEWS  # alike at all; mean runs differ
        if self.relayed:
            self.agenda.at(0.0, self._on_beat, None)
        self.scores = SCORES_PER_US * settings.cpu_per_request or SCORES
        self.can_hedge = settings.tells_start and settings.second_copies
        self.can_repeat = any(c.effect is not pk.Effect.ONCE for c in settings.classes)
        self.free_at = next((i for i, name in enumerate(settings.report_fields) if name == "x0"), -1)
        # with no reports, a start or a wait at a worker tells of its slots; with neither, nothing does
        self.silence_at = 0.0 if settings.tells_start and settings.progress_every else inf
        self.by_starts = self.free_at < 0 and settings.tells_start
        self.crowd = Crowd(self, self.parts, self.by_starts)
        if self.by_starts:
            self.kinds.default_factory = lambda: Kind(UNTOLD)
        self.handlers: dict[type, Callable[..., None]] = {
            pk.JobArrived: self._on_job,
            pk.AttemptEnded: self._on_ended,
            pk.JobPassedOn: self._on_passed_on,
            pk.WorkerList: self._on_list,
            pk.ClientGone: lambda event, now: self._close(event.job),
            pk.NoTimeLeft: self._on_no_time,
            pk.JobAdopted: self._on_adopted,
            pk.Note: self._on_note,
            pk.PeerGone: lambda event, now: self.peers.forget(event.peer, self.workers),
            pk.TimerFired: lambda event, now: self.agenda.fired(),
            pk.PeerMessage: self._on_peer,
        }

    def handle(self, now: float, event: pk.Event) -> list[pk.Action]:
        """The actions that follow from one event; events of unknown type or id are ignored."""
        self.out = []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event, now)
            if now >= self.silence_at:
                self._look_for_silence(now)
            idle = self.seen == self.peers.reads and isinstance(event, pk.Note | pk.PeerMessage)
            if (self.held or self.late) and handler != self._on_job and not (idle and self.relayed):
                self._drain(now)
            self.agenda.run(now, self.jobs, self.out)
            if self.tell and self.peers.changed and now - self.peers.told_at >= self.tell_gap:
                self._tell(now)
        return self.out

    def _on_job(self, event: pk.JobArrived, now: float) -> None:
        if event.job_class < len(self.s.classes) and event.job not in self.jobs:
            self._place(self._admit(event, now), now)

    def _on_adopted(self, event: pk.JobAdopted, now: float) -> None:
        """Another process had it: what is out goes on, and nothing is sent twice."""
        job = self._admit(event.job, event.taken_at)
        job.attempts, job.not_before = flights(self, job, event.attempts), event.not_before
        for number, flight in enumerate(job.attempts):
            if flight.out:
                self.flights[job.id, number] = flight
                self.book(flight, 1)
                self._watch(flight, now)
        if not any(f.out for f in job.attempts):
            self._place_at(job, job.not_before, now)

    def _on_passed_on(self, event: pk.JobPassedOn, now: float) -> None:
        if (job := self.jobs.pop(event.job, None)) is not None:
            for number, flight in enumerate(job.attempts):
                if self.flights.pop((job.id, number), None) is not None:
                    self.book(flight, -1)
                    flight.worker.mute -= flight.mute

    def _admit(self, event: pk.JobArrived, now: float) -> Job:
        job = self.jobs[event.job] = Job(event, event.terms or self.s.classes[event.job_class])
        job.cap = self.s.cap(job.lane)
        self.arrivals += 1  # a tenant's part of all traffic is not seen from here: its part of ours must do
        job.over = event.tenant < len(self.tenants) and not self.tenants[event.tenant].take(self.arrivals)
        run = self._expected(job)
        job.due = min(now + job.lane.aim + job.lane.stretch * (job.size or run), job.give_up_at)
        job.last_start = job.due - run
        job.patient_until = now + (job.last_start - now) / 4
        job.work = (job.size or run) * job.need
        job.value = job.lane.worth * run * job.need
        self.ledger.ask(job.cls, job.value)
        self.agenda.at(job.give_up_at - self.s.tick, self._on_time_over, job)
        return job

    def _place_at(self, job: Job, when: float, now: float) -> None:
        """The wait that its limits set before a further attempt; past its time, there is none."""
        job.not_before = when
        if now < when < job.give_up_at - self.s.tick and len(job.attempts) < job.cap:
            self.agenda.at(when, self._place, job)
        elif now < when:
            self._finish(job, pk.Reason.NO_TIME if len(job.attempts) < job.cap else pk.Reason.NO_ATTEMPT)
        else:
            self._place(job, now)

    def _place(self, job: Job, now: float) -> None:
        if job.give_up_at - self.s.tick <= now:
            self._finish(job, pk.Reason.NO_TIME)
        elif job.spent(now + self.way):
            self._finish(job, pk.Reason.NO_ATTEMPT)
        elif (worker := self._choose(job, now)) is not None:
            self._send(job, worker, now)
        elif job.faulted:
            self._finish(job, pk.Reason.FAULTY)  # most likely its own fault: no wait for a second opinion
        else:
            self._hold(job, now)

    def _choose(self, job: Job, now: float, late: bool = False) -> Worker | None:
        """Algorithm 2: the sweep's next else the first in rank (late: last) at most K full."""
        if job.attempts and not self._may_repeat(job, now):
            return None  # wherever it went: no look at any worker, and no turn of the sweep used up
        k = max(1.0, C1 * self.log_t)
        self.top = int(8 * k) + 1
        # what cannot be copied has no second try: no sweeps with it, and it waits for a slot of ours to end
        first = self.freed if self.can_hedge and job.once else self.sweep
        if self.relayed and not late and not job.once:
            self._take_turn(now)
        self.sweep += self.parts.turns(now)  # what may go to a cold worker goes there first: it stands idle
        crowd = self.crowd.waits_long(job, now)
        while first and not late and not (crowd and first[-1].budget == inf):
            worker = first.pop()
            new = not worker.flights or first is self.freed  # one with an attempt out is observed already
            if new and self._fits(job, worker, k, now) and self._may_send(job, worker, now):
                return worker
        if crowd or (first is self.freed and not (late or self.by_starts) and now < job.patient_until):
            return None
        # what failed there may fail there again
        tried = [f.worker for f in job.attempts] if len(job.attempts) < len(self.order) else []
        for worker in self._candidates(job, late, now):
            if worker not in tried and self._fits(job, worker, k, now) and self._may_send(job, worker, now):
                return worker
        return None

    def _candidates(self, job: Job, late: bool, now: float) -> Iterable[Worker]:
        """The workers that may fit, best in rank first; late: last."""
        for worker in self.parts.moved(now):
            self.candidates.touch(worker)
        if any(not low <= model.slots <= high for model, (low, high) in self.slot_bounds.items()):
            self.slot_bounds.clear()
            self.candidates.expire()
        return self.candidates.ranked(job.lane.worker_kind, self._group(job), late)

    @staticmethod
    def _group(job: Job) -> Group | None:
        """The only group of workers that drops repeats of what may have run; None where any worker may have it."""
        scope = job.lane.key_scope
        if job.lane.effect is not pk.Effect.BY_KEY or scope is pk.KeyScope.ALL:
            return None
        ran = next((flight.worker for flight in job.attempts if flight.may_have_run), None)
        return Group.of(scope, ran) if ran is not None else None

    def _may_fit(self, worker: Worker) -> bool:
        """Whether any job could go there: false only where :meth:`_fits` or :meth:`_may_send` is, whatever the job."""
        if not self.parts.may_any(worker):
            return False
        k, model = max(1.0, C1 * self.log_t), worker.model
        bounds = self.slot_bounds.get(model)
        if bounds is None:
            bounds = self.slot_bounds[model] = SLOTS_LOW * model.slots, model.slots + SLOTS_MORE / k
        if not self.relayed:
            queue = worker.own + worker.told
        elif worker.suspect:
            return worker is self.trial
        else:
            queue = max(worker.own, worker.level * model.slots / 8 + min(0.0, worker.moved))
        return queue + 1.0 <= k * bounds[1] or SLOTS_LOW * queue < 0.5

    def _take_turn(self, now: float) -> None:
        """Half-open for all: by rota one dispatcher tries a marked worker; by lot hardly any ever did."""
        turn, every = int(now / (EJECT_DIALS * self.s.dial_timeout)), self.s.instances
        if turn != self.turn:
            self.turn, mine = turn, self.peers.roster[(self.s.position - turn) % every :: every]
            self._try(self.halls.turn(mine, self.peers))
            self.sweep += [self.trial] if self.trial else []

    def _try(self, worker: Worker | None) -> None:
        """This marked worker is ours to try now, in the place of the one before."""
        for changed in (self.trial, worker):
            if changed is not None:
                self.candidates.touch(changed)
        self.trial = worker

    def _fits(self, job: Job, worker: Worker, k: float, now: float) -> bool:
        """Whether the worker's queue leaves room below K times the slots that it can use now."""
        queue = worker.own + worker.told
        if self.relayed:  # the sums hold ours too, but for what has moved since
            moved = worker.moved if worker.moved_at == self.peers.reads else 0.0
            if moved >= 0 and self.top <= worker.level < SUSPECT:
                return False
            queue = worker.own if worker.suspect else max(worker.own, worker.level * worker.model.slots / 8 + moved)
        # one of ours that has not started, now or just before, shows that no slot is free
        unstarted = worker.waiting or now < worker.stuck_until
        return not unstarted and (queue + job.room <= k * worker.model.slots or queue < 0.5)

    def _may_send(self, job: Job, worker: Worker, now: float) -> bool:
        """The one gate: every send passes it, ordinary, sweep, retry or second copy."""
        if worker.state is not pk.WorkerState.READY or job.lane.worker_kind not in (-1, worker.kind):
            return False  # rule 3: nothing new to a worker told draining or gone
        if job.attempts and not self._same_group(job, worker):
            return False
        if worker.still and (job.once or worker.flights > worker.mute):
            return False  # one job at a time tries whether it still does, and none that cannot be repeated
        # half-open: one job at a time, and none that cannot be repeated
        closed = now < worker.ejected_until or worker.flights or (self.can_repeat and job.once)
        if worker.ejections and worker.trials and closed and self.ejected <= PANIC * len(self.order):
            return False
        healthy = not worker.closed and (not worker.suspect or (worker is self.trial and not job.once))
        return healthy and self.parts.may(worker, job.work, now)

    def _may_repeat(self, job: Job, now: float) -> bool:
        """Rule 2: what the effect allows after earlier attempts, under the cap and the retry budget."""
        if not all(f.waiting for f in job.attempts) and not self.retries.has(self.arrivals):
            return False
        risky = [f for f in job.attempts if f.may_have_run]
        second = any(f.out for f in risky)
        if len(job.attempts) >= job.cap or (second and not (self.s.second_copies and job.lane.second_copy)):
            return False
        if not risky or job.lane.effect is pk.Effect.REPEATABLE:
            return True
        return job.lane.effect is pk.Effect.BY_KEY and not job.lapses(now + self.way)

    @staticmethod
    def _same_group(job: Job, worker: Worker) -> bool:
        """Whether a worker drops repeats of what may have run elsewhere."""
        if job.lane.effect is not pk.Effect.BY_KEY or job.lane.key_scope is pk.KeyScope.ALL:
            return True
        return all(
            f.worker.zone == worker.zone
            and (job.lane.key_scope is not pk.KeyScope.CELL or f.worker.cell == worker.cell)
            for f in job.attempts
            if f.may_have_run
        )

    def _send(self, job: Job, worker: Worker, now: float) -> None:
        if not all(f.waiting for f in job.attempts):  # copies of waiting work are no load
            self.retries.take(self.arrivals)
        self.flights[job.id, len(job.attempts)] = flight = Flight(job, worker, now, self.s.tells_start)
        job.attempts.append(flight)
        self.book(flight, 1)
        self.parts.sent(worker, job.work, now)
        self._watch(flight, now)
        self.sends += 1
        self.out.append(pk.Send(job.id, worker.id))

    def _watch(self, flight: Flight, now: float) -> None:
        """When to look at an attempt that has not ended: as its limits say, or soon."""
        lane, copied = flight.job.lane, flight.job.lane.second_copy and not flight.job.once
        if lane.attempt_timeout:
            self.agenda.at(flight.sent + lane.attempt_timeout, self._on_overrun, flight)
        if lane.second_copy_after and copied:
            self.agenda.at(flight.sent + lane.second_copy_after, self._on_unended, flight)
        elif self.can_hedge and copied and flight.waiting:
            start = now + self.lags[flight.worker.zone].usual(self.s.dial_timeout)
            self.agenda.at(start + 2 * self.look, self._on_unstarted, flight)

    def _on_overrun(self, flight: Flight, now: float) -> None:
        """Time-out of one attempt: it is cancelled, and as it may have run, its end says what may follow."""
        if flight.out and self.jobs.get(flight.job.id) is flight.job:
            flight.overrun = True
            self.out.append(pk.Cancel(flight.job.id, flight.job.attempts.index(flight)))

    def _on_unended(self, flight: Flight, now: float) -> None:
        """Hedge by time: a copy beside the only attempt that is out, as soon as a worker has room for it."""
        job = flight.job
        if self.jobs.get(job.id) is not job or [f for f in job.attempts if f.out] != [flight]:
            return
        if (worker := self._choose(job, now)) is not None:
            self._send(job, worker, now)
        elif len(job.attempts) < job.cap:
            self.agenda.at(now + 2 * self.look, self._on_unended, flight)

    def _hold(self, job: Job, now: float) -> None:
        """No worker is at most K full: wait here, where the job can still go anywhere, not in a queue."""
        self.seq += 1  # the newest of a class first, so that in overload some are in time
        late = job.over or now > job.last_start
        key = (-job.late_worth() if late else self._order(job), -self.seq, job)
        heappush(self.late if late else self.held, key)
        self.out += self.parts.ask([key], self.cold, now)
        if not self.rechecking:  # one chain of looks, or they multiply with every hold
            self._on_recheck(None, now)

    def _order(self, job: Job) -> float:
        """Least patient class first; once some work is late, most worth first and the worst class weighed."""
        if self.worst < 0:
            return job.lane.aim + (job.lane.stretch - 1) * self.span[job.cls]
        weighed = self.s.worst_class / self.ledger.part(job.cls) if job.cls == self.worst else 0.0
        return -job.lane.worth * (1 - self.s.worst_class + weighed)

    def _drain(self, now: float) -> None:
        """Held jobs go out as soon as a worker falls to K, those in time first.  A look reads all workers."""
        self.seen = self.peers.reads
        worst = self.ledger.worst() if self.late and self.late[0][0] < 0.0 else -1
        if worst != self.worst:
            self.worst = worst
            self.held = [(self._order(job), seq, job) for _, seq, job in self.held]
            heapify(self.held)
        for late, heap in (False, self.held), (True, self.late):
            aside, full = [], False
            while heap and not full:
                _, seq, job = heap[0]
                if self.jobs.get(job.id) is not job or any(f.out for f in job.attempts):
                    heappop(heap)
                elif not late and job.last_start < now:
                    heappop(heap)
                    heappush(self.late, (-job.late_worth(), seq, job))
                elif job.lapses(now + self.way) or (late and self.crowd.vain(job, self._expected(job), now)):
                    heappop(heap)  # it would die running: as well answer while a refusal is harmless
                    self._finish(job, pk.Reason.HOPELESS)
                elif (worker := self._choose(job, now, late)) is not None:
                    heappop(heap)
                    self._send(job, worker, now)
                elif job.attempts and not self.retries.has(self.arrivals):
                    aside.append(heappop(heap))  # its own budget may keep it: that must not hold up the rest
                else:
                    full = True
            for entry in aside:
                heappush(heap, entry)
            if full:
                return

    def _on_recheck(self, _: None, now: float) -> None:
        self.rechecking = bool(self.held or self.late)  # a timer alone has them looked at again
        if self.rechecking:
            self.out += self.parts.ask(self.held or self.late, self.cold, now)
            self.agenda.at(now + (self.view_gap if self.relayed else 2 * self.look), self._on_recheck, None)

    def _on_note(self, event: pk.Note, now: float) -> None:
        flight = self.flights.get((event.job, event.attempt))
        if flight is None:
            return
        worker = flight.worker
        flight.hear(now)
        if flight.waiting:
            self.crowd.started(flight, now)
            if self.by_starts:
                worker.model.started(worker.own - worker.waiting + worker.told)
            attempts = flight.job.attempts if self.s.may_cancel else []  # its copies elsewhere have lost
            self.out += [pk.Cancel(event.job, n) for n, f in enumerate(attempts) if f.waiting and f.out]

    def _look_for_silence(self, now: float) -> None:
        """Outlier detection by silence: who runs a job tells so every period, unless it stands still."""
        silence = QUIET * self.s.progress_every
        self.silence_at = now + silence / 4
        for flight in [f for f in self.flights.values() if not f.waiting and now - f.heard >= silence]:
            job, worker = flight.job, flight.worker
            worker.mute += not flight.mute
            flight.mute = True
            worker.still = worker.still or now - worker.heard >= silence
            alone = self.jobs.get(job.id) is job and all(f.mute or not f.out for f in job.attempts)
            early = not job.lane.second_copy or now < flight.sent + job.lane.second_copy_after
            spare = alone and self.can_hedge and not (self.held or job.once or early)
            if spare and (other := self._choose(job, now)):
                self._send(job, other, now)

    def _on_unstarted(self, flight: Flight, now: float) -> None:
        """Hedge: a job behind others' work is copied to a free slot; the worker is full for a while."""
        job = flight.job
        if not flight.waiting or self.jobs.get(job.id) is not job:
            return
        if self.by_starts:
            flight.worker.model.waited(flight.worker.own - flight.worker.waiting + flight.worker.told)
        others = max(1.0, flight.worker.model.slots - 1)  # until one of its slots has ended
        flight.worker.stuck_until = now + self.mean_span * log(1 + 1 / others)
        started = any(f.out and not f.waiting for f in job.attempts)
        if not started and (worker := self._choose(job, now)) is not None:
            self._send(job, worker, now)
        elif not started and len(job.attempts) < job.cap:
            self.agenda.at(now + 2 * self.look, self._on_unstarted, flight)

    def _on_ended(self, event: pk.AttemptEnded, now: float) -> None:
        flight = self.flights.pop((event.job, event.attempt), None)
        if flight is None:
            return
        worker, job, outcome = flight.worker, flight.job, event.outcome
        if 0 <= self.free_at < len(event.report):
            worker.model.reported(event.report[self.free_at])
        self.book(flight, -1)
        worker.mute -= flight.mute
        if outcome == pk.Outcome.SERVED:
            worker.heard, worker.still = now, False
        ran = not flight.waiting
        flight.out = flight.waiting = flight.mute = False
        flight.may_have_run = outcome not in pk.NEVER_RAN
        if outcome != pk.Outcome.CANCELLED or (ran and self.s.tells_start):
            self._learn(worker, job, outcome, event.latency, self.crowd.run(flight, event.latency, now), now)
        self.freed = [worker] if outcome == pk.Outcome.SERVED else []
        if self.jobs.get(job.id) is not job:
            return
        if outcome == pk.Outcome.UNUSABLE:  # a second opinion tells whose fault it is
            job.faulted.append(worker)
        elif outcome == pk.Outcome.SERVED:
            for liar in job.faulted:
                self._judge(liar, pk.Outcome.ERROR, now)
        if event.final:
            self.ledger.win(job.cls, job.value * (1.0 if now <= job.due else job.lane.late_value))
            self._close(job.id)
        elif outcome == pk.Outcome.MOOT:
            self._finish(job, pk.Reason.MOOT)
        elif flight.may_have_run and job.once:
            self._finish(job, pk.Reason.MAY_HAVE_RUN)
        elif len(job.faulted) >= FAULTS:
            self._finish(job, pk.Reason.FAULTY)
        elif not any(f.out for f in job.attempts):
            if not job.lane.again and any(f.overrun for f in job.attempts):
                self._finish(job, pk.Reason.OVERRUN)
            else:
                self._place_at(job, now + job.lane.wait_before(len(job.attempts)), now)

    def _on_time_over(self, job: Job, _: float) -> None:
        self._finish(job, pk.Reason.NO_TIME)

    def _finish(self, job: Job, reason: pk.Reason) -> None:
        """Rule 1: the one place of final answers.  Refuse only where a retry is surely harmless."""
        asked = job.harmless and not job.faulted  # to ask again would change nothing
        harmless = asked or not any(f.may_have_run for f in job.attempts)
        self.out.append(pk.Refuse(job.id, reason) if harmless else pk.Fail(job.id, reason))
        self._close(job.id)

    def _on_no_time(self, event: pk.NoTimeLeft, now: float) -> None:
        if (job := self.jobs.get(event.job)) is not None:
            self._finish(job, pk.Reason.SHUTDOWN)

    def _close(self, job_id: int) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None and self.s.may_cancel:
            self.out += [pk.Cancel(job_id, n) for n, f in enumerate(job.attempts) if f.out]

    def _expected(self, job: Job) -> float:
        return self.span[job.cls] * (job.size or 1.0) or job.lane.aim  # nothing is known yet

    def _learn(self, worker: Worker, job: Job, outcome: int, latency: float, run: float, now: float) -> None:
        """One payoff: graded by latency against the class's usual for the size, 0 for every failure."""
        if outcome in (pk.Outcome.MOOT, pk.Outcome.UNUSABLE):
            return
        payoff, usual = 0.0, self.usual_pace[job.cls]
        if outcome == pk.Outcome.CANCELLED:  # it would have taken longer still: slow workers lose clients
            pace = latency / (job.size or 1.0)
            if not usual or pace <= usual:
                return
            payoff = 1 / (1 + pace / usual) - self.s.cross_zone_price * (worker.zone != self.s.zone)
        if outcome == pk.Outcome.SERVED:
            pace, span = max(latency, 1e-3) / (job.size or 1.0), self.span[job.cls]
            self.span[job.cls] += (LEARN if span else 1.0) * (max(run, 1e-3) / (job.size or 1.0) - span)
            self.mean_span += (LEARN if self.mean_span else 1.0) * (run - self.mean_span)
            usual = usual or pace
            self.usual_pace[job.cls] = usual = usual * (pace / usual) ** LEARN
            payoff = 1 / (1 + pace / usual) - self.s.cross_zone_price * (worker.zone != self.s.zone)
        worker.mean = (worker.mean * worker.n + PAYOFF_TOP * payoff) / (worker.n + 1)
        worker.n += 1
        badly = outcome in BAD - {pk.Outcome.FULL}  # full is busy, and no failure
        self.peers.ended[worker.id] = PeerReports.ENDED_BADLY if badly else PeerReports.ENDED_WELL
        worker.ended(badly, now)
        self._judge(worker, outcome, now)
        self.unranked += self.scores
        if now - self.ranked_at >= self.look and self.unranked >= len(self.order):
            self._rank(now)  # it reads every worker: not at every outcome of a burst, or of a large fleet

    def _judge(self, worker: Worker, outcome: int, now: float) -> None:
        """Outlier ejection: fast errors look like free slots, so one failure is enough to step back."""
        if outcome in BAD:
            if now >= worker.ejected_until:
                worker.ejections = min(worker.ejections + 1, EJECT_DOUBLINGS + 1)
                span = EJECT_DIALS * self.s.dial_timeout * self.rng.uniform(0.8, 1.2)
                worker.ejected_until = now + span * 2 ** (worker.ejections - 1)
                if worker.ejections == 1:
                    self.out.append(pk.Log(f"worker {worker.id} ejected: {pk.Outcome(outcome).name.lower()}"))
            self.ejected += not worker.trials
            worker.trials = TRIALS
        elif worker.trials and outcome == pk.Outcome.SERVED and now >= worker.ejected_until:
            worker.trials -= 1
            worker.ejections -= not worker.trials  # the next failure soon after counts as a repeat

    def _rank(self, now: float) -> None:
        """Age the counts, score every worker by its upper confidence bound, and look for a reorder."""
        if self.mean_span:
            keep = exp((self.ranked_at - now) / (MEMORY * self.mean_span))
            self.sends *= keep
            for worker in self.order:
                if worker.n:
                    worker.n *= keep
        self.peers.void(now - SILENT * self.view_gap, self.workers, self.relayed)
        self.ranked_at, self.unranked = now, 0
        self.ejected = sum(1 for w in self.order if w.trials)
        self.log_t = log(self.sends + T_START)
        bounds = [w.mean + sqrt(4 * self.log_t / w.n) for w in self.order if w.n > 0.01]
        self.usual = sum(bounds) / len(bounds) if bounds else 0.0
        self._score_all(now)
        if not self.sweep:  # during a sweep the order stands, and is looked at again after it
            old, self.order = self.order, sorted(self.order, key=attrgetter("rank"), reverse=True)
            if self.order != old:
                self.sweep = self.order[::-1]
        self.cold = [w for w in self.order if w.budget < inf]
        self.slot_bounds.clear()
        self.parts.ranked()
        self.candidates.rank(self.order)

    def _score_all(self, now: float) -> None:
        """Upper confidence bound on the payoff of each; with N = 0 the mean of the others' bounds."""
        log_t, near, warm_after = 4 * self.log_t, self.s.zone, self.s.warm_after
        unknown_near, unknown_far = self.usual, self.usual - PAYOFF_TOP * self.s.cross_zone_price
        cold_from, warming = self.s.cold_from, (1 - self.s.cold_from) / warm_after if warm_after else 0.0
        share, job = self.parts.share, self.mean_span or self.aims[0]
        for worker in self.order:
            if worker.n > 0.01:
                bound = worker.mean + sqrt(log_t / worker.n)
            else:
                bound = unknown_near if worker.zone == near else unknown_far
            since = worker.started_at
            if worker.eased_at > since:
                since = worker.eased_at
            if not since or now - since >= warm_after:
                worker.budget, worker.rank = inf, bound
            else:
                # slow start: the share of its capacity that it has at least; cold is no bargain
                warmth = cold_from + warming * max(0.0, now - since)
                # rule 4: our share of what it stands; so few share it that each one's part holds a job
                worker.budget = share(worker, warmth, job, now)
                worker.rank = bound * warmth

    def _on_list(self, event: pk.WorkerList, now: float) -> None:
        if event.kind == pk.ListKind.FAILED:
            self.subscribed, self.asks = self.s.list_pushed, min(self.asks + 1, 4)
            delay = self.s.ask_every / 32 * 2**self.asks * self.rng.uniform(0.5, 1.0)
            return self.agenda.at(now + delay, self._ask, None)  # one slow service for all
        self.subscribed, self.asks = self.s.list_pushed or event.kind != pk.ListKind.CACHED, 0
        self._ask(None, now)  # what is cached may be stale
        fresh = self.listed(event, now)
        fresh.sort(key=lambda w: (w.zone != self.s.zone, self.rng.random()))  # near first, else as it comes
        for worker in self.order:
            worker.ranked = worker.state is pk.WorkerState.READY
        for worker in fresh:
            worker.ranked = True
        self.order = [w for w in self.order if w.ranked] + fresh
        self._rank(now)
        self.peers.list_ready(self.order)

    def resume(self, table: object, now: float) -> None:
        """Go on with what another process has learned; raises ``ValueError`` where that makes no sense."""
        recall(self, table, self.s.position, now)
        self._rank(now)

    def _tell(self, now: float) -> None:
        """Counts go to every peer; where that is too much to read, to the relays, which sum them up."""
        to = self.peers.relays_since(now - SILENT * self.view_gap) if self.relayed else [-1]
        if to:
            self.peers.told_at, counts = now, self.peers.counts(now)
            self.out += [pk.Tell(counts, peer) for peer in to]

    def _on_peer(self, event: pk.PeerMessage, now: float) -> None:
        self.out += self.parts.heard(event, self, now)
        for worker, badly in self.peers.hear(event, self.workers, now):
            worker.ended(badly, now)

    def _on_beat(self, _: None, now: float) -> None:
        """Relays, in turns by the clock: the first by position; others step in where these are silent."""
        # messages get lost, and who begins as a relay knows nothing: a count that is not told again is void
        self.peers.changed.update({f.worker.id: f.worker for f in self.flights.values()})
        heard = self.peers.relays_heard(self.s.position, RELAYS, now)
        silent = self.s.position < RELAYS or now - heard > (2 * SILENT + self.s.position) * self.view_gap
        if silent and self.peers.relaying:
            for content in self.peers.summary(self._levels()):
                self.out.append(pk.Tell(content))
                self.peers.read(content, self.workers)
        elif silent:
            self.out.append(pk.Tell(PeerReports.SUMMARY))
        self.peers.relaying = silent
        gap, soon = RELAYS * self.view_gap, now + self.view_gap / 2
        turn = soon + gap - (soon - self.s.position % RELAYS * self.view_gap) % gap
        self.agenda.at(turn if silent else now + gap, self._on_beat, None)

    def _levels(self) -> list[int]:
        """The load level of each worker of the roster, as far as we hear; SUSPECT for those that seem to fail."""
        roster = self.peers.roster
        loads = [(w.told + w.own) / w.model.slots if w.told + w.own > 0 else 0.0 for w in roster]
        spare = max(SUSPECTS, 1 - sum(loads) / max(1, len(loads)))  # the others can do its work
        worst = sorted((w for w in roster if w.health < WELL), key=attrgetter("health"))[: int(spare * len(roster))]
        bad = {w for w in worst if w.level == SUSPECT or w.health < ILL}
        return [
            SUSPECT if w.marked or w in bad else min(SUSPECT - 1, round(8 * load)) if load else 0
            for w, load in zip(roster, loads, strict=True)
        ]

    def _ask(self, _: None, now: float) -> None:
        if not self.subscribed:
            self.out.append(pk.Subscribe())

"""What a dispatcher keeps of workers, jobs and attempts, and its agenda.  Nothing is decided here."""

import struct
from array import array
from collections import defaultdict, deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import zip_longest
from operator import attrgetter
from typing import Any
from zlib import crc32

from heronlug import interface as pk

HEX = "0123456789abcdef"
DIGIT = {digit: value for value, digit in enumerate(HEX)}
SUSPECT = 15  # the digit, in the sums, of a worker that fails or whose hall is left
QUIET = 2.25  # periods without a word from a job: its worker, or the way to it, stands still


class Worker:
    """What one dispatcher knows of a worker."""

    __slots__ = (
        "bad", "budget", "cell", "closed", "eased_at", "ejected_until", "ejections", "ended_at", "flights", "health",
        "heard", "id", "kind", "known_before", "level", "marked", "mean", "model", "moved", "moved_at", "mute", "n",
        "own", "place", "rank", "ranked", "recent", "started_at", "state", "still", "stuck_until", "suspect", "told",
        "trials", "trying", "users", "waiting", "zone",
    )  # fmt: skip

    HEALTH = 1 / 4  # of the way to how the last attempt ended

    def __init__(self, entry: pk.WorkerEntry, model: "Kind") -> None:
        self.id, self.state, self.zone, self.kind, self.cell = entry[:5]
        self.model = model  # what is known of its kind
        self.known_before = False  # to a life of ours before this one, which may have sent it something
        self.own = 0.0  # our slots in flight
        self.flights = 0  # our attempts in flight
        self.waiting = 0  # of them, told not to have started yet, where workers tell
        self.mute = 0  # of those that have started, not heard of for some periods of progress
        self.moved = 0.0  # by so many they have changed since the last sums were read; which those were
        self.moved_at = 0
        self.told = 0.0  # slots in flight from other dispatchers, as they tell
        self.level = 0  # its load level in the last load summary, 0 if that does not tell
        self.suspect = False  # that tells of it as failing
        self.place = -1  # its place in the ranking
        self.ranked = False  # it is in the ranking
        self.closed = self.marked = False  # its hall is left or not all returned to; told so to the others
        self.trying = False  # it is ours to try for a while
        self.eased_at = 0.0  # when its hall was returned to: it is taken for cold from then on
        self.fresh(entry.started_at)

    @property
    def cold_since(self) -> float:
        """When it began to warm; 0 if it is not known to have been cold."""
        return max(self.started_at, self.eased_at)

    def fresh(self, started_at: float) -> None:
        """A new process: nothing learned of the old one holds."""
        self.known_before = False
        self.started_at = started_at
        self.n = self.mean = self.rank = 0.0  # aged count and mean of payoffs; the score it is ranked by
        self.health = 1.0  # how the last attempts of all dispatchers ended, as a relay hears
        self.bad, self.ended_at = False, 0.0  # how the last attempt of anybody ended that was told of, and when
        self.heard = 0.0  # when it last told of a job's start or progress, or served one
        self.still = False  # it has told nothing for some periods although a job of ours had started there
        self.stuck_until = 0.0  # before that, a job of ours would wait there for others'
        self.ejected_until = 0.0
        self.ejections = self.trials = 0  # ejections in a row; trials to pass before it is taken back
        self.recent = Recent()  # work sent while cold
        self.budget = 0.0  # what that may be within the stated span; infinite once warm
        self.users = 1  # parts that its whole budget is divided into

    def ended(self, badly: bool, now: float) -> None:
        """How an attempt of some dispatcher ended here: not each must pay for a first failure."""
        self.bad, self.ended_at = badly, now
        self.health += ((not badly) - self.health) * self.HEALTH


class Job:
    """A job taken and not yet answered."""

    __slots__ = (
        "attempts", "cap", "cls", "due", "faulted", "give_up_at", "harmless", "id", "lane", "last_start", "need",
        "not_before", "once", "over", "patient_until", "room", "size", "value", "work",
    )  # fmt: skip

    def __init__(self, event: pk.JobArrived, lane: pk.JobClass) -> None:
        self.id, self.cls, self.give_up_at, self.lane = event.job, event.job_class, event.give_up_at, lane
        self.need = max(event.slots, event.memory, 1.0)  # a worker has one unit of memory a slot
        self.room = max(event.memory, 1.0)  # to begin with: asking for all its slots, a wide job starves
        self.size = event.hint
        self.cap = 0  # attempts it may have
        self.not_before = 0.0  # its limits have it wait so long for the next one
        self.once = lane.effect is pk.Effect.ONCE
        everywhere = lane.effect is pk.Effect.BY_KEY and lane.key_scope is pk.KeyScope.ALL
        self.harmless = everywhere or lane.effect is pk.Effect.REPEATABLE  # to try again, whatever ran
        self.attempts: list[Flight] = []
        self.faulted: list[Worker] = []  # who found fault with it
        self.over = False  # beyond its tenant's share
        self.work = 0.0  # expected, over all its slots
        self.value = 0.0  # worth, by its expected work
        self.due = 0.0  # answered later, it is late
        self.patient_until = 0.0  # it may wait so long for a slot seen to free
        self.last_start = 0.0  # started later, it is expected to be late

    def lapses(self, by: float) -> bool:
        """Whether by that time a repeat is dropped no more, though an attempt may have run."""
        last = by - self.lane.repeat_window
        return self.lane.effect is pk.Effect.BY_KEY and any(f.may_have_run and f.sent < last for f in self.attempts)

    def spent(self, by: float) -> bool:
        """Whether it can have no further attempt by that time, whatever comes free."""
        return len(self.attempts) >= self.cap or self.lapses(by)

    def late_worth(self) -> float:
        """What it is worth after its aim, for each unit of work."""
        return 0.0 if self.over else self.lane.worth * self.lane.late_value


class Flight:
    """One attempt."""

    __slots__ = ("began", "heard", "job", "may_have_run", "mute", "out", "overrun", "sent", "waiting", "worker")

    def __init__(self, job: Job, worker: Worker, sent: float, waiting: bool) -> None:
        self.job, self.worker, self.sent, self.waiting = job, worker, sent, waiting
        self.out = self.may_have_run = True  # an attempt still out may have run
        self.heard = self.began = sent  # when it last told of its start or progress; when it began to run
        self.mute = False  # it has started, and told nothing for some periods
        self.overrun = False  # its limits have had it cancelled

    def hear(self, now: float) -> None:
        """Its worker tells of it."""
        self.worker.mute -= self.mute
        self.mute = self.worker.still = False
        self.heard = self.worker.heard = now


class Bucket:
    """A token bucket, filled at a rate along any clock that the caller counts."""

    __slots__ = ("_at", "_burst", "_level", "_rate")

    def __init__(self, burst: float, rate: float) -> None:
        self._burst = self._level = burst
        self._rate = rate
        self._at = 0.0

    def has(self, at: float) -> bool:
        """Whether a token is there at that time."""
        self._level = min(self._burst, self._level + (at - self._at) * self._rate)
        self._at = at
        return self._level >= 1

    @property
    def level(self) -> float:
        """The tokens there were when it was last asked."""
        return self._level

    def refill(self, level: float, at: float) -> None:
        """So many tokens at that time."""
        self._level, self._at = min(self._burst, level), at

    def take(self, at: float) -> bool:
        """Take a token; False if there is none."""
        taken = self.has(at)
        self._level -= taken
        return taken


class Lag:
    """How long the word of a start takes, where nothing holds it up: as RFC 6298 reckons round trips.

    What has to wait in a queue takes longer than the way and a handshake; how long those take is not told.
    """

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = self._deviation = -1.0

    def heard(self, took: float) -> None:
        """So long it took."""
        if self._mean < 0:
            self._mean, self._deviation = took, took / 2
        else:
            self._deviation += (abs(took - self._mean) - self._deviation) / 4
            self._mean += (took - self._mean) / 8

    def usual(self, most: float) -> float:
        """It rarely takes longer; ``most`` while nothing is known, and at most."""
        return most if self._mean < 0 else min(most, self._mean + 4 * self._deviation)


class Recent:
    """Amounts with their times, and what has come of them since a time."""

    __slots__ = ("_items", "_total")

    def __init__(self) -> None:
        self._items: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, at: float, amount: float) -> None:
        """So much at that time, never before the last."""
        self._items.append((at, amount))
        self._total += amount

    def items(self) -> list[tuple[float, float]]:
        """All that is remembered, oldest first."""
        return list(self._items)

    def total(self, since: float) -> float:
        """The sum of what came since; what is older is forgotten."""
        while self._items and self._items[0][0] < since:
            self._total -= self._items.popleft()[1]
        return self._total if self._items else 0.0


class Ledger:
    """Value asked for and won in each class, remembered over about a thousand jobs."""

    __slots__ = ("_asked", "_won")

    KEEP = 1 - 1 / 1024

    def __init__(self, classes: int) -> None:
        self._asked = [0.0] * classes
        self._won = [0.0] * classes

    def ask(self, cls: int, value: float) -> None:
        """A job of that value came."""
        self._asked = [self.KEEP * asked for asked in self._asked]
        self._won = [self.KEEP * won for won in self._won]
        self._asked[cls] += value

    def win(self, cls: int, value: float) -> None:
        """So much of what was asked for was answered."""
        self._won[cls] += value

    def part(self, cls: int) -> float:
        """The part of a class in the value asked for, above 0; 1 while its jobs are worth nothing."""
        return self._asked[cls] / (sum(self._asked) or 1.0) or 1.0

    def worst(self) -> int:
        """The class with the least won for what it asked."""
        shares = [won / asked if asked else 1.0 for won, asked in zip(self._won, self._asked, strict=True)]
        return shares.index(min(shares))


class Kind:
    """How many slots the workers of a kind have, by the free ones that they report, or by starts and waits."""

    __slots__ = ("low", "slots", "top")

    STEP = 1 / 8  # of the way to what a start or a wait shows: counts from peers are a little old
    LEARN = 1 / 16  # of the way to what a report shows

    def __init__(self, slots: float = 1.0) -> None:
        self.top = self.low = 1.0  # the most that were free at once; what report after report bears out
        self.slots = slots  # what is taken for it, while nothing is known

    def reported(self, free: float) -> None:
        """The most slots seen free; never idle, a worker never shows all, but the attempt had one too."""
        self.top = max(self.top, round(free))
        if round(free) > 0:
            self.low = min(free + 1, self.low + self.LEARN * (free + 1 - self.low))
        self.slots = float(max(self.top, round(self.low)))

    def started(self, busy: float) -> None:
        """A job has started, and with it so many slots are in use."""
        self.slots += self.STEP * max(0.0, busy - self.slots)

    def waited(self, busy: float) -> None:
        """A job has not started with so many slots in use; with fewer than half, the worker stands still."""
        if busy >= self.slots / 2:
            self.slots -= self.STEP * max(0.0, self.slots - busy)


class Peers:
    """What the dispatchers tell each other: slots of ours in flight at each worker, or sums of those.

    Counts and not changes, with the sender's clock, so that a loss heals and what comes late changes nothing.
    A sum tells of all ready workers in the order of their ids, half a byte each, under a checksum of those
    ids; lists of before are kept, as others may be behind.
    """

    __slots__ = (
        "_checksum", "_counts", "_heard", "_ids", "_parts", "_read_as", "_stamps", "born", "changed", "ended",
        "moved", "reads", "relaying", "relays", "roster", "told_at",
    )  # fmt: skip

    COUNTS, SUMS = b"c", b"s"  # what a message begins with
    STAMP = struct.Struct(">cd")  # before counts: the clock of who tells
    PAIR = struct.Struct(">IB")  # a worker, and the slots in flight there with how the last one there ended
    MOST, ENDED_WELL, ENDED_BADLY = 63, 64, 128
    HEAD = struct.Struct(">cIB")  # of sums: the checksum, and which part
    PAIRS, DIGITS, ROSTERS = 49, 496, 8  # pairs or digits in a message of at most 256 bytes; lists kept

    def __init__(self) -> None:
        self.changed: dict[int, Worker] = {}  # whose count of ours is not told yet
        self._counts: dict[tuple[int, int], tuple[int, float]] = {}  # slots and when told, oldest first
        self.ended: dict[int, int] = {}  # how ours ended there since, one of the codes
        self._stamps: dict[int, float] = {}  # the clock of each sender's last counts, and ours as they came
        self._heard: dict[int, float] = {}
        self.roster: list[Worker] = []
        self._checksum = 0
        self._ids: dict[int, array[int]] = {}  # the workers in the order of the sums, by checksum
        self._read_as = 0  # the checksum that the last sums had, and their parts
        self._parts: dict[int, str] = {}
        self.reads = 0  # sums read so far
        self.moved: Callable[[Worker], None] = lambda worker: None  # told when what is known of its load changes
        self.relays: dict[int, float] = {}  # when each relay was last heard
        self.relaying = False  # we are one
        self.born = self.told_at = 0.0

    def counts(self, now: float) -> bytes:
        """What there is to tell of ours, as far as it fits; the rest stays to be told."""
        told = list(self.changed.values())[: self.PAIRS]
        for worker in told:
            del self.changed[worker.id]
        codes = [min(self.MOST, round(w.own)) + self.ended.pop(w.id, 0) for w in told]
        pairs = [self.PAIR.pack(w.id, code) for w, code in zip(told, codes, strict=True)]
        return self.STAMP.pack(self.COUNTS, now) + b"".join(pairs)

    def hear(
        self, event: pk.PeerMessage, workers: dict[int, Worker], now: float
    ) -> list[tuple[Worker, bool]]:
        """Book what another dispatcher tells, and return how its attempts ended; True for badly.

        Bytes that make no sense, and unknown workers, are skipped.
        """
        kind = event.content[:1]
        outcomes: list[tuple[Worker, bool]] = []
        if kind == self.COUNTS and len(event.content) >= self.STAMP.size:
            _, stamp = self.STAMP.unpack_from(event.content)
            if stamp < self._stamps.get(event.peer, stamp):  # overtaken: a job told to run may have ended
                return outcomes
            self._stamps[event.peer], self._heard[event.peer] = stamp, now
            pairs, size = event.content[self.STAMP.size :], self.PAIR.size
            for worker_id, code in self.PAIR.iter_unpack(pairs[: len(pairs) // size * size]):
                worker = workers.get(worker_id)
                if worker is not None:
                    slots = code & self.MOST
                    if code > self.MOST:
                        outcomes.append((worker, code >= self.ENDED_BADLY))
                    worker.told += slots - self._counts.pop((event.peer, worker_id), (0, now))[0]
                    self.moved(worker)
                    if slots:
                        self._counts[event.peer, worker_id] = (slots, now)
        elif kind == self.SUMS:
            self.relays[event.peer] = now
            self.read(event.content, workers)
        return outcomes

    def book(self, peer: int, counts: dict[int, int], workers: dict[int, Worker], now: float) -> None:
        """Slots that somebody has in flight, as known from elsewhere than a message."""
        self._heard[peer] = now
        for worker_id, slots in counts.items():
            workers[worker_id].told += slots - self._counts.pop((peer, worker_id), (0, now))[0]
            self.moved(workers[worker_id])
            self._counts[peer, worker_id] = (slots, now)

    def forget(self, peer: int, workers: dict[int, Worker]) -> None:
        """Void all counts of one who has told them."""
        for key in [key for key in self._counts if key[0] == peer]:
            workers[key[1]].told -= self._counts.pop(key)[0]
            self.moved(workers[key[1]])

    def read(self, content: bytes, workers: dict[int, Worker]) -> None:
        """Take in a part of the sums; those of a list that is not known here are lost."""
        if len(content) < self.HEAD.size:
            return
        _, checksum, part = self.HEAD.unpack_from(content)
        ids = self._ids.get(checksum)
        if ids is None:
            return
        if checksum != self._read_as:
            self._read_as, self._parts = checksum, {}
            for worker in workers.values():
                self._set_level(worker, 0)
        first, digits = part * self.DIGITS, content[self.HEAD.size :].hex()
        before = self._parts.get(part, "0" * self.DIGITS)
        self._parts[part] = digits
        self.reads += 1
        if digits != before:
            longest = zip_longest(digits, before[: max(0, len(ids) - first)], fillvalue="0")
            for at, (new, old) in enumerate(longest, first):
                if new != old and at < len(ids) and (found := workers.get(ids[at])) is not None:
                    self._set_level(found, DIGIT[new])

    def _set_level(self, worker: Worker, level: int) -> None:
        if worker.level != level:
            worker.level, worker.suspect = level, level == SUSPECT
            self.moved(worker)

    def drop(self, worker_id: int) -> None:
        """A worker is forgotten, and with it what is told of it."""
        self.changed.pop(worker_id, None)
        self.ended.pop(worker_id, None)
        for key in [key for key in self._counts if key[1] == worker_id]:
            del self._counts[key]

    def void(self, before: float, workers: dict[int, Worker], retold: bool) -> None:
        """Drop counts last told before that time: all, if they are told again, else of the silent."""
        while self._counts:
            key = next(iter(self._counts))
            slots, at = self._counts[key]
            if at >= before:
                return
            del self._counts[key]
            if not retold and self._heard[key[0]] >= before:
                self._counts[key] = (slots, self._heard[key[0]])
            else:
                workers[key[1]].told -= slots
                self.moved(workers[key[1]])

    def relays_since(self, since: float) -> list[int]:
        """The relays heard since that time."""
        return [peer for peer, at in self.relays.items() if at > since]

    def relays_heard(self, before: int, count: int, now: float) -> float:
        """When so many relays of a position before that one were last heard; with fewer, when we began."""
        self.born = self.born or now
        heard = sorted((at for peer, at in self.relays.items() if peer < before), reverse=True)
        return heard[count - 1] if len(heard) >= count else self.born

    def list_ready(self, ready: list[Worker]) -> None:
        """The list has changed."""
        self.roster = sorted(ready, key=attrgetter("id"))
        ids = array("Q", [w.id for w in self.roster])
        self._checksum = crc32(struct.pack(f">{len(ids)}Q", *ids))
        self._ids = dict([*self._ids.items(), (self._checksum, ids)][-self.ROSTERS :])

    def sums(self, digits: list[int]) -> list[bytes]:
        """Messages with a digit below 16 for each worker of the roster."""
        text = "".join([HEX[digit] for digit in digits]) + "0"
        parts = [text[at : at + self.DIGITS] for at in range(0, len(digits), self.DIGITS)]
        return [
            self.HEAD.pack(self.SUMS, self._checksum, n) + bytes.fromhex(part[: len(part) // 2 * 2])
            for n, part in enumerate(parts)
        ]


class Agenda:
    """Things to do later, with as few timers at the host as will do."""

    __slots__ = ("_due", "_seq", "_timers")

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Callable[[Any, float], None], Any]] = []
        self._seq = 0
        self._timers: list[float] = []  # times of the timers that are out

    def at(self, when: float, what: Callable[[Any, float], None], whom: object) -> None:
        """Call ``what(whom, now)`` at that time, unless ``whom`` is a job that is over by then."""
        self._seq += 1
        heappush(self._due, (when, self._seq, what, whom))

    def fired(self) -> None:
        """A timer fired.  They fire in order, and the host may round one to just before its time."""
        if self._timers:
            heappop(self._timers)

    def run(self, now: float, jobs: dict[int, Job], out: list[pk.Action]) -> None:
        """Do what is due, drop what is over, and have a timer out for the earliest of the rest."""
        due = self._due
        while due:
            when, _, what, whom = due[0]
            if isinstance(whom, Job) and jobs.get(whom.id) is not whom:
                heappop(due)
            elif when <= now:
                heappop(due)
                what(whom, now)
            else:
                if not self._timers or when < self._timers[0]:
                    heappush(self._timers, when)
                    out.append(pk.SetTimer(when - now, 0))
                return


class State:
    """What a dispatcher holds, before anything has happened."""

    halls: Any  # what its host decides of whole halls, see heronlug.halls

    def __init__(self) -> None:
        self.retries = Bucket(0.0, 0.0)  # as the settings grant
        self.out: list[pk.Action] = []  # what is to be done about this event
        self.agenda, self.peers = Agenda(), Peers()
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
            w.id for w in self.workers.values()
            if w.state is not pk.WorkerState.READY or now < w.ejected_until
            or w.trials or w.still or w.suspect or w.closed
        }  # fmt: skip

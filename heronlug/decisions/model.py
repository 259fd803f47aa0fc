"""What a dispatcher keeps of servers, requests and attempts.  Nothing is decided here."""

from collections import deque

from heronlug import interface as pk

SUSPECT = 15  # the load level, in a summary, of a server that fails or whose zone is left
QUIET = 2.25  # periods without a word from a request: its server, or the way to it, stands still


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


class Worker:
    """What one dispatcher knows of a worker."""

    __slots__ = (
        "bad",
        "budget",
        "cell",
        "closed",
        "eased_at",
        "ejected_until",
        "ejections",
        "ended_at",
        "flights",
        "health",
        "heard",
        "id",
        "kind",
        "known_before",
        "level",
        "marked",
        "mean",
        "model",
        "moved",
        "moved_at",
        "mute",
        "n",
        "own",
        "place",
        "rank",
        "ranked",
        "recent",
        "started_at",
        "state",
        "still",
        "stuck_until",
        "suspect",
        "told",
        "trials",
        "trying",
        "users",
        "waiting",
        "zone",
    )

    HEALTH = 1 / 4  # of the way to how the last attempt ended

    def __init__(self, entry: pk.WorkerEntry, model: Kind) -> None:
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
        "attempts",
        "cap",
        "cls",
        "due",
        "faulted",
        "give_up_at",
        "harmless",
        "id",
        "lane",
        "last_start",
        "need",
        "not_before",
        "once",
        "over",
        "patient_until",
        "room",
        "size",
        "value",
        "work",
    )

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

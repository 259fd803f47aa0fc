"""The public interface of heronlug: settings, events and actions.

A host builds one :class:`Settings`, makes one ``Dispatcher(settings, seed)`` and calls
``handle(now, event)`` for every event, in the order in which they happened.  The call returns the
list of actions to carry out, in order.  All times and spans are milliseconds on one clock that only
goes forward; ids are integers chosen by the host.  An instance is not thread-safe: one instance, one
caller.  Nothing here does I/O, and nothing here decides.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple

FORGET_AFTER = 120_000.0
"""Milliseconds after which a worker that has left is forgotten: listed again later, it is a new one."""


class Effect(Enum):
    """What may be done with a job of a class once it might have run."""

    REPEATABLE = "repeatable"  # send it as often as you like
    BY_KEY = "by_key"  # repeats are dropped inside one group of workers, for a while
    ONCE = "once"  # never again, unless every earlier attempt provably never ran


class KeyScope(Enum):
    """The group of workers that drops repeats of a ``BY_KEY`` job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(IntEnum):
    """What the list says of a worker."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a :class:`WorkerList` holds."""

    CACHED = 0  # the whole list as last held before a restart, perhaps stale
    CHANGES = 1
    FULL = 2  # who is missing is gone
    FAILED = 3  # an ask failed or a subscription broke; the list held so far stays


class Outcome(IntEnum):
    """How an attempt ended."""

    SERVED = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8
    UNUSABLE = 9  # the worker finds fault with the job itself; a host's own, no simulator tells it


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})
"""Outcomes that prove that the attempt did not run; all others, and none yet, mean it may have."""


class NoteKind(IntEnum):
    """News of an attempt that is still out."""

    STARTED = 1
    PROGRESS = 2


# -- settings ---------------------------------------------------------------------------------------


def _require(ok: bool, key: str, value: object) -> None:
    if not ok:
        raise ValueError(f"{key}: {value!r} is out of range")


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs: what an answer is worth, and what its effect allows."""

    aim: float  # answers within this earn full worth
    deadline: float
    effect: Effect = Effect.ONCE
    stretch: float = 0.0  # the aim grows by this many times the work of the job
    worth: float = 1.0
    late_value: float = 0.0  # part of the worth for an answer after the aim
    key_scope: KeyScope = KeyScope.ALL
    repeat_window: float = 0.0
    worker_kind: int = -1  # the kind of worker it needs, or -1
    name: str = ""  # for people only
    # -- limits that operators may set; as they stand here, the settings alone hold
    attempts: int = 0  # at most so many, 0 for as many as the settings allow
    attempt_timeout: float = 0.0  # an attempt is waited for this long, 0 for as long as the job has
    again: bool = True  # after that time-out another attempt may follow, where the effect allows it
    waits: tuple[float, ...] = ()  # before the 2nd, 3rd ... attempt; the last holds for all further ones
    second_copy: bool = True  # a copy may go out beside an attempt, where the settings and the effect allow it
    second_copy_after: float = 0.0  # so long after an attempt that has not ended; 0 for when it seems stuck
    give_up: float = 0.0  # the longest that a job is waited for, 0 for its deadline

    def __post_init__(self) -> None:
        for key in ("aim", "deadline"):
            _require(getattr(self, key) > 0, key, getattr(self, key))
        for key in ("stretch", "worth", "late_value", "repeat_window"):
            _require(getattr(self, key) >= 0, key, getattr(self, key))
        for key in ("attempts", "attempt_timeout", "second_copy_after", "give_up"):
            _require(getattr(self, key) >= 0, key, getattr(self, key))
        _require(all(wait >= 0 for wait in self.waits), "waits", self.waits)

    def wait_before(self, number: int) -> float:
        """The wait before an attempt, counted from 0; there is none before the first."""
        return self.waits[min(number, len(self.waits)) - 1] if self.waits and number else 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a dispatcher is told when it starts.  Raises ``ValueError`` naming a bad key."""

    classes: tuple[JobClass, ...]
    instances: int = 1  # dispatchers that share the workers, this one included
    position: int = 0  # which of them this one is, from 0
    zone: int = 0
    tenants: tuple[str, ...] = ()  # names, in the order of their quotas
    quotas: tuple[float, ...] = ()  # jobs a second of each tenant's share, over all instances
    report_fields: tuple[str, ...] = ()  # names of the values of a load report
    list_pushed: bool = False  # list changes come without asking
    ask_every: float = 10_000.0  # without a subscription, ask at least this often
    attempts_cap: int = 3
    second_copies: bool = False  # two attempts of a job may be out at once
    may_cancel: bool = False
    may_tell: bool = False  # dispatchers may send each other short messages
    dial_timeout: float = 250.0
    tick: float = 1.0  # the host's step of time
    answer_slack: float = 0.0
    progress_every: float = 0.0  # time between progress notes, 0 for none
    tells_start: bool = False
    drain_grace: float = 0.0
    cold_from: float = 1.0  # share of its capacity that a fresh worker has at least
    warm_after: float = 0.0  # it has all of it after this time at most
    tip_multiple: float = 1.0  # more than this times its present capacity ...
    overload_for: float = 1000.0  # ... for this long makes it fall over
    cross_zone_price: float = 0.0  # price of a send to another zone, in worth of a job
    worst_class: float = 0.0  # weight of the worst-served class in the goal, of 1 for all of the goal
    cpu_per_request: float = 0.0  # CPU that a job with its outcomes may take, in microseconds; 0 is no limit
    retry_share: float = 0.2  # retries may be this share of the jobs ...
    retry_burst: float = 20.0  # ... and so many at once
    halls: bool = False  # a hall that fails as one is left as one, and returned to in stages
    lends: bool = False  # dispatchers lend each other their parts of what cold workers bear
    waste_price: float = 0.0  # price of work that served no answer, in worth of that work

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", self.classes)
        for key in ("instances", "attempts_cap"):
            _require(getattr(self, key) >= 1, key, getattr(self, key))
        for key in ("ask_every", "dial_timeout", "tick", "tip_multiple", "overload_for"):
            _require(getattr(self, key) > 0, key, getattr(self, key))
        for key in ("progress_every", "drain_grace", "warm_after", "answer_slack"):
            _require(getattr(self, key) >= 0, key, getattr(self, key))
        _require(0 <= self.worst_class <= 1, "worst_class", self.worst_class)
        _require(0 < self.cold_from <= 1, "cold_from", self.cold_from)

    def cap(self, lane: JobClass) -> int:
        """The most attempts that a job of a class may have."""
        return min(lane.attempts or self.attempts_cap, self.attempts_cap)


# -- events -----------------------------------------------------------------------------------------


class WorkerEntry(NamedTuple):
    """One worker in a list.  A new ``started_at`` means a fresh, cold process."""

    worker: int
    state: WorkerState = WorkerState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0  # 0: long past


class WorkerList(NamedTuple):
    """News of the list of workers."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


class JobArrived(NamedTuple):
    """A client's job; it is owed exactly one final answer by ``give_up_at``."""

    job: int
    job_class: int
    give_up_at: float
    slots: float = 1.0
    memory: float = 0.0
    hint: float = 0.0  # estimated work at speed 1, 0 for unknown
    tenant: int = 0
    key: int = 0
    retry: bool = False
    terms: JobClass | None = None  # its class as it was accepted; None for as the settings say now


class AttemptEnded(NamedTuple):
    """The one outcome of an attempt.  ``final``: the job is finished, here or earlier."""

    job: int
    attempt: int
    worker: int
    outcome: int
    latency: float
    final: bool
    report: tuple[float, ...] = ()  # values in the order of ``Settings.report_fields``


class Note(NamedTuple):
    """An attempt still out has started, or has done a share of its work."""

    job: int
    attempt: int
    worker: int
    kind: int
    done: float = 0.0


class AnswerStarted(NamedTuple):
    """A streamed answer has begun; the attempt belongs to the client now."""

    job: int
    attempt: int
    worker: int
    latency: float


class ClientGone(NamedTuple):
    """The client has left; nothing is owed for the job any more."""

    job: int


class NoTimeLeft(NamedTuple):
    """The host can wait no longer for the job: it wants the final answer now.  No simulator tells it."""

    job: int


class Attempt(NamedTuple):
    """An attempt of a job that goes over to another process; all of them go, in their order."""

    worker: int
    sent: float
    out: bool
    waiting: bool  # told not to have started yet
    may_have_run: bool
    heard: float  # when it last told of its start or progress


class JobAdopted(NamedTuple):
    """A job that another process took at that time, with its attempts: they go on.  No simulator tells it."""

    job: JobArrived
    taken_at: float
    attempts: tuple[Attempt, ...]
    not_before: float = 0.0  # it waits until then for its next attempt


class JobPassedOn(NamedTuple):
    """Another process goes on with the job: nothing is owed, and nothing has ended.  No simulator tells it."""

    job: int


class PeerGone(NamedTuple):
    """What a peer has told of its attempts holds no more.  No simulator tells it."""

    peer: int


class PeerMessage(NamedTuple):
    """Bytes told by another dispatcher."""

    peer: int
    content: bytes


class ProbeResult(NamedTuple):
    """What a probe found."""

    worker: int
    outcome: int
    latency: float
    report: tuple[float, ...] = ()


class TimerFired(NamedTuple):
    """A timer set by :class:`SetTimer` has come due."""

    token: int


Event = (
    WorkerList
    | JobArrived
    | AttemptEnded
    | Note
    | AnswerStarted
    | ClientGone
    | NoTimeLeft
    | JobAdopted
    | JobPassedOn
    | PeerGone
    | PeerMessage
    | ProbeResult
    | TimerFired
)

# -- actions ----------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start the job's next attempt; attempts are numbered 0, 1, 2 ... in this order."""

    job: int
    worker: int


class Reason(Enum):
    """Why the module gives a job up: for the log, nothing follows from it."""

    NO_TIME = "no_time"  # its client's time is over, or there is none left for an attempt
    NO_ATTEMPT = "no_attempt"  # it may have no further one: the cap, or its window for repeats
    MAY_HAVE_RUN = "may_have_run"  # an attempt ended unknown, and it must not run twice
    FAULTY = "faulty"  # servers find fault with the job itself
    HOPELESS = "hopeless"  # it would be worth nothing when it could end
    MOOT = "moot"  # its attempt could not begin any more
    OVERRUN = "overrun"  # its limits had the attempt cancelled, and allow no other
    SHUTDOWN = "shutdown"  # the process ends


class Refuse(NamedTuple):
    """Final answer: a retry is harmless."""

    job: int
    reason: Reason = Reason.NO_TIME


class Fail(NamedTuple):
    """Final answer: nothing is promised."""

    job: int
    reason: Reason = Reason.NO_TIME


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    job: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for :class:`TimerFired` after ``delay``."""

    delay: float
    token: int


class Subscribe(NamedTuple):
    """Ask the list service for changes from now on."""


class Tell(NamedTuple):
    """Send at most 256 bytes to another dispatcher, or with ``peer`` -1 to every other one."""

    content: bytes
    peer: int = -1


class Log(NamedTuple):
    """A line for the people on call."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Subscribe | Tell | Log

__all__ = [
    "FORGET_AFTER",
    "NEVER_RAN",
    "Action",
    "AnswerStarted",
    "Attempt",
    "AttemptEnded",
    "Cancel",
    "ClientGone",
    "Effect",
    "Event",
    "Fail",
    "JobAdopted",
    "JobArrived",
    "JobClass",
    "JobPassedOn",
    "KeyScope",
    "ListKind",
    "Log",
    "Note",
    "NoteKind",
    "Outcome",
    "PeerGone",
    "PeerMessage",
    "ProbeResult",
    "Reason",
    "Refuse",
    "Send",
    "SetTimer",
    "Settings",
    "Subscribe",
    "Tell",
    "TimerFired",
    "WorkerEntry",
    "WorkerList",
    "WorkerState",
]

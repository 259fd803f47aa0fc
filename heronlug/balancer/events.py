"""Events that a dispatcher is told of, in the order in which they happened.

The numbers of the enumerations stand on the wire of the platform's simulator (:mod:`heronlug.adapter`), which plays all
but a few of these events.

All times and spans are milliseconds on one clock that only goes forward; ids are integers chosen by the caller.
"""

from enum import IntEnum
from typing import NamedTuple

from heronlug.balancer.settings import RequestClass

FORGET_AFTER = 120_000.0
"""Milliseconds after which a server that was removed is forgotten: listed again later, it is a new one."""


class ServerState(IntEnum):
    """What the endpoint list says of a server."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a :class:`ServerListUpdate` holds."""

    CACHED = 0
    """The whole list as last held before a restart, perhaps stale."""

    CHANGES = 1
    """Entries that have changed."""

    FULL = 2
    """The whole list: a server that is missing is removed."""

    FAILED = 3
    """Nothing: a poll failed or a subscription broke, and the list held so far stays."""


class Outcome(IntEnum):
    """How an attempt ended."""

    SERVED = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    CANCELLED_BEFORE_START = 8
    """Nothing was sent; the protocol calls it moot."""

    REJECTED_BY_SERVER = 9
    """The server finds fault with the request itself; the simulator has no such outcome."""

    @property
    def log_name(self) -> str:
        """Its name in the log, as the pages for people on call give it."""
        return _LOG_NAMES.get(self, self.name.lower())


_LOG_NAMES = {Outcome.CANCELLED_BEFORE_START: "moot", Outcome.REJECTED_BY_SERVER: "unusable"}

NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.CANCELLED_BEFORE_START})
"""Outcomes that prove that the attempt did not run; all others, and none yet, mean that it may have."""


class ProgressKind(IntEnum):
    """What a server reports of an attempt in flight."""

    STARTED = 1
    PROGRESS = 2


class ServerEntry(NamedTuple):
    """One server in the endpoint list.

    Attributes:
        server: its number.
        state: what the list says of it.
        zone: the number of its zone.
        kind: the number of its machine type.
        cell: the number of its cell within the zone.
        weight: its weight.
        started_at: when its process started, 0 for long past; a new time means a fresh process that warms up.
    """

    server: int
    state: ServerState = ServerState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0


class ServerListUpdate(NamedTuple):
    """An update of the endpoint list."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


class RequestArrived(NamedTuple):
    """A client's request; it is owed exactly one final answer by ``give_up_at``.

    Attributes:
        request: its id.
        request_class: the index of its class.
        give_up_at: the latest time for its final answer.
        slots: slots that it takes at a server.
        memory: units of memory that it takes; a server has one for each slot.
        work_hint: estimated work at speed 1, 0 for unknown.
        tenant: the index of its tenant.
        key: a hash of its idempotency key.
        retry: the client has sent it before.
        policy: its class as it was accepted; None for as the settings say now.
    """

    request: int
    request_class: int
    give_up_at: float
    slots: float = 1.0
    memory: float = 0.0
    work_hint: float = 0.0
    tenant: int = 0
    key: int = 0
    retry: bool = False
    policy: RequestClass | None = None


class AttemptEnded(NamedTuple):
    """The one end of an attempt.

    Attributes:
        request: the request's id.
        attempt: the attempt's number, from 0.
        server: the server's number.
        outcome: how it ended.
        latency: ms from its start to its end.
        final: the request has its final answer, by this end or earlier.
        report: the server's load report, in the order of ``Settings.report_fields``.
    """

    request: int
    attempt: int
    server: int
    outcome: int
    latency: float
    final: bool
    report: tuple[float, ...] = ()


class AttemptProgress(NamedTuple):
    """An attempt in flight has started, or has done a share of its work."""

    request: int
    attempt: int
    server: int
    kind: int
    work_done: float = 0.0


class AnswerStarted(NamedTuple):
    """A streamed answer has begun; the dispatcher ignores it."""

    request: int
    attempt: int
    server: int
    latency: float


class ClientGone(NamedTuple):
    """The client has left; nothing is owed for the request any more."""

    request: int


class FinalAnswerDue(NamedTuple):
    """The host can wait no longer for the request: it wants the final answer now.  The simulator never sends it."""

    request: int


class AttemptSnapshot(NamedTuple):
    """An attempt of a request that goes over to another process; all of them go, in their order.

    Attributes:
        server: the server's number.
        sent_at: when it was sent.
        in_flight: it has not ended.
        unstarted: it has not reported a start, where servers report starts.
        may_have_run: nothing proves that it never ran.
        last_progress_at: when it last reported its start or progress.
    """

    server: int
    sent_at: float
    in_flight: bool
    unstarted: bool
    may_have_run: bool
    last_progress_at: float


class RequestAdopted(NamedTuple):
    """A request that another process accepted, with its attempts: they go on.  The simulator never sends it.

    Attributes:
        arrival: the request.
        accepted_at: when it was accepted.
        attempts: its attempts.
        not_before: when its backoff before the next attempt ends.
    """

    arrival: RequestArrived
    accepted_at: float
    attempts: tuple[AttemptSnapshot, ...]
    not_before: float = 0.0


class RequestHandedOver(NamedTuple):
    """Another process goes on with the request: nothing is owed.  The simulator never sends it."""

    request: int


class PeerGone(NamedTuple):
    """What a peer has reported of its attempts holds no more.  The simulator never sends it."""

    peer: int


class PeerMessage(NamedTuple):
    """Bytes from another dispatcher."""

    peer: int
    content: bytes


class ProbeResult(NamedTuple):
    """The result of a health check; the dispatcher ignores it."""

    server: int
    outcome: int
    latency: float
    report: tuple[float, ...] = ()


class TimerFired(NamedTuple):
    """A timer of :class:`heronlug.balancer.actions.SetTimer` has come due."""

    token: int


Event = (
    ServerListUpdate
    | RequestArrived
    | AttemptEnded
    | AttemptProgress
    | AnswerStarted
    | ClientGone
    | FinalAnswerDue
    | RequestAdopted
    | RequestHandedOver
    | PeerGone
    | PeerMessage
    | ProbeResult
    | TimerFired
)

"""Defines the events that a host passes to a dispatcher, in the order in which they occurred.

The platform's simulator sends most of these events and uses the numbers of the enumerations on the wire
(:mod:`heronlug.adapter`).

All times and durations are milliseconds on one monotonic clock; ids are integers chosen by the caller.
"""

from enum import IntEnum
from typing import NamedTuple

from heronlug.balancer.settings import RequestClass

FORGET_AFTER = 120_000.0
"""Time in ms after which the state of a removed server is discarded; if listed again later, the server is a new one."""


class ServerState(IntEnum):
    """State of a server in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """Content of a :class:`ServerListUpdate`."""

    CACHED = 0
    """The whole list as cached before a restart; the list may be stale."""

    CHANGES = 1
    """Only the entries that have changed."""

    FULL = 2
    """The whole list; a server that is missing from the list is removed."""

    FAILED = 3
    """No entries: a poll failed or a watch ended with an error, and the current list stays in use."""


class Outcome(IntEnum):
    """Result of an attempt."""

    SERVED = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    CANCELLED_BEFORE_START = 8
    """The attempt ended before anything was sent; the protocol calls this outcome ``moot``."""

    REJECTED_BY_SERVER = 9
    """The server rejected the request as invalid; the simulator has no such outcome."""

    @property
    def log_name(self) -> str:
        """Name of the outcome in the log, as the operator documentation lists it."""
        return _LOG_NAMES.get(self, self.name.lower())


_LOG_NAMES = {Outcome.CANCELLED_BEFORE_START: "moot", Outcome.REJECTED_BY_SERVER: "unusable"}

NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.CANCELLED_BEFORE_START})
"""Outcomes that prove that the attempt did not run.

With any other outcome, or while the attempt has no outcome yet, the attempt may have run.
"""


class ProgressKind(IntEnum):
    """Report of a server about an attempt in flight."""

    STARTED = 1
    PROGRESS = 2


class ServerEntry(NamedTuple):
    """One server in the endpoint list.

    Attributes:
        server: the number of the server.
        state: whether the server is ready, draining or removed.
        zone: the number of the server's zone.
        kind: the number of the server's machine type.
        cell: the number of the server's cell within the zone.
        weight: the server's weight.
        started_at: start time of the server's process in ms, 0 if long past; a new time means a new process that has to
            warm up.
    """

    server: int
    state: ServerState = ServerState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0


class ServerListUpdate(NamedTuple):
    """An update of the endpoint list.

    Attributes:
        kind: what the entries are.
        entries: the listed servers.
    """

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


class RequestArrived(NamedTuple):
    """A request of a client has arrived; exactly one final answer is due by ``give_up_at``.

    Attributes:
        request: the id of the request.
        request_class: the index of the request class in the settings.
        give_up_at: the latest time in ms for the final answer.
        slots: slots that the request occupies at a server.
        memory: units of memory that the request occupies; a server has one unit for each slot.
        work_hint: estimated work in ms at speed 1, 0 if unknown.
        tenant: the index of the tenant.
        key: a hash of the idempotency key.
        retry: whether the client has sent this request before.
        policy: the request class at the time of admission; None for the class in the current settings.
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
    """An attempt has ended; each attempt ends exactly once.

    Attributes:
        request: the id of the request.
        attempt: the number of the attempt, from 0.
        server: the number of the server.
        outcome: the result of the attempt, an :class:`Outcome`.
        latency: time in ms from the start of the attempt to its end.
        final: whether the request has its final answer, from this attempt or from an earlier one.
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
    """An attempt in flight has started, or has completed a share of its work.

    Attributes:
        request: the id of the request.
        attempt: the number of the attempt, from 0.
        server: the number of the server.
        kind: whether the attempt started or progressed, a :class:`ProgressKind`.
        work_done: completed share of the work, from 0 to 1.
    """

    request: int
    attempt: int
    server: int
    kind: int
    work_done: float = 0.0


class AnswerStarted(NamedTuple):
    """The first part of a streamed answer has arrived; the dispatcher ignores this event."""

    request: int
    attempt: int
    server: int
    latency: float


class ClientGone(NamedTuple):
    """The client has disconnected; the request needs no final answer."""

    request: int


class FinalAnswerDue(NamedTuple):
    """The host requires the final answer of the request now.  The simulator never sends this event."""

    request: int


class AttemptSnapshot(NamedTuple):
    """State of an attempt in a handover to another process, which receives all attempts of a request in their order.

    Attributes:
        server: the number of the server.
        sent_at: time in ms at which the attempt was sent.
        in_flight: whether the attempt has not ended.
        unstarted: whether the server has yet to report the start of the attempt; False if servers report no starts.
        may_have_run: whether the attempt may have run, as no outcome proves the opposite.
        last_progress_at: time in ms of the last report of a start or of progress.
    """

    server: int
    sent_at: float
    in_flight: bool
    unstarted: bool
    may_have_run: bool
    last_progress_at: float


class RequestAdopted(NamedTuple):
    """This process takes over a request that another process accepted; attempts in flight continue.

    The simulator never sends this event.

    Attributes:
        arrival: the request as it arrived.
        accepted_at: time in ms at which the other process accepted the request.
        attempts: all attempts so far, in their order.
        not_before: end in ms of the backoff before the next attempt, 0 for no backoff.
    """

    arrival: RequestArrived
    accepted_at: float
    attempts: tuple[AttemptSnapshot, ...]
    not_before: float = 0.0


class RequestHandedOver(NamedTuple):
    """Another process has taken over the request and gives its final answer.  The simulator never sends this event."""

    request: int


class PeerGone(NamedTuple):
    """The load reports of a peer are no longer valid.  The simulator never sends this event."""

    peer: int


class PeerMessage(NamedTuple):
    """A message from another dispatcher."""

    peer: int
    content: bytes


class ProbeResult(NamedTuple):
    """A health check has ended; the dispatcher ignores this event."""

    server: int
    outcome: int
    latency: float
    report: tuple[float, ...] = ()


class TimerFired(NamedTuple):
    """A timer set by :class:`heronlug.balancer.actions.SetTimer` has expired."""

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

"""Defines requests, attempts and servers as the core stores them.  All times are milliseconds."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from heronlug.balancer.events import ServerEntry, ServerState
from heronlug.balancer.settings import Effect, RequestClass
from heronlug.requests.deadlines import Key


class FinalAnswer(Enum):
    """The kinds of final answer; the values appear in logs and metrics."""

    SERVED = "served"
    REFUSED = "refused"
    """The client may send the request again, because nothing has run or a second run is harmless."""

    FAILED = "failed"
    """The request may or may not have run; no guarantee is given."""


class RejectReason(Enum):
    """The reasons to reject a request without asking the balancer; the values appear in logs."""

    EXPIRED = "expired"
    """The deadline of the request had passed on arrival."""

    TOO_MANY_OPEN = "too_many_open"
    """The limit of open requests is exceeded."""

    NOT_ADMITTED = "not_admitted"
    """A plug-in rejects the request."""

    NO_RECORD = "no_record"
    """There is no memory to remember the id of a request that must not run twice."""


class ListedServer(NamedTuple):
    """A server as one entry of the endpoint list describes the server.

    Attributes:
        name: Name of the server, the same at every dispatcher.
        address: Host and port.
        state: State of the server according to the endpoint list.
        zone: Number of the zone.
        kind: Number of the machine type.
        cell: Number of the cell within the zone.
        weight: Weight of the server in the endpoint list.
        started_at: Start time of the server process; 0 if the start was long ago.
    """

    name: str
    address: str
    state: ServerState = ServerState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """A server with the state from the last update of the endpoint list.

    Attributes:
        number: Number of the server, the same at every dispatcher.
        entry: Last entry of the server in the endpoint list.
        draining_since: Time at which this dispatcher was notified that the server is draining or removed; None if the
            server is ready.
    """

    number: int
    entry: ListedServer
    draining_since: float | None = None

    @property
    def ready(self) -> bool:
        """Returns whether new attempts may be sent to the server."""
        return self.draining_since is None

    @property
    def listed(self) -> bool:
        """Returns whether the endpoint list contains the server."""
        return self.entry.state is not ServerState.REMOVED

    def as_entry(self) -> ServerEntry:
        """Returns the entry of the server in the form that the balancer uses."""
        _, _, state, zone, kind, cell, weight, started_at = self.entry
        return ServerEntry(self.number, state, zone, kind, cell, weight, started_at)


@dataclass(slots=True, eq=False)
class Request:
    """A client's request until the final answer has been sent and the last attempt has ended.

    Attributes:
        payload: Data of the frontend: what to send to servers, and which client to answer.
        class_index: Index of the request class in the settings.
        policy: Request class with the limits at acceptance; later changes of the limits do not apply.
        give_up_at: Latest time for the final answer.
        accepted_at: Time of acceptance.
        request_id: Id that the client gave the request, unique among open requests; empty if there is none.
        handle: Handle of the request in the table of requests.
        final_answer: Final answer that was given; None if there is none yet.
        client_gone: Whether the client has disconnected, or another process continues the request, so that this
            process gives no final answer.
        attempts: Attempts in the order of their numbers.
        deadline_key: Key of the deadline at ``give_up_at``.
        withdraw_offer: Takes the request back while it is offered to another process; None while it is not.
        holds_record: Whether room for its record among the past requests is reserved.
        continued_elsewhere: Whether another process continues the request, which may run there.
    """

    payload: Any
    class_index: int
    policy: RequestClass
    give_up_at: float
    accepted_at: float
    request_id: str = ""
    handle: int = 0
    final_answer: FinalAnswer | None = None
    client_gone: bool = False
    attempts: list["Attempt"] = field(default_factory=list)
    deadline_key: Key | None = None
    withdraw_offer: Callable[[], None] | None = None
    holds_record: bool = False
    continued_elsewhere: bool = False

    @property
    def closed(self) -> bool:
        """Returns whether the request needs no final answer from this process any longer."""
        return self.client_gone or self.final_answer is not None

    def keep(self) -> None:
        """Takes the request back if it is offered to another process, because this process has to act on it."""
        if self.withdraw_offer is not None:
            self.withdraw_offer()

    @property
    def hosts_in_flight(self) -> list[str]:
        """Returns the names of the servers of the attempts in flight, in the order of the attempts."""
        return [attempt.server.entry.name for attempt in self.attempts if attempt.in_flight]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a server.

    Attributes:
        request: Request of the attempt.
        number: Index among the attempts of the request, from 0.
        server: Server that the attempt is sent to.
        sent_at: Time of sending.
        handle: Handle of the attempt in the table of attempts.
        in_flight: Whether the attempt has not ended.
        may_have_run: Whether the attempt may have run or may still run; False only if its outcome proves that the
            server never ran the attempt.
        exchange: Data of the backend, such as the connection of the attempt.
        incomplete: Whether the attempt was cancelled before its last byte was written, so that it cannot have run.
    """

    request: Request
    number: int
    server: Server
    sent_at: float
    handle: int = 0
    in_flight: bool = True
    may_have_run: bool = True
    exchange: Any = None
    incomplete: bool = False

    def repeat_window_open(self, now: float) -> bool:
        """Returns whether servers still recognize this attempt as a repeat of the earlier ones.

        Servers deduplicate requests that are idempotent by key only within the repeat window.  The window is checked
        again before the write because dialling the server uses up part of the window.  The result is always True for
        request classes with another effect.
        """
        policy = self.request.policy
        if policy.effect is not Effect.IDEMPOTENT_BY_KEY:
            return True
        earlier = self.request.attempts[: self.number]
        return all(now - other.sent_at <= policy.repeat_window for other in earlier if other.may_have_run)


class Workload(NamedTuple):
    """The work of a request as stated by the client.

    Attributes:
        slots: Number of slots that the request occupies at a server.
        memory: Units of memory that the request occupies; a server has one unit for each slot.
        work_hint: Estimated work at speed 1; 0 if unknown.
        tenant: Index of the tenant.
        key: Hash of the idempotency key; 0 if there is none.
        retry: Whether the client has sent the request before.
    """

    slots: float = 1.0
    memory: float = 0.0
    work_hint: float = 0.0
    tenant: int = 0
    key: int = 0
    retry: bool = False


def allowed_ms(policy: RequestClass, stated_ms: float | None) -> float:
    """Returns the time in ms that a request may take.

    What the client states may shorten the deadline of the class, and never lengthens it.

    Args:
        policy: the request class.
        stated_ms: the time in ms that the client states; None if it states none.
    """
    return policy.deadline if stated_ms is None else min(stated_ms, policy.deadline)

"""Requests, attempts and servers as the owner of requests keeps them.  All times are milliseconds."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from heronlug.balancer.events import ServerEntry, ServerState
from heronlug.balancer.settings import Effect, RequestClass
from heronlug.requests.deadlines import Key


class FinalAnswer(Enum):
    """The kinds of final answer; the values stand in the log and in figures."""

    SERVED = "served"
    REFUSED = "refused"
    """The client may send the request again: nothing has run, or a second run does no harm."""

    FAILED = "failed"
    """Nothing is promised."""


class RejectReason(Enum):
    """Why a request is rejected without asking the balancer; the values stand in the log."""

    EXPIRED = "expired"
    """No time was left when it came."""

    TOO_MANY_OPEN = "too_many_open"
    """The limit of open requests is reached."""

    NOT_ADMITTED = "not_admitted"
    """A plug-in does not admit it."""


class ListedServer(NamedTuple):
    """One entry of the endpoint list, by the server's name.

    Attributes:
        name: its name, the same at every dispatcher.
        address: host and port.
        state: what the list says of it.
        zone: the number of its zone.
        kind: the number of its machine type.
        cell: the number of its cell within the zone.
        weight: its weight.
        started_at: when its process started; 0 for long past.
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
    """A server as the endpoint list last told of it.

    Attributes:
        number: its number, the same at every dispatcher.
        entry: its entry in the list.
        draining_since: when this dispatcher was notified that it drains or was removed.
    """

    number: int
    entry: ListedServer
    draining_since: float | None = None

    @property
    def ready(self) -> bool:
        """Whether it may be sent anything new."""
        return self.draining_since is None

    @property
    def listed(self) -> bool:
        """Whether the endpoint list holds it."""
        return self.entry.state is not ServerState.REMOVED

    def as_entry(self) -> ServerEntry:
        """Its entry, as the balancer takes it."""
        _, _, state, zone, kind, cell, weight, started_at = self.entry
        return ServerEntry(self.number, state, zone, kind, cell, weight, started_at)


@dataclass(slots=True, eq=False)
class Request:
    """A client's request until its final answer has gone out and its last attempt has ended.

    Attributes:
        payload: the frontend's own: what to send, and whom to answer.
        class_index: the index of its class in the settings.
        policy: its class with the limits that it was accepted under, whatever is set later.
        give_up_at: the latest time for its final answer.
        accepted_at: when it was accepted.
        request_id: the client's own id for it; no two open ones may have the same.
        handle: its handle in the table of requests.
        final_answer: the answer that was given, if any.
        client_gone: the client has left, or another process goes on with it: nothing is owed.
        attempts: its attempts, in the order of their numbers.
        deadline_key: of the deadline at ``give_up_at``.
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

    @property
    def closed(self) -> bool:
        """Whether nothing is owed any more."""
        return self.client_gone or self.final_answer is not None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a server.

    Attributes:
        request: its request.
        number: from 0, in the order of the request's attempts.
        server: where it is sent.
        sent_at: when it was sent.
        handle: its handle in the table of attempts.
        in_flight: it has not ended.
        may_have_run: it may have run, or may yet, unless its end proves that it never did.
        exchange: the backend's own: the connection that it is on.
    """

    request: Request
    number: int
    server: Server
    sent_at: float
    handle: int = 0
    in_flight: bool = True
    may_have_run: bool = True
    exchange: Any = None

    def repeat_window_open(self, now: float) -> bool:
        """Whether servers still drop a repeat, where they do so for a while only; a dial takes some of that time."""
        policy = self.request.policy
        if policy.effect is not Effect.IDEMPOTENT_BY_KEY:
            return True
        earlier = self.request.attempts[: self.number]
        return all(now - other.sent_at <= policy.repeat_window for other in earlier if other.may_have_run)


class Workload(NamedTuple):
    """What a client tells of the work of a request.

    Attributes:
        slots: slots that it takes at a server.
        memory: units of memory that it takes; a server has one for each slot.
        work_hint: estimated work at speed 1, 0 for unknown.
        tenant: the index of its tenant.
        key: a hash of its idempotency key, 0 for none.
        retry: the client has sent it before.
    """

    slots: float = 1.0
    memory: float = 0.0
    work_hint: float = 0.0
    tenant: int = 0
    key: int = 0
    retry: bool = False

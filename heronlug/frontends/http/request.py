"""Defines the HTTP request of a client and selects the headers that are forwarded to a server."""

from dataclasses import dataclass, field
from typing import Protocol

from heronlug.memory.account import MemoryAccount, Reservation
from heronlug.memory.holders import Holder
from heronlug.requests.model import Workload

FORWARDED_HEADERS = (b"x-txn", b"idempotency-key", b"x-lane", b"x-labels", b"x-resent", b"x-org")
"""Names of the headers that are forwarded to a server, in the order in which they are sent."""

NO_CLASS = -1
"""Class index of a request that the dispatcher answers itself, without a server."""


REQUEST_BYTES = 4 * 1024
"""Memory of a request with its headers and its attempts, without its body, in bytes."""


class AnswerableConnection(Protocol):
    """Interface of the connection on which a request was received."""

    @property
    def has_unanswered_input(self) -> bool:
        """Returns whether the client has sent unanswered input."""

    @property
    def client_connected(self) -> bool:
        """Returns whether the client has not closed its side of the connection."""

    @property
    def may_hide_disconnect(self) -> bool:
        """Returns whether a FIN of the client may be queued behind input that has waited unread."""

    def answer(self, data: bytes, keep_alive: bool = True) -> None:
        """Writes the response to the current request and, without ``keep_alive``, ends the connection."""


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A request as received from a client.

    Attributes:
        method: HTTP method in upper case.
        target: Path and query as sent.
        body: Body without its framing; emptied once no further forwarding is needed.
        headers: Headers that the dispatcher reads or forwards, by lower-case name.
        request_id: Id that the client gave the request (X-Txn).
        class_index: Index of the request class in the settings, or ``NO_CLASS``.
        remaining_ms: Time left for the answer when the last byte of the request arrived, in ms.
        received_at: Time at which the last byte of the request arrived, in ms.
        workload: Resources and attributes of the work as stated by the client.
        keep_alive: Whether the client allows the connection to be reused.
        memory: Memory that the request holds in the account of the process; None before it is complete.
        connection: Connection on which the request was received; None if unknown.
    """

    method: bytes = b""
    target: bytes = b""
    body: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    request_id: str = ""
    class_index: int = NO_CLASS
    remaining_ms: float = 0.0
    received_at: float = 0.0
    workload: Workload = field(default_factory=Workload)
    keep_alive: bool = True
    memory: Reservation | None = None
    connection: AnswerableConnection | None = None

    def hold_memory(self, account: MemoryAccount) -> None:
        """Counts the complete request, whose bytes have been reserved as input."""
        self.memory = Reservation(account, Holder.CLIENT_REQUESTS)
        self.memory.hold(REQUEST_BYTES + len(self.body))

    def release_memory(self) -> None:
        """Drops the body, which needs no further forwarding, and what the request holds in the account."""
        self.body = b""
        if self.memory is not None:
            self.memory.release()

    @property
    def path(self) -> bytes:
        """Returns the target without its query."""
        return self.target.split(b"?", 1)[0]


def forwarded_headers(request: HttpRequest, remaining_ms: float) -> list[tuple[bytes, bytes]]:
    """Returns the headers to forward to a server that has ``remaining_ms`` left to answer the request."""
    headers = [(name, request.headers[name]) for name in FORWARDED_HEADERS if name in request.headers]
    return [*headers, (b"x-remaining-ms", b"%d" % max(0, round(remaining_ms)))]

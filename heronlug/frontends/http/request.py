"""A client's HTTP request, and the headers of it that are forwarded to a server."""

from dataclasses import dataclass, field
from typing import Protocol

from heronlug.requests.model import Workload

FORWARDED_HEADERS = (b"x-txn", b"idempotency-key", b"x-lane", b"x-labels", b"x-resent", b"x-org")
"""Names of the headers that go on to a server, in the order in which they are sent."""

NO_CLASS = -1
"""In place of the index of a class: the request is answered here and forwarded to no server."""


class AnswerableConnection(Protocol):
    """The connection that a request came on."""

    @property
    def has_unanswered_input(self) -> bool:
        """Whether the client has sent more than has been answered."""

    @property
    def client_connected(self) -> bool:
        """Whether the client has not closed its side."""

    def answer(self, data: bytes, keep_alive: bool = True) -> None:
        """Write the response to the request that is being served."""


@dataclass(slots=True, eq=False)
class HttpRequest:
    """One request as it came.

    Attributes:
        method: the method, in upper case.
        target: path and query, as sent.
        body: the body without its framing; empty once nothing more is forwarded.
        headers: the headers by name in lower case.
        request_id: the client's id for it (X-Txn).
        class_index: the index of its class in the settings, or ``NO_CLASS``.
        remaining_ms: the time that it has left for its answer.
        workload: what the client says of the work.
        keep_alive: the client wants to go on with the connection.
        reserved_bytes: bytes of its body that count against the memory for bodies.
        connection: where it came, None if that is not known.
    """

    method: bytes = b""
    target: bytes = b""
    body: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    request_id: str = ""
    class_index: int = NO_CLASS
    remaining_ms: float = 0.0
    workload: Workload = field(default_factory=Workload)
    keep_alive: bool = True
    reserved_bytes: int = 0
    connection: AnswerableConnection | None = None

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.split(b"?", 1)[0]


def forwarded_headers(request: HttpRequest, remaining_ms: float) -> list[tuple[bytes, bytes]]:
    """The headers for a server that has ``remaining_ms`` left for this request."""
    headers = [(name, request.headers[name]) for name in FORWARDED_HEADERS if name in request.headers]
    return [*headers, (b"x-remaining-ms", b"%d" % max(0, round(remaining_ms)))]

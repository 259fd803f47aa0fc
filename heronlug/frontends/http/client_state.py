"""Describes what a process has read from a client connection, for the process that continues the connection."""

from dataclasses import dataclass

from heronlug.frontends.http.request import HttpRequest


@dataclass(frozen=True)
class ClientState:
    """State of a client connection besides the request that is being served.

    Attributes:
        served: Whether the connection has carried a request for a server.
        has_sent_request: Whether the client has sent a complete request, including health checks.
        age_ms: Time since the connection was opened, in ms; only used before the first complete request.
        queued: Complete requests that wait until the request that is being served is answered.
        partial_request: Bytes of a request that has been read in part.
        reading_ms: Time since the first of these bytes was read, in ms.
    """

    served: bool
    has_sent_request: bool = True
    age_ms: float = 0.0
    queued: tuple[HttpRequest, ...] = ()
    partial_request: bytes = b""
    reading_ms: float = 0.0

    @property
    def body_bytes(self) -> int:
        """Returns the memory that the bodies of these requests need at most, in bytes."""
        return sum(len(request.body) for request in self.queued) + len(self.partial_request)

"""Connects the core of the HTTP frontend with the two sides that it talks to: clients and servers."""

from heronlug.backends.pool import ConnectionPool
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.requests.model import Attempt, FinalAnswer, Request


class HttpTransport:
    """Sends attempts through the connection pool and answers through the HTTP frontend.

    Attributes:
        frontend: the clients' connections; set once it is made, since it needs the core that is given this transport.
        backend: the connections to servers.
    """

    frontend: HttpFrontend

    def __init__(self, backend: ConnectionPool) -> None:
        """Make a transport whose frontend is still to be set."""
        self.backend = backend

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its server."""
        self.backend.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that is in flight."""
        self.backend.cancel(attempt)

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Send a client its final answer."""
        self.frontend.answer(request, final, body, retry_after)

    def client_waits(self, request: Request) -> bool:
        """Whether the client of a request still waits for its answer."""
        return self.frontend.client_waits(request)

"""Connects the core of the HTTP frontend with clients and servers."""

from heronlug.backends.pool import ConnectionPool
from heronlug.frontends.http.frontend import HttpFrontend
from heronlug.requests.model import Attempt, FinalAnswer, Request


class HttpTransport:
    """Sends attempts through the connection pool and answers through the HTTP frontend.

    Attributes:
        frontend: The HTTP frontend; set after construction, since the frontend needs the core and the core this object.
        backend: The pool of connections to servers.
    """

    frontend: HttpFrontend

    def __init__(self, backend: ConnectionPool) -> None:
        """Creates a transport without a frontend."""
        self.backend = backend

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its server."""
        self.backend.send(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt in flight."""
        self.backend.cancel(attempt)

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Sends the final answer to the client of a request."""
        self.frontend.answer(request, final, body, retry_after)

    def client_waits(self, request: Request) -> bool:
        """Returns whether the client of a request still waits for the answer."""
        return self.frontend.client_waits(request)

    def may_hide_disconnect(self, request: Request) -> bool:
        """Returns whether a FIN of the client may be queued behind its unread input."""
        return self.frontend.may_hide_disconnect(request)

"""Queues the complete requests of a client connection until they can be served."""

from collections import deque

from heronlug.frontends.http.request import NO_CLASS, HttpRequest
from heronlug.requests.core import Core
from heronlug.requests.model import FinalAnswer

MAX_WAITING_REQUESTS = 8
"""Number of waiting requests from which on no further input of a connection is parsed."""

MAX_WAITING_BYTES = 64 * 1024
"""Size of all bodies of the waiting requests from which on no further input of a connection is parsed, in bytes."""


class RequestPipeline:
    """A first-in, first-out queue of complete requests."""

    __slots__ = ("_body_bytes", "_requests")

    def __init__(self) -> None:
        self._requests: deque[HttpRequest] = deque()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: HttpRequest) -> None:
        """Appends a request."""
        self._requests.append(request)
        self._body_bytes += len(request.body)

    @property
    def body_bytes(self) -> int:
        """Returns the size of all bodies of the waiting requests, in bytes."""
        return self._body_bytes

    @property
    def has_room(self) -> bool:
        """Returns whether another request may be parsed."""
        return len(self._requests) < MAX_WAITING_REQUESTS and self._body_bytes < MAX_WAITING_BYTES

    @property
    def requests(self) -> tuple[HttpRequest, ...]:
        """Returns the waiting requests in their order."""
        return tuple(self._requests)

    def next(self) -> HttpRequest:
        """Removes and returns the oldest request."""
        request = self._requests.popleft()
        self._body_bytes -= len(request.body)
        return request

    def count_rejected(self, core: Core) -> None:
        """Counts a rejection for each waiting request that is not a health check."""
        for request in self._requests:
            if request.class_index != NO_CLASS:
                core.count_answer(request.class_index, FinalAnswer.REFUSED)

    def clear(self) -> None:
        """Removes all requests and releases their memory."""
        for request in self._requests:
            request.release_memory()
            request.connection = None
        self._requests.clear()
        self._body_bytes = 0

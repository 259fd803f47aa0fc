"""Queues the complete requests of a client connection until they can be served."""

from collections import deque

from heronlug.frontends.http.body_memory import BodyMemory
from heronlug.frontends.http.errors import TooManyPipelinedRequestsError
from heronlug.frontends.http.request import NO_CLASS, HttpRequest
from heronlug.requests.core import Core
from heronlug.requests.model import FinalAnswer

MAX_PIPELINED_REQUESTS = 16
"""Maximum number of complete requests that may wait on one connection."""


class RequestPipeline:
    """A first-in, first-out queue of complete requests."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: deque[HttpRequest] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: HttpRequest) -> None:
        """Appends a request.

        Raises:
            TooManyPipelinedRequestsError: More than ``MAX_PIPELINED_REQUESTS`` wait, including ``request``, which
                stays in the queue.
        """
        self._requests.append(request)
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            raise TooManyPipelinedRequestsError

    @property
    def requests(self) -> tuple[HttpRequest, ...]:
        """Returns the waiting requests in their order."""
        return tuple(self._requests)

    def next(self) -> HttpRequest:
        """Removes and returns the oldest request."""
        return self._requests.popleft()

    def count_rejected(self, core: Core) -> None:
        """Counts a rejection for each waiting request that is not a health check."""
        for request in self._requests:
            if request.class_index != NO_CLASS:
                core.count_answer(request.class_index, FinalAnswer.REFUSED)

    def clear(self, body_memory: BodyMemory) -> None:
        """Removes all requests and releases their body memory."""
        for request in self._requests:
            body_memory.release(request)
            request.connection = None
        self._requests.clear()

"""The complete requests of a connection that wait for their turn."""

from collections import deque

from heronlug.frontends.http.body_memory import BodyMemory
from heronlug.frontends.http.errors import TooManyPipelinedRequestsError
from heronlug.frontends.http.request import NO_CLASS, HttpRequest
from heronlug.requests.core import Core
from heronlug.requests.model import FinalAnswer

MAX_PIPELINED_REQUESTS = 16
"""Complete requests that may wait on one connection."""


class RequestPipeline:
    """A queue of requests, served one by one."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: deque[HttpRequest] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: HttpRequest) -> None:
        """Add a request.

        Raises:
            TooManyPipelinedRequestsError: too many wait; this one is among them.
        """
        self._requests.append(request)
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            raise TooManyPipelinedRequestsError

    def next(self) -> HttpRequest:
        """Remove and return the request that came first."""
        return self._requests.popleft()

    def count_rejected(self, core: Core) -> None:
        """Count a rejection for each request that waits for a server."""
        for request in self._requests:
            if request.class_index != NO_CLASS:
                core.count_answer(request.class_index, FinalAnswer.REFUSED)

    def clear(self, body_memory: BodyMemory) -> None:
        """Remove all requests and release their bodies."""
        for request in self._requests:
            body_memory.release(request)
        self._requests.clear()

"""The memory that the bodies of all requests may take together, those that are still being read included."""

from heronlug.frontends.http.errors import BodyMemoryExhaustedError
from heronlug.frontends.http.request import HttpRequest


class BodyMemory:
    """Counts the bytes of bodies against a limit.

    Attributes:
        limit: the most bytes that bodies may take.
        used: the bytes that are reserved.
    """

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, request: HttpRequest, size: int) -> None:
        """Reserve ``size`` bytes more for a request.

        Raises:
            BodyMemoryExhaustedError: the limit is exceeded; the bytes stay reserved until the request is released.
        """
        request.reserved_bytes += size
        self.used += size
        if self.used > self.limit:
            raise BodyMemoryExhaustedError

    def release(self, request: HttpRequest) -> None:
        """Drop the body of a request of which nothing more is forwarded."""
        self.used -= request.reserved_bytes
        request.reserved_bytes = 0
        request.body = b""

"""Limits the total memory of request bodies, including bodies that are still being read."""

from heronlug.frontends.http.errors import BodyMemoryExhaustedError
from heronlug.frontends.http.request import HttpRequest


class BodyMemory:
    """Counts the bytes of all request bodies against a limit.

    Attributes:
        limit: Maximum total size of the bodies, in bytes.
        used: Reserved bytes; exceeds ``limit`` after a failed reservation until the request is released.
    """

    __slots__ = ("limit", "used")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, request: HttpRequest, size: int) -> None:
        """Reserves ``size`` more bytes for the body of a request.

        Raises:
            BodyMemoryExhaustedError: The limit is exceeded; the bytes stay reserved until the request is released.
        """
        request.reserved_bytes += size
        self.used += size
        if self.used > self.limit:
            raise BodyMemoryExhaustedError

    def adopt(self, request: HttpRequest) -> None:
        """Counts the body of a request that another process has read."""
        request.reserved_bytes = len(request.body)
        self.used += request.reserved_bytes

    def release(self, request: HttpRequest) -> None:
        """Drops the body of a request that needs no further forwarding and releases its reserved bytes."""
        self.used -= request.reserved_bytes
        request.reserved_bytes = 0
        request.body = b""

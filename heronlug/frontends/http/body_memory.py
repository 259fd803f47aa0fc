"""Limits the total memory of request bodies, including bodies that are still being read."""

from heronlug.frontends.http.errors import BodyMemoryExhaustedError
from heronlug.frontends.http.request import HttpRequest
from heronlug.memory.account import MemoryAccount
from heronlug.memory.holders import Holder


class BodyMemory:
    """Counts the bytes of all request bodies in the account of the process."""

    __slots__ = ("_account",)

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account

    @property
    def limit(self) -> int:
        """Returns the limit of the account, in bytes."""
        return self._account.limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._account.limit = limit

    @property
    def used(self) -> int:
        """Returns the bytes in use; exceeds ``limit`` after a failed reservation until the request is released."""
        return self._account.used

    def reserve(self, request: HttpRequest, size: int) -> None:
        """Reserves ``size`` more bytes for the body of a request.

        Raises:
            BodyMemoryExhaustedError: The limit is exceeded; the bytes stay reserved until the request is released.
        """
        request.reserved_bytes += size
        self._account.hold(Holder.CLIENT_REQUESTS, size)
        if self._account.used > self._account.limit:
            self._account.refusals[Holder.CLIENT_REQUESTS] += 1
            raise BodyMemoryExhaustedError

    def adopt(self, request: HttpRequest) -> None:
        """Counts the body of a request that another process has read."""
        request.reserved_bytes = len(request.body)
        self._account.hold(Holder.CLIENT_REQUESTS, request.reserved_bytes)

    def release(self, request: HttpRequest) -> None:
        """Drops the body of a request that needs no further forwarding and releases its reserved bytes."""
        self._account.release(Holder.CLIENT_REQUESTS, request.reserved_bytes)
        request.reserved_bytes = 0
        request.body = b""

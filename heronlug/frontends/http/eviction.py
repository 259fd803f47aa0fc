"""Which client connection is closed first when the process runs short of descriptors.

Protects the connections of ordinary clients against hundreds that send nothing, or one health check and no more.
"""

from collections.abc import Callable
from enum import IntEnum
from itertools import islice
from typing import Generic, Protocol, TypeVar

NEW_CONNECTION_GRACE_MS = 100.0
"""The first request of a new connection may be on its way for so long."""

CANDIDATES_PER_RANK = 8
"""Connections of each rank that are examined for one that may be closed."""


class EvictionRank(IntEnum):
    """What a connection is doing, in the order of eviction; within a rank, the longest there goes first."""

    REJECTED = 0
    """Its client broke the protocol, and the response has been written."""

    SILENT = 1
    """It has never sent a complete request."""

    HEALTH_CHECKED = 2
    """It is idle, and has sent nothing but health checks."""

    SERVED = 3
    """It is idle, and has had a request served."""

    BUSY = 4
    """A request of it is being served: never evicted."""


class Evictable(Protocol):
    """A connection that may be evicted."""

    handle: int
    opened_at: float
    rank: EvictionRank | None

    @property
    def closing(self) -> bool:
        """Whether it serves no more requests."""

    @property
    def has_unanswered_input(self) -> bool:
        """Whether the client has sent more than has been answered."""


Connection = TypeVar("Connection", bound=Evictable)


class EvictionOrder(Generic[Connection]):
    """The connections by rank."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._by_rank: dict[EvictionRank, dict[int, Connection]] = {rank: {} for rank in EvictionRank}

    def move(self, connection: Connection, rank: EvictionRank | None) -> None:
        """Put a connection last in a rank, or in none; one that closes can only be in the first."""
        if connection.rank is not None:
            del self._by_rank[connection.rank][connection.handle]
        if connection.closing and rank is not EvictionRank.REJECTED:
            rank = None
        connection.rank = rank
        if rank is not None:
            self._by_rank[rank][connection.handle] = connection

    def first(self) -> Connection | None:
        """The connection to evict, or None; a new one whose first request may be on its way is spared if possible."""
        silent = self._first_of(EvictionRank.SILENT)
        in_grace = silent is not None and self._clock() - silent.opened_at < NEW_CONNECTION_GRACE_MS
        return (
            self._first_of(EvictionRank.REJECTED)
            or (None if in_grace else silent)
            or self._first_of(EvictionRank.HEALTH_CHECKED)
            or silent
            or self._first_of(EvictionRank.SERVED)
        )

    def _first_of(self, rank: EvictionRank) -> Connection | None:
        candidates = islice(self._by_rank[rank].values(), CANDIDATES_PER_RANK)
        evictable = (
            connection
            for connection in candidates
            if rank is EvictionRank.REJECTED or not connection.has_unanswered_input
        )
        return next(evictable, None)

"""Selects the client connection to close when the process runs short of file descriptors.

The order protects ordinary clients from hundreds of connections that send nothing, a part of a request or only a single
health check.
"""

from collections.abc import Callable
from enum import IntEnum
from itertools import islice
from typing import Generic, Protocol, TypeVar

NEW_CONNECTION_GRACE_MS = 100.0
"""Time after the connect during which the first request of a connection may still be in transit."""

MIN_IDLE_MS = 500.0
"""Time since its last answer for which a served connection is not evicted, because its next request may come soon."""

MIN_UNFINISHED_MS = 1_000.0
"""Time for which a connection with a part of a request is not evicted, because its client may be slow."""

MIN_UNFINISHED_IN_CROWD_MS = 100.0
"""The same if over half of all connections are such, so that they are the cause of the shortage."""

CANDIDATES_PER_RANK = 8
"""Number of connections per rank that are examined for an evictable connection."""


class EvictionRank(IntEnum):
    """Eviction rank of a connection: the lowest rank is evicted first, within a rank the oldest entry first."""

    REJECTED = 0
    """The last response, usually an error for an invalid request, is written and the connection lingers."""

    SILENT = 1
    """The client has never sent a complete request, nor a part of one."""

    HEALTH_CHECKED = 2
    """The connection is idle and has carried only health checks."""

    UNFINISHED = 3
    """A part of a request has been read and none is being served, or the client does not read its answers."""

    SERVED = 4
    """The connection is idle and has carried a request for a server."""

    BUSY = 5
    """A request is being served; the connection is never evicted."""


class Evictable(Protocol):
    """Interface of a connection in the eviction order.

    Attributes:
        handle: Handle of the connection in the frontend's connection table.
        opened_at: Time at which the connection was opened, in ms.
        rank: Current rank; None if the connection is not in the order.
        ranked_at: Time at which the connection got its rank, in ms.
    """

    handle: int
    opened_at: float
    rank: EvictionRank | None
    ranked_at: float

    @property
    def closing(self) -> bool:
        """Returns whether the connection has stopped serving requests."""

    @property
    def is_evictable(self) -> bool:
        """Returns whether nothing is owed to the client, and no request may be in transit."""


Connection = TypeVar("Connection", bound=Evictable)


class EvictionOrder(Generic[Connection]):
    """Keeps client connections by eviction rank."""

    def __init__(self, clock: Callable[[], float], max_connections: int) -> None:
        """Creates an empty order.

        Args:
            clock: Returns the time in ms.
            max_connections: Maximum number of connections of the dispatcher, over all of its processes.
        """
        self._clock = clock
        self._crowd_size = max_connections // 2
        self._by_rank: dict[EvictionRank, dict[int, Connection]] = {rank: {} for rank in EvictionRank}

    def move(self, connection: Connection, rank: EvictionRank | None) -> None:
        """Appends a connection to a rank, or removes it from the order if ``rank`` is None.

        A closing connection can only have rank ``REJECTED``; any other rank removes the connection.
        """
        if connection.rank is not None:
            del self._by_rank[connection.rank][connection.handle]
        if connection.closing and rank is not EvictionRank.REJECTED:
            rank = None
        connection.rank = rank
        connection.ranked_at = self._clock()
        if rank is not None:
            self._by_rank[rank][connection.handle] = connection

    def first(self) -> Connection | None:
        """Returns the connection to evict, or None.

        A silent connection is not evicted within ``NEW_CONNECTION_GRACE_MS`` of its connect, because its first request
        may still be in transit. Served connections are kept until its grace is over, and for ``MIN_IDLE_MS``.
        """
        silent = self._first_of(EvictionRank.SILENT)
        in_grace = self._is_in_grace(silent)
        min_unfinished_ms = MIN_UNFINISHED_IN_CROWD_MS if self.in_crowd else MIN_UNFINISHED_MS
        return (
            self._first_of(EvictionRank.REJECTED)
            or (None if in_grace else silent)
            or self._first_of(EvictionRank.HEALTH_CHECKED)
            or self._first_in_rank_for(EvictionRank.UNFINISHED, min_unfinished_ms)
            or (None if in_grace else self._first_in_rank_for(EvictionRank.SERVED, MIN_IDLE_MS))
        )

    @property
    def has_silent_in_grace(self) -> bool:
        """Returns whether a silent connection can be evicted within ``NEW_CONNECTION_GRACE_MS``, but not now."""
        return self._is_in_grace(self._first_of(EvictionRank.SILENT))

    @property
    def in_crowd(self) -> bool:
        """Returns whether over half of the connections that the dispatcher may have are unfinished ones."""
        return len(self._by_rank[EvictionRank.UNFINISHED]) > self._crowd_size

    def _is_in_grace(self, connection: Connection | None) -> bool:
        return connection is not None and self._clock() - connection.opened_at < NEW_CONNECTION_GRACE_MS

    def _first_in_rank_for(self, rank: EvictionRank, time_ms: float) -> Connection | None:
        """Returns the first connection of a rank if it has been there for this time, else None."""
        connection = self._first_of(rank)
        if connection is None or self._clock() - connection.ranked_at < time_ms:
            return None
        return connection

    def _first_of(self, rank: EvictionRank) -> Connection | None:
        candidates = islice(self._by_rank[rank].values(), CANDIDATES_PER_RANK)
        return next((connection for connection in candidates if connection.is_evictable), None)

"""Indexes the servers that may have room by their rank.

A server is selected whenever a request arrives, whenever an attempt ends, and repeatedly while requests wait.  With
thousands of servers, most of them full or warming up without a capacity share for this dispatcher, an unsuccessful
scan of the whole ranking would take time proportional to its length each time.

The index holds the ranks of the servers that satisfy a *necessary* condition.  The exact conditions, which would reject
every other server, are checked for the indexed servers alone, so the result equals that of a full scan.  A server is
checked again after :meth:`Candidates.touch`, and every server after a new ranking.
"""

from collections.abc import Callable, Iterator, Sequence

from sortedcontainers import SortedList

from heronlug.balancer.deduplication import DeduplicationGroup
from heronlug.balancer.model import Server
from heronlug.balancer.settings import KeyScope

ANY_KIND = -1
"""The server kind of requests that any server can run."""


class Candidates:
    """Ranks of the servers that may have room: in total, by kind and by deduplication group."""

    __slots__ = ("_by_group", "_by_kind", "_may_have_room", "_ranking", "_stale", "_touched")

    def __init__(self, may_have_room: Callable[[Server], bool]) -> None:
        """Creates an empty index.

        Args:
            may_have_room: the necessary condition, False only for a server that can accept no request at this time.
        """
        self._may_have_room = may_have_room
        self._ranking: Sequence[Server] = ()
        self._by_kind: dict[int, SortedList[int]] = {}
        self._by_group: dict[DeduplicationGroup, SortedList[int]] | None = None  # built on first use
        self._touched: dict[int, Server] = {}
        self._stale = False

    def rank(self, ranking: Sequence[Server]) -> None:
        """Replaces the ranking, given best first, and assigns each server its rank."""
        self._ranking, self._stale = ranking, True
        for rank, server in enumerate(ranking):
            server.rank = rank

    def expire(self) -> None:
        """Schedules a new check of all servers."""
        self._stale = True

    def touch(self, server: Server) -> None:
        """Schedules a new check of a server."""
        self._touched[server.id] = server

    def ranked(
        self, kind: int = ANY_KIND, group: DeduplicationGroup | None = None, worst_first: bool = False
    ) -> Iterator[Server]:
        """Returns the servers that may have room, best-ranked first.

        Args:
            kind: the required kind of server, or ``ANY_KIND``.
            group: if given, restricts the result to servers of this group, of any kind.
            worst_first: whether to return the worst-ranked server first.
        """
        self._refresh()
        ranks: Sequence[int] = self._by_kind.get(kind, ()) if group is None else self._ranks_of_group(group)
        return map(self._ranking.__getitem__, reversed(ranks) if worst_first else iter(ranks))

    def _refresh(self) -> None:
        if self._stale:
            self._build()
        elif self._touched:
            for server in self._touched.values():
                self._check(server)
        self._touched.clear()

    def _ranks_of_group(self, group: DeduplicationGroup) -> Sequence[int]:
        if self._by_group is None:
            found: dict[DeduplicationGroup, list[int]] = {}
            for rank in self._by_kind[ANY_KIND]:
                for own_group in _groups(self._ranking[rank]):
                    found.setdefault(own_group, []).append(rank)
            self._by_group = {own_group: SortedList(ranks) for own_group, ranks in found.items()}
        ranks: Sequence[int] = self._by_group.get(group, ())
        return ranks

    def _build(self) -> None:
        found: dict[int, list[int]] = {ANY_KIND: []}
        may_have_room, all_ranks = self._may_have_room, found[ANY_KIND]
        for rank, server in enumerate(self._ranking):
            if may_have_room(server):
                all_ranks.append(rank)
                found.setdefault(server.kind, []).append(rank)
        self._by_kind = {kind: SortedList(ranks) for kind, ranks in found.items()}
        self._by_group, self._stale = None, False

    def _check(self, server: Server) -> None:
        """Updates the rank lists that a server belongs to."""
        rank = server.rank
        if not 0 <= rank < len(self._ranking) or self._ranking[rank] is not server:
            return  # the server is not in the ranking
        fits, all_ranks = self._may_have_room(server), self._by_kind[ANY_KIND]
        if fits == (rank in all_ranks):
            return
        lists = [all_ranks, self._by_kind.setdefault(server.kind, SortedList())]
        if self._by_group is not None:
            lists += [self._by_group.setdefault(group, SortedList()) for group in _groups(server)]
        for ranks in lists:
            if fits:
                ranks.add(rank)
            else:
                ranks.remove(rank)


def _groups(server: Server) -> tuple[DeduplicationGroup, DeduplicationGroup]:
    return DeduplicationGroup.of(KeyScope.ZONE, server), DeduplicationGroup.of(KeyScope.CELL, server)

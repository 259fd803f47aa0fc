"""Candidates: an index of the servers that may have room, in the order of their rank.

A server is looked for whenever a request comes, whenever an attempt ends, and again and again while requests wait.
With thousands of servers, most of which are full, or warm up without a share of ours, a scan of the whole ranking
that ends with nothing would cost as much as the list is long each time.

The index holds the ranks of the servers that pass a *necessary* condition. Whoever is left out would have been
rejected by the exact conditions, which are checked on the rest alone, so the choice is that of a scan. A server is
checked again after :meth:`Candidates.touch`, and all of them after a new ranking.
"""

from collections.abc import Callable, Iterator, Sequence

from sortedcontainers import SortedList

from heronlug.balancer.deduplication import DeduplicationGroup
from heronlug.balancer.model import Server
from heronlug.balancer.settings import KeyScope

ANY_KIND = -1
"""The kind of a request that any server can run."""


class Candidates:
    """Ranks of the servers that may have room: of all, by kind, and by deduplication group."""

    __slots__ = ("_by_group", "_by_kind", "_may_have_room", "_ranking", "_stale", "_touched")

    def __init__(self, may_have_room: Callable[[Server], bool]) -> None:
        """Make an empty index; the condition is false only for a server that no request could go to now."""
        self._may_have_room = may_have_room
        self._ranking: Sequence[Server] = ()
        self._by_kind: dict[int, SortedList[int]] = {}
        self._by_group: dict[DeduplicationGroup, SortedList[int]] | None = None  # made when first needed
        self._touched: dict[int, Server] = {}
        self._stale = False

    def rank(self, ranking: Sequence[Server]) -> None:
        """Use a new ranking, best first."""
        self._ranking, self._stale = ranking, True
        for rank, server in enumerate(ranking):
            server.rank = rank

    def expire(self) -> None:
        """Have all servers checked again."""
        self._stale = True

    def touch(self, server: Server) -> None:
        """Have a server checked again."""
        self._touched[server.id] = server

    def ranked(
        self, kind: int = ANY_KIND, group: DeduplicationGroup | None = None, worst_first: bool = False
    ) -> Iterator[Server]:
        """The servers that may have room, best first.

        Args:
            kind: the kind of server, or ``ANY_KIND``.
            group: if given, only servers of this group, of all kinds.
            worst_first: return the worst first.
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
        """Bring the lists up to date that a server belongs to."""
        rank = server.rank
        if not 0 <= rank < len(self._ranking) or self._ranking[rank] is not server:
            return  # it is not in the ranking
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

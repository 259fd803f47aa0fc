"""Which servers may be sent a request at all, in the order of their rank: an index in place of a scan of the list.

A dispatcher looks for a server whenever a request comes, whenever an attempt ends, and again and again while requests
wait.  With thousands of servers, most of which are full, or so cold that this dispatcher has no share of them, a scan
that ends with nothing would cost as much as the list is long, at each look.

The index holds the places, in the ranking, of the servers that pass a *necessary* condition, which the owner gives.  So
whoever is left out would have been rejected, and the exact checks run on the rest alone: the choice is that of a scan.
The owner has each server checked again when what the condition reads has changed (:meth:`Candidates.touch`), and has
all of them checked after a new ranking.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from sortedcontainers import SortedList

from heronlug.decisions.model import Worker
from heronlug.interface import KeyScope

ANY_KIND = -1


class Group(NamedTuple):
    """Servers of which each drops a repeat of what has run at another: those of a zone, or of one cell of it."""

    zone: int
    cell: int = -1  # -1 for all of the zone

    @classmethod
    def of(cls, scope: KeyScope, worker: Worker) -> "Group":
        """A server's group of this scope."""
        return cls(worker.zone, worker.cell if scope is KeyScope.CELL else -1)


class Candidates:
    """Places in the ranking of those servers that may fit: all, by kind, and by the groups that drop repeats."""

    __slots__ = ("_groups", "_may_fit", "_order", "_places", "_stale", "_touched")

    def __init__(self, may_fit: Callable[[Worker], bool]) -> None:
        """``may_fit`` is false only for a server that no request could go to now."""
        self._may_fit = may_fit
        self._order: Sequence[Worker] = ()
        self._places: dict[int, SortedList[int]] = {}
        self._groups: dict[Group, SortedList[int]] | None = None  # made when they are first asked for
        self._touched: dict[int, Worker] = {}
        self._stale = False

    def rank(self, order: Sequence[Worker]) -> None:
        """There is a new ranking."""
        self._order, self._stale = order, True
        for place, worker in enumerate(order):
            worker.place = place

    def expire(self) -> None:
        """What the condition reads of all servers has changed."""
        self._stale = True

    def touch(self, worker: Worker) -> None:
        """What the condition reads of this server has changed."""
        self._touched[worker.id] = worker

    def ranked(self, kind: int = ANY_KIND, group: Group | None = None, worst_first: bool = False) -> Iterator[Worker]:
        """The servers of a kind that may fit, best first; of a group, those of all kinds."""
        self._refresh()
        places: Sequence[int] = self._places.get(kind, ()) if group is None else self._of_group(group)
        return map(self._order.__getitem__, reversed(places) if worst_first else iter(places))

    def _refresh(self) -> None:
        if self._stale:
            self._build()
        elif self._touched:
            for worker in self._touched.values():
                self._check(worker)
        self._touched.clear()

    def _of_group(self, group: Group) -> Sequence[int]:
        if self._groups is None:
            found: dict[Group, list[int]] = {}
            for place in self._places[ANY_KIND]:
                for its in _groups(self._order[place]):
                    found.setdefault(its, []).append(place)
            self._groups = {its: SortedList(places) for its, places in found.items()}
        places: Sequence[int] = self._groups.get(group, ())
        return places

    def _build(self) -> None:
        found: dict[int, list[int]] = {ANY_KIND: []}
        may_fit, everyone = self._may_fit, found[ANY_KIND]
        for place, worker in enumerate(self._order):
            if may_fit(worker):
                everyone.append(place)
                found.setdefault(worker.kind, []).append(place)
        self._places = {kind: SortedList(places) for kind, places in found.items()}
        self._groups, self._stale = None, False

    def _check(self, worker: Worker) -> None:
        place = worker.place
        if not 0 <= place < len(self._order) or self._order[place] is not worker:
            return  # it is not in the ranking
        fits, everyone = self._may_fit(worker), self._places[ANY_KIND]
        if fits == (place in everyone):
            return
        lists = [everyone, self._places.setdefault(worker.kind, SortedList())]
        if self._groups is not None:
            lists += [self._groups.setdefault(its, SortedList()) for its in _groups(worker)]
        for places in lists:
            if fits:
                places.add(place)
            else:
                places.remove(place)


def _groups(worker: Worker) -> tuple[Group, Group]:
    return Group.of(KeyScope.ZONE, worker), Group.of(KeyScope.CELL, worker)

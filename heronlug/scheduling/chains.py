"""Jobs that wait for others: a graph of what has not ended.

A job names its parents when it is accepted, and each has to be known by then, so no cycle can come about. A parent that
has ended before counts as it ended. When a parent is served, its edge is met; when it ends otherwise, the edge fails
what waits, or is met all the same, as the edge says. What fails so has ended too, for what waits for it in turn.

Every parent ends within its own time, so a job in a chain waits at most for the sum of the times of those before it.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

MAX_PARENTS = 64


class OnFailure(str, Enum):
    """What an edge does when its parent is not served."""

    FAIL = "fail"
    RELEASE = "release"


class Edge(NamedTuple):
    """A parent, and what its failure means."""

    parent: str
    on_failure: OnFailure = OnFailure.FAIL


class ChainState(Enum):
    """What becomes of a job that has just been accepted."""

    READY = "ready"
    WAITS = "waits"
    FAILED = "failed"


class ChainEnd(NamedTuple):
    """What follows from an end, in the order in which it does."""

    released: list[str]
    failed: list[str]


class RequestChains:
    """All jobs that wait, and for what."""

    def __init__(self) -> None:
        self._open_parents: dict[str, set[str]] = {}  # by job: parents that have not ended
        self._children: dict[str, dict[str, OnFailure]] = {}  # by parent

    def __len__(self) -> int:
        return len(self._open_parents)

    def __contains__(self, jid: str) -> bool:
        return jid in self._open_parents

    def parents(self, jid: str) -> list[str]:
        """What a job still waits for."""
        return sorted(self._open_parents.get(jid, ()))

    def add(self, jid: str, open_edges: Iterable[Edge], ended_edges: Iterable[tuple[Edge, bool]]) -> ChainState:
        """A job with its edges: to parents that are open, and to those that have ended, each with whether served."""
        if any(not served and edge.on_failure is OnFailure.FAIL for edge, served in ended_edges):
            return ChainState.FAILED
        edges = list(open_edges)
        if not edges:
            return ChainState.READY
        self._open_parents[jid] = {edge.parent for edge in edges}
        for edge in edges:
            children = self._children.setdefault(edge.parent, {})
            # of two edges to the same parent the stricter one holds
            if children.get(jid) is not OnFailure.FAIL:
                children[jid] = edge.on_failure
        return ChainState.WAITS

    def request_ended(self, jid: str, served: bool) -> ChainEnd:
        """A job has ended, one that others wait for or one that waits; what that releases and fails."""
        consequences = ChainEnd([], [])
        self._forget(jid)
        ended_jobs = [(jid, served)]
        while ended_jobs:
            parent, parent_served = ended_jobs.pop()
            for child, on_failure in self._children.pop(parent, {}).items():
                open_parents = self._open_parents.get(child)
                if open_parents is None:
                    continue
                open_parents.discard(parent)
                if not parent_served and on_failure is OnFailure.FAIL:
                    self._forget(child)
                    consequences.failed.append(child)
                    ended_jobs.append((child, False))
                elif not open_parents:
                    del self._open_parents[child]
                    consequences.released.append(child)
        return consequences

    def _forget(self, jid: str) -> None:
        """It waits no more; its parents need not know of it."""
        for parent in self._open_parents.pop(jid, ()):
            children = self._children.get(parent)
            if children is not None:
                children.pop(jid, None)
                if not children:
                    del self._children[parent]


def parse_edges(raw_parents: object, default_on_failure: object) -> list[Edge]:
    """The edges that a job names: jids, or objects with ``jid`` and ``on_failure``; raises ``ValueError``."""
    try:
        fallback = OnFailure(default_on_failure) if default_on_failure is not None else OnFailure.FAIL
        if raw_parents is None:
            return []
        if not isinstance(raw_parents, list) or len(raw_parents) > MAX_PARENTS:
            msg = f"after is no list of at most {MAX_PARENTS} jids"
            raise ValueError(msg)
        edges = []
        for entry in raw_parents:
            if isinstance(entry, str):
                edges.append(Edge(entry, fallback))
            elif isinstance(entry, dict) and isinstance(entry.get("jid"), str):
                edges.append(Edge(entry["jid"], OnFailure(entry.get("on_failure", fallback))))
            else:
                msg = "after holds something that is no jid"
                raise ValueError(msg)
        return edges
    except ValueError as error:
        if "OnFailure" in str(error):
            msg = 'on_failure is neither "fail" nor "release"'
            raise ValueError(msg) from None
        raise

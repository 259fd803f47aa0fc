"""Tracks the dependencies of jobs that wait for other jobs (their parents) to end.

A job names its parents when the job is accepted. Every parent must be known by then, so the graph has no cycles. A
parent that has already ended counts with the outcome of that end. A served parent satisfies its edge. If a parent ends
otherwise, the ``on_failure`` of the edge determines whether the edge fails the waiting job or is satisfied anyway. A
job that fails this way has ended as well, which affects the jobs that wait for that job in turn.

Every parent ends by its own deadline, so a job in a chain waits at most for the sum of the allowed times of the jobs
before it.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

MAX_PARENTS = 64


class OnFailure(str, Enum):
    """Effect on the waiting job if a parent ends without being served."""

    FAIL = "fail"
    RELEASE = "release"


class Edge(NamedTuple):
    """A dependency on a parent.

    Attributes:
        parent: Jid of the parent.
        on_failure: Effect on the waiting job if the parent is not served.
    """

    parent: str
    on_failure: OnFailure = OnFailure.FAIL


class ChainState(Enum):
    """State of a job right after its acceptance; FAILED if a parent has failed already."""

    READY = "ready"
    WAITS = "waits"
    FAILED = "failed"


class ChainEnd(NamedTuple):
    """The jobs that the end of a job releases and fails, each list in the order of these effects.

    Attributes:
        released: Jids of the jobs that may start now.
        failed: Jids of the jobs that have failed.
    """

    released: list[str]
    failed: list[str]


class RequestChains:
    """Stores the waiting jobs and their parents that have not ended."""

    def __init__(self) -> None:
        self._open_parents: dict[str, set[str]] = {}  # by waiting job: parents that have not ended
        self._children: dict[str, dict[str, OnFailure]] = {}  # by parent that has not ended: waiting jobs

    def __len__(self) -> int:
        return len(self._open_parents)

    def __contains__(self, jid: str) -> bool:
        return jid in self._open_parents

    def parents(self, jid: str) -> list[str]:
        """Returns the jids of the parents that a job still waits for, sorted."""
        return sorted(self._open_parents.get(jid, ()))

    def add(self, jid: str, open_edges: Iterable[Edge], ended_edges: Iterable[tuple[Edge, bool]]) -> ChainState:
        """Adds a job and returns its state.

        Args:
            jid: Jid of the job.
            open_edges: Edges to parents that have not ended.
            ended_edges: Edges to parents that have ended, each with whether the parent was served.
        """
        if any(not served and edge.on_failure is OnFailure.FAIL for edge, served in ended_edges):
            return ChainState.FAILED
        edges = list(open_edges)
        if not edges:
            return ChainState.READY
        self._open_parents[jid] = {edge.parent for edge in edges}
        for edge in edges:
            children = self._children.setdefault(edge.parent, {})
            # FAIL takes precedence over RELEASE if two edges lead to the same parent
            if children.get(jid) is not OnFailure.FAIL:
                children[jid] = edge.on_failure
        return ChainState.WAITS

    def request_ended(self, jid: str, served: bool) -> ChainEnd:
        """Records the end of a job and returns the jobs that this end releases and fails.

        The ended job may be a parent, a waiting job, or neither.
        """
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
        """Removes a waiting job, also from the children of its parents."""
        for parent in self._open_parents.pop(jid, ()):
            children = self._children.get(parent)
            if children is not None:
                children.pop(jid, None)
                if not children:
                    del self._children[parent]


def parse_edges(raw_parents: object, default_on_failure: object) -> list[Edge]:
    """Returns the edges that a job names as its parents.

    Args:
        raw_parents: List of jids or of objects with ``jid`` and optionally ``on_failure``; None for no parents.
        default_on_failure: ``on_failure`` of the entries that give none; None for ``fail``.

    Raises:
        ValueError: The list, an entry or an ``on_failure`` is invalid.
    """
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

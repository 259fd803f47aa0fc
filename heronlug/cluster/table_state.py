"""Holds the state of one replicated table at one member."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from heronlug.cluster import merkle_trie
from heronlug.cluster.messages import TableAnnouncement
from heronlug.cluster.model import NO_TOKEN, FencingToken
from heronlug.cluster.node_store import MissingNodes
from heronlug.cluster.ownership import tag


class Version(NamedTuple):
    """The version of a table; every version of a later writer is greater than those of an earlier writer.

    Attributes:
        token: The fencing token of the writer.
        number: The number of the publication or heartbeat under this token.
    """

    token: FencingToken
    number: int


NO_VERSION = Version(NO_TOKEN, 0)


@dataclass(slots=True, eq=False)
class TableState:
    """The state of one replicated table. All times are milliseconds of this member's clock.

    Attributes:
        name: The name of the table, the same at every member.
        version: The latest complete version at this member.
        root: The root of ``version``.
        previous_root: The root before ``root``.
        confirmed_at: The time when the writer last confirmed ``version``, as far as this member knows.
        own_token: The fencing token under which this member writes the table; None while it does not.
        push_queue: The names of the nodes that are new with ``root`` and are sent with the next announcement.
        pending: The announcement of the version that is being fetched; None if no version is being fetched.
        source: The tag of the member from which the pending version is fetched.
        missing: The nodes of the pending version that this member does not have.
        request_deadlines: The time when each outstanding node request times out, by node name.
        polled_at: The time when other members were last asked for a newer version.
        key: The tag of the table.
    """

    name: str
    version: Version = NO_VERSION
    root: int = merkle_trie.EMPTY
    previous_root: int = merkle_trie.EMPTY
    confirmed_at: float = -inf
    own_token: FencingToken | None = None
    push_queue: tuple[int, ...] = ()
    pending: TableAnnouncement | None = None
    source: int = 0
    missing: MissingNodes = field(default_factory=MissingNodes)
    request_deadlines: dict[int, float] = field(default_factory=dict)
    polled_at: float = -inf
    key: int = field(init=False)

    def __post_init__(self) -> None:
        self.key = tag(self.name)

    @property
    def announcement(self) -> TableAnnouncement:
        """Returns the announcement of the current version."""
        return TableAnnouncement(self.key, self.version.token, self.version.number, self.root)

    @property
    def newest_known(self) -> Version:
        """Returns the newer of the current and the pending version."""
        if self.pending is None:
            return self.version
        return max(self.version, Version(self.pending.token, self.pending.number))

    def stop_fetching(self) -> None:
        """Discards the pending version and its outstanding requests."""
        self.pending = None
        self.missing.counterparts.clear()
        self.request_deadlines.clear()

    def live_roots(self) -> Iterator[int]:
        """Yields the roots of the subtrees whose nodes must be retained."""
        yield self.root
        yield self.previous_root
        if self.pending is not None:
            yield self.pending.root
        # The content of a missing node is unknown: any node below its counterpart may belong to the pending version.
        for counterpart in self.missing.counterparts.values():
            if counterpart is not None:
                yield counterpart

"""One replicated table as one member knows it."""

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
    """The version of a table; those of a later writer are above all of an earlier one."""

    token: FencingToken
    number: int


NO_VERSION = Version(NO_TOKEN, 0)


@dataclass(slots=True, eq=False)
class TableState:
    """One replicated table.  All times are milliseconds of this member's clock.

    Attributes:
        name: The table's name, the same at every member.
        version: The latest version that is complete here.
        root: The root of that version.
        previous_root: The root before it.
        confirmed_at: When the writer was last known to confirm this version.
        own_token: The token that this member writes the table under, if it does.
        push_queue: Nodes that are new with this root and are sent along with its next announcement.
        pending: The version that is being fetched.
        source: The tag of the member that it is fetched from.
        missing: Nodes of the pending version that are not there.
        request_deadlines: Until when the answer to each request for a node is awaited.
        polled_at: When other members were last asked for a newer version.
        key: The table's tag.
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
        """What announces the present version."""
        return TableAnnouncement(self.key, self.version.token, self.version.number, self.root)

    @property
    def newest_known(self) -> Version:
        """The pending version, or the present one if none is being fetched."""
        if self.pending is None:
            return self.version
        return max(self.version, Version(self.pending.token, self.pending.number))

    def stop_fetching(self) -> None:
        """Give up the pending version."""
        self.pending = None
        self.missing.counterparts.clear()
        self.request_deadlines.clear()

    def live_roots(self) -> Iterator[int]:
        """Nodes below which every node is needed."""
        yield self.root
        yield self.previous_root
        if self.pending is not None:
            yield self.pending.root
        # below a missing node it is not known yet which nodes of its counterpart are needed
        for counterpart in self.missing.counterparts.values():
            if counterpart is not None:
                yield counterpart

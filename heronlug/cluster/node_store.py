"""The nodes of all replicated tables of a member, by their names."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from heronlug.cluster import merkle_trie

MAX_UNREQUESTED_NODES = 256
"""Nodes kept that no table misses: they may have overtaken their announcement."""

MIN_COLLECTION_SIZE = 1024
"""Nodes that are kept at least before unused ones are looked for."""


class Overlay(dict[int, bytes]):
    """A view of one mapping over another: reads see both, writes go into the upper one."""

    def __init__(self, lower: Mapping[int, bytes], upper: dict[int, bytes]) -> None:
        super().__init__()
        self._lower = lower
        self._upper = upper

    def __getitem__(self, name: int) -> bytes:
        return self._upper[name] if name in self._upper else self._lower[name]

    def __setitem__(self, name: int, node: bytes) -> None:
        if name not in self._lower:
            self._upper[name] = node


class MissingNodes:
    """The nodes of a table that are not there yet.

    Attributes:
        counterparts: By the name of each missing node, the node at the same place of the present table, if any.
        received: Nodes that have come for the table.
    """

    __slots__ = ("counterparts", "received")

    def __init__(self) -> None:
        self.counterparts: dict[int, int | None] = {}
        self.received: list[int] = []

    def clear(self) -> None:
        """Nothing is missing."""
        self.counterparts.clear()
        self.received.clear()


class NodeStore:
    """Nodes of tables, and nodes that have come without being requested.

    Attributes:
        nodes: The nodes by their names.
    """

    def __init__(self) -> None:
        self.nodes: dict[int, bytes] = {merkle_trie.EMPTY: b"L"}
        self._unrequested: OrderedDict[int, bytes] = OrderedDict()
        self._collection_size = MIN_COLLECTION_SIZE

    def add_unrequested(self, name: int, node: bytes) -> None:
        """Keep a node that no table misses; the oldest ones are dropped."""
        self._unrequested[name] = node
        while len(self._unrequested) > MAX_UNREQUESTED_NODES:
            self._unrequested.popitem(last=False)

    def find_missing(self, missing: MissingNodes, old: int | None, new: int) -> None:
        """Add to ``missing`` what is not there below the node ``new``, after unrequested nodes are put in."""
        found = merkle_trie.absent(self.nodes, old, new)
        while present := [name for name in found if name in self._unrequested]:
            for name in present:
                self.nodes[name] = self._unrequested.pop(name)
                missing.received.append(name)
                found.update(merkle_trie.absent(self.nodes, found.pop(name), name))
        missing.counterparts.update(found)

    @property
    def collection_due(self) -> bool:
        """Whether there are so many nodes that unused ones should be looked for."""
        return len(self.nodes) > self._collection_size

    def retain(self, roots: Iterable[int]) -> None:
        """Drop all nodes that are not below one of these."""
        reachable: set[int] = {merkle_trie.EMPTY}
        for root in roots:
            reachable.update(merkle_trie.names(self.nodes, root))
        self.nodes = {name: node for name, node in self.nodes.items() if name in reachable}
        self._collection_size = 2 * len(self.nodes) + MIN_COLLECTION_SIZE

"""Stores the nodes of all replicated tables of a member, by node name."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from heronlug.cluster import merkle_trie

MAX_UNREQUESTED_NODES = 256
"""The largest number of unrequested nodes stored: a node can arrive before the announcement of its table."""

MIN_COLLECTION_SIZE = 1024
"""The number of nodes, beyond twice the nodes in use, that the store may hold before unused nodes are dropped."""


class Overlay(dict[int, bytes]):
    """A view of two mappings: reads look in the upper mapping, then in the lower one; writes go to the upper one."""

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
    """The nodes of a new version of a table that have not arrived yet.

    Attributes:
        counterparts: Maps the name of each missing node to the node at the same position in the current version of
            the table, if any.
        received: The names of the nodes that have arrived for the new version.
    """

    __slots__ = ("counterparts", "received")

    def __init__(self) -> None:
        self.counterparts: dict[int, int | None] = {}
        self.received: list[int] = []

    def clear(self) -> None:
        """Discards the records of missing and received nodes."""
        self.counterparts.clear()
        self.received.clear()


class NodeStore:
    """The nodes of tables, and a bounded number of nodes that arrived without being requested.

    Attributes:
        nodes: The nodes of tables by name.
    """

    def __init__(self) -> None:
        self.nodes: dict[int, bytes] = {merkle_trie.EMPTY: b"L"}
        self._unrequested: OrderedDict[int, bytes] = OrderedDict()
        self._collection_size = MIN_COLLECTION_SIZE

    def add_unrequested(self, name: int, node: bytes) -> None:
        """Stores a node that no table is missing; the oldest such nodes are dropped above ``MAX_UNREQUESTED_NODES``."""
        self._unrequested[name] = node
        while len(self._unrequested) > MAX_UNREQUESTED_NODES:
            self._unrequested.popitem(last=False)

    def find_missing(self, missing: MissingNodes, old: int | None, new: int) -> None:
        """Moves unrequested nodes of a table into the store and adds the nodes still absent to ``missing``.

        Args:
            missing: The record of missing and received nodes, which is extended.
            old: The root of a complete older version of the table, or None.
            new: The root of the table or subtree to search.
        """
        found = merkle_trie.absent(self.nodes, old, new)
        while present := [name for name in found if name in self._unrequested]:
            for name in present:
                self.nodes[name] = self._unrequested.pop(name)
                missing.received.append(name)
                found.update(merkle_trie.absent(self.nodes, found.pop(name), name))
        missing.counterparts.update(found)

    @property
    def collection_due(self) -> bool:
        """Returns whether the store has grown so large that unused nodes should be collected."""
        return len(self.nodes) > self._collection_size

    def retain(self, roots: Iterable[int]) -> None:
        """Drops all nodes that are not reachable from one of the roots."""
        reachable: set[int] = {merkle_trie.EMPTY}
        for root in roots:
            reachable.update(merkle_trie.names(self.nodes, root))
        self.nodes = {name: node for name, node in self.nodes.items() if name in reachable}
        self._collection_size = 2 * len(self.nodes) + MIN_COLLECTION_SIZE

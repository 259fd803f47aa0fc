"""A table of rows as a tree of small nodes, each named by the hash of its content (Merkle 1987, Bagwell 2001).

Rows are placed by the hash of their key, two bits a level; with four bits a level leaves are half as full. A node that
would be larger than a datagram allows is a branch. The same rows give the same tree in whatever order they came, so
two tables are equal if their roots are, and differences are found without looking at equal subtrees. A store is a
mapping from the names of nodes to their bytes.

    leaf      "L", then rows in the order of their keys: lengths of key and value (a byte each), key, value
    branch    "B", a bit for each child that is present, then the children's names, 8 bytes each
"""

import struct
from collections.abc import Iterator, Mapping, MutableMapping

from xxhash import xxh3_64_intdigest, xxh64_intdigest

from heronlug.cluster.errors import MalformedNodeError, RowTooLongError

LEAF_MARK = b"L"
"""The first byte of a leaf."""

BRANCH_MARK = b"B"
"""The first byte of a branch."""

MAX_LEAF_SIZE = 224
"""Bytes of a leaf at most; larger ones are split."""

ROW_OVERHEAD = 2
"""Bytes of a row besides its key and its value."""

MAX_ROW_SIZE = MAX_LEAF_SIZE - len(LEAF_MARK) - ROW_OVERHEAD
"""Bytes of a key and its value together at most."""

NAME_SIZE = 8
"""Bytes of a node's name in a branch."""

HASH_BITS = 64
"""Bits of the hash of a key."""

BITS_PER_LEVEL = 2
"""Bits of that hash that choose a child."""

MAX_LEVELS = HASH_BITS // BITS_PER_LEVEL
"""Levels of the tree at most."""

MAX_CHILDREN = 1 << BITS_PER_LEVEL
"""Children of a branch at most."""

Rows = dict[bytes, bytes]
Nodes = Mapping[int, bytes]


def name_of(node: bytes) -> int:
    """The name of a node: the hash of its content."""
    return int(xxh3_64_intdigest(node))


def _child_index(key: bytes, level: int) -> int:
    return int(xxh64_intdigest(key)) >> (HASH_BITS - BITS_PER_LEVEL * (level + 1)) & (MAX_CHILDREN - 1)


def _leaf(rows: Rows) -> bytes:
    return LEAF_MARK + b"".join(bytes((len(key), len(rows[key]))) + key + rows[key] for key in sorted(rows))


def _leaf_size(rows: Mapping[bytes, bytes]) -> int:
    return len(LEAF_MARK) + sum(len(key) + len(value) + ROW_OVERHEAD for key, value in rows.items())


def _branch(children: dict[int, int]) -> bytes:
    child_bits = sum(1 << index for index in children)
    return struct.pack(
        f">cB{len(children)}Q", BRANCH_MARK, child_bits, *(children[index] for index in sorted(children))
    )


def rows_of(node: bytes) -> Rows | None:
    """The rows of a leaf, None for a branch; raises :class:`MalformedNodeError`."""
    if node[:1] == BRANCH_MARK:
        return None
    if node[:1] != LEAF_MARK:
        msg = f"a node starts with {node[:1]!r}, not with L or B"
        raise MalformedNodeError(msg)
    rows: Rows = {}
    offset = len(LEAF_MARK)
    while offset < len(node):
        if offset + ROW_OVERHEAD > len(node):
            msg = "a row of a leaf is cut off"
            raise MalformedNodeError(msg)
        key_at = offset + ROW_OVERHEAD
        value_at = key_at + node[offset]
        end = value_at + node[offset + 1]
        if end > len(node):
            msg = "a row of a leaf is cut off"
            raise MalformedNodeError(msg)
        rows[node[key_at:value_at]] = node[value_at:end]
        offset = end
    return rows


def children_of(node: bytes) -> dict[int, int]:
    """The children of a branch by their index, none for a leaf; raises :class:`MalformedNodeError`."""
    if node[:1] == LEAF_MARK:
        return {}
    if len(node) < 2 or node[:1] != BRANCH_MARK or node[1] >> MAX_CHILDREN:
        msg = "a node is neither a leaf nor a branch"
        raise MalformedNodeError(msg)
    indexes = [index for index in range(MAX_CHILDREN) if node[1] >> index & 1]
    if len(node) != 2 + NAME_SIZE * len(indexes):
        msg = f"a branch with {len(indexes)} children has {len(node)} bytes"
        raise MalformedNodeError(msg)
    return dict(zip(indexes, struct.unpack_from(f">{len(indexes)}Q", node, 2), strict=True))


def _store_node(nodes: MutableMapping[int, bytes], node: bytes) -> int:
    name = name_of(node)
    nodes[name] = node
    return name


def build(rows: Mapping[bytes, bytes], nodes: MutableMapping[int, bytes], level: int = 0) -> int:
    """Put a complete table into a store, and return its root; raises :class:`RowTooLongError`."""
    size = _leaf_size(rows)
    if size <= MAX_LEAF_SIZE:
        return _store_node(nodes, _leaf(dict(rows)))
    if level == MAX_LEVELS or len(rows) == 1:
        raise RowTooLongError(size - len(LEAF_MARK) - ROW_OVERHEAD, MAX_ROW_SIZE)
    parts: dict[int, Rows] = {}
    for key, value in rows.items():
        parts.setdefault(_child_index(key, level), {})[key] = value
    return _store_node(nodes, _branch({index: build(part, nodes, level + 1) for index, part in parts.items()}))


def change(nodes: MutableMapping[int, bytes], root: int, key: bytes, value: bytes | None, level: int = 0) -> int:
    """The root of the table with this row put in, or removed if it is None; raises :class:`RowTooLongError`."""
    node = nodes[root]
    rows = rows_of(node)
    if rows is not None:
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = value
        return build(rows, nodes, level)
    children = children_of(node)
    index = _child_index(key, level)
    if index in children:
        new_child = change(nodes, children[index], key, value, level + 1)
        children[index] = new_child
        if nodes[new_child] == LEAF_MARK:
            del children[index]
    elif value is not None:
        children[index] = build({key: value}, nodes, level + 1)
    if value is None:
        # rows that fit into one leaf are one leaf; those of a branch never do
        leaves = [rows_of(nodes[child]) for child in children.values()]
        if all(leaf is not None for leaf in leaves):
            merged_rows = {key: value for leaf in leaves if leaf for key, value in leaf.items()}
            if _leaf_size(merged_rows) <= MAX_LEAF_SIZE:
                return build(merged_rows, nodes, level)
    return _store_node(nodes, _branch(children))


def walk(nodes: Nodes, root: int) -> Iterator[tuple[bytes, bytes]]:
    """All rows of a table; raises ``KeyError`` if a node is missing."""
    node = nodes[root]
    rows = rows_of(node)
    if rows is not None:
        yield from rows.items()
    for child in children_of(node).values():
        yield from walk(nodes, child)


def names(nodes: Nodes, root: int) -> Iterator[int]:
    """The names of all nodes below a root that are present, the root first."""
    node = nodes.get(root)
    if node is not None:
        yield root
        for child in children_of(node).values():
            yield from names(nodes, child)


def difference(nodes: Nodes, old: int, new: int) -> dict[bytes, bytes | None]:
    """What changes from one table to another: rows that are new or different, and None for removed ones."""
    if old == new:
        return {}
    before, after = children_of(nodes[old]), children_of(nodes[new])
    if before and after:
        changes: dict[bytes, bytes | None] = {}
        for index in before.keys() | after.keys():
            if index not in after:
                changes.update((key, None) for key, _ in walk(nodes, before[index]))
            elif index not in before:
                changes.update(walk(nodes, after[index]))
            else:
                changes.update(difference(nodes, before[index], after[index]))
        return changes
    old_rows, new_rows = dict(walk(nodes, old)), dict(walk(nodes, new))
    changes = {key: value for key, value in new_rows.items() if old_rows.get(key) != value}
    changes.update((key, None) for key in old_rows.keys() - new_rows.keys())
    return changes


def absent(nodes: Nodes, old: int | None, new: int) -> dict[int, int | None]:
    """The missing nodes of a table as far as they are known, each with the node at its place in an older table.

    Nodes that the older table, which is complete, has at the same place are not looked into.
    """
    if new == old:
        return {}
    node = nodes.get(new)
    if node is None:
        return {new: old}
    old_node = nodes.get(old) if old is not None else None
    counterparts = children_of(old_node) if old_node is not None else {}
    found: dict[int, int | None] = {}
    for index, child in children_of(node).items():
        found.update(absent(nodes, counterparts.get(index), child))
    return found


EMPTY = name_of(LEAF_MARK)
"""The name of the empty table's root."""

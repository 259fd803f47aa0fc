"""Stores a table of rows as a tree of small nodes named by their content's hash (Merkle 1987, Bagwell 2001).

A row's position follows from the hash of its key, two bits per level; with four bits per level, leaves would be half
as full. Rows that do not fit into a leaf, and so into a datagram, are split over the children of a branch. Equal rows
give an equal tree regardless of the order in which they were added, so two tables are equal if their roots are equal,
and differences are found without reading equal subtrees. A store maps the names of nodes to their bytes.

    leaf      "L", then rows in the order of their keys: lengths of key and value (one byte each), key, value
    branch    "B", one byte with a bit for each present child, then the children's names, 8 bytes each
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
"""The largest size of a leaf in bytes; a larger leaf is split."""

ROW_OVERHEAD = 2
"""The bytes of a row in addition to its key and its value."""

MAX_ROW_SIZE = MAX_LEAF_SIZE - len(LEAF_MARK) - ROW_OVERHEAD
"""The largest total size of a key and its value, in bytes."""

NAME_SIZE = 8
"""The size of a node's name in a branch, in bytes."""

HASH_BITS = 64
"""The number of bits in the hash of a key."""

BITS_PER_LEVEL = 2
"""The number of bits of the key's hash that select the child at each level."""

MAX_LEVELS = HASH_BITS // BITS_PER_LEVEL
"""The largest number of branch levels in the tree."""

MAX_CHILDREN = 1 << BITS_PER_LEVEL
"""The largest number of children of a branch."""

Rows = dict[bytes, bytes]
Nodes = Mapping[int, bytes]


def name_of(node: bytes) -> int:
    """Returns the name of a node, which is the hash of its content."""
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
    """Returns the rows of a leaf, or None for a branch.

    Raises:
        MalformedNodeError: If the node has an unknown first byte or a truncated row.
    """
    if node[:1] == BRANCH_MARK:
        return None
    if node[:1] != LEAF_MARK:
        msg = f"a node starts with {node[:1]!r}; it must start with L (leaf) or B (branch)"
        raise MalformedNodeError(msg)
    rows: Rows = {}
    offset = len(LEAF_MARK)
    while offset < len(node):
        if offset + ROW_OVERHEAD > len(node):
            msg = "a row of a leaf is truncated"
            raise MalformedNodeError(msg)
        key_at = offset + ROW_OVERHEAD
        value_at = key_at + node[offset]
        end = value_at + node[offset + 1]
        if end > len(node):
            msg = "a row of a leaf is truncated"
            raise MalformedNodeError(msg)
        rows[node[key_at:value_at]] = node[value_at:end]
        offset = end
    return rows


def children_of(node: bytes) -> dict[int, int]:
    """Returns the names of a branch's children by their index, or an empty mapping for a leaf.

    Raises:
        MalformedNodeError: If the node is neither a leaf nor a valid branch.
    """
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
    """Adds the nodes of a complete table, or of a subtree at ``level``, to a store and returns the name of the root.

    Raises:
        RowTooLongError: If a row does not fit into a leaf.
    """
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
    """Sets one row of the table or subtree under ``root`` and returns the name of the new root.

    Args:
        nodes: The store, which must hold the table; new nodes are added and no node is removed.
        root: The name of the root of the table or subtree.
        key: The key of the row.
        value: The new value, or None to remove the row.
        level: The level of ``root`` in the tree; 0 for a table.

    Raises:
        RowTooLongError: If the row does not fit into a leaf.
    """
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
        # Rows that fit into one leaf must form one leaf, so that equal rows give an equal tree.
        # The rows of a child that is a branch never fit.
        leaves = [rows_of(nodes[child]) for child in children.values()]
        if all(leaf is not None for leaf in leaves):
            merged_rows = {key: value for leaf in leaves if leaf for key, value in leaf.items()}
            if _leaf_size(merged_rows) <= MAX_LEAF_SIZE:
                return build(merged_rows, nodes, level)
    return _store_node(nodes, _branch(children))


def walk(nodes: Nodes, root: int) -> Iterator[tuple[bytes, bytes]]:
    """Yields all rows of the table under ``root``.

    Raises:
        KeyError: If a node is missing from the store.
    """
    node = nodes[root]
    rows = rows_of(node)
    if rows is not None:
        yield from rows.items()
    for child in children_of(node).values():
        yield from walk(nodes, child)


def names(nodes: Nodes, root: int) -> Iterator[int]:
    """Yields the names of the root and of all nodes below it that are in the store, parents first."""
    node = nodes.get(root)
    if node is not None:
        yield root
        for child in children_of(node).values():
            yield from names(nodes, child)


def difference(nodes: Nodes, old: int, new: int) -> dict[bytes, bytes | None]:
    """Returns the changes from table ``old`` to table ``new``: new and changed rows by key, None for a removed row."""
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
    """Returns the missing nodes of table ``new`` whose names are known.

    A subtree that the older table, which is complete, has at the same position is not searched.

    Returns:
        The names of the missing nodes, each mapped to the node at the same position in table ``old``, if any.
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
"""The name of the root of an empty table."""

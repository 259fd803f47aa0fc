"""A table of rows as a tree of small nodes, each named by its content (a Merkle trie; Merkle 1987, Bagwell 2001).

Rows stand by the hash of their key, two bits a level (four leave leaves half as full); a node that would be larger
than a datagram takes is a branch.
The same rows give the same tree whatever order they came in, so two tables are alike when their roots are, and what
differs is found without looking at what does not.  A store is a mapping from names of nodes to their bytes.

    leaf      "L", then rows in the order of their keys: lengths of key and value (a byte each), key, value
    branch    "B", a bit for each child that is there, then their names, 8 bytes each
"""

import struct
from collections.abc import Iterator, Mapping, MutableMapping

from xxhash import xxh3_64_intdigest, xxh64_intdigest

MAX_LEAF_SIZE = 224  # bytes of a leaf that can still be split
MAX_ROW_SIZE = MAX_LEAF_SIZE - 3  # of a key and its value together
BITS_PER_LEVEL = 2  # of the hash that a level takes
LEVELS, WIDTH = 64 // BITS_PER_LEVEL, 1 << BITS_PER_LEVEL
Rows = dict[bytes, bytes]
Nodes = Mapping[int, bytes]


class MalformedNodeError(ValueError):
    """Bytes that are no node."""


def name_of(node: bytes) -> int:
    """The name of a node."""
    return int(xxh3_64_intdigest(node))


def _place(key: bytes, level: int) -> int:
    return int(xxh64_intdigest(key)) >> (64 - BITS_PER_LEVEL * (level + 1)) & (WIDTH - 1)


def _leaf(rows: Rows) -> bytes:
    return b"L" + b"".join(bytes((len(k), len(rows[k]))) + k + rows[k] for k in sorted(rows))


def _branch(children: dict[int, int]) -> bytes:
    bits = sum(1 << place for place in children)
    return struct.pack(f">cB{len(children)}Q", b"B", bits, *(children[place] for place in sorted(children)))


def rows_of(node: bytes) -> Rows | None:
    """The rows of a leaf, None for a branch; raises :class:`MalformedNodeError`."""
    if node[:1] == b"B":
        return None
    if node[:1] != b"L":
        raise MalformedNodeError(f"a node that begins with {node[:1]!r}")
    rows, at = {}, 1
    while at < len(node):
        if at + 2 > len(node) or at + 2 + node[at] + node[at + 1] > len(node):
            raise MalformedNodeError("a row is cut off")
        middle = at + 2 + node[at]
        end = middle + node[at + 1]
        rows[node[at + 2 : middle]] = node[middle:end]
        at = end
    return rows


def children_of(node: bytes) -> dict[int, int]:
    """The children of a branch by their place, none for a leaf; raises :class:`MalformedNodeError`."""
    if node[:1] == b"L":
        return {}
    if len(node) < 2 or node[:1] != b"B" or node[1] >> WIDTH:
        raise MalformedNodeError("neither leaf nor branch")
    places = [place for place in range(WIDTH) if node[1] >> place & 1]
    if len(node) != 2 + 8 * len(places):
        raise MalformedNodeError("a branch of another length than its children take")
    return dict(zip(places, struct.unpack_from(f">{len(places)}Q", node, 2), strict=True))


def _put(nodes: MutableMapping[int, bytes], node: bytes) -> int:
    name = name_of(node)
    nodes[name] = node
    return name


def build(rows: Mapping[bytes, bytes], nodes: MutableMapping[int, bytes], level: int = 0) -> int:
    """Put a whole table into a store and return its root; raises ``ValueError`` for a row that is too long."""
    size = sum(len(key) + len(value) + 2 for key, value in rows.items()) + 1
    if size <= MAX_LEAF_SIZE:
        return _put(nodes, _leaf(dict(rows)))
    if level == LEVELS or len(rows) == 1:
        raise ValueError(f"a row of {size - 3} bytes: {MAX_ROW_SIZE} at most")
    parts: dict[int, Rows] = {}
    for key, value in rows.items():
        parts.setdefault(_place(key, level), {})[key] = value
    return _put(nodes, _branch({place: build(part, nodes, level + 1) for place, part in parts.items()}))


def change(nodes: MutableMapping[int, bytes], root: int, key: bytes, value: bytes | None, level: int = 0) -> int:
    """The root of the table with this row put in, or taken out with None; raises ``ValueError`` as :func:`build`."""
    node = nodes[root]
    rows = rows_of(node)
    if rows is not None:
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = value
        return build(rows, nodes, level)
    children = children_of(node)
    place = _place(key, level)
    if place in children:
        below = change(nodes, children[place], key, value, level + 1)
        children[place] = below
        if nodes[below] == b"L":
            del children[place]
    elif value is not None:
        children[place] = build({key: value}, nodes, level + 1)
    if value is None:
        # what fits into one leaf is one leaf: a child that is a branch does not fit by itself
        leaves = [rows_of(nodes[child]) for child in children.values()]
        if all(leaf is not None for leaf in leaves):
            together = {k: v for leaf in leaves if leaf for k, v in leaf.items()}
            if sum(len(k) + len(v) + 2 for k, v in together.items()) + 1 <= MAX_LEAF_SIZE:
                return build(together, nodes, level)
    return _put(nodes, _branch(children))


def walk(nodes: Nodes, root: int) -> Iterator[tuple[bytes, bytes]]:
    """All rows; raises ``KeyError`` where a node is not there."""
    node = nodes[root]
    rows = rows_of(node)
    if rows is not None:
        yield from rows.items()
    for child in children_of(node).values():
        yield from walk(nodes, child)


def names(nodes: Nodes, root: int) -> Iterator[int]:
    """The names of all nodes below a root that are there, itself first."""
    node = nodes.get(root)
    if node is not None:
        yield root
        for child in children_of(node).values():
            yield from names(nodes, child)


def difference(nodes: Nodes, old: int, new: int) -> dict[bytes, bytes | None]:
    """What changes from one table to another: the rows that are new or other, and None for those that go."""
    if old == new:
        return {}
    before, after = children_of(nodes[old]), children_of(nodes[new])
    if before and after:
        changes: dict[bytes, bytes | None] = {}
        for place in before.keys() | after.keys():
            if place not in after:
                changes.update((key, None) for key, _ in walk(nodes, before[place]))
            elif place not in before:
                changes.update(walk(nodes, after[place]))
            else:
                changes.update(difference(nodes, before[place], after[place]))
        return changes
    was, now = dict(walk(nodes, old)), dict(walk(nodes, new))
    changes = {key: value for key, value in now.items() if was.get(key) != value}
    changes.update((key, None) for key in was.keys() - now.keys())
    return changes


def absent(nodes: Nodes, old: int | None, new: int) -> dict[int, int | None]:
    """The nodes of a table that are not there, as far as can be seen, each with its counterpart in an older table.

    What is at the same place in the older one, which is there whole, is not looked into.
    """
    if new == old:
        return {}
    node = nodes.get(new)
    if node is None:
        return {new: old}
    known = nodes.get(old) if old is not None else None
    counterparts = children_of(known) if known is not None else {}
    found: dict[int, int | None] = {}
    for place, child in children_of(node).items():
        found.update(absent(nodes, counterparts.get(place), child))
    return found


EMPTY = name_of(b"L")

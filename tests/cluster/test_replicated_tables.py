"""Tests replicated tables and the Merkle trie that stores them.

Equal rows must give equal tries, a version must be applied completely or not at all, and a change must reach each
member despite lost datagrams.
"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cluster.virtual_network import VirtualNetwork
from heronlug.cluster import merkle_trie
from heronlug.cluster.errors import MalformedNodeError
from heronlug.cluster.model import FencingToken

TABLE = "register"
KEYS = st.binary(min_size=1, max_size=24)
VALUES = st.binary(max_size=90)
MAX_PROPAGATION_MS = 2500.0
"""Time limit for a change to reach all members, in milliseconds, as promised for draining servers."""


@given(st.dictionaries(KEYS, VALUES, max_size=60), st.lists(st.tuples(KEYS, st.none() | VALUES), max_size=30))
def test_the_same_rows_give_the_same_tree_and_the_difference_is_what_changed(
    rows: dict[bytes, bytes], changes: list[tuple[bytes, bytes | None]]
) -> None:
    """Guards against tries that depend on the order of changes, and against wrong or incomplete differences."""
    nodes: dict[int, bytes] = {}
    original_root = root = merkle_trie.build(rows, nodes)
    changed = dict(rows)
    keys = [*rows]
    for number, (key, value) in enumerate(changes):
        if keys and number % 2:
            key = keys[number % len(keys)]  # every second change targets an existing row
        root = merkle_trie.change(nodes, root, key, value)
        if value is None:
            changed.pop(key, None)
        else:
            changed[key] = value
    assert dict(merkle_trie.walk(nodes, root)) == changed
    assert root == merkle_trie.build(changed, {})
    assert all(len(node) <= merkle_trie.MAX_LEAF_SIZE for node in nodes.values())
    difference = merkle_trie.difference(nodes, original_root, root)
    assert difference == {k: changed.get(k) for k in rows.keys() | changed.keys() if rows.get(k) != changed.get(k)}


@given(st.dictionaries(KEYS, VALUES, min_size=20, max_size=60), st.integers(0, 2**32))
def test_missing_nodes_are_found_whatever_is_present(rows: dict[bytes, bytes], seed: int) -> None:
    """Guards against a fetch that ends without all rows because some nodes were already present."""
    all_nodes: dict[int, bytes] = {}
    old_root = merkle_trie.build({key: rows[key] for key in list(rows)[::2]}, all_nodes)
    new_root = merkle_trie.build(rows, all_nodes)
    old_names, rng = set(merkle_trie.names(all_nodes, old_root)), Random(seed)
    present = {name: node for name, node in all_nodes.items() if name in old_names or rng.random() < 0.5}
    missing = merkle_trie.absent(present, old_root, new_root)
    while missing:
        name, counterpart = missing.popitem()
        present[name] = all_nodes[name]
        missing.update(merkle_trie.absent(present, counterpart, name))
    assert dict(merkle_trie.walk(present, new_root)) == rows


def test_a_row_too_long_for_a_datagram_is_rejected_and_changes_nothing() -> None:
    """Guards against rows that exceed a datagram, and against a table changed by a rejected row."""
    nodes: dict[int, bytes] = {}
    root = merkle_trie.build({b"a": b"1"}, nodes)
    with pytest.raises(ValueError, match=f"{merkle_trie.MAX_ROW_SIZE} at most"):
        merkle_trie.change(nodes, root, b"k", b"x" * merkle_trie.MAX_ROW_SIZE)
    assert dict(merkle_trie.walk(nodes, root)) == {b"a": b"1"}


@given(st.binary(max_size=40))
def test_malformed_nodes_raise(data: bytes) -> None:
    """Guards against other errors than ``MalformedNodeError``, or an unknown node type, on arbitrary bytes."""
    try:
        merkle_trie.rows_of(data)
        merkle_trie.children_of(data)
    except MalformedNodeError:
        return
    assert data[:1] in (b"L", b"B")


def replicated_network(seed: int, names: str | list[str], loss: float, rows: int = 60) -> tuple[VirtualNetwork, str]:
    """Returns a network whose members all have a table of ``rows`` rows, and the name of the writer."""
    net = VirtualNetwork(names, seed, loss=loss, leases=[TABLE], topics=[TABLE])
    for name in net.names:
        net.start(name)
    net.run(8000)
    owner = net.owner(TABLE)
    assert owner is not None
    assert net.publish(owner, TABLE, {b"h%d" % n: b"value %d" % n for n in range(rows)})
    net.run(6000)
    return net, owner


def members_with_other_rows(net: VirtualNetwork, rows: dict[bytes, bytes]) -> list[str]:
    """Returns the names of the members whose table differs from ``rows``."""
    return [name for name, process in net.processes.items() if process.tables[TABLE] != rows]


@pytest.mark.parametrize(("members", "loss"), [(4, 0.0), (4, 0.3), (12, 0.3)])
def test_a_change_reaches_all_members_within_the_drain_time(members: int, loss: float) -> None:
    """Guards against a change that arrives late or is applied in part.

    Publishes ten changes for each of six seeds; each change updates a row and removes another row.
    """
    for seed in range(6):
        net, owner = replicated_network(seed, [f"m{n}" for n in range(members)], loss)
        rows = dict(net.processes[owner].tables[TABLE])
        for number in range(10):
            if not net.publish(owner, TABLE, {b"h%d" % number: b"draining", b"h%d" % (number + 20): None}):
                break  # the lease expired because of lost responses; another member is the writer now
            before = dict(rows)
            rows[b"h%d" % number] = b"draining"
            rows.pop(b"h%d" % (number + 20), None)
            started_at = net.now
            while members_with_other_rows(net, rows) and net.now - started_at <= MAX_PROPAGATION_MS:
                net.run(20)
                for process in net.processes.values():
                    assert process.tables[TABLE] in (before, rows), f"seed {seed}: a change was applied in part"
            assert not members_with_other_rows(
                net, rows
            ), f"seed {seed}: {members_with_other_rows(net, rows)} lack the change after {MAX_PROPAGATION_MS:.0f} ms"


def test_a_dead_writer_is_noticed_and_its_successor_continues_from_its_rows() -> None:
    """Guards against a table that counts as fresh after its writer's death, and against rows lost at takeover."""
    for seed in range(4):
        net, owner = replicated_network(seed, "abcd", 0.3)
        rows = dict(net.processes[owner].tables[TABLE])
        net.kill(owner)
        net.run(1600)
        ages = [process.node.tables.age(TABLE, process.clock()) for process in net.processes.values()]
        assert min(ages) > 1000, f"seed {seed}: a table without a writer counts as fresh"
        net.run(4000)
        successor = net.owner(TABLE)
        assert successor is not None
        assert successor != owner
        assert net.publish(successor, TABLE, {b"h1": b"new"})
        net.run(2500)
        assert not members_with_other_rows(net, {**rows, b"h1": b"new"})


def test_a_paused_writer_does_not_restore_its_old_rows() -> None:
    """Guards against a writer that resumes after its lease expired and overwrites its successor's rows."""
    net, owner = replicated_network(9, "abcd", 0.0)
    net.pause(owner, 9000)
    net.run(7000)
    successor = net.owner(TABLE)
    assert successor is not None
    assert successor != owner
    assert net.publish(successor, TABLE, {b"h1": b"new"})
    net.run(2500)  # the paused writer resumes with an expired lease
    assert not net.publish(owner, TABLE, {b"h1": b"old"})
    net.run(2500)
    assert not members_with_other_rows(net, {**net.processes[successor].tables[TABLE]})
    assert net.processes[owner].tables[TABLE][b"h1"] == b"new"


def test_both_sides_of_a_healed_partition_converge_to_one_table() -> None:
    """Guards against two writers and two tables that remain after both sides of a partition have published."""
    net, owner = replicated_network(4, "abcd", 0.0)
    net.may_overlap = True
    net.split("ab", "cd")
    net.run(8000)
    publishers = net.owners(TABLE)
    assert len(publishers) == 2
    for name in publishers:
        assert net.publish(name, TABLE, {b"side": name.encode()})
    net.run(2000)
    net.cut.clear()
    net.run(9000)
    sides = {process.tables[TABLE][b"side"] for process in net.processes.values()}
    assert len(net.owners(TABLE)) == 1
    assert len(sides) == 1


def test_a_late_joiner_gets_the_complete_table() -> None:
    """Guards against a joining member that never gets the nodes published before it joined."""
    net, owner = replicated_network(5, "abcd", 0.3, rows=400)
    joiner = next(name for name in net.names if name != owner)
    net.kill(joiner)
    net.run(6000)
    net.start(joiner)
    net.run(9000)
    publisher = net.owner(TABLE)
    assert publisher is not None
    assert net.publish(publisher, TABLE, {})
    net.run(4000)
    assert not members_with_other_rows(net, net.processes[publisher].node.tables.rows(TABLE))


def test_nodes_of_old_versions_are_dropped() -> None:
    """Guards against unbounded memory use by nodes of replaced versions."""
    net, owner = replicated_network(6, "ab", 0.0, rows=200)
    for number in range(400):
        assert net.publish(owner, TABLE, {b"h%d" % (number % 200): b"%d" % number})
        net.run(20)
    net.run(2000)
    live_count = len(
        set(
            merkle_trie.names(
                net.processes[owner].node.tables.nodes,
                net.processes[owner].node.tables.states[next(iter(net.processes[owner].node.tables.states))].root,
            )
        )
    )
    for process in net.processes.values():
        assert len(process.node.tables.nodes) < 3 * live_count + 1100
    assert not members_with_other_rows(net, net.processes[owner].tables[TABLE])


def test_a_table_under_a_lower_token_is_ignored() -> None:
    """Guards against a stale writer that replaces the table of a writer with a higher fencing token."""
    net, owner = replicated_network(7, "ab", 0.0)
    other = next(name for name in net.names if name != owner)
    tables = net.processes[other].node.tables
    before = tables.rows(TABLE)
    tables.publish(TABLE, FencingToken(1, 1), {b"h1": b"late"}, net.processes[other].clock())
    net._do(net.processes[other], net.processes[other].node.flush(net.processes[other].clock()))
    net.run(2000)
    assert net.processes[owner].tables[TABLE] == before
    assert net.processes[other].node.tables.rows(TABLE) == before

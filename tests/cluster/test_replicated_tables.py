"""Replicated tables: the tree is canonical, a table is taken whole or not at all, and gets through whatever is lost."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cluster.virtual_network import VirtualNetwork
from heronlug.cluster import merkle_trie
from heronlug.cluster.errors import MalformedNodeError
from heronlug.cluster.model import FencingToken

TOPIC = "register"
KEYS = st.binary(min_size=1, max_size=24)
VALUES = st.binary(max_size=90)
REACHED = 2500.0  # ms in which a change has to be known by all: the drain promise


@given(st.dictionaries(KEYS, VALUES, max_size=60), st.lists(st.tuples(KEYS, st.none() | VALUES), max_size=30))
def test_the_same_rows_give_the_same_tree_and_the_difference_is_what_changed(
    rows: dict[bytes, bytes], changes: list[tuple[bytes, bytes | None]]
) -> None:
    nodes: dict[int, bytes] = {}
    first = root = merkle_trie.build(rows, nodes)
    changed = dict(rows)
    keys = [*rows]
    for number, (key, value) in enumerate(changes):
        if keys and number % 2:
            key = keys[number % len(keys)]  # one that is there
        root = merkle_trie.change(nodes, root, key, value)
        if value is None:
            changed.pop(key, None)
        else:
            changed[key] = value
    assert dict(merkle_trie.walk(nodes, root)) == changed
    assert root == merkle_trie.build(changed, {})
    assert all(len(node) <= merkle_trie.MAX_LEAF_SIZE for node in nodes.values())
    told = merkle_trie.difference(nodes, first, root)
    assert told == {k: changed.get(k) for k in rows.keys() | changed.keys() if rows.get(k) != changed.get(k)}


@given(st.dictionaries(KEYS, VALUES, min_size=20, max_size=60), st.integers(0, 2**32))
def test_missing_nodes_are_found_whatever_is_present(rows: dict[bytes, bytes], seed: int) -> None:
    whole: dict[int, bytes] = {}
    old = merkle_trie.build({key: rows[key] for key in list(rows)[::2]}, whole)
    new = merkle_trie.build(rows, whole)
    kept, rng = set(merkle_trie.names(whole, old)), Random(seed)
    there = {name: node for name, node in whole.items() if name in kept or rng.random() < 0.5}
    missing = merkle_trie.absent(there, old, new)
    while missing:
        name, counterpart = missing.popitem()
        there[name] = whole[name]
        missing.update(merkle_trie.absent(there, counterpart, name))
    assert dict(merkle_trie.walk(there, new)) == rows


def test_a_row_too_long_for_a_datagram_is_rejected_and_changes_nothing() -> None:
    nodes: dict[int, bytes] = {}
    root = merkle_trie.build({b"a": b"1"}, nodes)
    with pytest.raises(ValueError, match=f"{merkle_trie.MAX_ROW_SIZE} at most"):
        merkle_trie.change(nodes, root, b"k", b"x" * merkle_trie.MAX_ROW_SIZE)
    assert dict(merkle_trie.walk(nodes, root)) == {b"a": b"1"}


@given(st.binary(max_size=40))
def test_malformed_nodes_raise(data: bytes) -> None:
    try:
        merkle_trie.rows_of(data)
        merkle_trie.children_of(data)
    except MalformedNodeError:
        return
    assert data[:1] in (b"L", b"B")


def settled(seed: int, names: str | list[str], loss: float, rows: int = 60) -> tuple[VirtualNetwork, str]:
    """Members that all have a table of so many rows, and who publishes it."""
    net = VirtualNetwork(names, seed, loss=loss, leases=[TOPIC], topics=[TOPIC])
    for name in net.names:
        net.start(name)
    net.run(8000)
    owner = net.owner(TOPIC)
    assert owner is not None
    assert net.publish(owner, TOPIC, {b"h%d" % n: b"value %d" % n for n in range(rows)})
    net.run(6000)
    return net, owner


def behind(net: VirtualNetwork, rows: dict[bytes, bytes]) -> list[str]:
    """Who has something else."""
    return [name for name, process in net.processes.items() if process.tables[TOPIC] != rows]


@pytest.mark.parametrize(("members", "loss"), [(4, 0.0), (4, 0.3), (12, 0.3)])
def test_a_change_reaches_all_members_within_the_drain_time(members: int, loss: float) -> None:
    """Ten changes at each of six seeds, one row each; the table is never taken by halves."""
    for seed in range(6):
        net, owner = settled(seed, [f"m{n}" for n in range(members)], loss)
        rows = dict(net.processes[owner].tables[TOPIC])
        for turn in range(10):
            if not net.publish(owner, TOPIC, {b"h%d" % turn: b"draining", b"h%d" % (turn + 20): None}):
                break  # its lease has run out for want of answers: another publishes from what it has
            before = dict(rows)
            rows[b"h%d" % turn] = b"draining"
            rows.pop(b"h%d" % (turn + 20), None)
            begun = net.now
            while behind(net, rows) and net.now - begun <= REACHED:
                net.run(20)
                for process in net.processes.values():
                    assert process.tables[TOPIC] in (before, rows), f"seed {seed}: half of a change was taken"
            assert not behind(net, rows), f"seed {seed}: {behind(net, rows)} do not know after {REACHED:.0f} ms"


def test_a_dead_writer_is_noticed_and_its_successor_continues_from_its_rows() -> None:
    for seed in range(4):
        net, owner = settled(seed, "abcd", 0.3)
        rows = dict(net.processes[owner].tables[TOPIC])
        net.kill(owner)
        net.run(1600)
        ages = [p.node.tables.age(TOPIC, p.clock()) for p in net.processes.values()]
        assert min(ages) > 1000, f"seed {seed}: nobody publishes, and the sheet is taken for fresh"
        net.run(4000)
        successor = net.owner(TOPIC)
        assert successor is not None
        assert successor != owner
        assert net.publish(successor, TOPIC, {b"h1": b"new"})
        net.run(2500)
        assert not behind(net, {**rows, b"h1": b"new"})


def test_a_paused_writer_does_not_restore_its_old_rows() -> None:
    net, owner = settled(9, "abcd", 0.0)
    net.pause(owner, 9000)
    net.run(7000)
    successor = net.owner(TOPIC)
    assert successor is not None
    assert successor != owner
    assert net.publish(successor, TOPIC, {b"h1": b"new"})
    net.run(2500)  # the one before is back, with a lease that has run out
    assert not net.publish(owner, TOPIC, {b"h1": b"old"})
    net.run(2500)
    assert not behind(net, {**net.processes[successor].tables[TOPIC]})
    assert net.processes[owner].tables[TOPIC][b"h1"] == b"new"


def test_both_sides_of_a_healed_partition_converge_to_one_table() -> None:
    net, owner = settled(4, "abcd", 0.0)
    net.may_overlap = True
    net.split("ab", "cd")
    net.run(8000)
    publishers = net.owners(TOPIC)
    assert len(publishers) == 2
    for name in publishers:
        assert net.publish(name, TOPIC, {b"side": name.encode()})
    net.run(2000)
    net.cut.clear()
    net.run(9000)
    sides = {process.tables[TOPIC][b"side"] for process in net.processes.values()}
    assert len(net.owners(TOPIC)) == 1
    assert len(sides) == 1


def test_a_late_joiner_gets_the_complete_table() -> None:
    net, owner = settled(5, "abcd", 0.3, rows=400)
    late = next(name for name in net.names if name != owner)
    net.kill(late)
    net.run(6000)
    net.start(late)
    net.run(9000)
    publisher = net.owner(TOPIC)
    assert publisher is not None
    assert net.publish(publisher, TOPIC, {})
    net.run(4000)
    assert not behind(net, net.processes[publisher].node.tables.rows(TOPIC))


def test_nodes_of_old_versions_are_dropped() -> None:
    net, owner = settled(6, "ab", 0.0, rows=200)
    for turn in range(400):
        assert net.publish(owner, TOPIC, {b"h%d" % (turn % 200): b"%d" % turn})
        net.run(20)
    net.run(2000)
    live = len(
        set(
            merkle_trie.names(
                net.processes[owner].node.tables.nodes,
                net.processes[owner].node.tables.states[next(iter(net.processes[owner].node.tables.states))].root,
            )
        )
    )
    for process in net.processes.values():
        assert len(process.node.tables.nodes) < 3 * live + 1100
    assert not behind(net, net.processes[owner].tables[TOPIC])


def test_a_table_under_a_lower_token_is_ignored() -> None:
    net, owner = settled(7, "ab", 0.0)
    other = next(name for name in net.names if name != owner)
    tables = net.processes[other].node.tables
    before = tables.rows(TOPIC)
    tables.publish(TOPIC, FencingToken(1, 1), {b"h1": b"late"}, net.processes[other].clock())
    net._do(net.processes[other], net.processes[other].node.flush(net.processes[other].clock()))
    net.run(2000)
    assert net.processes[owner].tables[TOPIC] == before
    assert net.processes[other].node.tables.rows(TOPIC) == before

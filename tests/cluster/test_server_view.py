"""Tests the choice of the endpoint list, the changes reported to the core, and the schedule of health checks."""

import math
from typing import Any
from unittest.mock import MagicMock

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from heronlug.balancer.events import ListKind, ServerState
from heronlug.cluster.health_checks import HealthCheckSchedule, shard_of
from heronlug.cluster.model import FencingToken
from heronlug.cluster.server_rows import VERSION_KEY, ServerRowCodec
from heronlug.cluster.server_view import ListSource, ServerView
from heronlug.cluster.shared_discovery import INTERIM_TABLE, SharedDiscovery
from heronlug.discovery.reader_election import ReaderElection, Role
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer

READY, DRAINING, REMOVED = ServerState.READY, ServerState.DRAINING, ServerState.REMOVED


def servers(*names: str, state: ServerState = READY) -> list[ListedServer]:
    return [ListedServer(name, f"127.0.0.1:{9000 + ord(name[0])}", state) for name in names]


def states(view: ServerView) -> dict[str, ServerState]:
    return {name: entry.state for name, entry in view.reported.items()}


def test_the_shared_list_is_used_once_the_own_watch_ends() -> None:
    """Guards against a dispatcher that stays on its own list after it has closed its watch."""
    view = ServerView("list")
    view.apply_own_update(ListKind.FULL, 7, servers("a", "b"))
    view.apply_shared_update(6, servers("a"), [])
    view.apply_shared_update(7, servers("b"), [])
    assert view.select_source(own=False) is not None or view.source is ListSource.SHARED
    assert view.source is ListSource.SHARED
    assert not view.watching


def test_a_change_of_source_reports_only_differences() -> None:
    """Guards against reports of unchanged servers, and against missed removals, when the used list changes."""
    view = ServerView("list")
    view.apply_own_update(ListKind.FULL, 7, servers("a", "b", "c"))
    view.apply_shared_update(8, servers("a", "b"), [])
    update = view.select_source(own=False)
    assert update == (ListKind.CHANGES, [e._replace(state=REMOVED) for e in servers("c")])
    assert [e.name for e in view.apply_shared_update(9, servers("a", state=DRAINING), [])] == ["a"]
    assert view.apply_own_update(ListKind.CHANGES, 9, []) == (ListKind.CHANGES, [*servers("a"), *servers("c")])
    assert view.source is ListSource.OWN


def test_both_changes_of_the_source_are_counted() -> None:
    """Guards against a metric that misses each return to the own list."""
    view = ServerView("list")
    view.apply_own_update(ListKind.FULL, 7, servers("a"))
    assert view.switches == 0
    view.apply_shared_update(8, servers("a"), [])
    view.select_source(own=False)
    view.apply_own_update(ListKind.FULL, 9, servers("a"))
    assert view.switches == 2


def test_member_that_has_written_the_interim_table_follows_its_next_writer_with_all_servers() -> None:
    """Guards against a follower without the servers that the next writer need not announce again."""
    codec, node, now = ServerRowCodec(["a"], ["m1"]), MagicMock(), Deadlines(lambda: 0.0)
    node.tables.rows.return_value = codec.encode(servers("a", "b"))
    node.tables.age.return_value = math.inf
    node.tables.own_token.return_value = None
    node.tables.latest_token.return_value, node.claim.return_value = FencingToken(0, 0), FencingToken(1, 1)
    discovery = SharedDiscovery(
        ServerView("list"), MagicMock(), MagicMock(), codec, ReaderElection(5000.0, 0, 0.0), now, MagicMock()
    )
    discovery.join(node, lambda: None)
    discovery.election.role = Role.READ
    discovery._write()
    node.tables.own_token.return_value = node.claim.return_value
    discovery.election.role = Role.FOLLOW
    discovery._write()
    node.release.assert_called_once_with(INTERIM_TABLE)
    discovery.on_table_change(INTERIM_TABLE, {VERSION_KEY: msgspec.msgpack.encode(5)})
    assert discovery._tables[INTERIM_TABLE].known.servers.keys() == {"a", "b"}


def test_a_failed_watch_changes_no_server() -> None:
    """Guards against servers that are dropped because service discovery fails."""
    view = ServerView("list")
    view.apply_own_update(ListKind.FULL, 7, servers("a"))
    assert view.apply_own_update(ListKind.FAILED, 7, []) == (ListKind.FAILED, [])
    assert states(view) == {"a": READY}
    assert not view.watching


def test_a_newer_shared_list_only_takes_servers_away() -> None:
    """Guards against requests to a server that the own list does not contain, in mode ``share = "news"``."""
    view = ServerView("news")
    view.apply_own_update(ListKind.FULL, 7, servers("a", "b", "c"))
    view.apply_shared_update(8, [*servers("a", state=DRAINING), *servers("b", "new")], [])
    assert states(view) == {"a": DRAINING, "b": READY}
    view.apply_own_update(ListKind.CHANGES, 8, servers("a", state=DRAINING))
    assert states(view) == {"a": DRAINING, "b": READY, "c": READY}  # the own list now has the same version and is used


def test_a_server_found_down_drains_until_it_is_up() -> None:
    """Guards against a result that another shard or an update of the endpoint list overrides."""
    view = ServerView("none", panic_share=0.5)
    view.apply_own_update(ListKind.FULL, 1, servers("a", "b", "c", "d"))
    assert view.apply_health_results("probe-1", ["a"], []) == servers("a", state=DRAINING)
    assert view.apply_health_results("probe-2", [], ["a"]) == []  # a result of another shard is ignored
    # service discovery still reports the server as ready, which does not override the health check
    assert view.apply_own_update(ListKind.CHANGES, 2, servers("a")) == (ListKind.CHANGES, [])
    assert view.apply_health_results("probe-1", [], ["a"]) == servers("a")


def test_health_checks_that_find_most_servers_down_are_ignored() -> None:
    """Guards against draining most servers when the health checks themselves fail."""
    view = ServerView("none", panic_share=0.5)
    view.apply_own_update(ListKind.FULL, 1, servers("a", "b", "c", "d"))
    view.apply_health_results("probe-1", ["a", "b"], [])
    assert sum(state is DRAINING for state in states(view).values()) == 2
    view.apply_health_results("probe-1", ["c"], [])
    assert view.panic
    assert set(states(view).values()) == {READY}
    view.apply_health_results("probe-1", [], ["c"])
    assert not view.panic
    assert states(view)["a"] is DRAINING
    assert view.withdraw("probe-1") == servers("a", "b")


STEPS = st.one_of(
    st.tuples(st.just("own"), st.sampled_from(list(ListKind)), st.lists(st.sampled_from("abcde"), unique=True)),
    st.tuples(st.just("shared"), st.integers(0, 20), st.lists(st.sampled_from("abcdef"), unique=True)),
    st.tuples(st.just("verdict"), st.booleans(), st.sampled_from("abcdef")),
    st.tuples(st.just("use"), st.booleans(), st.just("")),
)


@given(st.sampled_from(["none", "list", "news"]), st.lists(STEPS, max_size=40))
def test_reported_changes_add_up_to_the_view(share: str, steps: list[tuple[str, Any, list[str]]]) -> None:
    """Guards against reported changes that leave the core with other servers than the view.

    Also checks that each reported server is on a list that the view may use.
    """
    view, core = ServerView(share, 1500), dict[str, ListedServer]()

    def apply(kind: ListKind, entries: list[ListedServer]) -> None:
        if kind in (ListKind.FULL, ListKind.CACHED):
            core.clear()
        for entry in entries:
            core[entry.name] = entry

    for number, (step, value, names) in enumerate(steps):
        if step == "own":
            update = view.apply_own_update(ListKind(value), number, servers(*names))
            apply(*(update or (ListKind.CHANGES, [])))
        elif step == "shared":
            removed = [name for name in view.shared.servers if name not in names]
            apply(ListKind.CHANGES, view.apply_shared_update(value, servers(*names), removed))
        elif step == "verdict":
            apply(ListKind.CHANGES, view.apply_health_results("s", *((names, []) if value else ([], names))))
        else:
            apply(*(view.select_source(own=bool(value)) or (ListKind.CHANGES, [])))
        assert {name: e for name, e in core.items() if e.state is not REMOVED} == view.reported
        named = view.own.servers.keys() | (view.shared.servers.keys() if share == "list" else set())
        assert view.reported.keys() <= named


def test_checks_are_spread_and_a_state_changes_after_several_in_a_row() -> None:
    """Guards against bursts of checks, and against a state change after too few consecutive results."""
    schedule = HealthCheckSchedule(1000, fall=3, rise=2, max_in_flight=64)
    schedule.use({f"h{n}": f"127.0.0.1:{9000 + n}" for n in range(50)}, [], 0.0)
    started = []
    for tick in range(100, 1100, 100):
        batch = schedule.start_due(float(tick))
        started += [name for name, _ in batch]
        assert len(batch) < 15
        for name, address in batch:
            schedule.record_result(name, address, True)
    assert sorted(started) == sorted({f"h{n}" for n in range(50)})
    results, now = [], 1000.0
    for succeeded in (False, False, True, False, False, False, True, True):
        now = schedule.servers["h0"].due
        for name, address in schedule.start_due(now):
            result = schedule.record_result(name, address, succeeded or name != "h0")
            if name == "h0":
                results.append(result)
    assert results == [None, None, None, None, None, False, None, True]


def test_checks_in_flight_are_limited_and_removed_servers_do_not_count() -> None:
    """Guards against removed or replaced servers whose running checks count toward the limit forever."""
    schedule = HealthCheckSchedule(100, fall=1, rise=1, max_in_flight=4)
    schedule.use({f"h{n}": f"127.0.0.1:{9000 + n}" for n in range(20)}, [], 0.0)
    first = schedule.start_due(1000.0)
    assert len(first) == 4
    assert not schedule.start_due(1000.0)
    assert schedule.next_wake() == float("inf")
    schedule.use({"h0": "127.0.0.1:9000"}, [], 1000.0)
    assert schedule.in_flight == sum(name == "h0" for name, _ in first)
    assert all(schedule.record_result(name, address, False) is None for name, address in first if name != "h0")
    schedule.use({"h0": "127.0.0.1:9999"}, ["h0"], 1000.0)
    assert not schedule.servers["h0"].down
    assert schedule.in_flight == 0


def test_a_new_shard_owner_starts_with_the_servers_that_are_down() -> None:
    """Guards against a lease change that marks a server as up before enough checks have succeeded."""
    schedule = HealthCheckSchedule(100, fall=3, rise=2, max_in_flight=4)
    schedule.use({"a": "127.0.0.1:9000"}, ["a"], 0.0)
    now = 0.0
    results = []
    for _ in range(2):
        now = schedule.next_wake()
        results += [schedule.record_result(*due_check, True) for due_check in schedule.start_due(now)]
    assert results == [None, True]


def test_every_server_has_one_shard() -> None:
    """Guards against shards of very different sizes."""
    shards = [shard_of(f"s-{n:08x}", 8) for n in range(4000)]
    assert all(400 < shards.count(number) < 600 for number in range(8))

"""Tests that the present code reads what commit 1ac93b2 wrote, and writes identical bytes.

Guards against a change of a wire or storage form that an older process, or an older file, does not follow.
"""

import asyncio
import shutil
import socket
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import orjson
import pytest
from drive import with_settings

from compatibility.samples import (
    DATA_FOLDER,
    FEATURES_PACKET,
    HELLO_PACKET,
    KEYS,
    MACHINE_TYPES,
    NOW,
    PARTS,
    ROWS,
    SERVERS,
    SERVING_PACKET,
    STORED_REQUESTS,
    WRITERS,
    ZONES,
    LendingDispatcher,
    Packet,
    RestartProcess,
    decode_lines,
    dump_database,
    make_servers,
    receive,
    restart_packets,
    write_store,
)
from heronlug.backends.connection import PausedConnection
from heronlug.balancer.dispatcher import Dispatcher
from heronlug.balancer.events import ListKind, PeerMessage, ServerEntry, ServerListUpdate
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.snapshot import restore_snapshot
from heronlug.balancer.zone_failover.zone_state import ZonePhase, ZoneState
from heronlug.cluster import merkle_trie
from heronlug.cluster.codec import decode_parts
from heronlug.cluster.datagrams import DatagramCodec
from heronlug.cluster.ownership import tag
from heronlug.cluster.server_rows import UNWATCHED_KEY, VERSION_KEY, VERSIONS_RESTARTED_KEY, ServerRowCodec
from heronlug.cluster.shared_discovery import INTERIM_TABLE, LEASE_TABLE
from heronlug.discovery.cache import decode_cache
from heronlug.discovery.cache_file import CacheFile
from heronlug.discovery.endpoint_list import read_list, write_list
from heronlug.frontends.http.client_state import ClientState
from heronlug.lifecycle.hot_restart.channel import listen, socket_path
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.deadlines import Deadlines
from heronlug.storage.model import FinalState
from heronlug.storage.sqlite import connect, read_requests

SECOND_SERVER_NUMBER = 494609309  # every dispatcher derives this number from the name "server-2"
JOBS_TABLE = (
    "CREATE TABLE jobs (\n    jid text primary key, lane text not null, queue text not null, job blob not null,"
    " accepted_at real not null,\n    remaining real not null, due real not null, delivered_at real not null,"
    " final text not null, ended_at real not null\n) without rowid\n"
)
REPEATS_TABLE = (
    "CREATE TABLE repeats (\n    jid text primary key, effect text not null, repeat_window real not null, "
    "deliveries integer not null\n) without rowid\n"
)


def read_recorded(name: str) -> bytes:
    """Returns the bytes of a recorded form."""
    return (DATA_FOLDER / name).read_bytes()


def read_recorded_packets() -> list[Packet]:
    """Returns the recorded packets of an old process to a new one."""
    return [Packet(*packet) for packet in orjson.loads(read_recorded("restart-packets.json"))]


@pytest.mark.parametrize("name", WRITERS)
def test_writes_the_recorded_bytes(name: str) -> None:
    assert WRITERS[name]() == read_recorded(name)


# -- snapshot of what a dispatcher has learned


def restore_dispatcher(name: str) -> Dispatcher:
    """Returns a new dispatcher that has restored a recorded snapshot."""
    zones = name == "learned-zones.json"
    dispatcher = Dispatcher(with_settings(zone_failover=zones, reports_start=True, report_fields=()), 2)
    listed_servers = [ServerEntry(n, zone=n % 2, kind=n // 4, cell=n, started_at=900.0 * (n > 4)) for n in range(1, 7)]
    dispatcher.handle(2400.0, ServerListUpdate(ListKind.FULL, tuple(listed_servers)))
    restore_snapshot(dispatcher._learned_parts(), orjson.loads(read_recorded(name)), 2500.0)
    return dispatcher


@pytest.mark.parametrize("name", ["learned.json", "learned-zones.json"])
def test_snapshot_is_restored_and_written_again(name: str) -> None:
    """Guards against a value of a snapshot that is lost when a process restores it and hands it to the next process."""
    dispatcher, table = restore_dispatcher(name), orjson.loads(read_recorded(name))
    for number, _, own_slots, *_ in table["workers"]:
        server = dispatcher.state.servers.by_id[number]
        assert server.load.peer_slots == own_slots  # the other process has these slots in flight
        server.load.own_slots = own_slots
    assert orjson.dumps(dispatcher.snapshot()) == read_recorded(name)


def test_snapshot_has_the_recorded_keys_and_columns() -> None:
    """Guards against a renamed key or a moved column, which a process of another version would misread."""
    table, dispatcher = orjson.loads(read_recorded("learned-zones.json")), restore_dispatcher("learned-zones.json")
    assert list(table) == ["all", "span", "usual_pace", "retries", "halls", "kinds", "workers"]
    assert list(dispatcher.snapshot()) == list(table)
    values = [
        dispatcher.rules.ranking.send_count,
        dispatcher.rules.ranking.ranked_at,
        dispatcher.state.run_times.overall,
        dispatcher.rules.arrivals.value,
    ]
    assert values == table["all"] == [20.139767179386283, 2500.0, 25.0, 61]
    assert (
        dispatcher.state.run_times.by_class[2],
        dispatcher.state.run_times.usual_latencies[2],
        dispatcher.rules.retry_budget.level,
    ) == (25.0, 25.0, 19.0)
    capacity = dispatcher.state.servers.capacities[0]
    assert [0, capacity.peak_slots, capacity.reported_slots, capacity.slots] == table["kinds"][0] == [0, 3.0, 2.5, 4.0]
    assert table["halls"] == [[1, "left", 1300.0, 0, 3, -1.0], [0, "returning", 1200.0, 2, 1, 0.0]]
    zones = dispatcher.rules.zone_failover.zones
    assert zones[0] == ZoneState(ZonePhase.RETURNING, 1200.0, 2, 1, 0.0, "taken up")
    assert zones[1] == ZoneState(ZonePhase.EXCLUDED, 1300.0, 0, 3, float("inf"), "taken up")


def test_server_row_of_a_snapshot_has_the_recorded_columns() -> None:
    """Guards against a moved column of a server, which a process of another version would misread."""
    server = restore_dispatcher("learned.json").state.servers.by_id[2]
    row = orjson.loads(read_recorded("learned.json"))["workers"][1]
    assert row[:4] == [2, 0.0, 0.0, [[1050.0, 25.0], [2175.0, 25.0]]]
    assert row[4:] == [0.5770689968174234, 0.0, 0.5625, 0.0, 2600.0, 4430.978680908411, 2, 4]
    assert (server.id, server.started_at) == (2, 0.0)
    assert server.slow_start.recent_work.items() == [(1050.0, 25.0), (2175.0, 25.0)]
    assert [server.payoff.count, server.payoff.mean, server.outlier.health, server.outlier.last_progress_at] == row[4:8]
    assert [
        server.outlier.saturated_until,
        server.outlier.ejected_until,
        server.outlier.ejections,
        server.outlier.trials_left,
    ] == row[8:]
    assert restore_dispatcher("learned.json").state.servers.by_id[1].outlier.last_progress_at == 2425.0
    assert restore_dispatcher("learned.json").state.servers.by_id[1].payoff.mean == 4.0


# -- hot restart


def test_hot_restart_socket_has_the_recorded_path() -> None:
    """Guards against two versions that look for each other at different paths."""
    assert socket_path("/run", "d1", "127.0.0.1:8080") == "/run/heronlug-c79aea7f"


def test_old_process_sends_the_recorded_packets(tmp_path: Path) -> None:
    """Guards against packets that a new process of an older version cannot read."""
    state, *handovers, opened, ended, counts, goodbye = asyncio.run(restart_packets(tmp_path))
    assert [state, opened, ended, counts, goodbye] == [read_recorded_packets()[n] for n in (0, 3, 4, 5, 6)]
    assert sorted(handovers) == sorted(read_recorded_packets()[1:3])  # a client and a request, in any order


def test_recorded_old_process_hands_over_to_the_present_code(tmp_path: Path) -> None:
    """Guards against a handover from an older version that loses the list, a request, its id or its attempts."""
    process = RestartProcess(str(tmp_path))
    asyncio.run(hand_over_to_new_process(process, tmp_path))
    assert process.application.frontend.adopt.call_args_list[0].args[1] == ClientState(served=True)
    process.close()


async def hand_over_to_new_process(process: RestartProcess, tmp_path: Path) -> None:
    """Plays the recorded old process to a new one that joins, serves, and hands the request to a third process."""
    state, *rest = read_recorded_packets()
    path = socket_path(str(tmp_path), "d1", "127.0.0.1:80")
    descriptors = process.descriptors()
    with listen(path) as listening_socket:
        joining = asyncio.create_task(process.takeover.join())
        await asyncio.sleep(0)
        sock, _ = listening_socket.accept()
        with sock:
            sock.setblocking(False)
            assert await receive(sock) == FEATURES_PACKET  # earlier versions ignore unknown keys of this kind
            assert await receive(sock) == HELLO_PACKET
            socket.send_fds(sock, [state.data.encode()], descriptors)
            await asyncio.wait_for(joining, 5)
            process.takeover.use_state()
            assert [server.entry for server in process.core.directory.by_number.values()] == SERVERS[:3]
            process.application.discovery.client.begin_freshness.assert_called_once_with(7500.0)
            assert process.core.requests.peer_process_ids == {"t-1"}
            process.takeover.session.announce_serving()
            assert await receive(sock) == SERVING_PACKET
            assert process.core.dispatcher.state.servers.by_id[SECOND_SERVER_NUMBER].load.peer_slots == 2.0
            for packet in rest[:-1]:
                socket.send_fds(sock, [packet.data.encode()], descriptors[:1] * packet.descriptors)
            server = process.core.dispatcher.state.servers.by_id[SECOND_SERVER_NUMBER]
            # The new process has adopted the attempt.
            await wait_until(lambda: (server.load.peer_slots, server.load.own_slots) == (0.0, 2.0))
            assert process.core.requests.peer_process_ids == {"t-2"}
            sock.send(rest[-1].data.encode())
            await wait_until(lambda: process.takeover.session.predecessor is None)
    assert handover_message(process) == orjson.loads(rest[1].data[1:])


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; raises ``TimeoutError`` after 5 s."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    msg = "the present code did not apply a recorded packet within 5 s"
    raise TimeoutError(msg)


def handover_message(process: RestartProcess) -> Any:
    """Returns the message that hands the adopted request over to a third process."""
    (message,) = process.core.requests
    for attempt in message.attempts:
        if attempt.in_flight:
            attempt.exchange = process.connection()
            attempt.exchange.pause_for_handover.return_value = PausedConnection(0, answered=True, last=False)
    third_process = MagicMock()
    process.takeover.session.successor = third_process
    process.takeover.successor_serves()
    process.takeover.session.successor = None
    sent: dict[str, Any] = third_process.send.call_args.args[0]
    return orjson.loads(orjson.dumps(sent))


def test_handed_over_request_has_the_recorded_keys() -> None:
    """Guards against a renamed key of a request, which a process of another version would reject."""
    table = orjson.loads(read_recorded_packets()[2].data[1:])
    assert list(table) == [
        "kind",
        "request",
        "give_up_at",
        "taken_at",
        "terms",
        "not_before",
        "hosts",
        "attempts",
        "wires",
    ]
    assert list(table["request"]) == [
        "method",
        "target",
        "headers",
        "body",
        "txn",
        "lane",
        "figures",
        "keep_alive",
    ]
    assert [attempt[2:5] for attempt in table["attempts"]] == [[False, False, False], [True, False, True]]
    assert table["wires"] == [{"answered": True, "last": False}]


# -- datagrams between dispatchers


def test_load_report_of_a_peer_is_read() -> None:
    """Guards against misreading the slots or outcomes that a peer of another version reports."""
    reports, servers = PeerLoad(), make_servers(3)
    outcomes = reports.receive(PeerMessage(1, decode_lines(read_recorded("load-reports.txt"))["counts"]), servers, NOW)
    assert [server.load.peer_slots for server in servers.values()] == [3.0, 63.0, 0.0]
    assert outcomes == [(servers[1], False), (servers[3], True)]


def test_load_summary_of_a_peer_is_read() -> None:
    """Guards against misreading the load levels that an aggregator of another version sends."""
    reports, servers, lines = PeerLoad(), make_servers(500), decode_lines(read_recorded("load-reports.txt"))
    reports.set_ready_servers(list(servers.values()))
    for name in ("summary-0", "summary-1"):
        reports.receive(PeerMessage(1, lines[name]), servers, NOW)
    assert [server.load.level for server in servers.values()] == [number % 16 for number in range(1, 501)]
    assert [number for number, server in servers.items() if server.load.reported_failing] == list(range(15, 501, 16))


def test_capacity_loan_is_requested_and_granted_with_the_recorded_bytes() -> None:
    """Guards against a loan that fails between dispatchers of different versions."""
    lines = decode_lines(read_recorded("loan.txt"))
    borrower = next(member for member in map(LendingDispatcher, range(14)) if not member.server.slow_start.work_budget)
    ((loan_request, holder),) = borrower.request_loan()
    assert loan_request == lines["ask"]
    lender = LendingDispatcher(holder)
    assert lender.shares.receive(PeerMessage(0, lines["ask"]), lender.table.by_id, 21.0) == [(lines["grant"], 0)]
    assert not borrower.shares.may_send(borrower.server, 100.0, 22.0)
    borrower.shares.receive(PeerMessage(holder, lines["grant"]), borrower.table.by_id, 22.0)
    assert borrower.shares.may_send(borrower.server, 100.0, 22.0)


def test_gossip_of_another_dispatcher_is_read() -> None:
    """Guards against a message or a goodbye of another version that is ignored."""
    received: list[tuple[int, bytes]] = []
    peers = PeerSocket(
        ["127.0.0.1:7001", "127.0.0.1:7002"],
        None,
        1,
        lambda peer, data: received.append((peer, data)),
        MagicMock(),
        MagicMock(),
        lambda: NOW,
    )
    serving = []
    for data in decode_lines(read_recorded("gossip.txt")).values():
        peers.datagram_received(data, ("127.0.0.1", 7001))
        serving.append(peers.others_serve())
    assert received == [(0, b"cat"), (0, b"cat")]
    assert serving == [True, False, False]


# -- cluster


def test_each_part_of_a_cluster_datagram_is_read() -> None:
    lines = decode_lines(read_recorded("cluster-parts.txt"))
    assert [decode_parts(data) for data in lines.values()] == [[part] for part in PARTS]
    assert [data[0] for data in lines.values()] == [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16]


def test_sealed_cluster_datagrams_are_read() -> None:
    codec = DatagramCodec(1, KEYS, 1)
    unpacked = [codec.unpack(data) for data in decode_lines(read_recorded("cluster-datagrams.txt")).values()]
    assert [part for found in unpacked if found for part in found[1]] == PARTS
    assert {found[0] for found in unpacked if found} == {0x01020304}
    assert not codec.dropped


def test_nodes_of_a_replicated_table_are_read() -> None:
    nodes = {int(name, 16): node for name, node in decode_lines(read_recorded("table-nodes.txt")).items()}
    assert dict(merkle_trie.walk(nodes, next(iter(nodes)))) == ROWS
    assert all(merkle_trie.name_of(node) == name for name, node in nodes.items())


def test_shared_server_list_has_the_recorded_names_and_keys() -> None:
    """Guards against dispatchers of two versions that use different tables for the shared server list."""
    assert [tag(name) for name in (LEASE_TABLE, INTERIM_TABLE)] == [3923872814, 3712889818]
    assert (VERSION_KEY, UNWATCHED_KEY, VERSIONS_RESTARTED_KEY) == (b"v", b"s", b"b")


def test_rows_of_the_shared_server_list_are_read() -> None:
    lines = decode_lines(read_recorded("register-rows.txt"))
    assert list(lines) == ["hserver-1", "hserver-2", "hserver-3", "hserver-4"]
    codec = ServerRowCodec(ZONES, MACHINE_TYPES)
    assert [codec.decode(key.encode(), value) for key, value in lines.items()] == SERVERS


# -- stored forms


def test_server_list_is_read() -> None:
    table = orjson.loads(read_recorded("server-list.json"))
    assert read_list(table, ZONES, MACHINE_TYPES, lambda at: at) == (42, True, SERVERS)


def test_cached_list_is_read() -> None:
    cached = decode_cache(read_recorded("kept-list.txt"), "127.0.0.1:8500", NOW + 1000, 5000.0)
    assert cached.written_at == NOW
    assert read_list(cached.table, ZONES, MACHINE_TYPES, lambda at: at) == (42, True, SERVERS[:3])


def test_cached_list_file_is_read_and_written(tmp_path: Path) -> None:
    """Guards against a cache file of another version that is rejected, or is written differently."""
    asyncio.run(read_and_write_cached_list(tmp_path / "kept"))


async def read_and_write_cached_list(path: Path) -> None:
    """Reads the recorded file and writes it again."""
    path.write_bytes(read_recorded("kept-list.txt"))
    table = write_list(42, SERVERS, ZONES, MACHINE_TYPES)
    cache_file = CacheFile(
        str(path), 5000.0, lambda: "127.0.0.1:8500", lambda: table, Deadlines(lambda: NOW), MagicMock()
    )
    assert cache_file.load() == table
    path.unlink()
    cache_file.on_change()
    await cache_file.close()
    assert path.read_bytes() == read_recorded("kept-list.txt")


def test_recorded_store_is_read(tmp_path: Path) -> None:
    path = Path(shutil.copy(DATA_FOLDER / "store.sqlite", tmp_path))
    database = connect(path, create=False)
    try:
        assert list(read_requests(database)) == STORED_REQUESTS
    finally:
        database.close()


def test_final_states_are_stored_with_the_recorded_words() -> None:
    """Guards against a stored final state that another version does not recognize."""
    assert [outcome.value for outcome in FinalState] == ["served", "refused", "failed"]


def test_new_store_has_the_recorded_schema_and_rows(tmp_path: Path) -> None:
    """Guards against a schema that an older version cannot open after a rollback."""
    old_store, path = Path(shutil.copy(DATA_FOLDER / "store.sqlite", tmp_path / "old")), tmp_path / "new"
    write_store(path)
    dump = dump_database(path)
    added = [line for line in dump if "repeats" in line]
    assert [line for line in dump if line not in added] == dump_database(old_store)
    rows = [("jid-1", 0), ("jid-2", 1), ("jid-3", 1)]
    assert added == [
        f"{REPEATS_TABLE};",
        *(f"INSERT INTO \"repeats\" VALUES('{jid}','',0.0,{deliveries});" for jid, deliveries in rows),
    ]
    for store_path, tables in ((path, [JOBS_TABLE, REPEATS_TABLE]), (old_store, [JOBS_TABLE])):
        database = sqlite3.connect(store_path)
        assert database.execute("select sql from sqlite_master").fetchall() == [(sql,) for sql in tables]
        assert database.execute("pragma user_version").fetchone() == (1,)
        database.close()


def test_rows_that_an_older_version_wrote_into_a_new_store_are_read(tmp_path: Path) -> None:
    """Guards against requests that an older version accepts after a rollback, and that are lost by the next upgrade."""
    path = tmp_path / "new"
    write_store(path)
    database = sqlite3.connect(path)
    database.execute("delete from jobs where jid = 'jid-2'")
    for request in STORED_REQUESTS[1:2]:
        database.execute("insert or ignore into jobs values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)", request[:10])
    database.commit()
    database.close()
    database = connect(path, create=False)
    try:
        assert [request[:10] for request in read_requests(database)] == [request[:10] for request in STORED_REQUESTS]
    finally:
        database.close()

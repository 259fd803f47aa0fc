"""The present code reads what commit 1ac93b2 wrote, and writes the very same bytes."""

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
    DATA,
    HELLO,
    JOBS,
    KEYS,
    MACHINE_TYPES,
    NOW,
    PARTS,
    ROWS,
    SERVERS,
    SERVING,
    WRITERS,
    ZONES,
    Lending,
    Packet,
    Process,
    dump,
    from_lines,
    receive,
    restart_packets,
    workers,
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
from heronlug.lifecycle.hot_restart.channel import listen, socket_path
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.deadlines import Deadlines
from heronlug.storage.model import FinalState
from heronlug.storage.sqlite import connect, read_requests

SECOND_SERVER = 494609309  # the number of "server-2" at every dispatcher
JOBS_TABLE = (
    "CREATE TABLE jobs (\n    jid text primary key, lane text not null, queue text not null, job blob not null,"
    " accepted_at real not null,\n    remaining real not null, due real not null, delivered_at real not null,"
    " final text not null, ended_at real not null\n) without rowid\n"
)


def recorded(name: str) -> bytes:
    """The bytes of a recorded form."""
    return (DATA / name).read_bytes()


def recorded_packets() -> list[Packet]:
    """What an old process told a new one."""
    return [Packet(*packet) for packet in orjson.loads(recorded("restart-packets.json"))]


@pytest.mark.parametrize("name", WRITERS)
def test_writes_the_recorded_bytes(name: str) -> None:
    assert WRITERS[name]() == recorded(name)


# -- what was learned


def taken_up(name: str) -> Dispatcher:
    """A fresh dispatcher that has taken a recorded table up."""
    zones = name == "learned-zones.json"
    dispatcher = Dispatcher(with_settings(zone_failover=zones, reports_start=True, report_fields=()), 2)
    listed = [ServerEntry(n, zone=n % 2, kind=n // 4, cell=n, started_at=900.0 * (n > 4)) for n in range(1, 7)]
    dispatcher.handle(2400.0, ServerListUpdate(ListKind.FULL, tuple(listed)))
    restore_snapshot(dispatcher._learned_parts(), orjson.loads(recorded(name)), 2500.0)
    return dispatcher


@pytest.mark.parametrize("name", ["learned.json", "learned-zones.json"])
def test_learned_table_is_taken_up_and_written_again(name: str) -> None:
    dispatcher, table = taken_up(name), orjson.loads(recorded(name))
    for number, _, own, *_ in table["workers"]:
        server = dispatcher.state.servers.by_id[number]
        assert server.load.peer_slots == own  # in flight at the other process
        server.load.own_slots = own
    assert orjson.dumps(dispatcher.snapshot()) == recorded(name)


def test_learned_table_has_these_keys_and_columns() -> None:
    table, dispatcher = orjson.loads(recorded("learned-zones.json")), taken_up("learned-zones.json")
    assert list(table) == ["all", "span", "usual_pace", "retries", "halls", "kinds", "workers"]
    assert list(dispatcher.snapshot()) == list(table)
    every = [
        dispatcher.rules.ranking.send_count,
        dispatcher.rules.ranking.ranked_at,
        dispatcher.state.run_times.overall,
        dispatcher.rules.arrivals.value,
    ]
    assert every == table["all"] == [20.139767179386283, 2500.0, 25.0, 61]
    assert (
        dispatcher.state.run_times.by_class[2],
        dispatcher.state.run_times.usual_latencies[2],
        dispatcher.rules.retry_budget.level,
    ) == (25.0, 25.0, 19.0)
    kind = dispatcher.state.servers.capacities[0]
    assert [0, kind.peak_slots, kind.reported_slots, kind.slots] == table["kinds"][0] == [0, 3.0, 2.5, 4.0]
    assert table["halls"] == [[1, "left", 1300.0, 0, 3, -1.0], [0, "returning", 1200.0, 2, 1, 0.0]]
    zones = dispatcher.rules.zone_failover.zones
    assert zones[0] == ZoneState(ZonePhase.RETURNING, 1200.0, 2, 1, 0.0, "taken up")
    assert zones[1] == ZoneState(ZonePhase.EXCLUDED, 1300.0, 0, 3, float("inf"), "taken up")


def test_columns_of_a_server_in_the_learned_table() -> None:
    server = taken_up("learned.json").state.servers.by_id[2]
    row = orjson.loads(recorded("learned.json"))["workers"][1]
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
    assert taken_up("learned.json").state.servers.by_id[1].outlier.last_progress_at == 2425.0
    assert taken_up("learned.json").state.servers.by_id[1].payoff.mean == 4.0


# -- hot restart


def test_processes_find_each_other_at_the_recorded_place() -> None:
    assert socket_path("/run", "d1", "127.0.0.1:8080") == "/run/heronlug-c79aea7f"


def test_new_process_is_told_what_the_old_one_told(tmp_path: Path) -> None:
    assert asyncio.run(restart_packets(tmp_path)) == recorded_packets()


def test_old_process_hands_over_to_the_present_code(tmp_path: Path) -> None:
    process = Process(str(tmp_path))
    asyncio.run(take_over(process, tmp_path))
    assert process.daemon.frontend.adopt.call_args_list[0].args[1] is True
    process.close()


async def take_over(process: Process, tmp_path: Path) -> None:
    """Play the recorded old process to a new one that joins, serves and hands the request on."""
    state, *rest = recorded_packets()
    path = socket_path(str(tmp_path), "d1", "127.0.0.1:80")
    spare = process.descriptors()
    with listen(path) as listening:
        joining = asyncio.create_task(process.takeover.join())
        await asyncio.sleep(0)
        sock, _ = listening.accept()
        with sock:
            sock.setblocking(False)
            assert await receive(sock) == HELLO
            socket.send_fds(sock, [state.data.encode()], spare)
            await asyncio.wait_for(joining, 5)
            process.takeover.use_state()
            assert [server.entry for server in process.core.directory.by_number.values()] == SERVERS[:3]
            process.daemon.discovery.client.begin_freshness.assert_called_once_with(7500.0)
            assert process.core.requests.peer_process_ids == {"t-1"}
            process.takeover.session.announce_serving()
            assert await receive(sock) == SERVING
            assert process.core.dispatcher.state.servers.by_id[SECOND_SERVER].load.peer_slots == 2.0
            for packet in rest[:-1]:
                socket.send_fds(sock, [packet.data.encode()], spare[:1] * packet.descriptors)
            server = process.core.dispatcher.state.servers.by_id[SECOND_SERVER]
            await until(
                lambda: (server.load.peer_slots, server.load.own_slots) == (0.0, 2.0)
            )  # the attempt is the new process's now
            assert process.core.requests.peer_process_ids == {"t-2"}
            sock.send(rest[-1].data.encode())
            await until(lambda: process.takeover.session.predecessor is None)
    assert hands_on(process) == orjson.loads(rest[1].data[1:])


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for five seconds at most."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    msg = "the present code did not take up what it was told"
    raise TimeoutError(msg)


def hands_on(process: Process) -> Any:
    """The message that hands the adopted request on to a third process."""
    (message,) = process.core.requests
    for attempt in message.attempts:
        if attempt.in_flight:
            attempt.exchange = process.connection()
            attempt.exchange.pause_for_handover.return_value = PausedConnection(0, answered=True, last=False)
    third = MagicMock()
    process.takeover.session.successor = third
    process.takeover.successor_serves()
    process.takeover.session.successor = None
    sent: dict[str, Any] = third.send.call_args.args[0]
    return orjson.loads(orjson.dumps(sent))


def test_a_request_is_handed_over_in_these_words() -> None:
    table = orjson.loads(recorded_packets()[2].data[1:])
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


def test_counts_of_another_dispatcher_are_read() -> None:
    reports, servers = PeerLoad(), workers(3)
    outcomes = reports.receive(PeerMessage(1, from_lines(recorded("load-reports.txt"))["counts"]), servers, NOW)
    assert [server.load.peer_slots for server in servers.values()] == [3.0, 63.0, 0.0]
    assert outcomes == [(servers[1], False), (servers[3], True)]


def test_load_summary_of_another_dispatcher_is_read() -> None:
    reports, servers, lines = PeerLoad(), workers(500), from_lines(recorded("load-reports.txt"))
    reports.set_ready_servers(list(servers.values()))
    for name in ("summary-0", "summary-1"):
        reports.receive(PeerMessage(1, lines[name]), servers, NOW)
    assert [server.load.level for server in servers.values()] == [number % 16 for number in range(1, 501)]
    assert [number for number, server in servers.items() if server.load.reported_failing] == list(range(15, 501, 16))


def test_loan_is_asked_for_and_granted_in_the_recorded_bytes() -> None:
    lines = from_lines(recorded("loan.txt"))
    asker = next(member for member in map(Lending, range(14)) if not member.server.slow_start.work_budget)
    ((ask, holder),) = asker.ask()
    assert ask == lines["ask"]
    lender = Lending(holder)
    assert lender.shares.receive(PeerMessage(0, lines["ask"]), lender.table.by_id, 21.0) == [(lines["grant"], 0)]
    assert not asker.shares.may_send(asker.server, 100.0, 22.0)
    asker.shares.receive(PeerMessage(holder, lines["grant"]), asker.table.by_id, 22.0)
    assert asker.shares.may_send(asker.server, 100.0, 22.0)


def test_gossip_of_another_dispatcher_is_read() -> None:
    heard: list[tuple[int, bytes]] = []
    peers = PeerSocket(
        ["127.0.0.1:7001", "127.0.0.1:7002"],
        None,
        1,
        lambda peer, data: heard.append((peer, data)),
        MagicMock(),
        MagicMock(),
        lambda: NOW,
    )
    serving = []
    for data in from_lines(recorded("gossip.txt")).values():
        peers.datagram_received(data, ("127.0.0.1", 7001))
        serving.append(peers.others_serve())
    assert heard == [(0, b"cat"), (0, b"cat")]
    assert serving == [True, False, False]


# -- cluster


def test_each_part_of_a_cluster_datagram_is_read() -> None:
    lines = from_lines(recorded("cluster-parts.txt"))
    assert [decode_parts(data) for data in lines.values()] == [[part] for part in PARTS]
    assert [data[0] for data in lines.values()] == [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16]


def test_sealed_cluster_datagrams_are_read() -> None:
    seal = DatagramCodec(1, KEYS, 1)
    unpacked = [seal.unpack(data) for data in from_lines(recorded("cluster-datagrams.txt")).values()]
    assert [part for found in unpacked if found for part in found[1]] == PARTS
    assert {found[0] for found in unpacked if found} == {0x01020304}
    assert not seal.dropped


def test_nodes_of_a_replicated_table_are_read() -> None:
    nodes = {int(name, 16): node for name, node in from_lines(recorded("table-nodes.txt")).items()}
    assert dict(merkle_trie.walk(nodes, next(iter(nodes)))) == ROWS
    assert all(merkle_trie.name_of(node) == name for name, node in nodes.items())


def test_shared_server_list_has_the_recorded_names_and_keys() -> None:
    assert [tag(name) for name in (LEASE_TABLE, INTERIM_TABLE)] == [3923872814, 3712889818]
    assert (VERSION_KEY, UNWATCHED_KEY, VERSIONS_RESTARTED_KEY) == (b"v", b"s", b"b")


def test_rows_of_the_shared_server_list_are_read() -> None:
    lines = from_lines(recorded("register-rows.txt"))
    assert list(lines) == ["hserver-1", "hserver-2", "hserver-3", "hserver-4"]
    codec = ServerRowCodec(ZONES, MACHINE_TYPES)
    assert [codec.decode(key.encode(), value) for key, value in lines.items()] == SERVERS


# -- what is stored


def test_server_list_is_read() -> None:
    table = orjson.loads(recorded("server-list.json"))
    assert read_list(table, ZONES, MACHINE_TYPES, lambda at: at) == (42, True, SERVERS)


def test_cached_list_is_read() -> None:
    cached = decode_cache(recorded("kept-list.txt"), "127.0.0.1:8500", NOW + 1000, 5000.0)
    assert cached.written_at == NOW
    assert read_list(cached.table, ZONES, MACHINE_TYPES, lambda at: at) == (42, True, SERVERS[:3])


def test_cached_list_file_is_read_and_written(tmp_path: Path) -> None:
    asyncio.run(read_and_write_cached_list(tmp_path / "kept"))


async def read_and_write_cached_list(path: Path) -> None:
    """Read the recorded file, and write it again."""
    path.write_bytes(recorded("kept-list.txt"))
    table = write_list(42, SERVERS, ZONES, MACHINE_TYPES)
    cache_file = CacheFile(
        str(path), 5000.0, lambda: "127.0.0.1:8500", lambda: table, Deadlines(lambda: NOW), MagicMock()
    )
    assert cache_file.load() == table
    path.unlink()
    cache_file.on_change()
    await cache_file.close()
    assert path.read_bytes() == recorded("kept-list.txt")


def test_recorded_store_is_read(tmp_path: Path) -> None:
    path = Path(shutil.copy(DATA / "store.sqlite", tmp_path))
    database = connect(path, create=False)
    try:
        assert list(read_requests(database)) == JOBS
    finally:
        database.close()


def test_outcomes_are_stored_in_these_words() -> None:
    assert [outcome.value for outcome in FinalState] == ["served", "refused", "failed"]


def test_new_store_has_the_recorded_schema_and_rows(tmp_path: Path) -> None:
    copy, path = Path(shutil.copy(DATA / "store.sqlite", tmp_path / "old")), tmp_path / "new"
    write_store(path)
    assert dump(path) == dump(copy)
    for each in (path, copy):
        database = sqlite3.connect(each)
        assert database.execute("select sql from sqlite_master").fetchall() == [(JOBS_TABLE,)]
        assert database.execute("pragma user_version").fetchone() == (1,)
        database.close()

"""Defines sample values of each recorded form, and functions that write the form with the present code.

``record.py`` ran these functions with the code of commit 1ac93b2 and saved the results in ``data``.
"""

import asyncio
import os
import socket
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, cast
from unittest.mock import MagicMock

import orjson

from heronlug.backends.connection import PausedConnection
from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import (
    ListKind,
    Outcome,
    ProgressKind,
    RequestArrived,
    ServerEntry,
    ServerListUpdate,
    ServerState,
)
from heronlug.balancer.model import Request, Server
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.servers import ServerTable
from heronlug.balancer.settings import Effect, RequestClass, Settings
from heronlug.balancer.slow_start import CapacityShares
from heronlug.cluster import merkle_trie
from heronlug.cluster.codec import encode_part
from heronlug.cluster.datagrams import DatagramCodec
from heronlug.cluster.messages import (
    Ack,
    IndirectPing,
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Nack,
    NodeData,
    NodeRequest,
    Part,
    Ping,
    Sync,
    TableAnnouncement,
    TransferAcceptance,
    TransferCompletion,
    TransferOffer,
)
from heronlug.cluster.model import FencingToken, Health, MemberUpdate
from heronlug.cluster.server_rows import ServerRowCodec
from heronlug.discovery.cache import encode_cache
from heronlug.discovery.endpoint_list import read_list, write_list
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.request import HttpRequest
from heronlug.lifecycle.hot_restart.state_transfer import StateTransfer
from heronlug.lifecycle.peer_messages import PeerMessages
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Clock, Deadlines
from heronlug.requests.model import ListedServer, Workload
from heronlug.storage.model import StoredRequest
from heronlug.storage.sqlite import SqliteStore

DATA_FOLDER = Path(__file__).parent / "data"
NOW = 1_700_000_000_000.0
ZONES, MACHINE_TYPES = ["zone-a", "zone-b"], ["small", "large"]
SERVERS = [
    ListedServer("server-1", "10.0.0.1:80", ServerState.READY, 0, 0, 0, 1.0, 0.0),
    ListedServer("server-2", "10.0.0.2:80", ServerState.READY, 1, 1, 3, 0.5, 1_699_999_000_000.0),
    ListedServer("server-3", "[::1]:8080", ServerState.DRAINING, 0, 1, 7, 2.0, 12.5),
    # The zone and the machine type are unknown.
    ListedServer("server-4", "10.0.0.4:80", ServerState.REMOVED, 2, 2, 0, 1.0, 0.0),
]
SETTINGS = Settings(
    classes=(
        RequestClass(
            latency_objective=200, deadline=5000, effect=Effect.IDEMPOTENT, retry_backoff=(0.0, 25.0), name="safe"
        ),
    ),
    instances=2,
    gossip=True,
    reports_start=True,
)
PARTS: list[Part] = [
    Ping(1),
    Ack(2),
    IndirectPing(3, 0xA1B2C3D4),
    Nack(4),
    Sync(),
    LeaseRequest(5, FencingToken(2**40, 6), 7, FencingToken(8, 9)),
    LeaseGrant(10, FencingToken(11, 12), 13),
    LeaseDenial(14, FencingToken(15, 16), 17),
    TransferOffer(18, FencingToken(19, 20)),
    TransferAcceptance(21, FencingToken(22, 23)),
    TransferCompletion(24, FencingToken(25, 26)),
    MemberUpdate("dispatcher-1", "127.0.0.1:7001", 2**41, Health.SUSPECT),
    LeaseRelease(27, FencingToken(28, 29)),
    TableAnnouncement(30, FencingToken(31, 32), 33, 2**63),
    NodeRequest((34, 2**64 - 1)),
    NodeData(b"L\x01\x02kvv"),
]
PART_NAMES: dict[type, str] = {  # names in commit 1ac93b2 of the classes that were renamed later
    IndirectPing: "PingFor",
    LeaseDenial: "Deny",
    LeaseGrant: "Grant",
    LeaseRelease: "Free",
    LeaseRequest: "Ask",
    MemberUpdate: "News",
    NodeData: "Piece",
    NodeRequest: "Pull",
    TableAnnouncement: "Announce",
    TransferAcceptance: "Accept",
    TransferCompletion: "Done",
    TransferOffer: "Offer",
}
KEYS = {3: b"the key of the recorded datagrams", 4: b"another key"}
ROWS = {b"key-%02d" % number: b"value of row %d" % number for number in range(24)}
STORED_REQUESTS = [
    StoredRequest("jid-1", "safe", "default", b'{"jid":"jid-1"}', 1000.5, 800.0),
    StoredRequest("jid-2", "once", "mail", b'{"jid":"jid-2","after":["jid-1"]}', 1001.0, 900.0, 5000.0, 1100.0),
    StoredRequest("jid-3", "safe", "default", b"", 1002.0, 700.0, 0.0, 1200.0, "served", 1300.0),
]


class Packet(NamedTuple):
    """One packet of a hot restart, and the number of descriptors that it carries."""

    data: str
    descriptors: int


def cached_list() -> bytes:
    """Returns the file of the cached list."""
    return encode_cache("127.0.0.1:8500", NOW, write_list(42, SERVERS, ZONES, MACHINE_TYPES))


def endpoint_list() -> bytes:
    """Returns the endpoint list, including removed servers."""
    return orjson.dumps(write_list(42, SERVERS, ZONES, MACHINE_TYPES, True))


def server_rows() -> bytes:
    """Returns the rows of the shared server list."""
    return encode_lines(
        {key.decode(): value for key, value in ServerRowCodec(ZONES, MACHINE_TYPES).encode(SERVERS).items()}
    )


def cluster_parts() -> bytes:
    """Returns each part of a cluster datagram, by the name of its class in commit 1ac93b2."""
    return encode_lines({PART_NAMES.get(type(part), type(part).__name__): encode_part(part) for part in PARTS})


def cluster_datagrams() -> bytes:
    """Returns the datagrams of all parts, sealed with the first of two keys."""
    datagrams = DatagramCodec(0x01020304, KEYS, 1000).pack(PARTS)
    return encode_lines({str(number): datagram for number, datagram in enumerate(datagrams)})


def table_nodes() -> bytes:
    """Returns the nodes of a replicated table, the root first."""
    nodes: dict[int, bytes] = {}
    root = merkle_trie.build(ROWS, nodes)
    return encode_lines({f"{name:016x}": nodes[name] for name in merkle_trie.names(nodes, root)})


def encode_lines(values: dict[str, bytes]) -> bytes:
    """Returns one line for each value, with the name and the bytes in hexadecimal digits."""
    return "".join(f"{name} {value.hex()}\n" for name, value in values.items()).encode()


def decode_lines(data: bytes) -> dict[str, bytes]:
    """Returns the values in lines that ``encode_lines`` wrote."""
    lines = [line.split(" ") for line in data.decode().splitlines()]
    return {name: bytes.fromhex(digits) for name, digits in lines}


def make_servers(count: int) -> dict[int, Server]:
    """Returns ``count`` servers as one dispatcher represents them, by number."""
    return {number: Server(ServerEntry(number), CapacityEstimate()) for number in range(1, count + 1)}


def load_reports() -> bytes:
    """Returns a report of the slots in flight, and a load summary in two datagrams."""
    reports, servers = PeerLoad(), make_servers(500)
    servers[1].load.own_slots, servers[2].load.own_slots, servers[3].load.own_slots = 3.0, 70.0, 0.0
    reports.unreported = {number: servers[number] for number in (1, 2, 3)}
    reports.unreported_outcomes = {1: 64, 3: 128}  # 64: the last attempt succeeded; 128: the last attempt failed
    reports.set_ready_servers(list(servers.values()))
    summary = reports.summary([number % 16 for number in range(1, 501)])
    return encode_lines({"counts": reports.report(NOW), "summary-0": summary[0], "summary-1": summary[1]})


class LendingDispatcher:
    """One of fourteen dispatchers, while server 7 warms up."""

    def __init__(self, position: int) -> None:
        settings = Settings(
            SETTINGS.classes,
            instances=14,
            position=position,
            lends_capacity=True,
            gossip=True,
            warmup_capacity=0.15,
            warmup_time=20_000.0,
            overload_multiple=3.0,
            overload_window=3000.0,
        )
        self.shares, self.table = CapacityShares(settings), ServerTable()
        self.table.capacities[0] = CapacityEstimate(4.0)
        self.table.apply_list(ServerListUpdate(ListKind.FULL, (ServerEntry(7, started_at=1.0),)), 0.0)
        self.server = self.table.by_id[7]
        self.server.slow_start.work_budget = self.shares.share(self.server, 0.2, 100.0, 10.0)

    def request(self) -> Request:
        """Returns a request with 100 ms of work."""
        request = Request(RequestArrived(1, 0, 10_000.0), SETTINGS.classes[0])
        request.work = 100.0
        return request

    def request_loan(self) -> list[tuple[bytes, int]]:
        """Returns the requests for a capacity loan, each with the position of its recipient."""
        messages = self.shares.request_loans([self.request()], [self.server], 20.0)
        return [(content, peer) for content, peer in messages]


def gossip_datagrams() -> bytes:
    """Returns the datagrams to two peers: a message, a goodbye, and a message that is marked with the goodbye."""
    transport = MagicMock()
    peers = PeerSocket(
        ["127.0.0.1:7001", "127.0.0.1:7002"], None, 0, MagicMock(), MagicMock(), MagicMock(), lambda: NOW
    )
    peers.connection_made(transport)
    peers.send(b"cat", -1)
    peers.leave()
    peers.send(b"cat", 1)
    return encode_lines({str(number): call.args[0] for number, call in enumerate(transport.sendto.call_args_list)})


def write_store(path: Path) -> None:
    """Writes a store with three requests: one accepted, one delivered, one served."""
    store = SqliteStore(path, lambda call: call(), MagicMock())
    for request in STORED_REQUESTS:
        store.accept(
            request._replace(job=request.job or b"{}", first_delivered_at=0.0, final_state="", ended_at=0.0),
            MagicMock(),
        )
        if request.first_delivered_at:
            store.deliver(request.jid, request.first_delivered_at, MagicMock())
        if request.final_state:
            store.record_final_state(request.jid, request.final_state, request.ended_at)
    store.close()


def dump_database(path: Path) -> list[str]:
    """Returns the schema, the rows and the version of a database, as SQL."""
    database = sqlite3.connect(path)
    try:
        return [*database.iterdump(), str(database.execute("pragma user_version").fetchone()[0])]
    finally:
        database.close()


class RestartProcess:
    """One process of a dispatcher with a real core and state transfer, and mocks for clients, servers and discovery."""

    def __init__(self, folder: str) -> None:
        self.deadlines = Deadlines(lambda: NOW)
        frontend = MagicMock()
        frontend.send.side_effect = self._start_attempt
        frontend.may_hide_disconnect.return_value = False
        self.core = Core(SETTINGS, 1, frontend, self.deadlines)
        self.sockets = [socket.socket(), socket.socket(type=socket.SOCK_DGRAM)]
        self.application = MagicMock()
        self.application.core = self.core
        config = self.application.config
        config.name, config.listen, config.zones, config.kinds = "d1", ("127.0.0.1", 80), ZONES, MACHINE_TYPES
        self.application.frontend.max_connections = self.application.backend.max_connections = 100
        self.application.frontend.memory.limit, self.application.frontend.memory.used = 1_000_000, 0
        self.application.frontend.adopting = 0
        self.application.listener.acceptor.opening = self.application.backend.open_count = 0
        self.application.listener.fileno.return_value, self.application.peers.fileno.return_value = self.descriptors()
        self.application.shutdown.hand_over.side_effect = lambda pass_on: pass_on and pass_on()
        self.application.shutdown.stopping, self.application.shutdown.transfer_over = True, False
        self.application.discovery.cache = None
        self.application.discovery.client.version = 42
        self.application.discovery.client.freshness.remaining.return_value = 7500.0
        self.application.discovery.client.parse_list = lambda table: read_list(
            table, ZONES, MACHINE_TYPES, lambda at: at
        )
        self.application.discovery.client.on_update = self.core.update_servers
        self.application.frontend.adopt.side_effect = self._adopt_connection
        self.takeover = StateTransfer(cast(Any, self.application), self.deadlines, folder)
        config.peers, config.peers_all = [], None
        self.application.clock = Clock()
        self.peer_messages = PeerMessages(config, self.deadlines, MagicMock(), MagicMock())
        self.peer_messages.hot_restart = self.takeover.session

    def descriptors(self) -> list[int]:
        """Returns the descriptors of a TCP socket and of a UDP socket."""
        return [sock.fileno() for sock in self.sockets]

    def close(self) -> None:
        """Closes the sockets."""
        self.takeover.session.close()
        for sock in self.sockets:
            sock.close()

    def connection(self) -> MagicMock:
        """Returns a connection of a client or of a server that can be handed over."""
        connection = MagicMock()
        connection.can_hand_over.return_value, connection.is_unsent = True, False
        connection.client_state.return_value = ClientState(served=True)
        return connection

    def _start_attempt(self, attempt: Any) -> None:
        attempt.exchange = self.connection()
        attempt.exchange.pause_for_handover.return_value = PausedConnection(
            self.descriptors()[0], answered=True, last=False
        )

    def _adopt_connection(
        self, sock: socket.socket, state: ClientState, on_adopted: Callable[[Any], None] | None = None
    ) -> None:
        sock.close()
        if on_adopted is not None:
            client = self.connection()
            client.pause_for_handover.return_value = self.descriptors()[0]
            on_adopted(client)

    def run_request(self) -> None:
        """Accepts a request whose first attempt fails and whose second attempt starts."""
        self.core.update_servers(ListKind.FULL, SERVERS[:3])
        request = HttpRequest()
        request.method, request.target, request.body = b"POST", b"/x?a=\xfe", b"\x00\xff body"
        request.headers, request.request_id, request.class_index = {b"x-txn": b"t-1", b"x-labels": b"\xe4=1"}, "t-1", 0
        request.workload, request.keep_alive, request.connection = Workload(slots=2.0, retry=True), False, None
        message = self.core.accept(request, 0, 4000.0, request_id="t-1", workload=request.workload)
        request.connection = self.connection()
        cast(Any, request.connection).pause_for_handover.return_value = self.descriptors()[0]
        self.core.attempt_ended(message.attempts[0], Outcome.FULL)
        self.core.attempt_progressed(message.attempts[1], ProgressKind.STARTED)


FEATURES_PACKET = Packet('.{"kind":"news","features":["room","confirm"]}', 0)
HELLO_PACKET = Packet('.{"kind":"hello","version":1,"name":"d1"}', 0)
SERVING_PACKET = Packet('.{"kind":"serving"}', 0)


async def receive(sock: socket.socket) -> Packet:
    """Returns the next packet, and closes its descriptors."""
    for _ in range(500):
        try:
            data, descriptors, _, _ = socket.recv_fds(sock, 65536, 8)
        except BlockingIOError:
            await asyncio.sleep(0.01)
            continue
        for descriptor in descriptors:
            os.close(descriptor)
        return Packet(data.decode(), len(descriptors))
    msg = "no packet arrived within 5 s"
    raise TimeoutError(msg)


async def restart_packets(folder: Path) -> list[Packet]:
    """Returns the packets of an old process to a new one that joins, serves, and receives a client and a request."""
    process = RestartProcess(str(folder))
    process.run_request()
    client = process.connection()
    client.serving, client.pause_for_handover.return_value = False, process.descriptors()[0]
    process.application.frontend.connections = [client]
    process.takeover.session.listen()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.connect(str(next(folder.glob("heronlug-*"))))
        sock.setblocking(False)
        sock.send(HELLO_PACKET.data.encode())
        packets = [await receive(sock)]
        sock.send(SERVING_PACKET.data.encode())
        packets += [await receive(sock), await receive(sock)]
        process.takeover.request_id_changed("t-2", True)
        process.takeover.request_id_changed("t-1", False)
        reports = process.core.dispatcher.state.peer_load
        reports.unreported = dict(process.core.dispatcher.state.servers.by_id)
        process.peer_messages.send(reports.report(NOW), -1)
        packets += [await receive(sock) for _ in range(3)]
        goodbye = asyncio.create_task(process.takeover.session.say_goodbye())
        packets.append(await receive(sock))
    await asyncio.wait_for(goodbye, 5)
    process.close()
    return packets


WRITERS: dict[str, Callable[[], bytes]] = {
    "kept-list.txt": cached_list,
    "server-list.json": endpoint_list,
    "register-rows.txt": server_rows,
    "cluster-parts.txt": cluster_parts,
    "cluster-datagrams.txt": cluster_datagrams,
    "table-nodes.txt": table_nodes,
    "load-reports.txt": load_reports,
    "gossip.txt": gossip_datagrams,
}

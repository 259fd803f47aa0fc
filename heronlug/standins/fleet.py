"""A whole fleet of stand-in hosts on loopback, as a scenario describes it, and the register that lists them.

The hosts are the emulator's own model (slots, queues, cold starts, tipping over), in real time and behind sockets that
speak PROTOCOL, *Dispatchers to runners*. A job's body may name its work in milliseconds; else it is drawn.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Protocol, cast

import httptools
import orjson

from heronlug.balancer.events import ServerState
from heronlug.conformance import Began, Dialled, Event, Load
from heronlug.discovery.endpoint_list import STATES
from heronlug.emulator.draws import Draws, distribution, stream
from heronlug.emulator.faults import ServerFaultInjector
from heronlug.emulator.scenario import ClassTable, Scenario
from heronlug.emulator.servers import EmulatedServer, Execution, ExecutionState, ServerKind, WarmupModel
from heronlug.standins.discovery import StandInDiscovery
from heronlug.standins.live import LiveLine

WORDS = {state: word for word, state in STATES.items()}
PROGRESS = 1000.0  # ms between words of a job that runs
ELSEWHERE = ("partition", "dispatcher-kill")  # troubles that no fleet of hosts can play
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class Owner(Protocol):
    """What a host's socket has to know of the fleet that it belongs to."""

    lanes: dict[str, ClassTable]
    works: dict[str, Draws]
    line: LiveLine

    def dialled(self, host: EmulatedServer) -> None:
        """A connection to it has come up."""

    def came(self, host: EmulatedServer, txn: str) -> None:
        """A whole request has come to it."""


class Fleet:
    """All hosts, by the names in the register."""

    def __init__(
        self, scenario: Scenario, seed: int | None = None, record: Callable[[Event], None] | None = None
    ) -> None:
        self.scenario, self.seed = scenario, scenario.seed if seed is None else seed
        self.line: LiveLine
        self.troubles: ServerFaultInjector
        self.register, self.hosts = StandInDiscovery(), dict[str, EmulatedServer]()
        self.servers: dict[str, Server] = {}
        self._record = record
        safety = scenario.safety
        self._warmth = WarmupModel(safety.cold_from, safety.warm_after_ms, safety.tip_multiple, safety.overload_for_ms)
        self.lanes = {lane.name: lane for lane in scenario.classes}
        self.works = {
            lane.name: Draws(distribution(lane.work), stream(self.seed, "work", lane.name)) for lane in scenario.classes
        }
        self._began_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self.fell = 0

    async def open(self, port: int = 0) -> int:
        """Start all hosts and the register; returns the register's port.  Raises ``OSError``."""
        self.line = LiveLine()
        for pool_number, pool in enumerate(self.scenario.pool):
            kind = next(each for each in self.scenario.kind if each.name == pool.kind)
            zone = self.scenario.zones.index(pool.zone) if pool.zone else 0
            made = ServerKind(kind.name, kind.slots, kind.speed, kind.queue, kind.order)
            for number in range(pool.count):
                await self._add(f"{pool.kind}-{pool_number}-{number}", made, zone)
        return await self.register.open(port=port)

    def begin(self) -> None:
        """The scenario's time starts: its troubles come from now on."""
        self.line._began = LiveLine()._began
        self.troubles = _fault_injector(self)

    def close(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers.values():
            server.close()
        self.register.close()

    # -- what troubles ask

    def lose(self, host: EmulatedServer) -> None:
        """Its process ends: connections are reset, new ones refused."""
        host.stop()
        self.servers[host.name].close()

    def list_host(self, host: EmulatedServer, state: ServerState) -> None:
        """The register has it so."""
        kind = host.kind.name
        started = host.started_at and self.unix(host.started_at)
        self.register.put(
            host.name,
            hostPort=f"127.0.0.1:{self.servers[host.name].port}",
            zone=self.scenario.zones[host.zone],
            machineType=kind,
            lifecycle=WORDS[state],
            startedAtMs=round(started),
        )
        if state is ServerState.READY and not self.servers[host.name].listening:
            self._do(self.servers[host.name].open())

    def replace(self, host: EmulatedServer) -> None:
        """A cold successor under a name of its own."""
        base, _, number = host.name.partition("+")
        self._do(self._succeed(f"{base}+{int(number or 0) + 1}", host))

    def unix(self, at: float) -> float:
        """A time of the line as Unix milliseconds."""
        return time.time() * 1000 - (self.line.now - at)

    def tell(self, event: Event) -> None:
        """For whoever records."""
        if self._record is not None:
            self._record(event)

    def dialled(self, host: EmulatedServer) -> None:
        """A connection to a host has come up."""
        self.tell(Dialled(self.unix(self.line.now), host.name))

    def came(self, host: EmulatedServer, txn: str) -> None:
        """Who sent it is not known here."""

    # -- inside

    def _do(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _add(self, name: str, kind: ServerKind, zone: int) -> EmulatedServer:
        host = self.hosts[name] = EmulatedServer(name, kind, zone, self.line, self._warmth)
        host.on_overload, host.on_execution_start = self._tipped, self._began
        server = self.servers[name] = Server(self, host)
        await server.open()
        self.list_host(host, ServerState.READY)
        return host

    async def _succeed(self, name: str, host: EmulatedServer) -> None:
        self.hosts.pop(host.name, None)
        successor = await self._add(name, host.kind, host.zone)
        successor.slowdown = host.slowdown
        successor.start()
        self.list_host(successor, ServerState.READY)

    def _tipped(self, host: EmulatedServer) -> None:
        self.fell += 1
        stands = self._warmth.overload_multiple * host.capacity()
        self.tell(Load(self.unix(self.line.now), host.name, host.occupied_slots / stands, host.warming_up))
        self.troubles.crash_server(host)

    def _began(self, host: EmulatedServer, run: Execution) -> None:
        self.tell(Began(self.unix(self.line.now), host.name, run.owner.txn))


class _FaultTarget:
    """A fleet on sockets, as faults are injected into it."""

    def __init__(self, fleet: Fleet) -> None:
        self.timeline, self.servers = fleet.line, fleet.hosts
        self.stop_server, self.list_server, self.replace_server = fleet.lose, fleet.list_host, fleet.replace
        self._discovery = fleet.register

    def silence_discovery(self) -> None:
        """Let service discovery answer nothing."""
        self._discovery.silent = True

    def end_discovery_silence(self) -> None:
        """Let service discovery answer again."""
        self._discovery.silent = False


def _fault_injector(fleet: Fleet) -> ServerFaultInjector:
    """Injects the faults of the fleet's scenario that a fleet of servers can have."""
    scenario = fleet.scenario
    faults = [fault for fault in scenario.trouble if fault.what not in ELSEWHERE]
    return ServerFaultInjector(_FaultTarget(fleet), faults, scenario.zones, fleet.seed)


class Server:
    """One host's listening socket; the port stays the same for its next process."""

    def __init__(self, fleet: Owner, host: EmulatedServer) -> None:
        self.fleet, self.host = fleet, host
        self.port = 0
        self.connections: set[Connection] = set()
        self._server: asyncio.AbstractServer | None = None

    @property
    def listening(self) -> bool:
        """Whether it takes connections."""
        return self._server is not None

    async def open(self) -> None:
        """Listen, unless it does; raises ``OSError``."""
        if self.listening:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), "127.0.0.1", self.port, backlog=512)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Listen no more, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()


class Connection(asyncio.Protocol):
    """One connection of a dispatcher: one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.txn = ""
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body = b""
        self._run: Execution | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A dispatcher has dialled."""
        self._transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.fleet.dialled(self.server.host)

    def connection_lost(self, exc: Exception | None) -> None:
        """Gone: what waits or runs for it is dropped."""
        self.server.connections.discard(self)
        run, self._run = self._run, None
        if run is not None:
            self.server.host.cancel(run)

    def data_received(self, data: bytes) -> None:
        """Bytes of a request; what is no HTTP ends the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def eof_received(self) -> bool:
        """The dispatcher has ended its sending: it gives the attempt up."""
        return False

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """A request begins."""
        self._headers, self._body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """The last byte: the job is here."""
        fleet, host = self.server.fleet, self.server.host
        lane = fleet.lanes.get(self._headers.get(b"x-lane", b"").decode("latin-1"))
        self.txn = self._headers.get(b"x-txn", b"").decode("latin-1")
        if lane is None or not self.txn:
            self._write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        fleet.came(host, self.txn)
        try:
            work = min(1e7, max(0.0, float(self._body)))
        except ValueError:
            work = fleet.works[lane.name].next()
        run = self._run = Execution(self, work, float(lane.slots), lane.worth, self._told)
        # the head goes out first: what is begun at once tells of it within take
        if len(host.queued) >= host.kind.queue_length and host.used_slots + run.slots > host.capacity():
            self._run = None
            self._write(TURNED_AWAY)
            return
        self._write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not host.accept(run):
            self._run = None
            self._line("returned")
            self._write(b"0\r\n\r\n")

    def _told(self, run: Execution, what: ExecutionState) -> None:
        if run is not self._run:
            return
        if what is ExecutionState.STARTED:
            self._line("started")
            self.server.fleet.line.schedule_after(PROGRESS, self._progress, run)
        elif what is ExecutionState.DONE:
            self._run = None
            self._line("done", result=f"{self.server.host.name} {self.txn}")
            self._write(b"0\r\n\r\n")

    def _progress(self, run: Execution) -> None:
        if run is self._run:
            host = self.server.host
            if run.completion is not None and not host.unresponsive:
                whole = host.duration_ms(run)
                share = (self.server.fleet.line.now - run.started_at) / whole if whole else 0.0
                self._line("running", share=round(min(0.99, share), 3))
            self.server.fleet.line.schedule_after(PROGRESS, self._progress, run)

    def _line(self, state: str, **more: Any) -> None:
        table = {"id": self.txn, "from": self.server.host.name, "state": state, **more}
        line = orjson.dumps(table, option=orjson.OPT_APPEND_NEWLINE)
        self._write(b"%x\r\n%s\r\n" % (len(line), line))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

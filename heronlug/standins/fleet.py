"""Runs the servers of a scenario as stand-ins on loopback, together with the service discovery that lists them.

The servers use the emulator's model (slots, queues, warm-up, overload) in real time behind sockets that implement
PROTOCOL, *Dispatchers to runners*. A request's body may state its work in milliseconds; otherwise the work is drawn
from the distribution of its class.
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
from heronlug.standins.live import LiveTimeline

LIFECYCLES = {state: word for word, state in STATES.items()}
"""Lifecycle in the endpoint list by server state."""
PROGRESS_INTERVAL_MS = 1000.0
"""Milliseconds between progress lines of a running request."""
UNSUPPORTED_FAULTS = ("partition", "dispatcher-kill")
"""Faults of a scenario that affect dispatchers, which a fleet of servers cannot inject."""
REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class EndpointOwner(Protocol):
    """Owner of server endpoints: supplies their configuration and receives their events.

    Attributes:
        request_classes: request classes by name.
        work_draws: distribution of the work by class name, for requests that do not state their work.
        timeline: real-time timeline of the emulated servers.
    """

    request_classes: dict[str, ClassTable]
    work_draws: dict[str, Draws]
    timeline: LiveTimeline

    def connection_accepted(self, server: EmulatedServer) -> None:
        """Handles a new connection to a server."""

    def request_received(self, server: EmulatedServer, txn: str) -> None:
        """Handles a complete request that a server received."""


class Fleet:
    """Stand-in servers of a scenario and the stand-in for service discovery.

    Attributes:
        scenario: scenario that describes the servers and faults.
        seed: seed of the random draws; by default the scenario's.
        timeline: real-time timeline of the emulated servers; set by :meth:`open`.
        fault_injector: injects the scenario's faults; set by :meth:`begin`.
        discovery: stand-in that lists the servers.
        emulated_servers: emulated servers by instance id.
        endpoints: listening sockets by instance id.
        request_classes: request classes by name.
        work_draws: distribution of the work by class name.
        overload_count: number of servers that crashed under overload.
    """

    def __init__(
        self, scenario: Scenario, seed: int | None = None, record: Callable[[Event], None] | None = None
    ) -> None:
        self.scenario, self.seed = scenario, scenario.seed if seed is None else seed
        self.timeline: LiveTimeline
        self.fault_injector: ServerFaultInjector
        self.discovery, self.emulated_servers = StandInDiscovery(), dict[str, EmulatedServer]()
        self.endpoints: dict[str, ServerEndpoint] = {}
        self._record = record
        safety = scenario.safety
        self._warmup = WarmupModel(safety.cold_from, safety.warm_after_ms, safety.tip_multiple, safety.overload_for_ms)
        self.request_classes = {request_class.name: request_class for request_class in scenario.classes}
        self.work_draws = {
            request_class.name: Draws(distribution(request_class.work), stream(self.seed, "work", request_class.name))
            for request_class in scenario.classes
        }
        self._began_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self.overload_count = 0

    async def open(self, port: int = 0) -> int:
        """Starts all servers and service discovery; returns the port of service discovery.

        Raises:
            OSError: if a port cannot be bound.
        """
        self.timeline = LiveTimeline()
        for pool_number, pool in enumerate(self.scenario.pool):
            kind = next(each for each in self.scenario.kind if each.name == pool.kind)
            zone = self.scenario.zones.index(pool.zone) if pool.zone else 0
            server_kind = ServerKind(kind.name, kind.slots, kind.speed, kind.queue, kind.order)
            for number in range(pool.count):
                await self._add(f"{pool.kind}-{pool_number}-{number}", server_kind, zone)
        return await self.discovery.open(port=port)

    def begin(self) -> None:
        """Starts the scenario's clock and the injection of its faults."""
        self.timeline._began_ns = LiveTimeline()._began_ns
        self.fault_injector = _fault_injector(self)

    def close(self) -> None:
        """Stops all servers, tasks and service discovery."""
        for task in self._tasks:
            task.cancel()
        for endpoint in self.endpoints.values():
            endpoint.close()
        self.discovery.close()

    # -- actions of the fault injector

    def stop_server(self, server: EmulatedServer) -> None:
        """Ends a server's process: open connections are reset and new ones refused."""
        server.stop()
        self.endpoints[server.name].close()

    def list_server(self, server: EmulatedServer, state: ServerState) -> None:
        """Lists a server in the given state; a ready server also listens."""
        kind = server.kind.name
        started = server.started_at and self.unix_ms(server.started_at)
        self.discovery.put(
            server.name,
            hostPort=f"127.0.0.1:{self.endpoints[server.name].port}",
            zone=self.scenario.zones[server.zone],
            machineType=kind,
            lifecycle=LIFECYCLES[state],
            startedAtMs=round(started),
        )
        if state is ServerState.READY and not self.endpoints[server.name].listening:
            self._spawn(self.endpoints[server.name].open())

    def replace_server(self, server: EmulatedServer) -> None:
        """Replaces a server by a cold successor with a new instance id, such as ``name+1``."""
        base, _, number = server.name.partition("+")
        self._spawn(self._start_successor(f"{base}+{int(number or 0) + 1}", server))

    def unix_ms(self, at: float) -> float:
        """Returns a time of the timeline as Unix milliseconds."""
        return time.time() * 1000 - (self.timeline.now - at)

    def record_event(self, event: Event) -> None:
        """Passes an event to the recorder, if there is one."""
        if self._record is not None:
            self._record(event)

    def connection_accepted(self, server: EmulatedServer) -> None:
        """Records a new connection to a server."""
        self.record_event(Dialled(self.unix_ms(self.timeline.now), server.name))

    def request_received(self, server: EmulatedServer, txn: str) -> None:
        """Does nothing, since the fleet cannot tell which dispatcher sent the request."""

    # -- internal

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _add(self, name: str, kind: ServerKind, zone: int) -> EmulatedServer:
        server = self.emulated_servers[name] = EmulatedServer(name, kind, zone, self.timeline, self._warmup)
        server.on_overload, server.on_execution_start = self._handle_overload, self._record_execution_start
        endpoint = self.endpoints[name] = ServerEndpoint(self, server)
        await endpoint.open()
        self.list_server(server, ServerState.READY)
        return server

    async def _start_successor(self, name: str, server: EmulatedServer) -> None:
        self.emulated_servers.pop(server.name, None)
        successor = await self._add(name, server.kind, server.zone)
        successor.slowdown = server.slowdown
        successor.start()
        self.list_server(successor, ServerState.READY)

    def _handle_overload(self, server: EmulatedServer) -> None:
        self.overload_count += 1
        overload_slots = self._warmup.overload_multiple * server.capacity()
        self.record_event(
            Load(
                self.unix_ms(self.timeline.now), server.name, server.occupied_slots / overload_slots, server.warming_up
            )
        )
        self.fault_injector.crash_server(server)

    def _record_execution_start(self, server: EmulatedServer, execution: Execution) -> None:
        self.record_event(Began(self.unix_ms(self.timeline.now), server.name, execution.owner.txn))


class _FaultTarget:
    """Adapts a fleet to the interface of the emulator's fault injector."""

    def __init__(self, fleet: Fleet) -> None:
        self.timeline, self.servers = fleet.timeline, fleet.emulated_servers
        self.stop_server, self.list_server, self.replace_server = (
            fleet.stop_server,
            fleet.list_server,
            fleet.replace_server,
        )
        self._discovery = fleet.discovery

    def silence_discovery(self) -> None:
        """Makes service discovery leave calls unanswered."""
        self._discovery.silent = True

    def end_discovery_silence(self) -> None:
        """Makes service discovery answer calls again."""
        self._discovery.silent = False


def _fault_injector(fleet: Fleet) -> ServerFaultInjector:
    """Returns an injector for the faults of the scenario that a fleet of servers supports."""
    scenario = fleet.scenario
    faults = [fault for fault in scenario.trouble if fault.what not in UNSUPPORTED_FAULTS]
    return ServerFaultInjector(_FaultTarget(fleet), faults, scenario.zones, fleet.seed)


class ServerEndpoint:
    """Listening socket of an emulated server; a restarted server keeps its port.

    Attributes:
        owner: receiver of the events.
        server: emulated server behind the socket.
        port: port of the socket; 0 before it is first opened, unless set.
        connections: open connections.
    """

    def __init__(self, owner: EndpointOwner, server: EmulatedServer) -> None:
        self.owner, self.server = owner, server
        self.port = 0
        self.connections: set[Connection] = set()
        self._server: asyncio.AbstractServer | None = None

    @property
    def listening(self) -> bool:
        """Whether the socket accepts connections."""
        return self._server is not None

    async def open(self) -> None:
        """Starts to listen, unless the socket is open.

        Raises:
            OSError: if the port cannot be bound.
        """
        if self.listening:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), "127.0.0.1", self.port, backlog=512)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()


class Connection(asyncio.Protocol):
    """Connection of a dispatcher, which carries one request at a time.

    Attributes:
        endpoint: socket that accepted the connection.
        txn: id of the latest request.
    """

    def __init__(self, endpoint: ServerEndpoint) -> None:
        self.endpoint = endpoint
        self.txn = ""
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body = b""
        self._execution: Execution | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers and reports the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self.endpoint.connections.add(self)
        self.endpoint.owner.connection_accepted(self.endpoint.server)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request that is queued or running for this connection."""
        self.endpoint.connections.discard(self)
        execution, self._execution = self._execution, None
        if execution is not None:
            self.endpoint.server.cancel(execution)

    def data_received(self, data: bytes) -> None:
        """Parses bytes of a request; invalid HTTP resets the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def eof_received(self) -> bool:
        """Closes the connection: a dispatcher that ends its stream has cancelled the attempt."""
        return False

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Clears the headers and body of the previous request."""
        self._headers, self._body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Accepts, queues or rejects the request, whose last byte has arrived."""
        owner, server = self.endpoint.owner, self.endpoint.server
        request_class = owner.request_classes.get(self._headers.get(b"x-lane", b"").decode("latin-1"))
        self.txn = self._headers.get(b"x-txn", b"").decode("latin-1")
        if request_class is None or not self.txn:
            self._write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        owner.request_received(server, self.txn)
        try:
            work = min(1e7, max(0.0, float(self._body)))
        except ValueError:
            work = owner.work_draws[request_class.name].next()
        execution = self._execution = Execution(
            self, work, float(request_class.slots), request_class.worth, self._execution_changed
        )
        # The response head is written first, since accept() may start the execution and write its first line at once.
        if len(server.queued) >= server.kind.queue_length and server.used_slots + execution.slots > server.capacity():
            self._execution = None
            self._write(REJECTED_RESPONSE)
            return
        self._write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not server.accept(execution):
            self._execution = None
            self._write_line("returned")
            self._write(b"0\r\n\r\n")

    def _execution_changed(self, execution: Execution, state: ExecutionState) -> None:
        if execution is not self._execution:
            return
        if state is ExecutionState.STARTED:
            self._write_line("started")
            self.endpoint.owner.timeline.schedule_after(PROGRESS_INTERVAL_MS, self._progress, execution)
        elif state is ExecutionState.DONE:
            self._execution = None
            self._write_line("done", result=f"{self.endpoint.server.name} {self.txn}")
            self._write(b"0\r\n\r\n")

    def _progress(self, execution: Execution) -> None:
        if execution is self._execution:
            server = self.endpoint.server
            if execution.completion is not None and not server.unresponsive:
                duration_ms = server.duration_ms(execution)
                share = (self.endpoint.owner.timeline.now - execution.started_at) / duration_ms if duration_ms else 0.0
                self._write_line("running", share=round(min(0.99, share), 3))
            self.endpoint.owner.timeline.schedule_after(PROGRESS_INTERVAL_MS, self._progress, execution)

    def _write_line(self, state: str, **fields: Any) -> None:
        message = {"id": self.txn, "from": self.endpoint.server.name, "state": state, **fields}
        line = orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE)
        self._write(b"%x\r\n%s\r\n" % (len(line), line))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

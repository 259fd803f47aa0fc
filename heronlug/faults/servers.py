"""Runs the stand-in servers of a test plan: emulated servers behind sockets, with events recorded in the history."""

from collections.abc import Callable
from typing import Any

import httptools

from heronlug.conformance import Began, Dialled, Load, Sent
from heronlug.emulator.draws import Draws
from heronlug.emulator.scenario import ClassTable
from heronlug.emulator.servers import EmulatedServer, Execution, ServerKind, WarmupModel
from heronlug.faults.history import History
from heronlug.faults.plan import FaultPlan
from heronlug.standins.discovery import StandInDiscovery
from heronlug.standins.fleet import ServerEndpoint
from heronlug.standins.live import LiveTimeline
from heronlug.standins.ports import free_port

MACHINE_TYPE = "m1"
"""Machine type of every stand-in server."""


def load_classes_of(plan: FaultPlan) -> dict[str, ClassTable]:
    """Returns the request classes of a plan, by name, as the load generator and the stand-in servers use them."""
    return {
        request_class.name: ClassTable(
            request_class.name,
            request_class.effect,
            request_class.aim_ms,
            request_class.deadline_ms,
            {"dist": "uniform"},
            request_class.worth,
        )
        for request_class in plan.classes
    }


class RequestListener:
    """Reports each request at the time it is written into a connection, even if a cut delays its bytes."""

    def __init__(self, on_request_written: Callable[[str], None]) -> None:
        self._on_request_written, self._txn = on_request_written, ""
        self._parser: Any = httptools.HttpRequestParser(self)

    def bytes_written(self, data: bytes) -> None:
        """Parses bytes of requests; parsing stops at the first bytes that are not valid HTTP."""
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._parser = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores the request id from the ``X-Txn`` header."""
        if name.lower() == b"x-txn":
            self._txn = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Reports a request whose last byte has been written."""
        self._on_request_written(self._txn)


class StandInServers:
    """The stand-in servers of a run, listed in the stand-in for service discovery.

    Attributes:
        plan: test plan of the run.
        discovery: stand-in that lists the servers.
        history: recorded events.
        request_classes: request classes by name.
        work_draws: empty, since each request states its own work.
        timeline: real-time timeline of the emulated servers.
        emulated_servers: emulated servers by name.
        endpoints: listening sockets of the servers by name.
    """

    def __init__(
        self,
        plan: FaultPlan,
        discovery: StandInDiscovery,
        history: History,
        dispatcher_of: Callable[[str], str],
        set_gone: Callable[[str, bool], None],
    ) -> None:
        """Prepares the servers without starting them.

        Args:
            plan: test plan of the run.
            discovery: stand-in that lists the servers.
            history: recorded events.
            dispatcher_of: returns the name of the dispatcher that received a request, by request id.
            set_gone: called with a server's name and whether its process has ended.
        """
        self.plan, self.discovery, self.history = plan, discovery, history
        self.request_classes = load_classes_of(plan)
        self.work_draws: dict[str, Draws] = {}
        self.timeline = LiveTimeline()
        self.emulated_servers: dict[str, EmulatedServer] = {}
        self.endpoints: dict[str, ServerEndpoint] = {}
        self._dispatcher_of, self._set_gone = dispatcher_of, set_gone
        table = plan.runners
        self._warmup = WarmupModel(table.cold_from, table.warm_after_ms, table.tip_multiple, table.overload_for_ms)

    async def open(self) -> None:
        """Starts and lists all servers, each on its own port.

        Raises:
            OSError: if no port is free.
        """
        table = self.plan.runners
        for number in range(table.count):
            name = f"r{number}"
            kind = ServerKind(MACHINE_TYPE, table.slots, 1.0, table.queue)
            server = self.emulated_servers[name] = EmulatedServer(
                name, kind, number % len(self.plan.halls), self.timeline, self._warmup
            )
            server.on_overload, server.on_execution_start = self._handle_overload, self._record_execution_start
            if table.cold:
                server.start()
            self.endpoints[name] = ServerEndpoint(self, server)
            self.endpoints[name].port = free_port()
            await self.endpoints[name].open()
            self.list_as(name, "active")

    def address(self, name: str) -> str:
        """Returns a server's own address, without a proxy."""
        return f"127.0.0.1:{self.endpoints[name].port}"

    def list_as(self, name: str, state: str) -> None:
        """Lists a server in service discovery with the given lifecycle."""
        server = self.emulated_servers[name]
        started = round(self._unix_ms(server.started_at)) if server.started_at else 0
        self.discovery.put(
            name,
            hostPort=self.address(name),
            zone=self.plan.halls[server.zone],
            machineType=MACHINE_TYPE,
            lifecycle=state,
            startedAtMs=started,
        )

    def stop(self, name: str) -> None:
        """Ends a server's process."""
        self.emulated_servers[name].stop()
        self.endpoints[name].close()
        self._set_gone(name, True)

    async def restart(self, name: str, cold: bool) -> None:
        """Starts a new process of a server at the same address; a cold one warms up first."""
        server = self.emulated_servers[name]
        if cold:
            server.start()
        else:
            server.up = True
        self._set_gone(name, False)
        await self.endpoints[name].open()
        self.list_as(name, "active")

    def close(self) -> None:
        """Closes the sockets of all servers."""
        for endpoint in self.endpoints.values():
            endpoint.close()

    # -- events of the sockets

    def connection_accepted(self, server: EmulatedServer) -> None:
        """Records a new connection to a server."""
        self.history.record(Dialled(self.history.now(), server.name))

    def request_received(self, server: EmulatedServer, txn: str) -> None:
        """Records a complete request as sent; with a proxy, :class:`RequestListener` has already reported it."""
        if "runners" not in self.plan.relays:
            self.request_sent(server.name, txn)

    def request_sent(self, name: str, txn: str) -> None:
        """Records a complete request that a dispatcher wrote to a server."""
        self.history.record(Sent(self.history.now(), self._dispatcher_of(txn), txn, name))

    # -- internal

    def _unix_ms(self, at: float) -> float:
        return self.history.now() - (self.timeline.now - at)

    def _record_execution_start(self, server: EmulatedServer, execution: Execution) -> None:
        request: Any = execution.owner
        self.history.record(Began(self.history.now(), server.name, request.txn))

    def _handle_overload(self, server: EmulatedServer) -> None:
        overload_slots = self._warmup.overload_multiple * server.capacity()
        self.history.record(
            Load(self.history.now(), server.name, server.occupied_slots / overload_slots, server.warming_up)
        )
        self.stop(server.name)

"""The rig's runners: the emulator's hosts behind sockets, with what they see told to the history."""

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


def load_classes_of(plan: FaultPlan) -> dict[str, ClassTable]:
    """The script's classes as the stand-ins know them."""
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
    """Hears the requests of one connection as they are written, though a cut may hold them."""

    def __init__(self, on_request_written: Callable[[str], None]) -> None:
        self._on_request_written, self._txn = on_request_written, ""
        self._parser: Any = httptools.HttpRequestParser(self)

    def bytes_written(self, data: bytes) -> None:
        """Bytes of requests; what is no HTTP is heard no further."""
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._parser = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        if name.lower() == b"x-txn":
            self._txn = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """The last byte has been written."""
        self._on_request_written(self._txn)


class StandInServers:
    """All runners by name; the register lists them."""

    def __init__(
        self,
        plan: FaultPlan,
        discovery: StandInDiscovery,
        history: History,
        dispatcher_of: Callable[[str], str],
        set_gone: Callable[[str, bool], None],
    ) -> None:
        """``sender`` knows the dispatcher that a request was handed to; ``gone`` hears of processes that end."""
        self.plan, self.discovery, self.history = plan, discovery, history
        self.request_classes = load_classes_of(plan)
        self.work_draws: dict[str, Draws] = {}  # each job brings its own
        self.timeline = LiveTimeline()
        self.emulated_servers: dict[str, EmulatedServer] = {}
        self.endpoints: dict[str, ServerEndpoint] = {}
        self._dispatcher_of, self._set_gone = dispatcher_of, set_gone
        table = plan.runners
        self._warmth = WarmupModel(table.cold_from, table.warm_after_ms, table.tip_multiple, table.overload_for_ms)

    async def open(self) -> None:
        """Start and list all of them, each at a port of its own; raises ``OSError``."""
        table = self.plan.runners
        for number in range(table.count):
            name = f"r{number}"
            kind = ServerKind(MACHINE_TYPE, table.slots, 1.0, table.queue)
            server = self.emulated_servers[name] = EmulatedServer(
                name, kind, number % len(self.plan.halls), self.timeline, self._warmth
            )
            server.on_overload, server.on_execution_start = self._handle_overload, self._record_execution_start
            if table.cold:
                server.start()
            self.endpoints[name] = ServerEndpoint(self, server)
            self.endpoints[name].port = free_port()
            await self.endpoints[name].open()
            self.list_as(name, "active")

    def address(self, name: str) -> str:
        """Where it really is."""
        return f"127.0.0.1:{self.endpoints[name].port}"

    def list_as(self, name: str, state: str) -> None:
        """The register has it so."""
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
        """Its process ends."""
        self.emulated_servers[name].stop()
        self.endpoints[name].close()
        self._set_gone(name, True)

    async def restart(self, name: str, cold: bool) -> None:
        """A new process at the same address."""
        server = self.emulated_servers[name]
        if cold:
            server.start()
        else:
            server.up = True
        self._set_gone(name, False)
        await self.endpoints[name].open()
        self.list_as(name, "active")

    def close(self) -> None:
        """End all."""
        for endpoint in self.endpoints.values():
            endpoint.close()

    # -- what the sockets tell

    def connection_accepted(self, server: EmulatedServer) -> None:
        """A connection has come up."""
        self.history.record(Dialled(self.history.now(), server.name))

    def request_received(self, server: EmulatedServer, txn: str) -> None:
        """A whole request has come; where a relay stands before the runner, it was sent when that heard it."""
        if "runners" not in self.plan.relays:
            self.request_sent(server.name, txn)

    def request_sent(self, name: str, txn: str) -> None:
        """A dispatcher has written a whole request."""
        self.history.record(Sent(self.history.now(), self._dispatcher_of(txn), txn, name))

    # -- inside

    def _unix_ms(self, at: float) -> float:
        return self.history.now() - (self.timeline.now - at)

    def _record_execution_start(self, server: EmulatedServer, execution: Execution) -> None:
        request: Any = execution.owner
        self.history.record(Began(self.history.now(), server.name, request.txn))

    def _handle_overload(self, server: EmulatedServer) -> None:
        overload_slots = self._warmth.overload_multiple * server.capacity()
        self.history.record(
            Load(self.history.now(), server.name, server.occupied_slots / overload_slots, server.warming_up)
        )
        self.stop(server.name)

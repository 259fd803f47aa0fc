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
from heronlug.standins.fleet import Server
from heronlug.standins.live import LiveLine
from heronlug.standins.ports import free_port

MACHINE_TYPE = "m1"


def load_classes_of(plan: FaultPlan) -> dict[str, ClassTable]:
    """The script's classes as the stand-ins know them."""
    return {
        lane.name: ClassTable(
            lane.name,
            lane.effect,
            lane.aim_ms,
            lane.deadline_ms,
            {"dist": "uniform"},
            lane.worth,
        )
        for lane in plan.classes
    }


class RequestListener:
    """Hears the requests of one connection as they are written, though a cut may hold them."""

    def __init__(self, written: Callable[[str], None]) -> None:
        self._written, self._txn = written, ""
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
        self._written(self._txn)


class StandInServers:
    """All runners by name; the register lists them."""

    def __init__(
        self,
        plan: FaultPlan,
        register: StandInDiscovery,
        history: History,
        sender: Callable[[str], str],
        gone: Callable[[str, bool], None],
    ) -> None:
        """``sender`` knows the dispatcher that a request was handed to; ``gone`` hears of processes that end."""
        self.plan, self.register, self.history = plan, register, history
        self.lanes = load_classes_of(plan)
        self.works: dict[str, Draws] = {}  # each job brings its own
        self.line = LiveLine()
        self.emulated_servers: dict[str, EmulatedServer] = {}
        self.endpoints: dict[str, Server] = {}
        self._sender, self._gone = sender, gone
        table = plan.runners
        self._warmth = WarmupModel(table.cold_from, table.warm_after_ms, table.tip_multiple, table.overload_for_ms)

    async def open(self) -> None:
        """Start and list all of them, each at a port of its own; raises ``OSError``."""
        table = self.plan.runners
        for number in range(table.count):
            name = f"r{number}"
            kind = ServerKind(MACHINE_TYPE, table.slots, 1.0, table.queue)
            host = self.emulated_servers[name] = EmulatedServer(
                name, kind, number % len(self.plan.halls), self.line, self._warmth
            )
            host.on_overload, host.on_execution_start = self._tipped, self._began
            if table.cold:
                host.start()
            self.endpoints[name] = Server(self, host)
            self.endpoints[name].port = free_port()
            await self.endpoints[name].open()
            self.list_as(name, "active")

    def address(self, name: str) -> str:
        """Where it really is."""
        return f"127.0.0.1:{self.endpoints[name].port}"

    def list_as(self, name: str, state: str) -> None:
        """The register has it so."""
        host = self.emulated_servers[name]
        started = round(self._unix(host.started_at)) if host.started_at else 0
        self.register.put(
            name,
            hostPort=self.address(name),
            zone=self.plan.halls[host.zone],
            machineType=MACHINE_TYPE,
            lifecycle=state,
            startedAtMs=started,
        )

    def stop(self, name: str) -> None:
        """Its process ends."""
        self.emulated_servers[name].stop()
        self.endpoints[name].close()
        self._gone(name, True)

    async def restart(self, name: str, cold: bool) -> None:
        """A new process at the same address."""
        host = self.emulated_servers[name]
        if cold:
            host.start()
        else:
            host.up = True
        self._gone(name, False)
        await self.endpoints[name].open()
        self.list_as(name, "active")

    def close(self) -> None:
        """End all."""
        for server in self.endpoints.values():
            server.close()

    # -- what the sockets tell

    def dialled(self, host: EmulatedServer) -> None:
        """A connection has come up."""
        self.history.see(Dialled(self.history.now(), host.name))

    def came(self, host: EmulatedServer, txn: str) -> None:
        """A whole request has come; where a relay stands before the runner, it was sent when that heard it."""
        if "runners" not in self.plan.relays:
            self.request_sent(host.name, txn)

    def request_sent(self, name: str, txn: str) -> None:
        """A dispatcher has written a whole request."""
        self.history.see(Sent(self.history.now(), self._sender(txn), txn, name))

    # -- inside

    def _unix(self, at: float) -> float:
        return self.history.now() - (self.line.now - at)

    def _began(self, host: EmulatedServer, run: Execution) -> None:
        request: Any = run.owner
        self.history.see(Began(self.history.now(), host.name, request.txn))

    def _tipped(self, host: EmulatedServer) -> None:
        stands = self._warmth.overload_multiple * host.capacity()
        self.history.see(Load(self.history.now(), host.name, host.occupied_slots / stands, host.warming_up))
        self.stop(host.name)

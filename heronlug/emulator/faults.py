"""Injects the faults of a scenario's ``[[trouble]]`` tables into servers, dispatchers, zones and service discovery."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import numpy as np

from heronlug.balancer.events import ServerState
from heronlug.emulator.dispatchers import EmulatedDispatcher
from heronlug.emulator.draws import stream
from heronlug.emulator.scenario import FaultTable
from heronlug.emulator.servers import EmulatedServer
from heronlug.emulator.timeline import Timeline

RESTART_DELAY_MS = 3000.0
"""Time in ms from the crash of a server to its restart."""

FaultHandler = Callable[[FaultTable, np.random.Generator], None]


class FaultTarget(Protocol):
    """Interface of a fleet of servers, emulated or behind sockets, that faults can be injected into."""

    @property
    def timeline(self) -> Timeline:
        """Timeline on which faults are scheduled."""

    @property
    def servers(self) -> Mapping[str, EmulatedServer]:
        """Servers by name."""

    def stop_server(self, server: EmulatedServer) -> None:
        """Ends a server's process; its running and queued executions are lost."""

    def list_server(self, server: EmulatedServer, state: ServerState) -> None:
        """Changes the state of a server in service discovery."""

    def replace_server(self, server: EmulatedServer) -> None:
        """Replaces a server by a cold successor with a new name."""

    def silence_discovery(self) -> None:
        """Stops service discovery from sending."""

    def end_discovery_silence(self) -> None:
        """Lets service discovery send again, beginning with the changes that were deferred during the silence."""


class EmulatedFaultTarget(FaultTarget, Protocol):
    """Interface of a whole emulated system, dispatchers and network included."""

    @property
    def running_dispatchers(self) -> Sequence[EmulatedDispatcher]:
        """Dispatchers that have a running process."""

    def kill_dispatcher(self, dispatcher: EmulatedDispatcher) -> None:
        """Ends a dispatcher's process at once and schedules the start of its next process."""

    def partition_zone(self, zone: int) -> None:
        """Cuts a zone off from all other zones."""

    def heal_zone(self, zone: int) -> None:
        """Reconnects a zone and delivers the reports that the partition postponed."""


class ServerFaultInjector:
    """Schedules the faults of servers and of service discovery at the times that the tables give."""

    def __init__(self, target: FaultTarget, faults: Sequence[FaultTable], zones: Sequence[str], seed: int) -> None:
        self._target, self._zones = target, zones
        self._timeline = target.timeline
        handlers = self._fault_handlers()
        for number, table in enumerate(faults):
            rng = stream(seed, "trouble", str(number))
            self._timeline.schedule_at(table.at_s * 1000, handlers[table.what], table, rng)

    def crash_server(self, server: EmulatedServer) -> None:
        """Ends a server's process and schedules its restart after ``RESTART_DELAY_MS``."""
        self._target.stop_server(server)
        self._target.list_server(server, ServerState.REMOVED)
        self._timeline.schedule_after(RESTART_DELAY_MS, self._restart, server)

    def _fault_handlers(self) -> dict[str, FaultHandler]:
        """Returns the functions that begin a fault, by the name of the fault in scenario files."""
        return {
            "crash": self._crash,
            "hang": self._hang,
            "pause": self._pause,
            "deploy": self._deploy,
            "slow-zone": self._slow_zone,
            "hall-dies": self._zone_failure,
            "register-silent": self._discovery_silence,
        }

    def _choose_servers(self, table: FaultTable, rng: np.random.Generator) -> list[EmulatedServer]:
        """Chooses the table's share of the servers that are up, of the table's zone if the table names a zone."""
        servers = [server for server in self._target.servers.values() if server.up]
        if table.zone:
            zone = self._zones.index(table.zone)
            servers = [server for server in servers if server.zone == zone]
        count = round(table.share * len(servers))
        chosen = rng.choice(len(servers), count, replace=False)
        return [servers[index] for index in sorted(map(int, chosen))]

    def _restart(self, server: EmulatedServer) -> None:
        server.start()
        self._target.list_server(server, ServerState.READY)

    # -- crashes, hangs and pauses

    def _crash(self, table: FaultTable, rng: np.random.Generator) -> None:
        for server in self._choose_servers(table, rng):
            self.crash_server(server)

    def _hang(self, table: FaultTable, rng: np.random.Generator) -> None:
        """Suspends servers; at the end of the fault the servers crash and are restarted later."""
        for server in self._choose_servers(table, rng):
            server.suspend()
            self._timeline.schedule_after(table.for_s * 1000, self._end_hang, server)

    def _end_hang(self, server: EmulatedServer) -> None:
        if server.up and server.unresponsive:
            self.crash_server(server)

    def _pause(self, table: FaultTable, rng: np.random.Generator) -> None:
        """Suspends servers and resumes them at the end of the fault."""
        for server in self._choose_servers(table, rng):
            server.suspend()
            self._timeline.schedule_after(table.for_s * 1000, server.resume)

    # -- a rolling deploy

    def _deploy(self, table: FaultTable, rng: np.random.Generator) -> None:
        """Replaces servers one by one: each is listed as draining, then ends and is replaced by a cold server."""
        chosen = self._choose_servers(table, rng)
        for number, server in enumerate(chosen):
            delay = table.over_s * 1000 * number / max(1, len(chosen))
            self._timeline.schedule_after(delay, self._drain, server, table)

    def _drain(self, server: EmulatedServer, table: FaultTable) -> None:
        if server.up:
            self._target.list_server(server, ServerState.DRAINING)
            self._timeline.schedule_after(table.drain_s * 1000, self._replace, server)

    def _replace(self, server: EmulatedServer) -> None:
        if server.up:
            self._target.stop_server(server)
            self._target.list_server(server, ServerState.REMOVED)
            self._target.replace_server(server)

    # -- zones

    def _zone_failure(self, table: FaultTable, rng: np.random.Generator) -> None:
        """Stops a share of a zone's servers and restores them together; ``listed`` keeps them in service discovery."""
        servers = self._choose_servers(table, rng)
        for server in servers:
            self._target.stop_server(server)
            if not table.listed:
                self._target.list_server(server, ServerState.REMOVED)
        self._timeline.schedule_after(table.for_s * 1000, self._end_zone_failure, servers, table)

    def _end_zone_failure(self, servers: list[EmulatedServer], table: FaultTable) -> None:
        for server in servers:
            if table.cold:
                server.start()
            else:
                server.up = True
            if table.cold or not table.listed:
                self._target.list_server(server, ServerState.READY)

    def _slow_zone(self, table: FaultTable, rng: np.random.Generator) -> None:
        """Multiplies the duration of executions that start in a zone."""
        zone = self._zones.index(table.zone)
        servers = [server for server in self._target.servers.values() if server.zone == zone]
        for server in servers:
            server.slowdown = table.factor
        self._timeline.schedule_after(table.for_s * 1000, self._end_slowdown, servers)

    @staticmethod
    def _end_slowdown(servers: list[EmulatedServer]) -> None:
        for server in servers:
            server.slowdown = 1.0

    # -- service discovery

    def _discovery_silence(self, table: FaultTable, rng: np.random.Generator) -> None:
        self._target.silence_discovery()
        self._timeline.schedule_after(table.for_s * 1000, self._target.end_discovery_silence)


class FaultInjector(ServerFaultInjector):
    """Schedules all faults, including the faults of dispatchers and of the network."""

    def __init__(
        self, target: EmulatedFaultTarget, faults: Sequence[FaultTable], zones: Sequence[str], seed: int
    ) -> None:
        self._system = target
        super().__init__(target, faults, zones, seed)

    def _fault_handlers(self) -> dict[str, FaultHandler]:
        """Adds the faults of dispatchers and of the network to the faults of servers."""
        return super()._fault_handlers() | {"dispatcher-kill": self._kill_dispatchers, "partition": self._partition}

    def _kill_dispatchers(self, table: FaultTable, rng: np.random.Generator) -> None:
        running = list(self._system.running_dispatchers)
        count = min(max(1, round(table.share * len(running))), len(running))
        for index in sorted(map(int, rng.choice(len(running), count, replace=False))):
            self._system.kill_dispatcher(running[index])

    def _partition(self, table: FaultTable, rng: np.random.Generator) -> None:
        """Cuts a zone off from all others; messages already sent arrive, and reports of servers wait until it heals."""
        zone = self._zones.index(table.zone)
        self._system.partition_zone(zone)
        self._timeline.schedule_after(table.for_s * 1000, self._system.heal_zone, zone)

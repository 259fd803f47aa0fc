"""Fault injection: what a scenario's ``[[trouble]]`` tables do to servers, dispatchers, zones and service discovery."""

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
"""How long a server that crashed is down before it is started again."""

FaultHandler = Callable[[FaultTable, np.random.Generator], None]


class FaultTarget(Protocol):
    """A fleet of servers, emulated or behind sockets, that faults can be injected into."""

    @property
    def timeline(self) -> Timeline:
        """The time that faults are scheduled in."""

    @property
    def servers(self) -> Mapping[str, EmulatedServer]:
        """The servers by name."""

    def stop_server(self, server: EmulatedServer) -> None:
        """End a server's process, with all that is in it."""

    def list_server(self, server: EmulatedServer, state: ServerState) -> None:
        """Let service discovery list a server in a state."""

    def replace_server(self, server: EmulatedServer) -> None:
        """Start a cold successor of a server under a name of its own."""

    def silence_discovery(self) -> None:
        """Let service discovery send nothing."""

    def end_discovery_silence(self) -> None:
        """Let service discovery send again, with all that it held back."""


class EmulatedFaultTarget(FaultTarget, Protocol):
    """A whole emulated system, dispatchers and network included."""

    @property
    def running_dispatchers(self) -> Sequence[EmulatedDispatcher]:
        """The dispatchers that have a process."""

    def kill_dispatcher(self, dispatcher: EmulatedDispatcher) -> None:
        """End a dispatcher's process at once, and start another one later."""

    def partition_zone(self, zone: int) -> None:
        """Let nothing pass into a zone or out of it."""

    def heal_zone(self, zone: int) -> None:
        """Let pass what goes into the zone or out of it, and what has waited for that."""


class ServerFaultInjector:
    """Injects the faults of servers and of service discovery at their times."""

    def __init__(self, target: FaultTarget, faults: Sequence[FaultTable], zones: Sequence[str], seed: int) -> None:
        self._target, self._zones = target, zones
        self._timeline = target.timeline
        handlers = self._fault_handlers()
        for number, table in enumerate(faults):
            rng = stream(seed, "trouble", str(number))
            self._timeline.schedule_at(table.at_s * 1000, handlers[table.what], table, rng)

    def crash_server(self, server: EmulatedServer) -> None:
        """End a server's process and start it again later."""
        self._target.stop_server(server)
        self._target.list_server(server, ServerState.REMOVED)
        self._timeline.schedule_after(RESTART_DELAY_MS, self._restart, server)

    def _fault_handlers(self) -> dict[str, FaultHandler]:
        """What begins each fault, by its name in scenario files."""
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
        """A share of the servers that are up, of one zone if the table names it."""
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
        """Servers are suspended, and crash and start again after that."""
        for server in self._choose_servers(table, rng):
            server.suspend()
            self._timeline.schedule_after(table.for_s * 1000, self._end_hang, server)

    def _end_hang(self, server: EmulatedServer) -> None:
        if server.up and server.unresponsive:
            self.crash_server(server)

    def _pause(self, table: FaultTable, rng: np.random.Generator) -> None:
        """Servers are suspended, and go on after that."""
        for server in self._choose_servers(table, rng):
            server.suspend()
            self._timeline.schedule_after(table.for_s * 1000, server.resume)

    # -- a rolling deploy

    def _deploy(self, table: FaultTable, rng: np.random.Generator) -> None:
        """One server after the other drains, ends and has a cold successor."""
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
        """A share of a zone's servers ends, with or without service discovery saying so, and returns all at once."""
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
        """Executions that start in a zone take longer."""
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
    """Injects all faults, those of dispatchers and of the network included."""

    def __init__(
        self, target: EmulatedFaultTarget, faults: Sequence[FaultTable], zones: Sequence[str], seed: int
    ) -> None:
        self._system = target
        super().__init__(target, faults, zones, seed)

    def _fault_handlers(self) -> dict[str, FaultHandler]:
        """As for servers, with the faults of dispatchers and of the network."""
        return super()._fault_handlers() | {"dispatcher-kill": self._kill_dispatchers, "partition": self._partition}

    def _kill_dispatchers(self, table: FaultTable, rng: np.random.Generator) -> None:
        running = list(self._system.running_dispatchers)
        count = min(max(1, round(table.share * len(running))), len(running))
        for index in sorted(map(int, rng.choice(len(running), count, replace=False))):
            self._system.kill_dispatcher(running[index])

    def _partition(self, table: FaultTable, rng: np.random.Generator) -> None:
        """A zone is cut off from all others; what is on its way arrives when it is over."""
        zone = self._zones.index(table.zone)
        self._system.partition_zone(zone)
        self._timeline.schedule_after(table.for_s * 1000, self._system.heal_zone, zone)

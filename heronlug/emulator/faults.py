"""What befalls the fleet."""

from typing import TYPE_CHECKING

import numpy as np

from heronlug.balancer.events import ServerState
from heronlug.emulator.draws import stream
from heronlug.emulator.scenario import TroubleTable
from heronlug.emulator.servers import Host

if TYPE_CHECKING:
    from heronlug.emulator.world import World

BACK = 3000.0  # ms until a process that has fallen is started again


class Troubles:
    """Each at its time."""

    def __init__(self, world: "World") -> None:
        self._world = world
        for number, table in enumerate(world.scenario.trouble):
            rng = stream(world.seed, "trouble", str(number))
            begin = getattr(self, "_" + table.what.replace("-", "_"))
            world.line.at(table.at_s * 1000, begin, table, rng)

    def _chosen(self, table: TroubleTable, rng: np.random.Generator) -> list[Host]:
        """A share of the hosts, of one zone where that is said."""
        world = self._world
        hosts = [host for host in world.hosts.values() if host.up]
        if table.zone:
            zone = world.scenario.zones.index(table.zone)
            hosts = [host for host in hosts if host.zone == zone]
        count = round(table.share * len(hosts))
        return [hosts[n] for n in sorted(map(int, rng.choice(len(hosts), count, replace=False)))]

    def _crash(self, table: TroubleTable, rng: np.random.Generator) -> None:
        for host in self._chosen(table, rng):
            self.fall(host)

    def fall(self, host: Host, back: float = BACK) -> None:
        """A process is gone, and is started again."""
        world = self._world
        world.lose(host)
        world.list_host(host, ServerState.REMOVED)
        world.line.after(back, self._start, host)

    def _start(self, host: Host) -> None:
        host.start()
        self._world.list_host(host, ServerState.READY)

    def _hang(self, table: TroubleTable, rng: np.random.Generator) -> None:
        """They stand still, and are started anew after that."""
        for host in self._chosen(table, rng):
            host.stand()
            self._world.line.after(table.for_s * 1000, self._unhang, host)

    def _unhang(self, host: Host) -> None:
        if host.up and host.still:
            self.fall(host)

    def _pause(self, table: TroubleTable, rng: np.random.Generator) -> None:
        for host in self._chosen(table, rng):
            host.stand()
            self._world.line.after(table.for_s * 1000, host.go_on)

    def _deploy(self, table: TroubleTable, rng: np.random.Generator) -> None:
        """One after the other drains, ends, and has a cold successor."""
        chosen = self._chosen(table, rng)
        for number, host in enumerate(chosen):
            at = table.over_s * 1000 * number / max(1, len(chosen))
            self._world.line.after(at, self._drain, host, table)

    def _drain(self, host: Host, table: TroubleTable) -> None:
        if host.up:
            self._world.list_host(host, ServerState.DRAINING)
            self._world.line.after(table.drain_s * 1000, self._replace, host)

    def _replace(self, host: Host) -> None:
        if host.up:
            self._world.lose(host)
            self._world.list_host(host, ServerState.REMOVED)
            self._world.replace(host)

    def _dispatcher_kill(self, table: TroubleTable, rng: np.random.Generator) -> None:
        up = list(self._world.up)
        count = max(1, round(table.share * len(up)))
        for n in sorted(map(int, rng.choice(len(up), min(count, len(up)), replace=False))):
            self._world.kill(up[n])

    def _partition(self, table: TroubleTable, rng: np.random.Generator) -> None:
        """A zone is cut off from all others; what is on its way arrives when it is over."""
        zone = self._world.scenario.zones.index(table.zone)
        self._world.cut_off.add(zone)
        self._world.line.after(table.for_s * 1000, self._world.heal, zone)

    def _hall_dies(self, table: TroubleTable, rng: np.random.Generator) -> None:
        """A share of the zone's hosts is gone; the register says nothing, unless it is told; all come back at once."""
        world = self._world
        hosts = self._chosen(table, rng)
        for host in hosts:
            world.lose(host)
            if not table.listed:
                world.list_host(host, ServerState.REMOVED)
        world.line.after(table.for_s * 1000, self._hall_returns, hosts, table)

    def _hall_returns(self, hosts: list[Host], table: TroubleTable) -> None:
        for host in hosts:
            if table.cold:
                host.start()
            else:
                host.up = True
            if table.cold or not table.listed:
                self._world.list_host(host, ServerState.READY)

    def _slow_zone(self, table: TroubleTable, rng: np.random.Generator) -> None:
        zone = self._world.scenario.zones.index(table.zone)
        hosts = [host for host in self._world.hosts.values() if host.zone == zone]
        for host in hosts:
            host.slow = table.factor
        self._world.line.after(table.for_s * 1000, self._quick, hosts)

    @staticmethod
    def _quick(hosts: list[Host]) -> None:
        for host in hosts:
            host.slow = 1.0

    def _register_silent(self, table: TroubleTable, rng: np.random.Generator) -> None:
        self._world.register.silent = True
        self._world.line.after(table.for_s * 1000, self._world.register.speak)

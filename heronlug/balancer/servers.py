"""Maintains the table of servers from updates of the endpoint list."""

from collections import defaultdict
from collections.abc import Callable

from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import FORGET_AFTER, ListKind, ServerListUpdate, ServerState
from heronlug.balancer.model import Server

UNREPORTED_SLOTS = 4.0
"""Initial estimate of a server's slots where no load report gives them; starts and waits refine the estimate."""


class ServerTable:
    """Holds all servers by number, and the capacity estimate of each kind of server.

    Attributes:
        by_id: servers that are listed or were removed less than ``FORGET_AFTER`` ms ago, by number.
        capacities: capacity estimate, by kind of server.
        removed_at: time in ms at which each removed server was notified as removed, oldest first.
    """

    __slots__ = ("_on_forgotten", "by_id", "capacities", "removed_at")

    def __init__(
        self, *, slots_unreported: bool = False, on_forgotten: Callable[[int], None] = lambda number: None
    ) -> None:
        """Creates an empty table.

        Args:
            slots_unreported: whether no load report gives the slots of a server.
            on_forgotten: called with the number of each server that is deleted from the table.
        """
        self.by_id: dict[int, Server] = {}
        self.capacities: defaultdict[int, CapacityEstimate] = defaultdict(CapacityEstimate)
        if slots_unreported:
            self.capacities.default_factory = lambda: CapacityEstimate(UNREPORTED_SLOTS)
        self.removed_at: dict[int, float] = {}
        self._on_forgotten = on_forgotten

    def apply_list(self, update: ServerListUpdate, now: float) -> list[Server]:
        """Applies an update of the endpoint list; returns the ready servers that are not in the ranking."""
        ready: dict[int, Server] = {}
        for entry in update.entries:
            server = self.by_id.get(entry.server) or Server(entry, self.capacities[entry.kind])
            self.by_id[entry.server] = server
            server.slow_start.known_before_restart |= update.kind == ListKind.CACHED
            if entry.started_at != server.started_at:
                server.process_restarted(entry.started_at)
            server.state, server.zone, server.kind, server.cell = entry[1:5]
            if server.state is ServerState.REMOVED:
                self.removed_at.setdefault(server.id, now)
            else:
                self.removed_at.pop(server.id, None)
            if server.state is ServerState.READY and not server.in_ranking:
                ready[server.id] = server
        if update.kind != ListKind.CHANGES:
            self._remove_all_but({entry.server for entry in update.entries}, now)
        self._forget_removed(now)
        return list(ready.values())

    def avoided(self, now: float) -> set[int]:
        """Returns the numbers of the servers that get no ordinary request now."""
        return {server.id for server in self.by_id.values() if _is_avoided(server, now)}

    def _remove_all_but(self, listed: set[int], now: float) -> None:
        for missing in self.by_id.keys() - listed:
            self.by_id[missing].state = ServerState.REMOVED
            self.removed_at.setdefault(missing, now)

    def _forget_removed(self, now: float) -> None:
        """Deletes servers that were removed long ago and have no attempt of this dispatcher in flight."""
        for number in [number for number, at in self.removed_at.items() if at <= now - FORGET_AFTER]:
            if not self.by_id[number].load.own_attempts:
                del self.by_id[number], self.removed_at[number]
                self._on_forgotten(number)


def _is_avoided(server: Server, now: float) -> bool:
    outlier = server.outlier
    return bool(
        server.state is not ServerState.READY
        or now < outlier.ejected_until
        or outlier.trials_left
        or outlier.unresponsive
        or server.load.reported_failing
        or server.zone_standing.excluded
    )

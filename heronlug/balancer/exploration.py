"""Schedules exploration rounds and probe requests to servers reported as failing.

After a change of the ranking each ready server receives one request, the best-ranked server first, so that a server
whose score has fallen is observed again.  A server that load summaries report as failing receives no ordinary
requests.  Instead, the dispatchers take turns by the clock, and the dispatcher whose turn it is may send the server a
single probe request.
"""

from collections.abc import Sequence

from heronlug.balancer.model import LEVEL_FAILING, Server
from heronlug.balancer.outlier_detection import EJECTION_DIAL_TIMEOUTS
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.settings import Settings


class Exploration:
    """Servers that receive a request independently of the ranking.

    Attributes:
        pending: servers that remain in the exploration round, the next server last.
        probe_server: the server reported as failing that this dispatcher may probe; None if there is none.
        zone_probes: servers of an excluded zone that this dispatcher probes, before other failing servers.
        changed: servers that have become or ceased to be ``probe_server`` since :class:`Selection` last cleared the
            list.
    """

    __slots__ = ("_peer_load", "_settings", "_term", "changed", "pending", "probe_server", "zone_probes")

    def __init__(self, settings: Settings, peer_load: PeerLoad) -> None:
        self._settings, self._peer_load = settings, peer_load
        self._term = 0
        self.pending: list[Server] = []
        self.probe_server: Server | None = None
        self.zone_probes: list[Server] = []
        self.changed: list[Server] = []

    def begin_round(self, ranking: Sequence[Server]) -> None:
        """Starts a round that visits each server of the ranking once, the best-ranked server first."""
        self.pending = list(ranking[::-1])

    def visit(self, servers: Sequence[Server]) -> None:
        """Puts these servers at the front of the round; the last of them is visited first."""
        self.pending += servers

    def rotate_probe_server(self, now: float) -> None:
        """Chooses the server that this dispatcher may probe, once per term of the rotation."""
        term = int(now / (EJECTION_DIAL_TIMEOUTS * self._settings.dial_timeout))
        if term == self._term:
            return
        self._term = term
        instances = self._settings.instances
        own_servers = self._peer_load.servers_in_order[(self._settings.position - term) % instances :: instances]
        self.set_probe_server(self._next_failing([*self.zone_probes, *own_servers]))
        if self.probe_server is not None:
            self.pending.append(self.probe_server)

    def set_probe_server(self, server: Server | None) -> None:
        """Replaces the server to probe."""
        self.changed += [changed for changed in (self.probe_server, server) if changed is not None]
        self.probe_server = server

    @staticmethod
    def _next_failing(servers: Sequence[Server]) -> Server | None:
        failing = (
            server for server in servers if server.load.level == LEVEL_FAILING and not server.zone_standing.excluded
        )
        return next(failing, None)

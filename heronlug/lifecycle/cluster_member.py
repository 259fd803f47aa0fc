"""Being a member of a cluster: puts the node, the shared register and the probes beside a running daemon.

Imported only where there is ``[cluster]``.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from heronlug.backends.health_checker import HealthChecker
from heronlug.balancer.events import ListKind, ServerState
from heronlug.cluster import schema
from heronlug.cluster.server_view import ServerView
from heronlug.cluster.transport import ClusterTransport
from heronlug.discovery.client import DiscoveryClient
from heronlug.discovery.poll_pacing import PollPacer, PollTerms
from heronlug.discovery.reader_election import ReaderElection
from heronlug.discovery.server_rows import ServerRowCodec
from heronlug.discovery.shared_client import SharedDiscovery
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer


class ClusterMember:
    """This daemon's membership."""

    def __init__(
        self,
        table: dict[str, Any],
        inventory: DiscoveryClient,
        core: Core,
        tell: Callable[[ListKind, list[ListedServer]], None],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
        zones: list[str],
        kinds: list[str],
    ) -> None:
        """``table`` is as the schema reads ``[cluster]``; raises ``OSError`` or ``ValueError``."""
        self.table, self._inventory, self._tell = table, inventory, tell
        sharing, probing = table["register"], table["probe"]
        self.view = ServerView(sharing.get("share", "none"), probing.get("panic_share", 1.0))
        if sharing and (sharing["share"] == "list" or inventory.pacer is None):
            # one reads, and calls with nobody else; where all read, each has its place
            many = (
                PollTerms()
                if sharing["share"] == "list"
                else PollTerms(core.settings.instances, core.settings.position)
            )
            inventory.pacer = PollPacer(many, Random().random)
        self.register = SharedDiscovery(
            self.view,
            inventory,
            self._news,
            ServerRowCodec(zones, kinds),
            ReaderElection(sharing.get("stale_after_ms", 1500.0), len(table["seeds"]), Random().random()),
            deadlines,
            log,
        )
        self.probes = HealthChecker(probing, self.view, self._news, deadlines, log, turn) if probing else None
        self.cluster = ClusterTransport(table, deadlines, log, turn, self.register, self.probes)
        self._shares = bool(sharing or probing)
        entries = [
            host.entry for host in core.directory.by_number.values() if host.entry.state is not ServerState.REMOVED
        ]
        self._held = (ListKind.FULL if inventory.watching else ListKind.CACHED), entries

    async def open(self) -> None:
        """Join; raises ``OSError``, and then nothing has changed."""
        await self.cluster.open()
        if self._shares:
            kind, entries = self._held
            if entries or kind is ListKind.FULL:  # it joins while it runs
                self.register.on_client_update(kind, entries)
            self._inventory.on_update = self.register.on_client_update
            self._inventory.staleness.on_usable_change = None

    def subscribe(self) -> None:
        """The core wants a watch."""
        if self._shares:
            self.register.subscribe()
        else:
            self._inventory.subscribe()

    def read_keys(self) -> dict[int, bytes]:
        """The keys as their files have them now; raises ``OSError`` or ``ValueError``."""
        return schema.read_keys(self.table["key_files"])

    def _news(self, kind: ListKind, entries: list[ListedServer]) -> None:
        self._tell(kind, entries)
        if self.probes is not None:
            self.probes.use_list()

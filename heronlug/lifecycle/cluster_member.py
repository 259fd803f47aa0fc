"""Connects a dispatcher with the transport, the shared service discovery and the health checks of its cluster.

This module is imported only if the files have a ``[cluster]`` table.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from heronlug.balancer.events import ListKind, ServerState
from heronlug.cluster.health_checker import HealthChecker
from heronlug.cluster.server_rows import ServerRowCodec
from heronlug.cluster.server_view import ServerView
from heronlug.cluster.shared_discovery import SharedDiscovery
from heronlug.cluster.transport import ClusterTransport
from heronlug.config import cluster_section
from heronlug.config.platform import Config
from heronlug.discovery.poll_pacing import PollPacer, PollTerms
from heronlug.discovery.reader_election import ReaderElection
from heronlug.lifecycle.discovery_service import DiscoveryService
from heronlug.lifecycle.log import Log
from heronlug.requests.core import Core
from heronlug.requests.model import ListedServer

DEFAULT_STALE_AFTER_MS = 1500.0
"""Default age from which the shared list is stale, in ms."""
SHARE_ENDPOINT_LIST = "list"
"""The value of ``share`` for which a single member reads the list for all members."""


class ClusterMember:
    """The cluster membership of a dispatcher.

    Attributes:
        cluster: The transport between the members, with leases and replicated tables.
    """

    def __init__(
        self,
        table: dict[str, Any],
        config: Config,
        core: Core,
        discovery: DiscoveryService,
        log: Log,
        turn: Callable[[], None],
    ) -> None:
        """Creates a member that has not joined the cluster yet.

        Args:
            table: The validated ``[cluster]`` table.
            config: The configuration of the platform.
            core: The core of the HTTP frontend.
            discovery: Reads the endpoint list and applies the list that the members share.
            log: Logs events.
            turn: Runs the due deadlines; must be called after every external event.

        Raises:
            OSError: if a key file cannot be read.
            ValueError: if a key is malformed.
        """
        discovery_options = table["register"]
        probe_options = table["probe"]
        deadlines = core.deadlines
        view = ServerView(discovery_options.get("share", "none"), probe_options.get("panic_share", 1.0))
        self._key_files = table["key_files"]
        self._discovery = discovery
        self._client = discovery.client
        self._configure_poll_pacing(discovery_options, core)
        self._shared_discovery = SharedDiscovery(
            view,
            self._client,
            self._update,
            ServerRowCodec(config.zones, config.kinds),
            ReaderElection(
                discovery_options.get("stale_after_ms", DEFAULT_STALE_AFTER_MS), len(table["seeds"]), Random().random()
            ),
            deadlines,
            log,
        )
        self._health_checker = (
            HealthChecker(probe_options, view, self._update, deadlines, log, turn) if probe_options else None
        )
        self.cluster = ClusterTransport(table, deadlines, log, turn, self._shared_discovery, self._health_checker)
        self._uses_view = bool(discovery_options or probe_options)
        servers = core.directory.by_number.values()
        self._initial_entries = [server.entry for server in servers if server.entry.state is not ServerState.REMOVED]
        self._initial_kind = ListKind.FULL if self._client.watching else ListKind.CACHED

    async def open(self) -> None:
        """Joins the cluster; raises ``OSError`` without any change if an address cannot be bound."""
        await self.cluster.open()
        if not self._uses_view:
            return
        if self._initial_entries or self._initial_kind is ListKind.FULL:  # the dispatcher served before it joined
            self._shared_discovery.on_client_update(self._initial_kind, self._initial_entries)
        self._client.on_update = self._shared_discovery.on_client_update
        self._client.staleness.on_usable_change = None

    def subscribe(self) -> None:
        """Subscribes the balancer to the endpoint list, which the members may share."""
        if self._uses_view:
            self._shared_discovery.subscribe()
        else:
            self._client.subscribe()

    def read_keys(self) -> dict[int, bytes]:
        """Returns the current keys of the key files; raises ``OSError`` or ``ValueError``."""
        return cluster_section.read_keys(self._key_files)

    def _configure_poll_pacing(self, discovery_options: dict[str, Any], core: Core) -> None:
        """Configures the pacing of polls: a single reader polls alone, while several readers poll by position."""
        if not discovery_options:
            return
        single_reader = discovery_options["share"] == SHARE_ENDPOINT_LIST
        if single_reader or self._client.pacer is None:
            pacing = PollTerms() if single_reader else PollTerms(core.settings.instances, core.settings.position)
            self._client.pacer = PollPacer(pacing, Random().random)

    def _update(self, kind: ListKind, entries: list[ListedServer]) -> None:
        self._discovery.update(kind, entries)
        if self._health_checker is not None:
            self._health_checker.use_servers()

"""Membership in a cluster: joins its transport, shared service discovery and health checks with a dispatcher.

Imported only where the files have ``[cluster]``.
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
"""Age at which the shared list is stale where the file gives none, in ms."""
SHARES_ONE_LIST = "list"
"""The value of ``share`` with which one member reads the list for all."""


class ClusterMember:
    """The membership of one dispatcher.

    Attributes:
        cluster: the members' transport, with leases and replicated tables.
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
        """Make a membership that is not joined yet.

        Args:
            table: ``[cluster]`` as its schema reads it.
            config: of the platform.
            core: of the HTTP frontend.
            discovery: its client reads the list, and its update uses what the members share.
            log: where events are logged.
            turn: to be called after every event from outside.

        Raises:
            OSError: if a key file cannot be read.
            ValueError: if a key is malformed.
        """
        sharing = table["register"]
        checking = table["probe"]
        deadlines = core.deadlines
        view = ServerView(sharing.get("share", "none"), checking.get("panic_share", 1.0))
        self._key_files = table["key_files"]
        self._discovery = discovery
        self._client = discovery.client
        self._set_pace(sharing, core)
        self._shared = SharedDiscovery(
            view,
            self._client,
            self._update,
            ServerRowCodec(config.zones, config.kinds),
            ReaderElection(
                sharing.get("stale_after_ms", DEFAULT_STALE_AFTER_MS), len(table["seeds"]), Random().random()
            ),
            deadlines,
            log,
        )
        self._checker = HealthChecker(checking, view, self._update, deadlines, log, turn) if checking else None
        self.cluster = ClusterTransport(table, deadlines, log, turn, self._shared, self._checker)
        self._uses_view = bool(sharing or checking)
        servers = core.directory.by_number.values()
        self._first_list = [server.entry for server in servers if server.entry.state is not ServerState.REMOVED]
        self._first_kind = ListKind.FULL if self._client.watching else ListKind.CACHED

    async def open(self) -> None:
        """Join the cluster; raises ``OSError``, and then nothing has changed."""
        await self.cluster.open()
        if not self._uses_view:
            return
        if self._first_list or self._first_kind is ListKind.FULL:  # the dispatcher has served before it joins
            self._shared.on_client_update(self._first_kind, self._first_list)
        self._client.on_update = self._shared.on_client_update
        self._client.staleness.on_usable_change = None

    def subscribe(self) -> None:
        """The balancer wants the endpoint list."""
        if self._uses_view:
            self._shared.subscribe()
        else:
            self._client.subscribe()

    def read_keys(self) -> dict[int, bytes]:
        """The keys as their files have them now; raises ``OSError`` or ``ValueError``."""
        return cluster_section.read_keys(self._key_files)

    def _set_pace(self, sharing: dict[str, Any], core: Core) -> None:
        """Pace the polls: a single reader polls alone; where all members read, each has its place."""
        if not sharing:
            return
        one_reader = sharing["share"] == SHARES_ONE_LIST
        if one_reader or self._client.pacer is None:
            terms = PollTerms() if one_reader else PollTerms(core.settings.instances, core.settings.position)
            self._client.pacer = PollPacer(terms, Random().random)

    def _update(self, kind: ListKind, entries: list[ListedServer]) -> None:
        self._discovery.update(kind, entries)
        if self._checker is not None:
            self._checker.use_servers()

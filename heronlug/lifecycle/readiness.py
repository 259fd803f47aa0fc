"""Decides whether the dispatcher accepts requests, for the frontend, the health check and the admin endpoint."""

from heronlug.discovery.client import DiscoveryClient
from heronlug.discovery.freshness import FreshnessState
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.lifecycle.log import Log
from heronlug.requests.core import Core

CONFIRMATION_TIMEOUT_MS = 3_000.0
"""Time after the start to wait for service discovery to confirm the configured endpoint list, in ms."""


class Readiness:
    """Decides whether requests are accepted.

    Attributes:
        core: The core of the HTTP frontend.
        log: Logs events.
        shutdown: The graceful shutdown; set after construction, since the shutdown itself needs the frontend.
        hot_restart: The hot-restart session with other processes; set after construction.
    """

    shutdown: GracefulShutdown
    hot_restart: HotRestart

    def __init__(self, core: Core, discovery: DiscoveryClient, log: Log) -> None:
        """Creates the readiness check of a process that has not started."""
        self.core = core
        self.log = log
        self._discovery = discovery
        self._started_at = core.deadlines.clock()

    def start(self) -> None:
        """Counts the time since the start from now on."""
        self._started_at = self.core.deadlines.clock()

    def ready(self) -> bool:
        """Returns whether requests can be served, by this process or by its successor."""
        accepts_clients = self.shutdown.accepts_clients or self.hot_restart.handed_over
        return accepts_clients and (self.core.directory.can_serve or self._accepts_with_unconfirmed_list())

    def accepts_clients(self) -> bool:
        """Returns whether this process itself accepts new clients."""
        return self.ready() and not self.hot_restart.handed_over

    def sends_clients_away(self) -> bool:
        """Returns whether each client connection is closed after its next answer."""
        return self.shutdown.sends_clients_away()

    def _accepts_with_unconfirmed_list(self) -> bool:
        """Returns whether clients are accepted with an unconfirmed list; their requests wait for the confirmation."""
        unconfirmed = self._discovery.freshness.state is FreshnessState.UNCONFIRMED
        waited_ms = self.core.deadlines.clock() - self._started_at
        return unconfirmed and waited_ms >= CONFIRMATION_TIMEOUT_MS and self.core.directory.has_ready_server

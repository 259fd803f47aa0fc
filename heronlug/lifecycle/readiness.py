"""Whether the dispatcher takes requests, as the frontend, the health check and the operators see it."""

from heronlug.discovery.client import DiscoveryClient
from heronlug.discovery.freshness import FreshnessState
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.lifecycle.log import Log
from heronlug.requests.core import Core

CONFIRMATION_TIMEOUT_MS = 3_000.0
"""How long a start waits for service discovery to confirm the configured endpoint list, in ms."""


class Readiness:
    """Decides whether requests are taken.

    Attributes:
        core: of the HTTP frontend.
        log: where events are logged.
        shutdown: the drain or stop under way; set once it is made, since it closes the frontend's connections.
        hot_restart: the handover to another process; set once it is made.
    """

    shutdown: GracefulShutdown
    hot_restart: HotRestart

    def __init__(self, core: Core, discovery: DiscoveryClient, log: Log) -> None:
        """Count the time since the start from now on."""
        self.core = core
        self.log = log
        self._discovery = discovery
        self._started_at = core.deadlines.clock()

    def ready(self) -> bool:
        """Whether requests can be served, here or by the process that has taken over."""
        accepts_clients = self.shutdown.accepts_clients or self.hot_restart.handed_over
        return accepts_clients and (self.core.directory.can_serve or self._accepts_with_unconfirmed_list())

    def accepts_clients(self) -> bool:
        """Whether this process itself takes new clients."""
        return self.ready() and not self.hot_restart.handed_over

    def sends_clients_away(self) -> bool:
        """Whether each client's connection is closed after its next answer."""
        return self.shutdown.sends_clients_away()

    def _accepts_with_unconfirmed_list(self) -> bool:
        """Whether clients are taken although the list is not confirmed: their requests wait for the confirmation."""
        unconfirmed = self._discovery.freshness.state is FreshnessState.UNCONFIRMED
        waited_ms = self.core.deadlines.clock() - self._started_at
        return unconfirmed and waited_ms >= CONFIRMATION_TIMEOUT_MS and self.core.directory.has_ready_server

"""Applies configuration changes to the parts of a running dispatcher."""

from typing import TYPE_CHECKING, Any

from heronlug.balancer.settings import RequestClass
from heronlug.config.desired_state import State
from heronlug.config.limits import resolve
from heronlug.config.platform import Config
from heronlug.lifecycle import zone_commands
from heronlug.lifecycle.cluster_service import ClusterService
from heronlug.lifecycle.discovery_service import DiscoveryService
from heronlug.lifecycle.faktory_service import FaktoryService, OpenedListener
from heronlug.lifecycle.log import Log
from heronlug.lifecycle.running_state import BrokenLimit
from heronlug.requests.core import Core

if TYPE_CHECKING:
    from heronlug.plugins.host import Plugin


class ConfigurationChanges:
    """The parts of a dispatcher that plan and apply can change at run time.

    Attributes:
        log: Logs events.
    """

    def __init__(
        self,
        config: Config,
        log: Log,
        core: Core,
        discovery: DiscoveryService,
        faktory: FaktoryService,
        cluster: ClusterService,
    ) -> None:
        """Creates the changes for these parts; ``core`` is the core of the HTTP frontend."""
        self.log = log
        self._config = config
        self._core = core
        self._discovery = discovery
        self._faktory = faktory
        self._cluster = cluster

    async def open_faktory(self, table: dict[str, Any]) -> OpenedListener:
        """Binds the address of the Faktory frontend; raises ``OSError`` or ``ValueError``."""
        return await self._faktory.open(table)

    def use_faktory(self, listener: OpenedListener | None) -> None:
        """Serves the Faktory frontend on a listener; with None, only the accepted jobs are finished."""
        self._faktory.use(listener)

    def discard_faktory_listener(self, listener: OpenedListener) -> None:
        """Closes a listener that was opened but is not in use."""
        self._faktory.discard(listener)

    def use_discovery_options(self, table: State) -> None:
        """Configures the pacing of the polls and the cached list of service discovery; called only at the start."""
        self._discovery.use_options(table)

    async def join_cluster(self, table: State) -> None:
        """Joins a cluster; raises ``OSError`` or ``ValueError``."""
        await self._cluster.join(table)

    def cluster_view(self, view_name: str) -> list[dict[str, Any]]:
        """Returns the rows of the members or the periodic tasks; raises :class:`StateError` without a cluster."""
        return self._cluster.view(view_name)

    def zones(self, request: dict[str, Any]) -> list[dict[str, Any]]:
        """Executes the order for a zone, if the request has one, and returns all zones; raises :class:`StateError`."""
        if request["ask"] != "hall":
            return zone_commands.view(self._core, self._config.zones)
        rows = zone_commands.order(self._core, self._config.zones, request)
        self.log("hall_ordered", hall=request["hall"], do=request["do"], for_s=request.get("for_s"))
        return rows

    def load_plugins(self, plugins: dict[str, tuple[bytes, int, int]]) -> "list[Plugin]":
        """Compiles plug-ins; raises ``ValueError``.

        Wasmtime is imported only if there are plug-ins, since wasmtime takes much memory.
        """
        from heronlug.plugins.host import PluginHost

        return PluginHost.load(plugins)

    def use_plugins(self, loaded: "list[Plugin] | None") -> None:
        """Replaces all plug-ins with loaded plug-ins; None removes all plug-ins."""
        host = None
        if loaded:
            from heronlug.plugins.host import PluginHost

            host = PluginHost(self.log)
            host.use(loaded)
        for core in self._cores():
            core.plugins = host

    def use_log_level(self, level: str) -> None:
        """Logs only events of this level and above."""
        self.log.level = level

    def broken_limits(self, classes: State) -> list[BrokenLimit]:
        """Returns the rules that the limits break; the checker is imported only if there are limits to check."""
        from heronlug.config.limits.load import check

        return [
            BrokenLimit(broken.name, broken.key, broken.wrong, broken.right)
            for broken in check(self._config.settings, classes)
        ]

    def resolved_limits(self, classes: State) -> tuple[RequestClass, ...]:
        """Returns all request classes under valid limits."""
        return resolve(self._config.settings.classes, classes)

    def use_limits(self, classes: tuple[RequestClass, ...]) -> None:
        """Accepts new requests of both frontends under these limits; open requests keep their limits."""
        for core in self._cores():
            core.use_classes(classes)

    def _cores(self) -> list[Core]:
        return [self._core, *self._faktory.cores]

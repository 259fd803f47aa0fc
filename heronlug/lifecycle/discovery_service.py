"""Manages the discovery client and the cached list of a running dispatcher, and applies new endpoint lists."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from heronlug.backends.pool import ConnectionPool
from heronlug.balancer.events import ListKind
from heronlug.config.platform import Config
from heronlug.discovery.client import WAIT_SPREAD, DiscoveryClient, DiscoveryTarget
from heronlug.discovery.endpoint_list import read_list, write_list
from heronlug.discovery.freshness import Freshness
from heronlug.lifecycle.log import Log
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import ListedServer

if TYPE_CHECKING:
    from heronlug.discovery.cache_file import CacheFile


class DiscoveryService:
    """Owns the discovery client and the file of the cached list.

    Attributes:
        client: Reads the endpoint list.
        cache: The file of the cached list; None if no file is configured.
        core: The core of the HTTP frontend, which receives each list; set after construction, since the core itself
            needs this service.
        subscribe_through: Subscribes through the client, or through the cluster if its members share a list.
    """

    core: Core

    def __init__(
        self, config: Config, backend: ConnectionPool, deadlines: Deadlines, log: Log, turn: Callable[[], None]
    ) -> None:
        """Creates a service whose client does not poll yet."""
        self._config = config
        self._backend = backend
        self._deadlines = deadlines
        self._log = log
        settings = config.settings
        # both the clock of the process and the times in the lists are Unix time
        parse_list = partial(read_list, zones=config.zones, kinds=config.kinds, to_clock=float)
        self.client = DiscoveryClient(
            DiscoveryTarget(config.discovery, 0, 1.0 - WAIT_SPREAD * settings.position / settings.instances),
            parse_list,
            self.update,
            Freshness(config.pushed, settings.poll_interval, settings.drain_grace),
            deadlines,
            log,
            turn,
        )
        self.cache: CacheFile | None = None
        self.subscribe_through: Callable[[], None] = self.client.subscribe

    def subscribe(self) -> None:
        """Subscribes the balancer to the endpoint list."""
        self.subscribe_through()

    def update(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Applies an endpoint list or changes of the list."""
        self.core.update_servers(kind, entries)
        self._backend.retire(self.core.directory.by_number)
        if self.cache is not None and kind is not ListKind.CACHED and entries:
            self.cache.on_change()

    def use_reloaded_config(self, config: Config) -> None:
        """Applies the discovery address or the configured list of a reloaded configuration."""
        if config.discovery:
            self.client.change_address(config.discovery)
        elif config.known is not None:
            self.client.on_update(ListKind.FULL, self.client.parse_list(config.known).servers)

    def use_options(self, table: dict[str, Any]) -> None:
        """Configures poll pacing and the cached list by a ``[register]`` table; only this method imports their code."""
        from heronlug.discovery.poll_pacing import PollPacer, PollTerms

        settings = self.core.settings
        ms_per_call = 1000 / table["calls_per_s"] if table.get("calls_per_s") else None
        pacing = PollTerms(settings.instances, settings.position, ms_per_call)
        self.client.pacer = PollPacer(pacing, Random(self._config.seed or None).random)
        if table.get("keep"):
            from heronlug.discovery.cache_file import CacheFile

            self.cache = CacheFile(
                table["keep"],
                table["keep_for_s"] * 1000,
                lambda: self.client.address,
                lambda: write_current_list(self.core, self.client, self._config),
                self._deadlines,
                self._log,
            )

    async def close_cache(self) -> None:
        """Writes the cached list for the last time."""
        if self.cache is not None:
            await self.cache.close()


def write_current_list(core: Core, client: DiscoveryClient, config: Config) -> dict[str, Any]:
    """Returns the current endpoint list in the format of service discovery."""
    entries = [server.entry for server in core.directory.by_number.values()]
    return write_list(client.version or 0, entries, config.zones, config.kinds)

"""Service discovery of a running dispatcher: the client, the cached list, and what a new list changes."""

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
    """Owner of the discovery client and of the file that caches its list.

    Attributes:
        client: reads the endpoint list.
        cache: the file of the cached list; None where none is configured.
        core: of the HTTP frontend, which gets each list; set once it is made, since it needs this service.
        subscribe_through: what a subscription calls: the client, or the cluster where its members share a list.
    """

    core: Core

    def __init__(
        self, config: Config, backend: ConnectionPool, deadlines: Deadlines, log: Log, turn: Callable[[], None]
    ) -> None:
        """Make a client that does not poll yet."""
        self._config = config
        self._backend = backend
        self._deadlines = deadlines
        self._log = log
        settings = config.settings
        # the clock of the process is Unix time, in which the lists state theirs
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
        """The balancer wants the endpoint list."""
        self.subscribe_through()

    def update(self, kind: ListKind, entries: list[ListedServer]) -> None:
        """Use an endpoint list or a change of it."""
        self.core.update_servers(kind, entries)
        self._backend.retire(self.core.directory.by_number)
        if self.cache is not None and kind is not ListKind.CACHED and entries:
            self.cache.on_change()

    def use_reloaded_config(self, config: Config) -> None:
        """Use another address, or another configured list, of a configuration that was read again."""
        if config.discovery:
            self.client.move(config.discovery)
        elif config.known is not None:
            self.client.on_update(ListKind.FULL, self.client.parse_list(config.known).servers)

    def use_options(self, table: dict[str, Any]) -> None:
        """Pace the polls, and cache the list, as a ``[register]`` table says; the code of both is imported here."""
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
        """Write the cached list a last time."""
        if self.cache is not None:
            await self.cache.close()


def write_current_list(core: Core, client: DiscoveryClient, config: Config) -> dict[str, Any]:
    """The endpoint list as it is held now, in the form in which service discovery gives it."""
    entries = [server.entry for server in core.directory.by_number.values()]
    return write_list(client.version or 0, entries, config.zones, config.kinds)

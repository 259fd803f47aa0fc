"""Manages the cluster membership of a running dispatcher if its files configure a cluster."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from heronlug.config.desired_state import State, StateError
from heronlug.config.platform import Config
from heronlug.lifecycle.discovery_service import DiscoveryService
from heronlug.lifecycle.log import Log
from heronlug.requests.core import Core

if TYPE_CHECKING:
    from heronlug.lifecycle.cluster_member import ClusterMember


class ClusterService:
    """Owns the cluster membership.

    Attributes:
        member: The membership; None if no cluster is configured.
    """

    def __init__(
        self, config: Config, core: Core, discovery: DiscoveryService, log: Log, turn: Callable[[], None]
    ) -> None:
        """Creates a service without a membership."""
        self.member: ClusterMember | None = None
        self._config = config
        self._core = core
        self._discovery = discovery
        self._log = log
        self._turn = turn

    async def join(self, table: State) -> None:
        """Joins the cluster of a ``[cluster]`` table; only this method imports the cluster code.

        Raises:
            OSError: if an address cannot be bound or a key file cannot be read.
            ValueError: if a key is malformed.
        """
        from heronlug.lifecycle.cluster_member import ClusterMember

        member = ClusterMember(table, self._config, self._core, self._discovery, self._log, self._turn)
        await member.open()
        self.member = member
        self._discovery.subscribe_through = member.subscribe

    def view(self, view_name: str) -> list[dict[str, Any]]:
        """Returns the rows of the members or the periodic tasks; raises :class:`StateError` without a cluster."""
        if self.member is None:
            msg = "cluster: not configured; the running configuration has no [cluster] table"
            raise StateError(msg)
        cluster = self.member.cluster
        return cluster.members() if view_name == "members" else cluster.leases()

    def read_keys(self) -> dict[int, bytes] | None:
        """Returns the current keys of the key files, None without a cluster; raises ``OSError`` or ``ValueError``."""
        return self.member.read_keys() if self.member is not None else None

    def use_keys(self, keys: dict[int, bytes] | None) -> None:
        """Replaces the keys of the cluster with reloaded keys."""
        if self.member is not None and keys is not None:
            self.member.cluster.replace_keys(keys)

    def metrics(self) -> str:
        """Returns the metrics of the cluster in the Prometheus text format; an empty string without a cluster."""
        return str(self.member.cluster.metrics()) if self.member is not None else ""

    async def leave(self) -> None:
        """Leaves the cluster and notifies the other members."""
        if self.member is not None:
            await self.member.cluster.leave()

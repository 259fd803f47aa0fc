"""Membership of a running dispatcher in a cluster, where its files configure one."""

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
    """Owner of the membership.

    Attributes:
        member: the membership; None where no cluster is configured.
    """

    def __init__(
        self, config: Config, core: Core, discovery: DiscoveryService, log: Log, turn: Callable[[], None]
    ) -> None:
        """Make a service that is not a member yet."""
        self.member: ClusterMember | None = None
        self._config = config
        self._core = core
        self._discovery = discovery
        self._log = log
        self._turn = turn

    async def join(self, table: State) -> None:
        """Join the cluster of a ``[cluster]`` table; the code of clusters is imported only here.

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
        """The rows of the members, or of the periodic tasks; raises :class:`StateError` where there is no cluster."""
        if self.member is None:
            msg = "there is no [cluster] in the file that runs"
            raise StateError(msg)
        cluster = self.member.cluster
        return cluster.members() if view_name == "members" else cluster.leases()

    def read_keys(self) -> dict[int, bytes] | None:
        """The keys as their files have them now; None without a cluster.  Raises ``OSError`` or ``ValueError``."""
        return self.member.read_keys() if self.member is not None else None

    def use_keys(self, keys: dict[int, bytes] | None) -> None:
        """Use keys that were read again."""
        if self.member is not None and keys is not None:
            self.member.cluster.replace_keys(keys)

    def metrics(self) -> str:
        """The figures of the cluster in Prometheus' text format; empty without one."""
        return str(self.member.cluster.metrics()) if self.member is not None else ""

    async def leave(self) -> None:
        """Tell the other members that this one leaves."""
        if self.member is not None:
            await self.member.cluster.leave()

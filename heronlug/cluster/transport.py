"""Connects a cluster :class:`Node` to UDP and to the event loop.

The transport passes datagrams and timer events to the node and carries out the node's actions: datagrams to send, log
events, lease changes and table changes.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, cast

from heronlug.cluster.health_checker import HealthChecker
from heronlug.cluster.member import LocalMember
from heronlug.cluster.model import (
    Action,
    FencingToken,
    LeaseGained,
    LeaseLost,
    MemberChanged,
    SendTo,
    TableChanged,
    WakeAt,
)
from heronlug.cluster.node import Node
from heronlug.cluster.shared_discovery import INTERIM_TABLE, LEASE_TABLE, SharedDiscovery
from heronlug.cluster.status import ClusterStatus
from heronlug.cluster.task_runner import TaskRunner
from heronlug.config.cluster_section import read_keys
from heronlug.net.http import split_address
from heronlug.requests.deadlines import Deadlines, Key

LEAVE_TIMEOUT_MS = 3000.0
"""Maximum duration of a planned leave, in milliseconds."""

HEALTH_CHECK_RESULT_TTL_MS = 10_000.0
"""Maximum age of a shard's health check results since the last message of the lease holder, in milliseconds."""

STALE_CHECK_INTERVAL_MS = 500.0
"""Time between two searches for stale health check results, in milliseconds."""


class ClusterTransport(asyncio.DatagramProtocol):
    """This process as a member of a cluster.

    Attributes:
        listen: Host and port of the socket.
        shared_discovery: Publishes and reads the shared endpoint list; None without service discovery.
        health_checker: Checks servers and shares the results; None if health checks are not configured.
        task_runner: Runs the periodic tasks whose leases this member holds.
        node: Makes the decisions of the member, without I/O.
    """

    def __init__(
        self,
        table: dict[str, Any],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
        discovery: SharedDiscovery | None = None,
        health_checker: HealthChecker | None = None,
    ) -> None:
        """Creates a member that has not joined the cluster.

        Args:
            table: The table ``[cluster]`` as read by :mod:`heronlug.config.cluster_section`.
            deadlines: The clock and timers, in milliseconds.
            log: Writes log events.
            turn: Runs pending work of the dispatcher; called after each datagram, health check and task run.
            discovery: The shared service discovery of this member, if any.
            health_checker: The health checker of this member, if configured.

        Raises:
            OSError: If a key file cannot be read.
            ValueError: If an address or a key is malformed (:class:`KeyFileError` for a key).
        """
        self.listen = split_address(table["listen"])
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        self.shared_discovery = discovery
        self.health_checker = health_checker
        self.task_runner = TaskRunner(table["duty"], self._may_act, deadlines, log, turn)
        self.node = self._create_node(table)
        for component in (discovery, health_checker):
            if component is not None:
                component.join(self.node, self._flush)
        self._transport: asyncio.DatagramTransport | None = None
        self._carrying_out = False
        self._wake_timer: Key | None = None
        self._stale_check_timer: Key | None = None
        self._left_future: asyncio.Future[None] | None = None

    def _create_node(self, table: dict[str, Any]) -> Node:
        """Returns a node with a lease per periodic task, one for shared discovery and one per health check shard."""
        leases = self.task_runner.names
        if self.shared_discovery is not None and self.shared_discovery.view.share != "none":
            leases.append(LEASE_TABLE)
        if self.health_checker is not None:
            leases += self.health_checker.lease_names
        local = LocalMember(table["name"], table["advertise"] or table["listen"], int(self._deadlines.clock()))
        return Node(local, table["seeds"], leases, read_keys(table["key_files"]), Random())

    async def open(self) -> None:
        """Opens the socket and joins the cluster.

        Raises:
            OSError: If the address cannot be bound.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self._withdraw_stale_results()
        self.act(self.node.wake(self._deadlines.clock()))

    def replace_keys(self, keys: dict[int, bytes]) -> None:
        """Replaces the keys: datagrams are signed with the first key and accepted with any of the keys."""
        self.node.codec.keys = keys

    async def leave(self) -> None:
        """Hands the leases over, announces the leave and closes the socket and all components."""
        if self._transport is not None:
            self._left_future = asyncio.get_running_loop().create_future()
            timeout = self._deadlines.call_after(LEAVE_TIMEOUT_MS, self._finish_leave)
            self.act(self.node.leave(self._deadlines.clock()))
            self._turn()
            await self._left_future
            self._deadlines.cancel(timeout)
            self._transport.close()
        for key in (self._wake_timer, self._stale_check_timer):
            self._deadlines.cancel(key)
        for component in (self.shared_discovery, self.health_checker):
            if component is not None:
                component.close()
        await self.task_runner.close()

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a received datagram to the node."""
        self.act(self.node.receive(data, f"{addr[0]}:{addr[1]}", self._deadlines.clock()))
        self._turn()

    def error_received(self, exc: Exception) -> None:
        """Ignores unreachable addresses, which the failure detector detects without these errors."""

    # -- status for operators

    @property
    def status(self) -> ClusterStatus:
        """Returns this member's current view of the cluster."""
        return ClusterStatus(
            self.node,
            self.task_runner.schedule.tasks,
            self._deadlines.clock(),
            self.shared_discovery,
            self.health_checker,
        )

    def members(self) -> list[dict[str, Any]]:
        """Returns a row for each member, this member first."""
        return self.status.members()

    def leases(self) -> list[dict[str, Any]]:
        """Returns a row for each lease, with the runs of its periodic task at this member."""
        return self.status.leases()

    def metrics(self) -> str:
        """Returns the metrics of the cluster in the Prometheus text format."""
        return self.status.metrics()

    # -- actions

    def act(self, actions: list[Action]) -> None:
        """Carries out actions of the node and the further actions that result from them."""
        self._carrying_out = True
        try:
            while actions:
                self._carry_out(actions)
                actions = self.node.flush(self._deadlines.clock()) if self.node.pending else []
        finally:
            self._carrying_out = False
        if self.node.left:
            self._finish_leave()

    def _flush(self) -> None:
        """Sends the messages that the node has queued.

        While actions are carried out, :meth:`act` sends the messages afterwards.
        """
        if not self._carrying_out:
            self.act(self.node.flush(self._deadlines.clock()))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendTo):
                if self._transport is not None and not self._transport.is_closing():
                    self._transport.sendto(action.data, split_address(action.address))
            elif isinstance(action, WakeAt):
                self._set_wake_timer(action.when)
            elif isinstance(action, MemberChanged):
                health = action.health.name.lower()
                self._log("member", name=action.name, health=health, cause=action.cause)
            elif isinstance(action, TableChanged):
                self._on_table_change(action)
            else:
                self._on_lease_change(action)

    def _set_wake_timer(self, when: float) -> None:
        self._deadlines.cancel(self._wake_timer)
        self._wake_timer = self._deadlines.call_at(when, self._on_wake_timer)

    def _on_wake_timer(self) -> None:
        self._wake_timer = None
        self.act(self.node.wake(self._deadlines.clock()))

    def _finish_leave(self) -> None:
        if self._left_future is not None and not self._left_future.done():
            self._left_future.set_result(None)

    def _may_act(self, name: str, now: float) -> FencingToken | None:
        return self.node.may_act(name, now)

    def _on_lease_change(self, action: LeaseGained | LeaseLost) -> None:
        gained = isinstance(action, LeaseGained)
        self._log(
            "duty_gained" if gained else "duty_lost", duty=action.lease, fence=action.token.number, cause=action.cause
        )
        if action.lease in self.task_runner.names:
            if gained:
                self.task_runner.on_lease_gained(action.lease, action.token)
            else:
                self.task_runner.on_lease_lost(action.lease)
        elif action.lease == LEASE_TABLE and self.shared_discovery is not None:
            if gained:
                self.shared_discovery.on_lease_gained(action.token)
            else:
                self.shared_discovery.on_lease_lost()
        elif self.health_checker is not None:
            if gained:
                self.health_checker.on_lease_gained(action.lease, action.token)
            else:
                self.health_checker.on_lease_lost(action.lease)

    def _on_table_change(self, change: TableChanged) -> None:
        if change.table in (LEASE_TABLE, INTERIM_TABLE) and self.shared_discovery is not None:
            self.shared_discovery.on_table_change(change.table, change.changes)
        elif self.health_checker is not None:
            self.health_checker.on_table_change(change.table, change.changes)

    def _withdraw_stale_results(self) -> None:
        """Withdraws health check results whose lease holder is silent, and restarts the timer."""
        self._stale_check_timer = self._deadlines.call_after(STALE_CHECK_INTERVAL_MS, self._withdraw_stale_results)
        if self.health_checker is not None:
            self.health_checker.withdraw_stale(HEALTH_CHECK_RESULT_TTL_MS)

"""The cluster on UDP: datagrams and time to :class:`Node`, its actions to the network, the log and the duties."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, cast

from heronlug.backends.health_checker import HealthChecker
from heronlug.cluster.member import LocalMember
from heronlug.cluster.model import (
    Action,
    ClusterTiming,
    FencingToken,
    LeaseGained,
    LeaseLost,
    MemberChanged,
    SendTo,
    TableChanged,
    WakeAt,
)
from heronlug.cluster.node import Node
from heronlug.cluster.schema import read_keys
from heronlug.cluster.task_runner import TaskRunner
from heronlug.discovery.shared_client import INTERIM_TABLE, LEASE_TABLE, SharedDiscovery
from heronlug.net.http import split_address
from heronlug.requests.deadlines import Deadlines, Key

LEAVE_TIMEOUT = 3000.0  # so long a planned leave may take
HEALTH_CHECK_RESULT_TTL = 10_000.0  # verdicts of probes count so long after their prober was last heard of
STALE_CHECK_INTERVAL = 500.0


class ClusterTransport(asyncio.DatagramProtocol):
    """This process as a member."""

    def __init__(
        self,
        table: dict[str, Any],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
        register: SharedDiscovery | None = None,
        probes: HealthChecker | None = None,
        terms: ClusterTiming | None = None,
    ) -> None:
        """``table`` is as :mod:`heronlug.cluster.schema` reads ``[cluster]``; raises ``OSError`` or ``ValueError``."""
        self.listen = split_address(table["listen"])
        self._table, self._deadlines, self._log, self._turn = table, deadlines, log, turn
        self.shared_discovery, self.health_checker = register, probes
        self.task_runner = TaskRunner(table["duty"], self._may_act, deadlines, log, turn)
        kept = [LEASE_TABLE] if register is not None and register.view.share != "none" else []  # duties
        kept += probes.names if probes is not None else []
        local = LocalMember(table["name"], table["advertise"] or table["listen"], int(deadlines.clock()))
        self.node = Node(
            local,
            table["seeds"],
            [*self.task_runner.names, *kept],
            read_keys(table["key_files"]),
            Random(),
            terms,
        )
        for part in (register, probes):
            if part is not None:
                part.join(self.node, self._flush)
        self._transport: asyncio.DatagramTransport | None = None
        self._acting = False
        self._wake: Key | None = None
        self._look_at: Key | None = None
        self._left: asyncio.Future[None] | None = None

    async def open(self) -> None:
        """Join; raises ``OSError``."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self._look()
        self.act(self.node.wake(self._deadlines.clock()))

    def replace_keys(self, found: dict[int, bytes]) -> None:
        """Seal with the first of these from now on, and take all of them."""
        self.node.codec.keys = found

    async def leave(self) -> None:
        """Hand over what we own, say that we go, and close."""
        if self._transport is not None:
            self._left = asyncio.get_running_loop().create_future()
            over = self._deadlines.call_after(LEAVE_TIMEOUT, self._gone)
            self.act(self.node.leave(self._deadlines.clock()))
            self._turn()
            await self._left
            self._deadlines.cancel(over)
            self._transport.close()
        for key in (self._wake, self._look_at):
            self._deadlines.cancel(key)
        for part in (self.shared_discovery, self.health_checker):
            if part is not None:
                part.close()
        await self.task_runner.close()

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram."""
        self.act(self.node.receive(data, f"{addr[0]}:{addr[1]}", self._deadlines.clock()))
        self._turn()

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there; the probes find that out by themselves."""

    # -- what operators see

    def members(self) -> list[dict[str, Any]]:
        """Everybody, ourselves first."""
        node, now = self.node, self._deadlines.clock()
        own = {
            "name": node.local.name,
            "address": node.local.address,
            "health": "self",
            "incarnation": node.local.incarnation,
            "for_s": 0.0,
        }
        return [
            own,
            *(
                {
                    "name": m.name,
                    "address": m.address,
                    "health": m.health.name.lower(),
                    "incarnation": m.incarnation,
                    "for_s": round((now - m.changed_at) / 1000, 1),
                }
                for m in sorted(node.membership.members.values(), key=lambda m: m.name)
            ),
        ]

    def leases(self) -> list[dict[str, Any]]:
        """All duties as this member knows them; those without runs are done as long as they are owned."""
        now, listed = self._deadlines.clock(), []
        for lease in self.node.leases.leases.values():
            ours = self.node.may_act(lease.name, now) is not None
            row: dict[str, Any] = {
                "name": lease.name,
                "owner": self.node.local.name if ours else None,
                "stage": lease.stage.value,
                "fence": lease.token.number if ours else None,
                "lease_left_ms": round(lease.valid_until - now) if ours else 0,
                "last_run_s": None,
                "runs": None,
                "failed": None,
                "takeovers": lease.times_gained,
            }
            running = self.task_runner.schedule.tasks.get(lease.name)
            if running is not None:
                last = round((now - running.started_at) / 1000, 1) if running.runs else None
                row.update(last_run_s=last, runs=running.runs, failed=running.failed)
            listed.append(row)
        return listed

    def metrics(self) -> str:
        """Prometheus' text format, to stand behind the other figures."""
        members, leases = self.node.membership, self.node.leases
        counts = {
            "members": ("gauge", len(members.active_members()) + 1),
            "duties_owned": ("gauge", sum(d["owner"] is not None for d in self.leases())),
            "suspicions": ("counter", members.suspicions),
            "false_suspicions": ("counter", members.false_suspicions),
            "refutations": ("counter", members.refutations),
            "local_health": ("gauge", members.local_health),
            "lease_conflicts": ("counter", leases.conflicts),
            "duty_runs": ("counter", sum(r.runs for r in self.task_runner.schedule.tasks.values())),
            "duty_runs_failed": ("counter", sum(r.failed for r in self.task_runner.schedule.tasks.values())),
            "pieces_sent": ("counter", self.node.tables.counts["pieces_sent"]),
            "pieces_taken": ("counter", self.node.tables.counts["pieces_taken"]),
        }
        if self.shared_discovery is not None:
            view = self.shared_discovery.view
            counts["register_readings"] = ("counter", self.shared_discovery.lists_read)
            counts["register_shared"] = ("gauge", int(view.source.value == "shared"))
            counts["register_scouted"] = ("counter", self.shared_discovery.interim_reads)
            counts["register_reads"] = ("gauge", int(view.watching))
            counts["register_switches"] = ("counter", view.switches)
            counts["hosts_down"] = ("gauge", len(view.down))
            counts["probes_not_believed"] = ("gauge", int(view.panic))
        if self.health_checker is not None:
            counts.update({f"host_{name}": ("counter", count) for name, count in self.health_checker.counts.items()})
        lines: list[str] = []
        for name, (kind, value) in counts.items():
            lines += [f"# TYPE svc_cluster_{name} {kind}", f"svc_cluster_{name} {value}"]
        lines.append("# TYPE svc_cluster_dropped counter")
        lines += [f'svc_cluster_dropped{{why="{why}"}} {n}' for why, n in sorted(self.node.codec.dropped.items())]
        return "\n".join([*lines, ""])

    # -- inside

    def act(self, actions: list[Action]) -> None:
        """Carry out what the node says, and what follows from it."""
        self._acting = True
        try:
            while actions:
                self._act(actions)
                actions = self.node.flush(self._deadlines.clock()) if self.node.pending else []
        finally:
            self._acting = False
        if self.node.left:
            self._gone()

    def _flush(self) -> None:
        """Something was published or withdrawn, perhaps while actions are carried out, and then it goes with these."""
        if not self._acting:
            self.act(self.node.flush(self._deadlines.clock()))

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendTo):
                if self._transport is not None and not self._transport.is_closing():
                    self._transport.sendto(action.data, split_address(action.address))
            elif isinstance(action, WakeAt):
                self._wake_at(action.when)
            elif isinstance(action, MemberChanged):
                health = action.health.name.lower()
                self._log("member", name=action.name, health=health, cause=action.cause)
            elif isinstance(action, TableChanged):
                self._sheet(action)
            else:
                self._owned(action)

    def _wake_at(self, when: float) -> None:
        self._deadlines.cancel(self._wake)
        self._wake = self._deadlines.call_at(when, self._woken)

    def _woken(self) -> None:
        self._wake = None
        self.act(self.node.wake(self._deadlines.clock()))

    def _gone(self) -> None:
        if self._left is not None and not self._left.done():
            self._left.set_result(None)

    def _may_act(self, name: str, now: float) -> FencingToken | None:
        return self.node.may_act(name, now)

    def _owned(self, action: LeaseGained | LeaseLost) -> None:
        gained = isinstance(action, LeaseGained)
        self._log(
            "duty_gained" if gained else "duty_lost", duty=action.lease, fence=action.token.number, cause=action.cause
        )
        if action.lease in self.task_runner.names:
            if gained:
                self.task_runner.gained(action.lease, action.token)
            else:
                self.task_runner.lost(action.lease)
        elif action.lease == LEASE_TABLE and self.shared_discovery is not None:
            if gained:
                self.shared_discovery.on_lease_gained(action.token)
            else:
                self.shared_discovery.on_lease_lost()
        elif self.health_checker is not None:
            if gained:
                self.health_checker.gained(action.lease, action.token)
            else:
                self.health_checker.lost(action.lease)

    def _sheet(self, sheet: TableChanged) -> None:
        if sheet.table in (LEASE_TABLE, INTERIM_TABLE) and self.shared_discovery is not None:
            self.shared_discovery.on_table_change(sheet.table, sheet.changes)
        elif self.health_checker is not None:
            self.health_checker.sheet(sheet.table, sheet.changes)

    def _look(self) -> None:
        """Verdicts that nobody stands for are withdrawn."""
        self._look_at = self._deadlines.call_after(STALE_CHECK_INTERVAL, self._look)
        if self.health_checker is not None:
            self.health_checker.stale(HEALTH_CHECK_RESULT_TTL)

"""The cluster on UDP: datagrams and time to :class:`Node`, its actions to the network, the log and the duties."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, cast

from heronlug.backends.health_checker import HealthChecker
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
from heronlug.discovery.shared_client import DUTY as REGISTER
from heronlug.discovery.shared_client import SCOUT, SharedDiscovery
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
        self.register, self.probes = register, probes
        self.runs = TaskRunner(table["duty"], self._may_act, deadlines, log, turn)
        kept = [REGISTER] if register is not None and register.view.share != "none" else []  # duties
        kept += probes.names if probes is not None else []
        self.node = Node(
            table["name"],
            table["advertise"] or table["listen"],
            table["seeds"],
            [*self.runs.names, *kept],
            read_keys(table["key_files"]),
            int(deadlines.clock()),
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

    def use_keys(self, found: dict[int, bytes]) -> None:
        """Seal with the first of these from now on, and take all of them."""
        self.node.seal.keys = found

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
        for part in (self.register, self.probes):
            if part is not None:
                part.close()
        await self.runs.close()

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
            "name": node.name,
            "address": node.address,
            "health": "self",
            "incarnation": node.members.incarnation,
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
                    "for_s": round((now - m.since) / 1000, 1),
                }
                for m in sorted(node.members.members.values(), key=lambda m: m.name)
            ),
        ]

    def duties(self) -> list[dict[str, Any]]:
        """All duties as this member knows them; those without runs are done as long as they are owned."""
        now, listed = self._deadlines.clock(), []
        for lease in self.node.leases.duties.values():
            ours = self.node.may_act(lease.name, now) is not None
            row: dict[str, Any] = {
                "name": lease.name,
                "owner": self.node.name if ours else None,
                "stage": lease.stage.value,
                "fence": lease.fence.number if ours else None,
                "lease_left_ms": round(lease.until - now) if ours else 0,
                "last_run_s": None,
                "runs": None,
                "failed": None,
                "takeovers": lease.gained,
            }
            running = self.runs.schedule.duties.get(lease.name)
            if running is not None:
                last = round((now - running.began) / 1000, 1) if running.runs else None
                row.update(last_run_s=last, runs=running.runs, failed=running.failed)
            listed.append(row)
        return listed

    def figures(self) -> str:
        """Prometheus' text format, to stand behind the other figures."""
        members, leases = self.node.members, self.node.leases
        counts = {
            "members": ("gauge", len(members.others()) + 1),
            "duties_owned": ("gauge", sum(d["owner"] is not None for d in self.duties())),
            "suspicions": ("counter", members.suspicions),
            "false_suspicions": ("counter", members.false_suspicions),
            "refutations": ("counter", members.refutations),
            "local_health": ("gauge", members.slowness),
            "lease_conflicts": ("counter", leases.conflicts),
            "duty_runs": ("counter", sum(r.runs for r in self.runs.schedule.duties.values())),
            "duty_runs_failed": ("counter", sum(r.failed for r in self.runs.schedule.duties.values())),
            "pieces_sent": ("counter", self.node.sheets.counts["pieces_sent"]),
            "pieces_taken": ("counter", self.node.sheets.counts["pieces_taken"]),
        }
        if self.register is not None:
            view = self.register.view
            counts["register_readings"] = ("counter", self.register.readings)
            counts["register_shared"] = ("gauge", int(view.source.value == "shared"))
            counts["register_scouted"] = ("counter", self.register.scouted)
            counts["register_reads"] = ("gauge", int(view.watching))
            counts["register_switches"] = ("counter", view.switches)
            counts["hosts_down"] = ("gauge", len(view.down))
            counts["probes_not_believed"] = ("gauge", int(view.panic))
        if self.probes is not None:
            counts.update({f"host_{name}": ("counter", count) for name, count in self.probes.counts.items()})
        lines: list[str] = []
        for name, (kind, value) in counts.items():
            lines += [f"# TYPE svc_cluster_{name} {kind}", f"svc_cluster_{name} {value}"]
        lines.append("# TYPE svc_cluster_dropped counter")
        lines += [f'svc_cluster_dropped{{why="{why}"}} {n}' for why, n in sorted(self.node.seal.dropped.items())]
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
            "duty_gained" if gained else "duty_lost", duty=action.duty, fence=action.fence.number, cause=action.cause
        )
        if action.duty in self.runs.names:
            if gained:
                self.runs.gained(action.duty, action.fence)
            else:
                self.runs.lost(action.duty)
        elif action.duty == REGISTER and self.register is not None:
            if gained:
                self.register.gained(action.fence)
            else:
                self.register.lost()
        elif self.probes is not None:
            if gained:
                self.probes.gained(action.duty, action.fence)
            else:
                self.probes.lost(action.duty)

    def _sheet(self, sheet: TableChanged) -> None:
        if sheet.topic in (REGISTER, SCOUT) and self.register is not None:
            self.register.sheet(sheet.topic, sheet.changes)
        elif self.probes is not None:
            self.probes.sheet(sheet.topic, sheet.changes)

    def _look(self) -> None:
        """Verdicts that nobody stands for are withdrawn."""
        self._look_at = self._deadlines.call_after(STALE_CHECK_INTERVAL, self._look)
        if self.probes is not None:
            self.probes.stale(HEALTH_CHECK_RESULT_TTL)

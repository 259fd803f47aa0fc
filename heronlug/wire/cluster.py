"""The cluster on UDP: datagrams and time to :class:`Node`, its actions to the network, the log and the duties' runs."""

import asyncio
import os
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, cast

from heronlug.cluster.duties import Duty, Schedule
from heronlug.cluster.model import Action, Changed, Fence, Gained, Lost, SendTo, Terms, WakeAt
from heronlug.cluster.node import Node
from heronlug.cluster.ownership import tag
from heronlug.cluster.schema import keys
from heronlug.memory.deadlines import Deadlines, Key
from heronlug.wire.http import split_address

LEAVE_WAIT = 3000.0  # so long a planned leave may take


class Cluster(asyncio.DatagramProtocol):
    """This process as a member."""

    def __init__(
        self, table: dict[str, Any], deadlines: Deadlines, log: Callable[..., None], turn: Callable[[], None],
        terms: Terms | None = None,
    ) -> None:  # fmt: skip
        """``table`` is as :mod:`heronlug.cluster.schema` reads ``[cluster]``; raises ``OSError`` or ``ValueError``."""
        self.listen = split_address(table["listen"])
        self._table, self._deadlines, self._log, self._turn = table, deadlines, log, turn
        self._commands = {duty["name"]: list(duty["command"]) for duty in table["duty"]}
        self.schedule = Schedule.of(
            [
                Duty(duty["name"], duty["every_s"] * 1000, duty["jitter_s"] * 1000, duty["longest_s"] * 1000)
                for duty in table["duty"]
            ]
        )
        self.node = Node(
            table["name"], table["advertise"] or table["listen"], table["seeds"], list(self._commands),
            keys(table["key_files"]), int(deadlines.clock()), Random(), terms,
        )  # fmt: skip
        self._transport: asyncio.DatagramTransport | None = None
        self._wake: Key | None = None
        self._due: Key | None = None
        self._runs: dict[str, asyncio.Task[int | None]] = {}
        self._left: asyncio.Future[None] | None = None

    async def open(self) -> None:
        """Join; raises ``OSError``."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self._do(self.node.wake(self._deadlines.clock()))

    def use_keys(self) -> None:
        """Read the keys again; those that cannot be read change nothing.  Raises ``OSError`` or ``ValueError``."""
        self.node.seal.keys = keys(self._table["key_files"])

    async def leave(self) -> None:
        """Hand over what we own, say that we go, and close."""
        if self._transport is not None:
            self._left = asyncio.get_running_loop().create_future()
            over = self._deadlines.after(LEAVE_WAIT, self._gone)
            self._do(self.node.leave(self._deadlines.clock()))
            self._turn()
            await self._left
            self._deadlines.drop(over)
            self._transport.close()
        for key in (self._wake, self._due):
            self._deadlines.drop(key)
        for name in self.schedule.duties:
            self.schedule.lost(name)  # nothing begins any more
        runs = [*self._runs.values()]
        for task in runs:
            task.cancel()
        await asyncio.gather(*runs, return_exceptions=True)

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram."""
        self._do(self.node.receive(data, f"{addr[0]}:{addr[1]}", self._deadlines.clock()))
        self._turn()

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there; the probes find that out by themselves."""

    # -- what operators see

    def members(self) -> list[dict[str, Any]]:
        """Everybody, ourselves first."""
        node, now = self.node, self._deadlines.clock()
        own = {"name": node.name, "address": node.address, "health": "self", "incarnation": node.members.incarnation,
               "for_s": 0.0}  # fmt: skip
        return [own, *(
            {"name": m.name, "address": m.address, "health": m.health.name.lower(), "incarnation": m.incarnation,
             "for_s": round((now - m.since) / 1000, 1)}
            for m in sorted(node.members.members.values(), key=lambda m: m.name)
        )]  # fmt: skip

    def duties(self) -> list[dict[str, Any]]:
        """All duties as this member knows them."""
        now, listed = self._deadlines.clock(), []
        for name, running in self.schedule.duties.items():
            lease = self.node.leases.duties[tag(name)]
            ours = self.node.may_act(name, now) is not None
            listed.append({
                "name": name, "owner": self.node.name if ours else None, "stage": lease.stage.value,
                "fence": running.fence.number if running.fence else None,
                "lease_left_ms": round(lease.until - now) if ours else 0,
                "last_run_s": round((now - running.began) / 1000, 1) if running.runs else None,
                "runs": running.runs, "failed": running.failed, "takeovers": running.takeovers,
            })  # fmt: skip
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
            "duty_runs": ("counter", sum(r.runs for r in self.schedule.duties.values())),
            "duty_runs_failed": ("counter", sum(r.failed for r in self.schedule.duties.values())),
        }
        lines: list[str] = []
        for name, (kind, value) in counts.items():
            lines += [f"# TYPE svc_cluster_{name} {kind}", f"svc_cluster_{name} {value}"]
        lines.append("# TYPE svc_cluster_dropped counter")
        lines += [f'svc_cluster_dropped{{why="{why}"}} {n}' for why, n in sorted(self.node.seal.dropped.items())]
        return "\n".join([*lines, ""])

    # -- inside

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendTo):
                if self._transport is not None and not self._transport.is_closing():
                    self._transport.sendto(action.data, split_address(action.address))
            elif isinstance(action, WakeAt):
                self._deadlines.drop(self._wake)
                self._wake = self._deadlines.at(action.when, self._woken)
            elif isinstance(action, Changed):
                health = action.health.name.lower()
                self._log("member", name=action.name, health=health, cause=action.cause)
            elif isinstance(action, Gained):
                self._log("duty_gained", duty=action.duty, fence=action.fence.number, cause=action.cause)
                self.schedule.gained(action.duty, action.fence, self._deadlines.clock())
                self._plan()
            else:
                self._lost(action)
        if self.node.left:
            self._gone()

    def _woken(self) -> None:
        self._wake = None
        self._do(self.node.wake(self._deadlines.clock()))

    def _gone(self) -> None:
        if self._left is not None and not self._left.done():
            self._left.set_result(None)

    def _lost(self, lost: Lost) -> None:
        self._log("duty_lost", duty=lost.duty, fence=lost.fence.number, cause=lost.cause)
        if self.schedule.lost(lost.duty) and lost.duty in self._runs:
            self._runs[lost.duty].cancel()

    def _plan(self) -> None:
        """Begin what is due, end what takes too long, and come again for the next."""
        now = self._deadlines.clock()
        for name in self.schedule.late(now):
            if name in self._runs:
                self._runs[name].cancel()
        for name, fence in self.schedule.begin(now):
            task = self._runs[name] = asyncio.get_running_loop().create_task(self._run(name, fence))
            task.add_done_callback(partial(self._ended, name))
        self._deadlines.drop(self._due)
        when = self.schedule.next()
        self._due = self._deadlines.at(max(when, now + 10.0), self._plan) if when < float("inf") else None

    async def _run(self, name: str, fence: Fence) -> int | None:
        """One run of a duty's command, under our fence; it is killed when it is late or the lease is lost."""
        program: Process | None = None
        try:
            if self.node.may_act(name, self._deadlines.clock()) != fence:
                return None
            words = self._commands[name]
            environ = {**os.environ, "HERONLUG_DUTY": name, "HERONLUG_FENCE": f"{fence.number}.{fence.owner}"}
            program = await asyncio.create_subprocess_exec(*words, env=environ, stdin=DEVNULL, stdout=DEVNULL,
                                                           stderr=DEVNULL)  # fmt: skip
            return await program.wait()
        except OSError as error:
            self._log("duty_failed", duty=name, error=str(error))
            return None
        finally:
            if program is not None and program.returncode is None:
                program.kill()
                await program.wait()

    def _ended(self, name: str, task: "asyncio.Task[int | None]") -> None:
        """A run is over, also one that was ended before it had begun: the next may begin."""
        if self._runs.get(name) is task:
            del self._runs[name]
        status = None if task.cancelled() or task.exception() is not None else task.result()
        if status != 0:
            self._log("duty_failed", duty=name, status=status)
        self.schedule.over(name, self._deadlines.clock(), status == 0)
        self._plan()
        self._turn()

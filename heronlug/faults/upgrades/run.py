"""Plays an upgrade run with real processes, and judges it."""

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import uvloop

from heronlug.conformance.process_logs import check_process_logs
from heronlug.faults.abuse.process import AbuserProcess
from heronlug.faults.upgrades.clients import Crowd, End, RequestRecord
from heronlug.faults.upgrades.coverage import Cell, reached
from heronlug.faults.upgrades.plan import UpgradePlan
from heronlug.faults.upgrades.processes import RunningProcess, UpgradedDispatcher
from heronlug.faults.upgrades.usage import UsageSampler
from heronlug.standins.discovery import StandInDiscovery
from heronlug.standins.ports import free_port
from heronlug.standins.server import Begun, Behaviour, StandInServer

EFFECTS = {"safe": "repeatable", "once": "once", "keyed": "by_key"}
"""Effect of each request class in the settings."""
KILL_NOTICE_S = 0.2
"""Time within which clients notice that the process of their connection was killed, in seconds."""


class Attempt(NamedTuple):
    """An attempt at a server, also one that it turned away.

    Attributes:
        request_id: Id of the request.
        began_at: Unix time at which its last byte arrived, in seconds.
    """

    request_id: str
    began_at: float


@dataclass
class UpgradeReport:
    """The result of an upgrade run.

    Attributes:
        plan: Plan of the run.
        records: All requests of all clients.
        violations: What broke a rule, one line each.
        figures: Figures of the run by name.
        reached: Number of connections that ended in a process, by their state and the moment of the upgrade.
        load_began_at: Unix time at which the load began, in seconds.
        usage: What the processes of the dispatcher held.
        abuse_figures: What the abusive clients counted, in the order of the plan.
        closed_at: Unix time at which a client closed its connection, in seconds, by client id.
        attempts: All attempts, in order of time.
    """

    plan: UpgradePlan
    records: list[RequestRecord]
    violations: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    reached: Counter[Cell] = field(default_factory=Counter)
    load_began_at: float = 0.0
    usage: UsageSampler = field(default_factory=lambda: UsageSampler(list))
    abuse_figures: list[dict[str, Any]] = field(default_factory=list)
    closed_at: dict[str, float] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)

    def count(self, end: End) -> int:
        """Returns the number of requests with this end."""
        return sum(record.end is end for record in self.records)

    def text(self) -> str:
        """Returns the report as text, with at most 20 violations."""
        lines = [f"seed {self.plan.seed}: {'BROKEN' if self.violations else 'kept'}"]
        lines += [f"  {line}" for line in self.violations[:20]]
        lines += [f"  {name}: {value}" for name, value in self.figures.items()]
        return "\n".join(lines)


class UpgradeRun:
    """One run: stand-ins, the dispatcher's processes, and the clients."""

    def __init__(self, plan: UpgradePlan, folder: Path, sources: tuple[Path | None, ...] = (None,)) -> None:
        """Prepares a run with its files in ``folder``; the versions of the program in ``sources`` are used in turn."""
        self.plan = plan
        self._rng = Random(plan.seed)
        self._discovery = StandInDiscovery()
        self._servers = [StandInServer(self._behaviour) for _ in range(plan.servers)]
        self._port = free_port()
        self._dispatcher = UpgradedDispatcher(folder, {}, sources, plan.single_core, plan.clock_steps_s, plan.log_level)
        self._crowd = Crowd(plan, self._port)
        self._usage = UsageSampler(self._dispatcher.running_pids)
        self._abusers = [AbuserProcess(abuse) for abuse in plan.abuses]
        self._load_began_at = 0.0
        self._non_idempotent_ids: set[str] = set()
        self._attempts: list[Attempt] = []

    async def play(self) -> UpgradeReport:
        """Plays the run.

        Raises:
            TimeoutError: if a process does not serve in time.
        """
        sampling = asyncio.create_task(self._usage.run())
        try:
            await self._open()
            await self._dispatcher.start()
            load = asyncio.create_task(self._crowd.run())
            disturbances = asyncio.gather(self._reload(), self._pause(), *self._abuse())
            began_at = asyncio.get_running_loop().time()
            self._load_began_at = time.time()
            for upgrade in self.plan.upgrades:
                await asyncio.sleep(max(0.0, began_at + upgrade.at_s - asyncio.get_running_loop().time()))
                await self._dispatcher.upgrade(upgrade)
            await asyncio.gather(load, disturbances)
            await self._dispatcher.stop()
            return self._report()
        finally:
            sampling.cancel()
            self._dispatcher.close()
            self._discovery.close()
            for server in self._servers:
                server.close()

    def running_pids(self) -> list[int]:
        """Returns the ids of the running processes of the dispatcher."""
        return self._dispatcher.running_pids()

    async def _reload(self) -> None:
        passed_s = 0.0
        for at_s in self.plan.reloads_s:
            await asyncio.sleep(at_s - passed_s)
            passed_s = at_s
            self._dispatcher.reload()

    async def _pause(self) -> None:
        began_at = asyncio.get_running_loop().time()
        for pause in self.plan.pauses:
            await asyncio.sleep(max(0.0, began_at + pause.at_s - asyncio.get_running_loop().time()))
            await self._dispatcher.pause(pause)

    def _abuse(self) -> list[Coroutine[Any, Any, None]]:
        class_names = list(self.plan.deadlines_s)
        return [
            abusers.run(self._port, self.plan.seed + number, class_names)
            for number, abusers in enumerate(self._abusers)
        ]

    async def _open(self) -> None:
        for number, server in enumerate(self._servers):
            port = await server.open()
            self._discovery.put(f"s{number}", hostPort=f"127.0.0.1:{port}", zone="a", machineType="m1")
        discovery = f"127.0.0.1:{await self._discovery.open()}"
        self._dispatcher.configuration = self._configuration(discovery)

    def _behaviour(self, begun: Begun) -> Behaviour:
        self._attempts.append(Attempt(begun.txn, time.time()))
        if EFFECTS.get(begun.request_class) == "once":
            self._non_idempotent_ids.add(begun.txn)
        if sum(server.running for server in self._servers) >= self.plan.servers * self.plan.slots:
            return Behaviour(0.0, "turned_away")
        return Behaviour(self._rng.uniform(*self.plan.run_s))

    def _configuration(self, discovery: str) -> dict[str, Any]:
        known = self._discovery.table("", self._discovery.version, [*self._discovery.instances.values()], True)
        return {
            "name": "n1",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": discovery,
            "seed": f"{self.plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": self.plan.sockets},
            "known": known,
            "settings": _settings(self.plan),
        }

    def _classify_lost_requests(self) -> None:
        """Marks lost requests that the dispatcher need not answer.

        The protocol lets the dispatcher close a connection between two requests: a request in transit, which no process
        has taken and of which no answer has begun, is sent once more. A request whose connection was in a process that
        was killed outright ends with that process.
        """
        processes = self._dispatcher.processes
        lines = [line for process in processes for line in process.events]
        taken = {line["id"] for line in lines if line["event"] == "taken"}
        owners = ConnectionOwners(processes)
        for record in self._crowd.records:
            if record.end not in (End.LOST, End.TIMEOUT):
                continue
            if owners.was_killed(record):
                record.end = End.KILLED
            elif (
                record.end is End.LOST
                and not record.first
                and not record.answer_begun
                and record.request_id not in taken
            ):
                record.end = End.CROSSED

    def _report(self) -> UpgradeReport:
        self._classify_lost_requests()
        report = UpgradeReport(
            self.plan,
            self._crowd.records,
            reached=reached(self._dispatcher.processes),
            load_began_at=self._load_began_at,
            usage=self._usage,
            abuse_figures=[abusers.figures for abusers in self._abusers],
            closed_at={name: at for abusers in self._abusers for name, at in abusers.closed_at.items()},
            attempts=self._attempts,
        )
        report.violations += self._dispatcher.failures
        report.violations += [
            f"{record.request_id} ({record.class_name}, {record.kind.value}) of {record.client_address}, sent "
            f"{record.sent_at:.3f}: {record.end.value if record.end else 'no end'} at {record.ended_at:.3f}"
            for record in self._crowd.records
            if record.end in (None, End.LOST, End.TIMEOUT, End.BAD)
        ]
        report.violations += self._repeated_executions()
        if self.plan.log_level == "debug":
            report.violations += check_process_logs([process.as_log() for process in self._dispatcher.processes])
        if self._usage.peak_descriptors > self.plan.sockets:
            parts = " + ".join(map(str, self._usage.peak_parts))
            report.violations.append(f"descriptors: {parts} held at once, at most {self.plan.sockets} allowed")
        ends = Counter(record.end.value if record.end else "none" for record in self._crowd.records)
        report.figures = {
            "requests": len(self._crowd.records),
            **dict(sorted(ends.items())),
            "refused connects": self._crowd.refused_connects,
            "processes": len(self._dispatcher.processes),
            "killed at the end of the grace": sum(p.killed_at_grace_end for p in self._dispatcher.processes),
            "peak descriptors": self._usage.peak_descriptors,
            "peak private MB": round(self._usage.peak_memory_mb, 1),
        }
        return report

    def _repeated_executions(self) -> list[str]:
        """Returns a line for each non-idempotent request that began more than once, also for one of abusive clients."""
        began: Counter[str] = Counter()
        for server in self._servers:
            began += server.begun
        return [f"{name} began {began[name]} times" for name in self._non_idempotent_ids if began[name] > 1]


class ConnectionOwners:
    """The processes that had each connection, by the logs of all processes.

    A connection that was handed over belongs to the successor, even if that ended before it could write its log.
    """

    def __init__(self, processes: list[RunningProcess]) -> None:
        self._processes = processes
        self._changes: dict[str, list[tuple[float, int]]] = {}  # time and number of the process, by client address
        for process in processes:
            self._read(process)

    def was_killed(self, record: RequestRecord) -> bool:
        """Returns whether the process that had the connection of a request was killed before the request ended.

        A process that was killed may have accepted a connection without writing its log.
        """
        owners = [
            number
            for at, number in self._changes.get(record.client_address, [])
            if record.connected_at <= at <= record.ended_at
        ]
        if owners:  # a connection moves to later processes only, though the lines of an earlier one may come later
            return self._processes[max(owners)].killed
        return any(0 <= record.ended_at - process.killed_at <= KILL_NOTICE_S for process in self._processes)

    def _read(self, process: RunningProcess) -> None:
        successor = process.number
        for line in process.events:
            if line["event"] == "handed_over":
                successor = max(other.number for other in self._processes if other.started_at < line["at"])
            elif line["event"] in ("client_opened", "client_adopted"):
                self._add(line, process.number)
            elif line["event"] == "client_closed" and line["why"] == "handed_over":
                self._add(line, successor)

    def _add(self, line: dict[str, Any], owner: int) -> None:
        self._changes.setdefault(line["client"], []).append((line["at"], owner))


def _settings(plan: UpgradePlan) -> dict[str, Any]:
    return {
        "instances": 1,
        "position": 0,
        "zone": 0,
        "zones": ["a"],
        "skus": ["m1"],
        "discovery": "on_request",
        "tick": 5.0,
        "lanes": [
            {
                "name": name,
                "deadline": deadline_s * 1000,
                "effect": EFFECTS[name],
                "goal_time": 2000.0,
                "worth": 1.0,
                **({"repeat_window": 9000.0} if EFFECTS[name] == "by_key" else {}),
            }
            for name, deadline_s in plan.deadlines_s.items()
        ],
        "family_info": {"class_stretch": [0, 0, 0], "tells_start": True, "progress": 1000.0},
        "limits": {
            "attempts_cap": 6,
            "second_copies": False,
            "may_cancel": True,
            "may_tell": False,
            "conn_idle": 10000.0,
            "dial_timeout": 1000.0,
            "max_retry_after": 2000.0,
            "retry_after": True,
        },
        "safety": {
            "answer_slack": 50.0,
            "ask_every": 10000.0,
            "cold_from": 0.2,
            "drain_grace": 2500.0,
            "overload_for": 3000.0,
            "tip_multiple": 3.0,
            "warm_after": 20000.0,
        },
    }


def play(plan: UpgradePlan, folder: Path | None = None, sources: tuple[Path | None, ...] = (None,)) -> UpgradeReport:
    """Plays a plan and returns its report.

    Args:
        plan: The plan.
        folder: Folder for configuration and logs; None uses a temporary folder that is deleted afterwards.
        sources: Folders of the versions of the program, which the processes run in turn; None runs this version.
    """

    async def _play(run_folder: Path) -> UpgradeReport:
        return await UpgradeRun(plan, run_folder, sources).play()

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_play(folder))
    with tempfile.TemporaryDirectory(prefix="heronlug-upgrades-") as name:
        return uvloop.run(_play(Path(name)))

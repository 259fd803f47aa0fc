"""Manages the dispatchers of a run: their config files, and the starts and ends of their processes."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

from heronlug.conformance import Event, Started, Stopped
from heronlug.faults.history import History
from heronlug.faults.network import FaultyNetwork
from heronlug.faults.observed_discovery import DISCOVERY_PARTY, ObservedDiscovery
from heronlug.faults.ordering import OrderedEnds
from heronlug.faults.plan import FaultPlan, Step, select_parties
from heronlug.faults.processes import Process, write_file, write_known_list, write_platform_files
from heronlug.standins.ports import free_port, free_ports

MAX_GRACE_S = 3.0
"""Maximum seconds that a planned restart waits for the longest deadline before it kills the old process."""
KILL_AFTER_S = 0.7
"""Seconds between the end of that wait and the kill."""
WATCH_INTERVAL_S = 0.02
"""Seconds between two checks for processes that have exited."""
LIST_POLL_BATCH = 16
"""Number of processes whose figures are read concurrently."""
FILES_BEFORE_YIELD = 20
"""Number of dispatchers whose files are written before other tasks of the event loop run."""
STEP_SIGNALS = {"stop": signal.SIGSTOP, "go": signal.SIGCONT, "hup": signal.SIGHUP}
"""Signal by step action, for steps that only send a signal."""


class Dispatchers:
    """The dispatchers of a run.

    Attributes:
        processes: process of each dispatcher by name.
        frontend_ports: port to which clients connect, by dispatcher name.
        listed_after: seconds from the start of the run until the dispatcher had the endpoint list, by dispatcher name.
    """

    def __init__(
        self,
        plan: FaultPlan,
        folder: Path,
        history: History,
        network: FaultyNetwork,
        ordered_ends: OrderedEnds,
        discovery: ObservedDiscovery,
    ) -> None:
        self.processes: dict[str, Process] = {}
        self.frontend_ports: dict[str, int] = {}
        self.listed_after: dict[str, float] = {}
        self._plan = plan
        self._folder = folder
        self._history = history
        self._network = network
        self._ordered_ends = ordered_ends
        self._discovery = discovery

    # -- config files

    async def open(self, source: Path | None) -> None:
        """Writes the files of all dispatchers and opens a discovery listener for each.

        Args:
            source: folder of another version of the program to run; None runs this version.

        Raises:
            OSError: if a file cannot be written or no port is free.
        """
        plan, count = self._plan, self._plan.dispatchers.count
        (self._folder / "key").write_text("a key that is long enough")
        names = [f"d{number}" for number in range(count)]
        ports = free_ports(4 * count)
        self.frontend_ports = dict(zip(names, ports[:count], strict=True))
        admin_ports = dict(zip(names, ports[count : 2 * count], strict=True))
        peer_ports = dict(zip(names, ports[2 * count : 3 * count], strict=True))
        member_ports = dict(zip(names, ports[3 * count :], strict=True))
        relayed = "peers" in plan.relays
        advertised_peer_ports = (
            await self._network.proxy_datagrams(peer_ports) if relayed and plan.dispatchers.peers else peer_ports
        )
        proxy_members = relayed and plan.dispatchers.cluster
        advertised_member_ports = await self._network.proxy_datagrams(member_ports) if proxy_members else member_ports
        self._discovery.dispatcher_names = names
        for number, name in enumerate(names):
            process = self.processes[name] = Process(name, self._folder, admin_ports[name], source)
            addresses = [
                f"127.0.0.1:{peer_ports[each] if each == name else advertised_peer_ports[each]}" for each in names
            ]
            write_file(
                process,
                plan,
                frontend_port=self.frontend_ports[name],
                discovery=await self._discovery_address(name),
                member_port=member_ports[name],
                peers=addresses if plan.dispatchers.peers and count > 1 else [],
                advertised_port=advertised_member_ports[name],
                seeds=[advertised_member_ports[each] for each in names[: plan.dispatchers.seeds] if each != name],
            )
            if plan.dispatchers.platform:
                write_platform_files(process, self._discovery.initial_list(name))
            if number % FILES_BEFORE_YIELD == FILES_BEFORE_YIELD - 1:
                await asyncio.sleep(0)

    async def _discovery_address(self, name: str) -> str:
        port = await self._discovery.stand_in.open(port=free_port(), caller=name)
        address = f"127.0.0.1:{port}"
        if DISCOVERY_PARTY in self._plan.relays:
            return self._network.proxy_connections(name, DISCOVERY_PARTY, lambda: address)
        return address

    # -- starts and ends

    async def start_all(self) -> None:
        """Starts all dispatchers except those that a step of the plan starts later."""
        later = set(select_parties(self._plan.dispatchers.later, self._plan, Random(self._plan.seed)))
        for name in self.processes:
            if name not in later:
                self._start(name)
                await asyncio.sleep(0)

    async def apply(self, step: Step, name: str) -> Callable[[], Awaitable[None] | None]:
        """Applies a step to one dispatcher; returns a function that reverts the step."""
        process = self.processes[name]
        if step.do == "start":
            await self._restart(name)
        elif step.do == "replace":
            await self._replace(process)
        elif step.do == "kill":
            self._kill(process)
            return lambda: self._restart(name)
        elif step.do == "term":
            await self._terminate(process)
        else:
            process.signal(STEP_SIGNALS[step.do])
        return lambda: process.signal(signal.SIGCONT)

    def report_end(self, event: Event) -> None:
        """Records an end after all events that were written earlier and are still unread."""
        self._ordered_ends.report(lambda: self._history.record(event))

    def close(self) -> None:
        """Kills all running processes."""
        for process in self.processes.values():
            if process.running:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)

    def _start(self, name: str) -> None:
        self._history.record(Started(self._history.now(), name))
        self.processes[name].start()

    async def _restart(self, name: str) -> None:
        await self._ordered_ends.wait_until_caught_up()  # records the end of the previous process first
        known = self._discovery.last_written_list(name)
        if known is not None:
            write_known_list(self.processes[name], known)
        self._start(name)

    def _kill(self, process: Process) -> None:
        process.killed_incarnations.add(process.incarnation)
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGKILL)
        self.report_end(Stopped(self._history.now(), process.name, True))

    async def _terminate(self, process: Process) -> None:
        process.signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait_or_kill)
        await self._ordered_ends.wait_until_caught_up()  # the last answers of the process are recorded first
        self.report_end(Stopped(self._history.now(), process.name, False))

    async def _replace(self, process: Process) -> None:
        """Performs a planned restart with the earliest permitted kill.

        A replacement of a process that is already stopping only sends another SIGTERM.
        """
        incarnation, first_signal = process.incarnation, process.should_run
        process.signal(signal.SIGTERM)
        if not first_signal:
            return
        await asyncio.sleep(min(self._plan.longest_deadline_s, MAX_GRACE_S) + KILL_AFTER_S)
        if process.incarnation != incarnation:
            return
        process.signal(signal.SIGKILL)
        await self._ordered_ends.wait_until_caught_up()
        self.report_end(Stopped(self._history.now(), process.name, False))
        await self._restart(process.name)

    # -- observation

    async def watch_processes(self, failures: list[str]) -> None:
        """Adds a line to ``failures`` for each process that exits although no step ended it and the plan forbids it."""
        while True:
            for name, process in self.processes.items():
                if (status := process.unexpected_exit_status()) is not None:
                    if self._plan.expect.alive:
                        failures.append(f"{name} ended by itself with status {status}")
                    self.report_end(Stopped(self._history.now(), name, True))
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def watch_lists(self, interval_s: float) -> None:
        """Records when each dispatcher first reports the complete endpoint list in its figures."""
        while len(self.listed_after) < len(self.processes):
            processes = self.processes.items()
            waiting = [process for name, process in processes if name not in self.listed_after and process.running]
            for start in range(0, len(waiting), LIST_POLL_BATCH):
                batch = waiting[start : start + LIST_POLL_BATCH]
                for process, has_list in zip(batch, await asyncio.gather(*map(self._has_list, batch)), strict=True):
                    if has_list:
                        self.listed_after[process.name] = self._history.elapsed_s()
            await asyncio.sleep(interval_s)

    async def list_completeness(self) -> dict[str, bool]:
        """Returns, for each running dispatcher, whether it has the complete endpoint list."""
        running = [process for process in self.processes.values() if process.should_run and process.running]
        return {process.name: await self._has_list(process) for process in running}

    async def all_listed(self) -> bool:
        """Returns whether at least one dispatcher runs and every running one has the complete endpoint list."""
        running = [process for process in self.processes.values() if process.running]
        return bool(running) and all([await self._has_list(process) for process in running])

    async def _has_list(self, process: Process) -> bool:
        return bool((await process.figures()).get("svc_targets") == self._discovery.listed_count())

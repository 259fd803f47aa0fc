"""Runs a test plan: starts all parties, applies the steps, records events and judges the result."""

import asyncio
import shutil
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

from heronlug.conformance import Checker
from heronlug.faults.dispatchers import Dispatchers
from heronlug.faults.history import History
from heronlug.faults.network import FaultyNetwork
from heronlug.faults.observed_discovery import ObservedDiscovery
from heronlug.faults.observed_load import ObservedLoad
from heronlug.faults.ordering import OrderedEnds
from heronlug.faults.plan import FaultPlan
from heronlug.faults.processes import Process
from heronlug.faults.servers import RequestListener, StandInServers, load_classes_of
from heronlug.faults.steps import StepRunner
from heronlug.faults.tasks import BackgroundTasks
from heronlug.faults.verdict import FinishedRun, Verdict, judge
from heronlug.loadgen.plan import PlannedRequest
from heronlug.loadgen.tally import Tally
from heronlug.standins.discovery import StandInDiscovery

LIST_POLL_INTERVAL_S = 0.25
"""Seconds between two reads of the dispatchers' figures."""
LISTED_WITHIN_S = 60.0
"""Maximum seconds that a run waits for all dispatchers to have the endpoint list."""
ANSWERS_WITHIN_S = 5.0
"""Seconds beyond the longest deadline that a run waits for its last answers."""
BETWEEN_WATCHES_S = 0.25
"""Seconds within which a dispatcher whose watch has been answered opens its next one."""
LOAD_MARGIN_S = 60.0
"""Seconds beyond the plan's span after which the load generator gives up."""
DRAIN_GRACE_MS = 2500.0
"""Milliseconds that a drain may take in addition to the plan's slack."""


class FaultHarness:
    """One run of a test plan in a folder of its own.

    Attributes:
        plan: test plan of the run.
        checker: conformance checker of the four rules.
        history: recorded events.
        network: network paths between the parties.
        discovery: stand-in for service discovery.
        servers: stand-in servers.
        clients: load generator; set when the load begins.
    """

    def __init__(self, plan: FaultPlan, folder: Path, events: Path | None = None, source: Path | None = None) -> None:
        """Connects the parts of a run.

        Args:
            plan: test plan to run.
            folder: folder for the files of the processes.
            events: file to which the history is written; None writes no file.
            source: folder of another version of the program to run; None runs this version.
        """
        self.plan = plan
        self.checker = Checker(slack=plan.slack_ms, drain_grace=DRAIN_GRACE_MS + plan.slack_ms)
        self.history = History(self.checker, events)
        self.network = FaultyNetwork(plan.seed)
        self.clients: ObservedLoad
        self._source = source
        self._tasks = BackgroundTasks()
        self._ordered_ends = OrderedEnds(self.network)
        self._discovery = ObservedDiscovery(plan, self.history, self.network, self._tasks)
        self.discovery: StandInDiscovery = self._discovery.stand_in
        self.discovery.address_of = self._address_of
        self.servers = StandInServers(
            plan, self.discovery, self.history, self._dispatcher_of, self.network.set_target_gone
        )
        self._dispatchers = Dispatchers(plan, folder, self.history, self.network, self._ordered_ends, self._discovery)
        self._steps = StepRunner(
            plan, self.history, self._dispatchers, self.servers, self._discovery, self.network, self._tasks
        )

    @property
    def processes(self) -> dict[str, Process]:
        """Process of each dispatcher by name."""
        return self._dispatchers.processes

    @property
    def listed_after(self) -> dict[str, float]:
        """Seconds from the start of the run until the dispatcher had the endpoint list, by dispatcher name."""
        return self._dispatchers.listed_after

    @property
    def watched_after(self) -> dict[str, float]:
        """Seconds from the start of the run until the dispatcher's first watch was waiting, by dispatcher name."""
        return self._discovery.watched_after

    def reading(self) -> list[str]:
        """Returns the dispatchers that have a watch open at service discovery now."""
        return self.discovery.watching()

    def set_discovery_down(self, down: bool) -> None:
        """Stops the stand-in for service discovery, or starts it again."""
        self._discovery.set_down(down)

    async def play(self) -> Verdict:
        """Runs the whole plan and returns its verdict.

        Raises:
            OSError: if a party could not be started.
        """
        try:
            await self._open()
            load = self._tasks.spawn(self._load())
            if self.plan.begin == "listed":
                await _wait_until(self._dispatchers.all_listed, LISTED_WITHIN_S)
                self.history.began_at_ms = self.history.now()
            for step in self.plan.step:
                self._tasks.spawn(self._steps.run(step))
            self._tasks.spawn(self._dispatchers.watch_processes(self._tasks.failures))
            self._tasks.spawn(self._dispatchers.watch_lists(LIST_POLL_INTERVAL_S))
            await asyncio.sleep(self.plan.span_s)
            await asyncio.wait_for(load, self.plan.longest_deadline_s + ANSWERS_WITHIN_S)
            return judge(await self._finish())
        finally:
            await self._close()

    async def _open(self) -> None:
        await self._ordered_ends.open()
        await self.servers.open()
        await self._dispatchers.open(self._source)
        if self.plan.register.down:
            self.set_discovery_down(True)
        self.history.began_at_ms = self.history.now()
        await self._dispatchers.start_all()

    async def _load(self) -> None:
        classes = load_classes_of(self.plan)
        tallies = {name: Tally(request_class) for name, request_class in classes.items()}
        self.clients = ObservedLoad(self._dispatchers, self.history, tallies, self.plan.span_s + LOAD_MARGIN_S)
        if self.plan.begin == "listed":
            await _wait_until(self._dispatchers.all_listed, LISTED_WITHIN_S)
        await self.clients.run(self._planned_requests())

    def _planned_requests(self) -> list[PlannedRequest]:
        """Returns all requests of the run by arrival time; the last deadlines lie within the span of the plan."""
        classes, random, span_ms = load_classes_of(self.plan), Random(self.plan.seed), self.plan.span_s * 1000
        planned = []
        for table in self.plan.classes:
            at = 0.0
            while (at := at + random.expovariate(table.rate / 1000)) < span_ms - table.deadline_ms:
                planned.append(PlannedRequest(at, classes[table.name], table.work_ms * random.uniform(0.5, 1.5)))
        return sorted(planned, key=lambda each: each.due_at)

    async def _finish(self) -> FinishedRun:
        watching = await self._reading_in_the_end()
        listed = await self._dispatchers.list_completeness()
        await self._ordered_ends.wait_until_caught_up()
        return FinishedRun(
            self.plan,
            self.history,
            self.processes,
            self.clients.tallies.values(),
            watching,
            listed,
            self.listed_after,
            self.clients.lost_count,
            self.discovery.written_bytes,
            self._tasks.failures,
        )

    async def _reading_in_the_end(self) -> list[str]:
        """Returns the dispatchers that have a watch open now, or open their next one within ``BETWEEN_WATCHES_S``."""
        reading = self.reading()
        await asyncio.sleep(BETWEEN_WATCHES_S)
        return sorted({*reading, *self.reading()})

    async def _close(self) -> None:
        self._tasks.close()
        self._dispatchers.close()
        self._ordered_ends.close()
        self.network.close()
        self.discovery.close()
        self.servers.close()
        self.history.close()
        await asyncio.sleep(0)

    def _dispatcher_of(self, txn: str) -> str:
        return self.clients.dispatcher_of.get(txn, "")

    def _address_of(self, caller: str, name: str, address: str) -> str:
        """Returns the address that a dispatcher uses for a server; with a proxy between them, the proxy's address."""
        if "runners" not in self.plan.relays or name not in self.servers.endpoints:
            return address
        path = self.network.path_between(caller, name)
        path.make_connection_listener = lambda: RequestListener(lambda txn: self.servers.request_sent(name, txn))
        return self.network.proxy_connections(caller, name, lambda: self.servers.address(name))


def play(
    plan: FaultPlan, folder: Path | None = None, events: Path | None = None, source: Path | None = None
) -> Verdict:
    """Runs a test plan and returns its verdict.

    Args:
        plan: test plan to run.
        folder: folder for the files of the processes; None uses a temporary folder that is deleted afterwards.
        events: file to which the history is written; None writes no file.
        source: folder of another version of the program to run; None runs this version.

    Raises:
        OSError: if a party could not be started.
    """
    run_folder = folder or Path(tempfile.mkdtemp(prefix="heronlug-rig-"))
    try:
        return asyncio.run(_play(plan, run_folder, events, source))
    finally:
        if folder is None:
            shutil.rmtree(run_folder, ignore_errors=True)


async def _play(plan: FaultPlan, folder: Path, events: Path | None, source: Path | None) -> Verdict:
    return await FaultHarness(plan, folder, events, source).play()


async def _wait_until(condition: Callable[[], Awaitable[bool]], seconds: float) -> bool:
    """Waits for a condition; returns whether the condition became true within the given seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while not await condition():
        if loop.time() > end:
            return False
        await asyncio.sleep(LIST_POLL_INTERVAL_S)
    return True

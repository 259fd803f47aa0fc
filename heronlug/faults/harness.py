"""Plays a script: starts everything, does the steps, watches, and judges."""

import asyncio
import shutil
import signal
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any

from heronlug.conformance import (
    Answered,
    Called,
    Changed,
    Checker,
    Ended,
    Event,
    Listed,
    Reachable,
    Started,
    Stopped,
    Taken,
    Watching,
    WatchOver,
)
from heronlug.faults.history import History
from heronlug.faults.network import Direction, FaultyNetwork, NetworkPath
from heronlug.faults.ordering import OrderedEnds
from heronlug.faults.plan import HOSTS, LASTING, PROCESS, REGISTER, Step, TestPlan, choose
from heronlug.faults.processes import Process, write_file, write_known, write_platform_files
from heronlug.faults.servers import RequestListener, StandInServers, load_classes_of
from heronlug.faults.verdict import FinishedRun, Verdict, judge
from heronlug.loadgen.http import HttpLoad, SentRequest
from heronlug.loadgen.plan import PlannedRequest
from heronlug.loadgen.tally import Tally
from heronlug.standins.discovery import Call, StandInDiscovery
from heronlug.standins.ports import free_port, free_ports

KILL_COUNTS, KILL_AFTER = 3.0, 0.7  # s: the kill comes the longest deadline, of which so much counts, and this later
FRONT_NOTICES = 0.4  # s after SIGTERM, in which new connections still come
LOOK = 0.02  # s between two looks at the processes
LISTED_LOOK = 0.25  # and at their figures, while it is waited for their lists
LISTED_WITHIN = 60.0
LOOKED_AT = 16  # processes at once
STOP_WITHIN = 15.0
STATES = {"active": "ready", "leaving": "draining", "left": "gone"}


class ObservedLoad(HttpLoad):
    """Load whose jobs are told to the history."""

    def __init__(
        self, rig: "FaultHarness", addresses: list[tuple[str, int]], tallies: dict[str, Tally], seconds: float
    ) -> None:
        super().__init__(addresses, tallies, seconds)
        self.harness = rig
        self.at: dict[str, str] = {}  # who has a job
        self.lives: dict[str, int] = {}  # which of its processes that was

    def takes(self, door: int) -> bool:
        """The platform's front sends no new connections to who is told to end, a moment after that."""
        told = self.harness.processes[f"d{door}"].stop_requested_at_s
        return told is None or time.monotonic() - told < FRONT_NOTICES

    def handed(self, job: SentRequest, door: int) -> None:
        """A job goes to a dispatcher."""
        now, name, lane = self.harness.history.now(), f"d{door}", job.due.request_class
        self.at[job.txn], self.lives[job.txn] = name, self.harness.processes[name].incarnation
        left = max(1.0, lane.deadline_ms - (self.now() - job.due.due_at))
        self.harness.history.see(Taken(now, name, job.txn, lane.name, lane.effect == "once", now + left))

    def ended(self, job: SentRequest, how: str) -> None:
        """A job is over."""
        super().ended(job, how)
        name, history = self.at.get(job.txn), self.harness.history
        if name is None:
            return
        process = self.harness.processes[name]
        if how != "lost":
            # one on its way when its dispatcher was killed: the history has the job as over with that
            if process.last_ended_incarnation < self.lives[job.txn]:
                self.harness.report_end(Answered(history.now(), name, job.txn, how))
        elif not process.should_run or not process.running:
            self.harness.report_end(Ended(history.now(), name, job.txn))  # lost with its dispatcher
            self.harness.lost_with += 1


class FaultHarness:
    """One run of a script in a folder of its own."""

    def __init__(
        self,
        script: TestPlan,
        folder: Path,
        events: Path | None = None,
        source: Path | None = None,
    ) -> None:
        """``source`` is the folder of another version of the program, in place of this one."""
        self.plan, self.folder, self._source = script, folder, source
        self.random = Random(script.seed)
        self.checker = Checker(slack=script.slack_ms, drain_grace=2500.0 + script.slack_ms)
        self.history = History(self.checker, events)
        self.network = FaultyNetwork(script.seed)
        self.ordered_ends = OrderedEnds(self.network)
        table = script.register
        self.discovery = StandInDiscovery(table.call_ms, table.wait_most_ms, table.turned_ms, script.seed)
        self.discovery.retry_after = table.retry_after_ms
        self.discovery.told, self.discovery.wrote = self._called, self._wrote
        self.discovery.unwatched, self.discovery.changed = self._unwatched, self._listed_as
        self._unreachable: set[str] = set()  # dispatchers that discovery is out of reach of, as the judge has it
        self.discovery.address_of = self._address_of
        self.servers = StandInServers(
            script, self.discovery, self.history, lambda txn: self.clients.at.get(txn, ""), self.network.set_target_gone
        )
        self.processes: dict[str, Process] = {}
        self.clients: ObservedLoad
        self.lost_with = 0  # jobs that ended with their dispatcher
        self.listed_after: dict[str, float] = {}  # s from the beginning until a dispatcher had its list
        self.watched_after: dict[str, float] = {}  # and until its first watch waited for news
        self.discovery.watched = self._watched
        self._doors: dict[str, int] = {}
        self._down = False
        self._written: dict[str, tuple[int, dict[str, dict[str, Any]]]] = {}  # by dispatcher: its list as last written
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed: list[str] = []

    # -- the run

    async def play(self) -> Verdict:
        """The whole script; what cannot be started raises ``OSError``."""
        try:
            await self._open()
            load = self._begin(self._load())
            if self.plan.begin == "listed":
                await self.wait_until(self._all_listed, LISTED_WITHIN)
                self.history.began = self.history.now()
            for step in self.plan.step:
                self._begin(self._do(step))
            self._begin(self._watch_processes())
            self._begin(self._watch_lists())
            await asyncio.sleep(self.plan.span_s)
            await asyncio.wait_for(load, self._longest() + 5)
            reading = self.reading()
            listed = await self._lists()
            await self.ordered_ends.caught_up()
            return judge(
                FinishedRun(
                    self.plan,
                    self.history,
                    self.processes,
                    self.clients.tallies.values(),
                    reading,
                    listed,
                    self.listed_after,
                    self.lost_with,
                    self.discovery.wrote_bytes,
                    self._failed,
                )
            )
        finally:
            await self._close()

    def reading(self) -> list[str]:
        """The dispatchers that watch the register now, as it sees them."""
        return self.discovery.watching()

    async def wait_until(self, what: Callable[[], Awaitable[bool]], seconds: float) -> bool:
        """Whether something has come to be within this time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not await what():
            if loop.time() > end:
                return False
            await asyncio.sleep(LISTED_LOOK)
        return True

    # -- start and end

    async def _open(self) -> None:
        script, count = self.plan, self.plan.dispatchers.count
        (self.folder / "key").write_text("a key that is long enough")
        names = [f"d{number}" for number in range(count)]
        ports = free_ports(4 * count)
        operators = dict(zip(names, ports[count : 2 * count], strict=True))
        self._doors = dict(zip(names, ports[:count], strict=True))
        peers = dict(zip(names, ports[2 * count : 3 * count], strict=True))
        members = dict(zip(names, ports[3 * count :], strict=True))
        await self.ordered_ends.open()
        await self.servers.open()
        relayed = "peers" in script.relays
        seen_peers = await self.network.proxy_datagrams(peers) if relayed and script.dispatchers.peers else peers
        seen_members = (
            await self.network.proxy_datagrams(members) if relayed and script.dispatchers.cluster else members
        )
        for number, name in enumerate(names):
            discovery = await self.discovery.open(port=free_port(), caller=name)
            where = f"127.0.0.1:{discovery}"
            if "register" in script.relays:
                where = self.network.proxy_connections(name, "register", lambda real=where: real)  # type: ignore[misc]
            process = self.processes[name] = Process(name, self.folder, operators[name], self._source)
            told = [f"127.0.0.1:{peers[o] if o == name else seen_peers[o]}" for o in names]
            seeds = [seen_members[o] for o in names[: script.dispatchers.seeds] if o != name]
            write_file(
                process,
                script,
                door=self._doors[name],
                discovery=where,
                member=members[name],
                peers=told if script.dispatchers.peers and count > 1 else [],
                advertised=seen_members[name],
                seeds=seeds,
            )
            if script.dispatchers.platform:
                listed = list(self.discovery.instances.values())
                write_platform_files(process, self.discovery.table(name, self.discovery.version, listed, True))
                self._written[name] = self.discovery.version, {i["instanceId"]: dict(i) for i in listed}
            if number % 20 == 19:
                await asyncio.sleep(0)
        if script.register.down:
            self.set_discovery_down(True)
        later = set(choose(script.dispatchers.later, script, Random(script.seed)))
        self.history.began = self.history.now()
        for name in names:
            if name not in later:
                self._start(name)
                await asyncio.sleep(0)

    async def _load(self) -> None:
        lanes, rng, span = load_classes_of(self.plan), Random(self.plan.seed), self.plan.span_s * 1000
        tallies = {name: Tally(lane) for name, lane in lanes.items()}
        addresses = [("127.0.0.1", port) for port in self._doors.values()]
        self.clients = ObservedLoad(self, addresses, tallies, self.plan.span_s + 60)
        if self.plan.begin == "listed":
            await self.wait_until(self._all_listed, LISTED_WITHIN)
        due = []
        for lane in self.plan.classes:
            at = 0.0
            while (at := at + rng.expovariate(lane.rate / 1000)) < span - lane.deadline_ms:
                due.append(PlannedRequest(at, lanes[lane.name], lane.work_ms * rng.uniform(0.5, 1.5)))
        await self.clients.run(sorted(due, key=lambda each: each.due_at))

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.running:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
        self.ordered_ends.close()
        self.network.close()
        self.discovery.close()
        self.servers.close()
        self.history.close()
        await asyncio.sleep(0)

    def _begin(self, work: Any) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._over)
        return task

    def _over(self, task: "asyncio.Task[None]") -> None:
        """What fails here is the rig's own fault, and must not pass for one of the program."""
        if not task.cancelled() and (error := task.exception()) is not None:
            self._failed.append(f"the rig: {error!r}")

    def report_end(self, event: Event) -> None:
        """Something has ended: told behind what had come before it and is not read yet."""
        self.ordered_ends.report(lambda: self.history.see(event))

    def _start(self, name: str) -> None:
        self.history.see(Started(self.history.now(), name))
        self.processes[name].start()

    async def _start_again(self, name: str) -> None:
        await self.ordered_ends.caught_up()  # with the end of the process before
        if name in self._written:
            version, instances = self._written[name]
            known = self.discovery.table(name, version, list(instances.values()), True)
            write_known(self.processes[name], known)  # the platform gives the list as it was last held
        self._start(name)

    def _longest(self) -> float:
        return max((lane.deadline_ms for lane in self.plan.classes), default=0.0) / 1000

    # -- what is seen

    def _called(self, call: Call) -> None:
        self.history.see(Called(self.history.now(), call.caller, call.whole, call.turned, call.waited))

    def _watched(self, caller: str, call: int, wait: float) -> None:
        self.history.see(Watching(self.history.now(), caller, call, wait))
        self.watched_after.setdefault(caller, (self.history.now() - self.history.began) / 1000)

    def _unwatched(self, caller: str, call: int) -> None:
        self.history.see(WatchOver(self.history.now(), caller, call))

    def _listed_as(self, name: str, lifecycle: str) -> None:
        self.history.see(Changed(self.history.now(), name, STATES[lifecycle]))

    def _note_reach(self, names: Iterable[str]) -> None:
        """Something has befallen discovery, or the paths of these dispatchers to it."""
        for name in names:
            cut = "register" in self.plan.relays and self.network.path_between(name, "register").blocked
            reachable = not self._down and not cut
            if reachable is (name in self._unreachable):
                (self._unreachable.discard if reachable else self._unreachable.add)(name)
                self.history.see(Reachable(self.history.now(), name, reachable))

    def _wrote(self, caller: str, instances: list[dict[str, Any]], whole: bool) -> None:
        """The register has told a dispatcher; who goes by another's list counts as told somewhat later."""
        now = self.history.now()
        if self.plan.dispatchers.platform:
            _, before = self._written.get(caller, (0, {}))
            listed = {} if whole else before
            self._written[caller] = self.discovery.version, listed | {i["instanceId"]: dict(i) for i in instances}
        for instance in instances:
            self.history.see(Listed(now, caller, instance["instanceId"], STATES[instance["lifecycle"]]))

    def _changed(self, name: str, state: str) -> None:
        def told() -> None:
            for process in self.processes:
                self.history.see(Listed(self.history.now(), process, name, STATES[state]))

        if self.plan.dispatchers.cluster:
            asyncio.get_running_loop().call_later(self.plan.told_after_ms / 1000, told)

    def _address_of(self, caller: str, name: str, address: str) -> str:
        if "runners" not in self.plan.relays or name not in self.servers.endpoints:
            return address
        self.network.path_between(caller, name).make_connection_listener = lambda: RequestListener(
            lambda txn: self.servers.request_sent(name, txn)
        )
        return self.network.proxy_connections(caller, name, lambda: self.servers.address(name))

    async def _watch_processes(self) -> None:
        while True:
            for name, process in self.processes.items():
                if (status := process.unexpected_exit_status()) is not None:
                    self._failed.append(f"{name} ended by itself with status {status}")
                    self.report_end(Stopped(self.history.now(), name, True))
            await asyncio.sleep(LOOK)

    async def _watch_lists(self) -> None:
        """When each has its list, read off its figures until it has."""
        while len(self.listed_after) < len(self.processes):
            waiting = [p for n, p in self.processes.items() if n not in self.listed_after and p.running]
            for at in range(0, len(waiting), LOOKED_AT):
                some = waiting[at : at + LOOKED_AT]
                for process, has in zip(some, await asyncio.gather(*map(self._has_list, some)), strict=True):
                    if has:
                        self.listed_after[process.name] = (self.history.now() - self.history.began) / 1000
            await asyncio.sleep(LISTED_LOOK)

    async def _has_list(self, process: Process) -> bool:
        wanted = sum(i["lifecycle"] != "left" for i in self.discovery.instances.values())
        return bool((await process.figures()).get("svc_targets") == wanted)

    async def _lists(self) -> dict[str, bool]:
        """Of all that run, whether they have the whole list."""
        running = [process for process in self.processes.values() if process.should_run and process.running]
        return {process.name: await self._has_list(process) for process in running}

    async def _all_listed(self) -> bool:
        running = [process for process in self.processes.values() if process.running]
        return bool(running) and all([await self._has_list(process) for process in running])

    # -- steps

    async def _do(self, step: Step) -> None:
        began = self.history.began
        await asyncio.sleep(max(0.0, step.at_s - (self.history.now() - began) / 1000))
        who = choose(step.who, self.plan, self.random, self.reading())
        for number, name in enumerate(who or [""]):
            if number and step.every_s:
                await asyncio.sleep(step.every_s)
            self.history.step(f"{step.do} {name}".strip())
            back = await self._act(step, name)
            if step.for_s is not None and step.do in LASTING:
                self._begin(self._later(step.for_s, f"end of {step.do} {name}".strip(), back))

    async def _later(self, seconds: float, what: str, back: Callable[[], Any]) -> None:
        await asyncio.sleep(seconds)
        self.history.step(what)
        done = back()
        if asyncio.iscoroutine(done):
            await done

    async def _act(self, step: Step, name: str) -> Callable[[], Any]:
        """Do it; returns what takes it back."""
        if step.do in PROCESS:
            return await self._process(step, name)
        if step.do in HOSTS:
            return await self._runner(step, name)
        if step.do in REGISTER:
            return self._register(step)
        return self._between(step)

    async def _process(self, step: Step, name: str) -> Callable[[], Any]:
        process = self.processes[name]
        if step.do == "start":
            await self._start_again(name)
        elif step.do == "replace":
            await self._replace(process)
        elif step.do == "kill":
            process.killed_incarnations.add(process.incarnation)
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
            self.report_end(Stopped(self.history.now(), name, True))
        elif step.do == "term":
            process.signal(signal.SIGTERM)
            await asyncio.to_thread(_wait, process)
            await self.ordered_ends.caught_up()  # its last answers are read and told
            self.report_end(Stopped(self.history.now(), name, False))
        else:
            process.signal({"stop": signal.SIGSTOP, "go": signal.SIGCONT, "hup": signal.SIGHUP}[step.do])
        if step.do == "kill":
            return lambda: self._start_again(name)
        return lambda: process.signal(signal.SIGCONT)

    async def _replace(self, process: Process) -> None:
        """A planned restart whose kill comes as early as it may; one that comes meanwhile is a second signal alone."""
        life, first = process.incarnation, process.should_run
        process.signal(signal.SIGTERM)
        if not first:
            return
        await asyncio.sleep(min(self._longest(), KILL_COUNTS) + KILL_AFTER)
        if process.incarnation != life:
            return
        process.signal(signal.SIGKILL)
        await self.ordered_ends.caught_up()
        self.report_end(Stopped(self.history.now(), process.name, False))
        await self._start_again(process.name)

    async def _runner(self, step: Step, name: str) -> Callable[[], Any]:
        if step.do == "die":
            self.servers.stop(name)
            return lambda: self.servers.restart(name, step.cold)
        if step.do == "back":
            await self.servers.restart(name, step.cold)
        elif step.do == "slow":
            self.servers.emulated_servers[name].slowdown = step.factor
        elif step.do == "list":
            self.servers.list_as(name, step.state)
            self._changed(name, step.state)
        return lambda: setattr(self.servers.emulated_servers[name], "slowdown", 1.0)

    def _register(self, step: Step) -> Callable[[], Any]:
        register = self.discovery
        if step.do in ("down", "up"):
            self.set_discovery_down(step.do == "down")
            return lambda: self.set_discovery_down(False)
        if step.do in ("hang", "speak"):
            register.silent = step.do == "hang"
            return lambda: setattr(register, "silent", False)
        if step.do == "anew":
            register.anew()
        elif step.do == "costs":
            register.call_ms = step.ms
        else:
            register.turn_share = step.share
        return lambda: setattr(register, "turn_share", 0.0)

    def set_discovery_down(self, down: bool) -> None:
        """The register's process ends, or is there again; dials are refused meanwhile."""
        self._down = down
        self._note_reach(self.processes)
        if down:
            self.discovery.close()
            self.network.set_target_gone("register", True)
        else:
            self._begin(self._up())

    async def _up(self) -> None:
        for name in self.processes:
            await self.discovery.open(caller=name)
        self.network.set_target_gone("register", False)

    def _between(self, step: Step) -> Callable[[], Any]:
        sources = choose(step.source, self.plan, self.random, self.reading())
        targets = choose(step.target, self.plan, self.random, self.reading())
        chosen = self.network.paths_between(sources, targets)
        for path, forward in chosen:
            self._fault(step, path, forward, True)

        def back() -> None:
            for path, forward in chosen:
                self._fault(step, path, forward, False)

        return back

    def _fault(self, step: Step, path: NetworkPath, forward: bool, on: bool) -> None:
        ways = [path.forward, path.backward] if step.both else [path.forward if forward else path.backward]
        if step.do == "heal":
            path.refusing = path.queue_full = path.silent = False
            for way in (path.forward, path.backward):
                way.heal()
        elif step.do == "refuse":
            path.refusing = on
        elif step.do == "full":
            path.queue_full = on
        elif step.do == "reset":
            for link in list(path.connections):
                link.reset()
        for way in ways:
            if step.do in ("cut", "silent"):
                way.held = on
            elif step.do == "delay":
                way.delay_ms = step.ms if on else 0.0
            elif step.do == "loss":
                way.loss = step.share if on else 0.0
        if step.do in ("trickle", "half"):  # of what the target answers
            _limit_answers(path.backward if forward else path.forward, step, on)
        if step.do == "silent":
            path.silent = on
        path.apply_faults()
        if path.name[1] == "register":
            self._note_reach([path.name[0]])


def play(
    script: TestPlan,
    folder: Path | None = None,
    events: Path | None = None,
    source: Path | None = None,
) -> Verdict:
    """Play a script in a folder, or in one that is deleted afterwards; raises ``OSError``."""
    where = folder or Path(tempfile.mkdtemp(prefix="heronlug-rig-"))
    try:
        return asyncio.run(_play(script, where, events, source))
    finally:
        if folder is None:
            shutil.rmtree(where, ignore_errors=True)


async def _play(script: TestPlan, folder: Path, events: Path | None, source: Path | None) -> Verdict:
    return await FaultHarness(script, folder, events, source).play()


def _wait(process: Process) -> None:
    if process.child is not None:
        try:
            process.child.wait(STOP_WITHIN)
        except subprocess.TimeoutExpired:
            process.child.kill()
            process.child.wait()


def _limit_answers(direction: Direction, step: Step, on: bool) -> None:
    """Bound what the target answers: by its rate, or by the bytes of each connection after which it is reset."""
    limit = step.bytes if on else 0
    if step.do == "trickle":
        direction.bytes_per_second = limit
    else:
        direction.reset_after_bytes = limit

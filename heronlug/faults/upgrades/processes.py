"""Starts, upgrades and ends the processes of one dispatcher."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from pathlib import Path
from typing import Any

import orjson

from heronlug.conformance.process_logs import ProcessLog
from heronlug.faults.log_file import read_log
from heronlug.faults.upgrades.plan import Moment, Pause, SuccessorFault, Upgrade
from heronlug.standins.ports import process_start_lock

LIMITED_EXEC = ("/bin/sh", "-c", 'ulimit -n "$0"; exec "$@"')
"""Command prefix that limits the number of file descriptors of the process, as the platform does."""
CLOCK_SHIM = """\
import time

_unix_ns = time.time_ns
time.time_ns = lambda: _unix_ns() + {step_ns}
"""
"""Module that Python imports at its start, in which the wall clock has been stepped; the log keeps the real time."""
KILL_AFTER_S = 3.7
"""Earliest SIGKILL after SIGTERM, in seconds: the longest deadline, counted as 3 s at most, plus 0.7 s."""
POLL_S = 0.005
"""Seconds between two checks of a condition."""
READY_WITHIN_S = 20.0
"""Maximum seconds until a new process is ready, beside a busy machine."""
STOPPED_FOR_S = 2.0
"""Seconds after which a stopped successor is killed."""


@dataclass
class RunningProcess:
    """A process of the dispatcher.

    Attributes:
        number: Number of the process in the order of starts, from 0.
        child: The process.
        log_path: File with its log.
        started_at: Unix time of the start, in seconds.
        term_at: Unix time of SIGTERM, in seconds; 0 before.
        killed: Whether a fault of the plan kills the process.
        killed_at: Unix time at which it was killed, in seconds; 0 before.
        killed_at_grace_end: Whether the process was still running when the platform's time to stop was over.
    """

    number: int
    child: subprocess.Popen[bytes]
    log_path: Path
    started_at: float
    term_at: float = 0.0
    killed: bool = False
    killed_at: float = 0.0
    killed_at_grace_end: bool = False

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.child.poll() is None

    @cached_property
    def events(self) -> list[dict[str, Any]]:
        """All complete lines of the log of the process, which has ended."""
        return read_log(self.log_path)

    def other_lines(self) -> list[str]:
        """Returns the lines of the log that are no events, such as a traceback."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if line and not line.startswith("{")]

    def has_logged(self, event: str) -> bool:
        """Returns whether the log has an event with this name."""
        return f'"event":"{event}"'.encode() in self.log_path.read_bytes()

    def as_log(self) -> ProcessLog:
        """Returns the log for the checker."""
        return ProcessLog(f"process {self.number}", self.events, self.killed)


@dataclass
class UpgradedDispatcher:
    """The processes of one dispatcher, of which at most one serves new clients.

    Attributes:
        folder: Folder for configuration and logs.
        configuration: The platform's configuration.
        sources: Folders of the versions of the program that the processes run in turn; None stands for this version.
        single_core: Whether all processes run on one core.
        clock_steps_s: Steps of the wall clock before the starts of the processes, in turn, in seconds.
        log_level: Level of the log of the processes.
        processes: All processes in the order of their starts.
        failures: What went wrong with the processes themselves.
    """

    folder: Path
    configuration: dict[str, Any]
    sources: tuple[Path | None, ...] = (None,)
    single_core: bool = False
    clock_steps_s: tuple[int, ...] = (0,)
    log_level: str = "debug"
    processes: list[RunningProcess] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> RunningProcess:
        """Starts a process and waits until it serves.

        Raises:
            TimeoutError: if the process does not serve in time.
        """
        process = self._start()
        await _until(lambda: process.has_logged("started"), READY_WITHIN_S, f"process {process.number} serves")
        return process

    async def upgrade(self, upgrade: Upgrade) -> None:
        """Starts a process beside the one that serves, which gets SIGTERM once the new one serves.

        With a fault, the new process fails at its moment; a later upgrade then replaces the predecessor.
        """
        predecessor = self._serving()
        if predecessor is None:
            self.failures.append("no process is left that could be replaced")
            await self.start()
            return
        successor = self._start()
        faulty = upgrade.fault is not SuccessorFault.NONE
        if faulty and upgrade.moment is Moment.STARTING:
            await self._break(successor, upgrade.fault)
            return
        await _until(
            lambda: successor.has_logged("started") or not successor.running,
            READY_WITHIN_S,
            f"process {successor.number} serves",
        )
        if faulty and upgrade.moment is Moment.SERVING:
            await asyncio.sleep(upgrade.term_after_s)
            await self._break(successor, upgrade.fault)
            return
        await asyncio.sleep(upgrade.term_after_s)
        self.terminate(predecessor, upgrade.signals)
        if faulty:
            await asyncio.sleep(upgrade.term_after_s / 10)
            await self._break(successor, upgrade.fault)
            await self.start()

    def reload(self) -> None:
        """Sends SIGHUP to all processes that serve; an earlier SIGHUP would end a process, as no shell ignores it."""
        for process in self.processes:
            if process.running and process.has_logged("started"):
                process.child.send_signal(signal.SIGHUP)

    async def pause(self, pause: Pause) -> None:
        """Stops processes for a while, except those that a fault of the plan stops or kills."""
        running = [process for process in self.processes if process.running and not process.killed]
        paused = running[-1:] if pause.latest_only else running
        for process in paused:
            process.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause.length_s)
        for process in paused:
            if not process.killed:
                process.child.send_signal(signal.SIGCONT)

    def terminate(self, process: RunningProcess, signals: int = 1) -> None:
        """Sends SIGTERM to a process, and SIGKILL at the earliest time that the platform allows."""
        process.term_at = time.time()
        for _ in range(signals):
            process.child.send_signal(signal.SIGTERM)
        task = asyncio.get_running_loop().create_task(self._kill_at_grace_end(process))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Ends the process that serves, and waits until all processes have ended."""
        for process in self.processes:
            if process.running and not process.term_at:
                self.terminate(process)
        while any(process.running for process in self.processes):
            await asyncio.sleep(POLL_S)
        for process in self.processes:
            status = process.child.returncode
            if status and not process.killed and not process.killed_at_grace_end:
                self.failures.append(f"process {process.number} ended with status {status}")
            self.failures += [f"process {process.number}: {line}" for line in process.other_lines()[:5]]

    def close(self) -> None:
        """Kills the processes that are still running."""
        for process in self.processes:
            if process.running:
                process.child.kill()
                process.child.wait()

    def running_pids(self) -> list[int]:
        """Returns the ids of the running processes."""
        return [process.child.pid for process in self.processes if process.running]

    def _serving(self) -> RunningProcess | None:
        """Returns the latest process that has not been told to stop; None if there is none."""
        running = (process for process in reversed(self.processes) if process.running and not process.term_at)
        return next(running, None)

    def _start(self) -> RunningProcess:
        number = len(self.processes)
        log_path = self.folder / f"process-{number}.log"
        source = self.sources[number % len(self.sources)]
        sockets = self.configuration["limits"]["sockets"]
        with log_path.open("wb") as log, process_start_lock:
            child = subprocess.Popen(
                [*LIMITED_EXEC, str(sockets), sys.executable, "-m", "heronlug"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=source,
                env={**os.environ, **self._environment(number)},
            )
        if self.single_core:
            os.sched_setaffinity(child.pid, {min(os.sched_getaffinity(0))})
        self.processes.append(RunningProcess(number, child, log_path, time.time()))
        return self.processes[-1]

    def _environment(self, number: int) -> dict[str, str]:
        """Writes the files of a process and returns its environment."""
        config, state = self.folder / "config.json", self.folder / "state.toml"
        config.write_bytes(orjson.dumps(self.configuration))
        state.write_text(f'log_level = "{self.log_level}"\n')
        return {
            "RELAY_CONFIG": str(config),
            "HERONLUG_STATE": str(state),
            "HERONLUG_CONTROL": str(self.folder / f"control-{number}"),
            "TMPDIR": str(self.folder),
            **self._clock_environment(number),
        }

    def _clock_environment(self, number: int) -> dict[str, str]:
        """Returns the environment in which the program sees a wall clock that was stepped before its start."""
        step_s = sum(self.clock_steps_s[each % len(self.clock_steps_s)] for each in range(number + 1))
        if not step_s:
            return {}
        shim = self.folder / f"clock-{number}"
        shim.mkdir(exist_ok=True)
        (shim / "sitecustomize.py").write_text(CLOCK_SHIM.format(step_ns=step_s * 10**9))
        return {"PYTHONPATH": str(shim)}

    async def _break(self, process: RunningProcess, fault: SuccessorFault) -> None:
        process.killed = True
        if fault is SuccessorFault.STOPPED:
            process.child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(STOPPED_FOR_S)
        process.killed_at = time.time()
        process.child.kill()
        await asyncio.to_thread(process.child.wait)

    async def _kill_at_grace_end(self, process: RunningProcess) -> None:
        end = process.term_at + KILL_AFTER_S
        while process.running and time.time() < end:
            await asyncio.sleep(POLL_S)
        if process.running:
            process.killed_at_grace_end = True
            process.child.kill()
            await asyncio.to_thread(process.child.wait)


async def _until(condition: Callable[[], bool], seconds: float, description: str) -> None:
    """Waits for a condition; raises ``TimeoutError`` if it does not become true in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            msg = f"never: {description}"
            raise TimeoutError(msg)
        await asyncio.sleep(POLL_S)

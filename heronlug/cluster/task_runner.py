"""Runs periodic tasks: a command, or the deletion of old files.

:mod:`heronlug.cluster.periodic_tasks` decides when one runs.
"""

import asyncio
import os
import time
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

from heronlug.cluster.model import FencingToken
from heronlug.cluster.periodic_tasks import PeriodicTask, TaskSchedule
from heronlug.requests.deadlines import Deadlines, Key

TaskFunction = Callable[
    [str, FencingToken], Awaitable[int]
]  # one run, returns its status, 0 for well; cancelled when it is late
FILES_PER_SLICE = 256  # files looked at before somebody else has the thread


def task_function(table: dict[str, Any], log: Callable[..., None]) -> TaskFunction:
    """What a ``[[cluster.duty]]`` calls for."""
    if table.get("sweep"):
        return partial(_sweep, table["sweep"], log)
    return partial(_command, list(table["command"]))


async def _command(words: list[str], name: str, fence: FencingToken) -> int:
    """Run a command under our fence; it is killed when this is cancelled.  Raises ``OSError``."""
    environ = {**os.environ, "HERONLUG_DUTY": name, "HERONLUG_FENCE": f"{fence.number}.{fence.owner}"}
    program: Process | None = None
    try:
        program = await asyncio.create_subprocess_exec(
            *words, env=environ, stdin=DEVNULL, stdout=DEVNULL, stderr=DEVNULL
        )
        return await program.wait()
    finally:
        if program is not None and program.returncode is None:
            program.kill()
            await program.wait()


async def _sweep(table: dict[str, Any], log: Callable[..., None], name: str, fence: FencingToken) -> int:
    """Delete files of a folder that are older than they may be; links and folders stay.  Raises ``OSError``."""
    before = time.time() - table["keep_s"]
    swept, kept = await asyncio.to_thread(_sweep_folder, Path(table["folder"]), table["pattern"], before)
    if swept or kept:
        log("swept", duty=name, files=swept, failed=kept)
    return 1 if kept else 0


def _sweep_folder(folder: Path, pattern: str, before: float) -> tuple[int, int]:
    """How many were deleted, and how many that are old could not be."""
    swept = kept = 0
    for number, path in enumerate(sorted(folder.glob(pattern))):
        if number % FILES_PER_SLICE == FILES_PER_SLICE - 1:
            time.sleep(0.001)
        try:
            status = path.lstat()
            if path.is_symlink() or not path.is_file() or status.st_mtime >= before:
                continue
            path.unlink()
            swept += 1
        except FileNotFoundError:
            continue  # somebody else was quicker
        except OSError:
            kept += 1
    return swept, kept


class TaskRunner:
    """The periodic duties of this member."""

    def __init__(
        self,
        tables: list[dict[str, Any]],
        may_act: Callable[[str, float], FencingToken | None],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        """``tables`` as :mod:`heronlug.cluster.schema` reads ``[[cluster.duty]]``."""
        self._works = {table["name"]: task_function(table, log) for table in tables}
        self.schedule = TaskSchedule.of(
            [
                PeriodicTask(
                    table["name"], table["every_s"] * 1000, table["jitter_s"] * 1000, table["longest_s"] * 1000
                )
                for table in tables
            ]
        )
        self._may_act, self._deadlines, self._log, self._turn = may_act, deadlines, log, turn
        self._due: Key | None = None
        self._tasks: dict[str, asyncio.Task[int]] = {}

    @property
    def names(self) -> list[str]:
        """The duties' names."""
        return list(self._works)

    def gained(self, name: str, fence: FencingToken) -> None:
        """It is ours."""
        self.schedule.gained(name, fence, self._deadlines.clock())
        self._plan()

    def lost(self, name: str) -> None:
        """It is not ours any more: a run is ended."""
        if self.schedule.lost(name) and name in self._tasks:
            self._tasks[name].cancel()

    async def close(self) -> None:
        """Begin nothing more, and end what runs."""
        self._deadlines.cancel(self._due)
        for name in self.names:
            self.schedule.lost(name)
        tasks = [*self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _plan(self) -> None:
        """Begin what is due, end what takes too long, and come again for the next."""
        now = self._deadlines.clock()
        for name in self.schedule.overdue(now):
            if name in self._tasks:
                self._tasks[name].cancel()
        for name, fence in self.schedule.start_due(now):
            task = self._tasks[name] = asyncio.get_running_loop().create_task(self._run(name, fence))
            task.add_done_callback(partial(self._ended, name))
        self._deadlines.cancel(self._due)
        when = self.schedule.next_wake()
        self._due = self._deadlines.call_at(max(when, now + 10.0), self._plan) if when < float("inf") else None

    async def _run(self, name: str, fence: FencingToken) -> int:
        """One run under our fence."""
        if self._may_act(name, self._deadlines.clock()) != fence:
            return -1
        try:
            return await self._works[name](name, fence)
        except OSError as error:
            self._log("duty_failed", duty=name, error=str(error))
            return -1

    def _ended(self, name: str, task: "asyncio.Task[int]") -> None:
        """A run is over, also one that was ended before it had begun: the next may begin."""
        if self._tasks.get(name) is task:
            del self._tasks[name]
        status = None if task.cancelled() or task.exception() is not None else task.result()
        if status != 0:
            self._log("duty_failed", duty=name, status=status)
        self.schedule.finished(name, self._deadlines.clock(), status == 0)
        self._plan()
        self._turn()

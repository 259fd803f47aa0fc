"""Runs periodic tasks: a command, or the deletion of old files.

:mod:`heronlug.cluster.periodic_tasks` decides when a task runs.
"""

import asyncio
import os
import time
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from heronlug.cluster.model import FencingToken
from heronlug.cluster.periodic_tasks import PeriodicTask, TaskSchedule
from heronlug.requests.deadlines import Deadlines, Key

TaskFunction = Callable[[str, FencingToken], Awaitable[int]]
"""One run of a task under a token; returns its exit status, 0 for success, and is cancelled at its timeout."""

FILES_PER_SLICE = 256
"""Files that are looked at before another thread gets its turn."""

SLICE_PAUSE_S = 0.001
"""The pause after each slice, in seconds."""

MIN_PLAN_DELAY_MS = 10.0
"""The shortest time until the schedule is looked at again, in milliseconds."""

NOT_RUN = -1
"""The status of a run that could not start, or whose lease was lost before."""


class Deletions(NamedTuple):
    """The result of a deletion of old files."""

    deleted: int
    failed: int
    """Old files that could not be deleted."""


def task_function(table: dict[str, Any], log: Callable[..., None]) -> TaskFunction:
    """What a ``[[cluster.duty]]`` runs."""
    if table.get("sweep"):
        return partial(_delete_old_files, table["sweep"], log)
    return partial(_run_command, list(table["command"]))


async def _run_command(command: list[str], name: str, token: FencingToken) -> int:
    """Run a command, which is killed when this is cancelled; raises ``OSError`` if it cannot start."""
    environment = {**os.environ, "HERONLUG_DUTY": name, "HERONLUG_FENCE": f"{token.number}.{token.owner}"}
    process: Process | None = None
    try:
        process = await asyncio.create_subprocess_exec(
            *command, env=environment, stdin=DEVNULL, stdout=DEVNULL, stderr=DEVNULL
        )
        return await process.wait()
    finally:
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()


async def _delete_old_files(table: dict[str, Any], log: Callable[..., None], name: str, token: FencingToken) -> int:
    """Delete files of a folder that are older than they may be; links and folders stay.  Raises ``OSError``."""
    min_modified_at = time.time() - table["keep_s"]
    result = await asyncio.to_thread(_delete_in_folder, Path(table["folder"]), table["pattern"], min_modified_at)
    if result.deleted or result.failed:
        log("swept", duty=name, files=result.deleted, failed=result.failed)
    return 1 if result.failed else 0


def _delete_in_folder(folder: Path, pattern: str, min_modified_at: float) -> Deletions:
    """Delete the files that match a pattern and were changed before ``min_modified_at``, in Unix seconds."""
    deleted = failed = 0
    for number, path in enumerate(sorted(folder.glob(pattern))):
        if number % FILES_PER_SLICE == FILES_PER_SLICE - 1:
            time.sleep(SLICE_PAUSE_S)
        try:
            status = path.lstat()
            if path.is_symlink() or not path.is_file() or status.st_mtime >= min_modified_at:
                continue
            path.unlink()
            deleted += 1
        except FileNotFoundError:
            continue  # another process has deleted it
        except OSError:
            failed += 1
    return Deletions(deleted, failed)


class TaskRunner:
    """The periodic tasks of this member.

    Attributes:
        schedule: Decides which tasks run when.
    """

    def __init__(
        self,
        tables: list[dict[str, Any]],
        may_act: Callable[[str, float], FencingToken | None],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        """Create a runner that holds no lease yet.

        Args:
            tables: ``[[cluster.duty]]`` as :mod:`heronlug.config.cluster_section` reads it.
            may_act: The token under which this member may run a task at a time.
            deadlines: The timers of this process.
            log: Writes a log event with its fields.
            turn: Is called after each run.
        """
        self._functions = {table["name"]: task_function(table, log) for table in tables}
        self.schedule = TaskSchedule.of([_periodic_task(table) for table in tables])
        self._may_act = may_act
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        self._plan_timer: Key | None = None
        self._runs: dict[str, asyncio.Task[int]] = {}

    @property
    def names(self) -> list[str]:
        """The names of the tasks, which are those of their leases."""
        return list(self._functions)

    def on_lease_gained(self, name: str, token: FencingToken) -> None:
        """This member has gained the lease of a task."""
        self.schedule.on_lease_gained(name, token, self._deadlines.clock())
        self._plan()

    def on_lease_lost(self, name: str) -> None:
        """This member has lost the lease of a task: a run is ended."""
        if self.schedule.on_lease_lost(name) and name in self._runs:
            self._runs[name].cancel()

    async def close(self) -> None:
        """Start no more runs, and end those that go on."""
        self._deadlines.cancel(self._plan_timer)
        for name in self.names:
            self.schedule.on_lease_lost(name)
        runs = [*self._runs.values()]
        for run in runs:
            run.cancel()
        await asyncio.gather(*runs, return_exceptions=True)

    def _plan(self) -> None:
        """Start what is due, end what has reached its timeout, and set the timer for the next."""
        now = self._deadlines.clock()
        for name in self.schedule.timed_out(now):
            if name in self._runs:
                self._runs[name].cancel()
        for start in self.schedule.start_due(now):
            run = asyncio.get_running_loop().create_task(self._run(start.name, start.token))
            self._runs[start.name] = run
            run.add_done_callback(partial(self._on_run_ended, start.name))
        self._deadlines.cancel(self._plan_timer)
        self._plan_timer = None
        next_wake = self.schedule.next_wake()
        if next_wake < inf:
            self._plan_timer = self._deadlines.call_at(max(next_wake, now + MIN_PLAN_DELAY_MS), self._plan)

    async def _run(self, name: str, token: FencingToken) -> int:
        """One run, if the lease still holds."""
        if self._may_act(name, self._deadlines.clock()) != token:
            return NOT_RUN
        try:
            return await self._functions[name](name, token)
        except OSError as error:
            self._log("duty_failed", duty=name, error=str(error))
            return NOT_RUN

    def _on_run_ended(self, name: str, run: "asyncio.Task[int]") -> None:
        """A run has ended, perhaps before it has started: the next one may start."""
        if self._runs.get(name) is run:
            del self._runs[name]
        status = None if run.cancelled() or run.exception() is not None else run.result()
        if status != 0:
            self._log("duty_failed", duty=name, status=status)
        self.schedule.on_run_ended(name, self._deadlines.clock(), status == 0)
        self._plan()
        self._turn()


def _periodic_task(table: dict[str, Any]) -> PeriodicTask:
    """The task of a ``[[cluster.duty]]``, whose times are seconds."""
    return PeriodicTask(
        table["name"], table["every_s"] * 1000, table["jitter_s"] * 1000, timeout=table["longest_s"] * 1000
    )

"""Runs periodic tasks: commands and the deletion of old files.

:mod:`heronlug.cluster.periodic_tasks` decides when a task runs.
"""

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from heronlug.cluster.model import FencingToken
from heronlug.cluster.periodic_tasks import PeriodicTask, TaskSchedule
from heronlug.cluster.supervised_command import run_command
from heronlug.requests.deadlines import Deadlines, Key

TaskFunction = Callable[[str, FencingToken], Awaitable[int]]
"""Runs a task once under a fencing token and returns the exit status, 0 for success; is cancelled at the timeout."""

FILES_PER_SLICE = 256
"""Number of files examined between two pauses, which let other threads run."""

SLICE_PAUSE_S = 0.001
"""Duration of the pause after ``FILES_PER_SLICE`` files, in seconds."""

MIN_PLAN_DELAY_MS = 10.0
"""Minimum delay before the schedule is searched for due runs again, in milliseconds."""

NOT_RUN = -1
"""The status of a run that could not start, or whose lease was lost before its start."""


class Deletions(NamedTuple):
    """The result of a deletion of old files.

    Attributes:
        deleted: Number of deleted files.
        failed: Number of old files that could not be deleted.
    """

    deleted: int
    failed: int


def task_function(table: dict[str, Any], log: Callable[..., None]) -> TaskFunction:
    """Returns the function that runs the task of a table ``[[cluster.duty]]``."""
    if table.get("sweep"):
        return partial(_delete_old_files, table["sweep"], log)
    return partial(_run_command, list(table["command"]))


async def _run_command(command: list[str], name: str, token: FencingToken) -> int:
    """Runs a command under a fencing token and returns its exit status.

    Raises:
        OSError: If the command cannot be started.
    """
    environment = {**os.environ, "HERONLUG_DUTY": name, "HERONLUG_FENCE": f"{token.number}.{token.owner}"}
    return await run_command(command, environment)


async def _delete_old_files(table: dict[str, Any], log: Callable[..., None], name: str, token: FencingToken) -> int:
    """Deletes the files of a folder whose age exceeds ``keep_s`` seconds; symbolic links and subfolders stay.

    Returns:
        0 if every old file was deleted, otherwise 1.

    Raises:
        OSError: If the folder cannot be read.
    """
    min_modified_at = time.time() - table["keep_s"]
    result = await asyncio.to_thread(_delete_in_folder, Path(table["folder"]), table["pattern"], min_modified_at)
    if result.deleted or result.failed:
        log("swept", duty=name, files=result.deleted, failed=result.failed)
    return 1 if result.failed else 0


def _delete_in_folder(folder: Path, pattern: str, min_modified_at: float) -> Deletions:
    """Deletes the files that match a pattern and were last modified before ``min_modified_at``, in Unix seconds."""
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
            continue  # another process has deleted the file
        except OSError:
            failed += 1
    return Deletions(deleted, failed)


class TaskRunner:
    """Runs the periodic tasks whose leases this member holds.

    Attributes:
        schedule: Decides when each task runs.
    """

    def __init__(
        self,
        tables: list[dict[str, Any]],
        may_act: Callable[[str, float], FencingToken | None],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        """Creates a runner that holds no lease.

        Args:
            tables: The tables ``[[cluster.duty]]`` as read by :mod:`heronlug.config.cluster_section`.
            may_act: Returns the token under which this member may run a task at a given time, or None.
            deadlines: The clock and timers, in milliseconds.
            log: Writes log events.
            turn: Runs pending work of the dispatcher; called after each run.
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
        """Returns the names of the tasks, which are also the names of their leases."""
        return list(self._functions)

    def on_lease_gained(self, name: str, token: FencingToken) -> None:
        """Starts scheduling a task whose lease this member has gained."""
        self.schedule.on_lease_gained(name, token, self._deadlines.clock())
        self._plan()

    def on_lease_lost(self, name: str) -> None:
        """Stops scheduling a task whose lease this member has lost, and cancels its run."""
        if self.schedule.on_lease_lost(name) and name in self._runs:
            self._runs[name].cancel()

    async def close(self) -> None:
        """Stops scheduling all tasks and cancels their runs."""
        self._deadlines.cancel(self._plan_timer)
        for name in self.names:
            self.schedule.on_lease_lost(name)
        runs = [*self._runs.values()]
        for run in runs:
            run.cancel()
        await asyncio.gather(*runs, return_exceptions=True)

    def _plan(self) -> None:
        """Starts due runs, cancels runs that have reached their timeout and sets the timer for the next check."""
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
        """Runs a task once if this member holds the lease under ``token``; returns the exit status or ``NOT_RUN``."""
        if self._may_act(name, self._deadlines.clock()) != token:
            return NOT_RUN
        try:
            return await self._functions[name](name, token)
        except OSError as error:
            self._log("duty_failed", duty=name, error=str(error))
            return NOT_RUN

    def _on_run_ended(self, name: str, run: "asyncio.Task[int]") -> None:
        """Records the end of a run, which may have been cancelled before its start, and plans the next run."""
        if self._runs.get(name) is run:
            del self._runs[name]
        status = None if run.cancelled() or run.exception() is not None else run.result()
        if status != 0:
            self._log("duty_failed", duty=name, status=status)
        self.schedule.on_run_ended(name, self._deadlines.clock(), status == 0)
        self._plan()
        self._turn()


def _periodic_task(table: dict[str, Any]) -> PeriodicTask:
    """Returns the task of a table ``[[cluster.duty]]``, whose times are in seconds."""
    return PeriodicTask(
        table["name"], table["every_s"] * 1000, table["jitter_s"] * 1000, timeout=table["longest_s"] * 1000
    )

"""Runs the background tasks of a run and collects their failures."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Tasks that end with the run; an exception in a task is a failure of the harness, not of the program under test.

    Attributes:
        failures: failures of the run itself, one line each.
    """

    def __init__(self) -> None:
        self.failures: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None]) -> "asyncio.Task[None]":
        """Runs a coroutine until it or the run ends; returns its task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._record_failure)
        return task

    def close(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    def _record_failure(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.failures.append(f"fault harness: background task failed: {error!r}")

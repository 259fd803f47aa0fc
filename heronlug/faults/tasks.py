"""Background tasks of a run, with one owner."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Tasks that end with the run; what fails in one of them is a failure of the harness, not of the program.

    Attributes:
        failures: what went wrong in the run itself, a line each.
    """

    def __init__(self) -> None:
        self.failures: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None]) -> "asyncio.Task[None]":
        """Run a coroutine until it ends or the run does."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._record_failure)
        return task

    def close(self) -> None:
        """Cancel all of them."""
        for task in self._tasks:
            task.cancel()

    def _record_failure(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.failures.append(f"the rig: {error!r}")

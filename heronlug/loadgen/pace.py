"""The clock of a load run: each job is given out when it is due, whatever became of those before it."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable

from heronlug.loadgen.plan import PlannedRequest
from heronlug.loadgen.tally import Tally

LATE_START_MS = 10.0  # ms that the tool itself may be late with a job


class OpenLoopPacer:
    """The base of both loads: their time, and when the last job's has passed."""

    def __init__(self, tallies: dict[str, Tally], seconds: float) -> None:
        """``seconds`` bounds the whole, beside the plan's own end."""
        self.tallies, self._span_ms = tallies, seconds * 1000
        self._started_at = time.monotonic()
        self._last_deadline = 0.0  # the latest deadline of a job that was given out

    def now(self) -> float:
        """Milliseconds since the start."""
        return (time.monotonic() - self._started_at) * 1000

    def is_over(self) -> bool:
        """Whether no answer can come any more."""
        return self.now() >= self._last_deadline + 1000

    async def due(self, plan: Iterable[PlannedRequest]) -> AsyncIterator[PlannedRequest]:
        """Begin now, and give each job out when it is due."""
        self._started_at = time.monotonic()
        for request in plan:
            if request.due_at > self._span_ms:
                return
            while (wait := request.due_at - self.now()) > 0.5:
                await asyncio.sleep(wait / 1000)
            self._last_deadline = max(self._last_deadline, request.due_at + request.request_class.deadline_ms)
            self.tallies[request.request_class.name].started_late += self.now() - request.due_at > LATE_START_MS
            yield request

"""Paces an open loop: yields each request when it is due, whatever the outcome of earlier requests."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable

from heronlug.loadgen.plan import PlannedRequest
from heronlug.loadgen.tally import Tally

LATE_START_MS = 10.0
"""Delay in ms above which a request counts as started late by the load generator itself."""


class OpenLoopPacer:
    """Base class of the load generators over HTTP and Faktory: clock, due times and end of the run.

    Attributes:
        tallies: tallies by the name of the request class.
    """

    def __init__(self, tallies: dict[str, Tally], seconds: float) -> None:
        """Creates a pacer.

        Args:
            tallies: tallies by the name of the request class.
            seconds: time in seconds after which no further request is due, even if the plan has more.
        """
        self.tallies, self._span_ms = tallies, seconds * 1000
        self._started_at = time.monotonic()
        self._last_deadline = 0.0  # latest deadline of all yielded requests, in ms

    def now(self) -> float:
        """Returns the time since the start of the run in ms."""
        return (time.monotonic() - self._started_at) * 1000

    def is_over(self) -> bool:
        """Returns whether the deadlines of all yielded requests passed at least a second ago."""
        return self.now() >= self._last_deadline + 1000

    async def due(self, plan: Iterable[PlannedRequest]) -> AsyncIterator[PlannedRequest]:
        """Starts the clock and yields each request when it is due."""
        self._started_at = time.monotonic()
        for request in plan:
            if request.due_at > self._span_ms:
                return
            while (wait := request.due_at - self.now()) > 0.5:
                await asyncio.sleep(wait / 1000)
            self._last_deadline = max(self._last_deadline, request.due_at + request.request_class.deadline_ms)
            self.tallies[request.request_class.name].started_late += self.now() - request.due_at > LATE_START_MS
            yield request

"""The clock of a load run: each job is given out when it is due, whatever became of those before it."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable

from heronlug.loadgen.plan import Due
from heronlug.loadgen.tally import Tally

LATE = 10.0  # ms that the tool itself may be late with a job


class Pace:
    """The base of both loads: their time, and when the last job's has passed."""

    def __init__(self, tallies: dict[str, Tally], seconds: float) -> None:
        """``seconds`` bounds the whole, beside the plan's own end."""
        self.tallies, self._most = tallies, seconds * 1000
        self._began = time.monotonic()
        self._longest = 0.0  # the latest deadline of a job that was given out

    def now(self) -> float:
        """Milliseconds since the start."""
        return (time.monotonic() - self._began) * 1000

    def over(self) -> bool:
        """Whether no answer can come any more."""
        return self.now() >= self._longest + 1000

    async def due(self, plan: Iterable[Due]) -> AsyncIterator[Due]:
        """Begin now, and give each job out when it is due."""
        self._began = time.monotonic()
        for each in plan:
            if each.at > self._most:
                return
            while (wait := each.at - self.now()) > 0.5:
                await asyncio.sleep(wait / 1000)
            self._longest = max(self._longest, each.at + each.lane.deadline_ms)
            self.tallies[each.lane.name].late_begun += self.now() - each.at > LATE
            yield each

"""Records the events of a run in order, as clients, servers and service discovery observe them."""

import time
from pathlib import Path
from typing import NamedTuple

from heronlug.conformance import Checker, Event, write


class StepDelay(NamedTuple):
    """How late a step was applied.

    Attributes:
        planned_s: planned time of the step, in seconds since the start of the run.
        delay_s: seconds between the planned time and the time at which the step was applied.
    """

    planned_s: float
    delay_s: float


class History:
    """Passes each event to the conformance checker and, if a path is given, writes the event to a file.

    Attributes:
        checker: conformance checker that receives each event.
        steps: applied steps, each with its milliseconds since the start of the run, for the printed report.
        delays: delay of each applied step.
        began_at_ms: start of the run in Unix milliseconds.
    """

    def __init__(self, checker: Checker, path: Path | None = None) -> None:
        self.checker = checker
        self.steps: list[tuple[float, str]] = []
        self.delays: list[StepDelay] = []
        self.began_at_ms = time.time() * 1000
        self._offset = time.time_ns() - time.monotonic_ns()
        self._file = path.open("wb") if path is not None else None

    def now(self) -> float:
        """Returns the current Unix time in milliseconds; the value never decreases."""
        return (time.monotonic_ns() + self._offset) / 1e6

    def elapsed_s(self) -> float:
        """Returns the seconds since the run began."""
        return (self.now() - self.began_at_ms) / 1000

    def record(self, event: Event) -> None:
        """Records an event."""
        self.checker.see(event)
        if self._file is not None:
            self._file.write(write(event))

    def record_step(self, title: str) -> None:
        """Records a step of the test plan that has been applied or reverted."""
        self.steps.append((self.now() - self.began_at_ms, title))

    def record_delay(self, planned_s: float) -> None:
        """Records that a step is applied now that was planned for ``planned_s`` seconds after the start of the run."""
        self.delays.append(StepDelay(planned_s, max(0.0, self.elapsed_s() - planned_s)))

    def delay_at(self, planned_s: float) -> float:
        """Returns the delay in seconds of the last step planned at or before a time of the run; 0 without one."""
        earlier = [delay for delay in self.delays if delay.planned_s <= planned_s]
        return max(earlier, default=StepDelay(0.0, 0.0)).delay_s

    def close(self) -> None:
        """Closes the file of events, if there is one."""
        if self._file is not None:
            self._file.close()
            self._file = None

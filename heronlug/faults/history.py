"""What happened, in order, from outside the program: what clients, runners and the register saw of it."""

import time
from pathlib import Path

from heronlug.conformance import Checker, Event, write


class History:
    """Events as they come, to the checker and, if wanted, to a file.  Times are Unix milliseconds."""

    def __init__(self, checker: Checker, path: Path | None = None) -> None:
        self.checker = checker
        self.steps: list[tuple[float, str]] = []  # what the script did, for people
        self.began_at_ms = time.time() * 1000
        self._offset = time.time_ns() - time.monotonic_ns()
        self._file = path.open("wb") if path is not None else None

    def now(self) -> float:
        """Unix milliseconds that only go forward."""
        return (time.monotonic_ns() + self._offset) / 1e6

    def elapsed_s(self) -> float:
        """Seconds since the run began."""
        return (self.now() - self.began_at_ms) / 1000

    def record(self, event: Event) -> None:
        """One event."""
        self.checker.see(event)
        if self._file is not None:
            self._file.write(write(event))

    def record_step(self, title: str) -> None:
        """The script has done something."""
        self.steps.append((self.now() - self.began_at_ms, title))

    def close(self) -> None:
        """No more."""
        if self._file is not None:
            self._file.close()
            self._file = None

"""Spreads work over iterations of the event loop, so that one connection cannot delay the others for long."""

import asyncio
import time
from collections.abc import Callable, Hashable

WORK_PER_TURN_S = 0.002
"""Time in which postponed work is started in one iteration of the event loop, in seconds."""


class TurnQueue:
    """Postponed work of connections, done in turn."""

    def __init__(self) -> None:
        """Creates a queue without work."""
        self._work: dict[Hashable, Callable[[], None]] = {}
        self._scheduled = False

    def __len__(self) -> int:
        return len(self._work)

    def add(self, owner: Hashable, work: Callable[[], None]) -> None:
        """Does work in a later iteration of the event loop; does nothing if this owner's work waits already."""
        self._work.setdefault(owner, work)
        self._schedule()

    def remove(self, owner: Hashable) -> None:
        """Drops the work of an owner."""
        self._work.pop(owner, None)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Does the work that waits now, as far as the time of this iteration goes; the rest keeps its order."""
        self._scheduled = False
        end = time.monotonic() + WORK_PER_TURN_S
        for owner in list(self._work):
            work = self._work.pop(owner, None)
            if work is not None:  # dropped by the work of another owner
                work()
            if time.monotonic() >= end:
                break
        if self._work:
            self._schedule()

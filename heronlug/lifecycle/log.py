"""The log: one JSON line for each event, written by a thread of its own so that a full pipe never blocks the loop."""

import os
import threading
import time
from collections import deque

import orjson

from heronlug.config.log_levels import LEVELS

DEFAULT_LEVEL = LEVELS["info"]
"""Level of the events that :data:`EVENT_LEVELS` doesn't name."""
EVENT_LEVELS = {
    "taken": LEVELS["debug"],
    "client_gone": LEVELS["debug"],
    "exception": LEVELS["warning"],
    "overdue": LEVELS["warning"],
    "inventory_failed": LEVELS["warning"],
    "too_many_clients": LEVELS["warning"],
    "too_many_connections": LEVELS["warning"],
    "hook_disabled": LEVELS["warning"],
    "reload_failed": LEVELS["warning"],
    "bad_host": LEVELS["warning"],
    "slow_event": LEVELS["warning"],
    "late_turn": LEVELS["warning"],
    "accept_failed": LEVELS["warning"],
}
"""Levels of events by their name."""
MAX_BUFFERED_LINES = 4096
"""Lines kept while the reader is slow; more are counted and dropped."""
LINES_PER_WRITE = 64
"""Lines that are written at once at most."""
CLOSE_TIMEOUT_S = 0.5
"""How long closing waits for the reader, in seconds."""


class Log:
    """Writes lines to a file descriptor.

    Attributes:
        level: events below this level are not logged.
        dropped: lines dropped since the last one that was kept.
    """

    def __init__(self, descriptor: int = 1, level: str = "info") -> None:
        """Start the thread that writes."""
        self.level = level
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._wake = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def __call__(self, event: str, /, **fields: object) -> None:
        """Log an event with its fields."""
        if EVENT_LEVELS.get(event, DEFAULT_LEVEL) < LEVELS[self.level]:
            return
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped"] = self.dropped
            self.dropped = 0
        line = {"at": round(time.time(), 4), "event": event, **fields}
        self._lines.append(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
        self._wake.set()

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Write the buffered lines, for this many seconds at most."""
        self._closing = True
        self._wake.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                self._write_batch()
            if self._closing:
                return

    def _write_batch(self) -> None:
        count = min(LINES_PER_WRITE, len(self._lines))
        data = b"".join(self._lines.popleft() for _ in range(count))
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:  # the reader has closed the pipe, and nobody can read the rest
            self._lines.clear()

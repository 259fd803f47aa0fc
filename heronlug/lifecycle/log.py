"""Writes the log, one JSON line per event, in a separate thread so that a full pipe never blocks the event loop."""

import os
import signal
import threading
import time
from collections import deque

import orjson

from heronlug.config.log_levels import LEVELS

DEFAULT_LEVEL = LEVELS["info"]
"""Level of the events that are not in :data:`EVENT_LEVELS`."""
EVENT_LEVELS = {
    "taken": LEVELS["debug"],
    "client_gone": LEVELS["debug"],
    "client_adopted": LEVELS["debug"],
    "client_closed": LEVELS["debug"],
    "client_opened": LEVELS["debug"],
    "host_closed": LEVELS["debug"],
    "relay_served": LEVELS["debug"],
    "job_delivered": LEVELS["debug"],
    "job_recovered": LEVELS["debug"],
    "client_dropped": LEVELS["warning"],
    "exception": LEVELS["warning"],
    "job_damaged": LEVELS["warning"],
    "overdue": LEVELS["warning"],
    "inventory_failed": LEVELS["warning"],
    "too_many_clients": LEVELS["warning"],
    "too_many_connections": LEVELS["warning"],
    "hook_disabled": LEVELS["warning"],
    "reload_failed": LEVELS["warning"],
    "bad_host": LEVELS["warning"],
    "slow_event": LEVELS["warning"],
    "late_turn": LEVELS["warning"],
    "memory_near_limit": LEVELS["warning"],
    "accept_failed": LEVELS["warning"],
}
"""Levels of events by the name of the event."""
MAX_BUFFERED_LINES = 4096
"""Maximum number of lines buffered while the reader is slow; further lines are dropped and counted."""
LINES_PER_WRITE = 64
"""Maximum number of lines per write."""
CLOSE_TIMEOUT_S = 0.5
"""Time for which :meth:`Log.close` waits for the reader, in seconds."""


MAX_SHOWN_CHARACTERS = 1000
"""Maximum length of the text that stands for a value that has no JSON."""


class Log:
    """Writes log lines to a file descriptor.

    Attributes:
        level: Name of the lowest level that is logged.
        dropped: Number of lines dropped since the last buffered line.
    """

    def __init__(self, descriptor: int = 1, level: str = "info") -> None:
        """Starts the writing thread; ``descriptor`` 1 is standard output."""
        self.level = level
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._wake = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def __call__(self, event: str, /, **fields: object) -> None:
        """Logs an event with its fields; never raises, whatever the values are."""
        if EVENT_LEVELS.get(event, DEFAULT_LEVEL) < LEVELS[self.level]:
            return
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped"] = self.dropped
            self.dropped = 0
        line = {"at": round(time.time(), 4), "event": event, **fields}
        self._lines.append(_encode(line))
        self._wake.set()

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Writes the buffered lines and stops the thread; waits at most ``timeout_s`` seconds."""
        self._closing = True
        self._wake.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())  # the main thread handles all signals
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
        except OSError:  # the reader has closed the pipe, so no further line can be read
            self._lines.clear()


def _encode(line: dict[str, object]) -> bytes:
    """Returns a line as JSON; a value that has no JSON is replaced by a text."""
    try:
        return _dump(line)
    except Exception:  # no logged value may end its caller, whatever its type does
        return _dump({key: _as_json(value) for key, value in line.items()})


def _dump(value: object) -> bytes:
    return orjson.dumps(value, default=repr, option=orjson.OPT_APPEND_NEWLINE)


def _as_json(value: object) -> object:
    """Returns a value that has JSON: the value itself, or a text that shows it."""
    try:
        _dump(value)
    except Exception:  # as above
        return _shown(value)
    return value


def _shown(value: object) -> str:
    """Returns a text that shows a value; only the name of its type if that fails as well."""
    try:
        return repr(value)[:MAX_SHOWN_CHARACTERS]
    except Exception:  # as above; a RecursionError is possible too
        return f"<{type(value).__name__}>"

"""The log: one JSON line an event, written by a thread of its own so that a full pipe never stops the loop."""

import os
import threading
import time
from collections import deque

import orjson

LEVELS = {"debug": 0, "info": 1, "warning": 2}
LEVEL_OF = {
    "taken": 0,
    "client_gone": 0,
    "exception": 2,
    "overdue": 2,
    "inventory_failed": 2,
    "too_many_clients": 2,
    "too_many_connections": 2,
    "hook_disabled": 2,
    "reload_failed": 2,
    "bad_host": 2,
    "slow_event": 2,
    "late_turn": 2,
    "accept_failed": 2,
}
HELD = 4096  # lines kept while the reader is slow; what comes beyond is counted and dropped


class Log:
    """Lines to a file descriptor."""

    def __init__(self, fd: int = 1, level: str = "info") -> None:
        self.level = level
        self.dropped = 0
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._wake = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def __call__(self, event: str, /, **fields: object) -> None:
        """One event; unknown events are of level info."""
        if LEVEL_OF.get(event, 1) < LEVELS[self.level]:
            return
        if len(self._lines) >= HELD:
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped"], self.dropped = self.dropped, 0
        line = {"at": round(time.time(), 4), "event": event, **fields}
        self._lines.append(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
        self._wake.set()

    def close(self, wait: float = 0.5) -> None:
        """Write out what is held, for so many seconds at most."""
        self._closing = True
        self._wake.set()
        self._thread.join(wait)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                data = b"".join(self._lines.popleft() for _ in range(min(64, len(self._lines))))
                try:
                    while data:
                        data = data[os.write(self._fd, data) :]
                except OSError:  # the reader has gone: so has the log
                    self._lines.clear()
            if self._closing:
                return

"""Stores the cached endpoint list in a file; imported only if the operators' configuration names a cache file."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heronlug.discovery.cache import MAX_CACHE_BYTES, WriteSchedule, decode_cache, encode_cache
from heronlug.net.background import run_in_background
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.interfaces import EventLog


class CacheFile:
    """Reads the cached list at the start of the process, and writes the list in a background thread after changes.

    Attributes:
        path: Path of the cache file.
    """

    def __init__(
        self,
        path: str,
        max_age: float,
        address: Callable[[], str],
        current_list: Callable[[], dict[str, Any]],
        deadlines: Deadlines,
        log: EventLog,
    ) -> None:
        """Creates the cache file without reading or writing.

        Args:
            path: Path of the cache file.
            max_age: Age in ms up to which the cached list may be used.
            address: Returns host and port of service discovery.
            current_list: Returns the current list in the JSON form of service discovery.
            deadlines: Timers for the scheduled writes.
            log: Receives log events.
        """
        self.path = Path(path)
        self._max_age = max_age
        self._address = address
        self._current_list = current_list
        self._deadlines = deadlines
        self._log = log
        self._schedule = WriteSchedule()
        self._write_timer: Key | None = None
        self._write_task: asyncio.Task[None] | None = None

    def load(self) -> dict[str, Any] | None:
        """Returns the cached list in the JSON form of service discovery; None if there is none.

        An unusable file also gives None, and the reason is logged.
        """
        now = self._deadlines.clock()
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_CACHE_BYTES + 1)
            cached = decode_cache(data, self._address(), now, self._max_age)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self._log("kept_list_refused", file=str(self.path), why=str(error))
            return None
        self._log("kept_list", age_s=round((now - cached.written_at) / 1000, 1))
        return cached.table

    def on_change(self) -> None:
        """Schedules a write after a change of the current list."""
        self._schedule_write(self._schedule.on_change(self._deadlines.clock()))

    async def close(self) -> None:
        """Writes pending changes and waits until they are on disk."""
        self._deadlines.cancel(self._write_timer)
        if self._write_task is not None:
            await self._write_task
            self._deadlines.cancel(self._write_timer)
        self._begin_write()
        if self._write_task is not None:
            await self._write_task

    def _schedule_write(self, when: float | None) -> None:
        if when is not None:
            self._write_timer = self._deadlines.call_at(when, self._begin_write)

    def _begin_write(self) -> None:
        now = self._deadlines.clock()
        if self._schedule.begin(now):
            table = self._current_list()
            self._write_task = asyncio.get_running_loop().create_task(self._write(now, table))

    async def _write(self, now: float, table: dict[str, Any]) -> None:
        try:
            await run_in_background(self._replace_file, now, table)
        except OSError as error:
            self._log("kept_list_not_written", file=str(self.path), why=str(error))
        self._write_task = None
        self._schedule_write(self._schedule.end(self._deadlines.clock()))

    def _replace_file(self, now: float, table: dict[str, Any]) -> None:
        """Replaces the file atomically: writes and syncs a temporary file, then renames it."""
        temporary = self.path.with_name(f".{self.path.name}.{os.getpid()}")
        try:
            with temporary.open("wb") as file:
                file.write(encode_cache(self._address(), now, table))
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self.path)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise

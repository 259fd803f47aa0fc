"""The file of a kept list: read at the start, written whole and rarely beside the loop.  Loaded where it is set."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heronlug.discovery.cache import MOST, CacheSchedule, read, write
from heronlug.net.background import run_in_background
from heronlug.requests.deadlines import Deadlines, Key


class CacheFile:
    """One file."""

    def __init__(
        self,
        path: str,
        longest: float,
        register: Callable[[], str],
        table: Callable[[], dict[str, Any]],
        deadlines: Deadlines,
        log: Callable[..., None],
    ) -> None:
        """``table`` is the list as it is held now, in the register's form."""
        self.path, self._longest = Path(path), longest
        self._register, self._table, self._deadlines, self._log = register, table, deadlines, log
        self._writing = CacheSchedule()
        self._at: Key | None = None
        self._task: asyncio.Task[None] | None = None

    def load(self) -> dict[str, Any] | None:
        """The list of the file, or None, which is logged with its reason."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MOST + 1)
            kept = read(data, self._register(), self._deadlines.clock(), self._longest)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self._log("kept_list_refused", file=str(self.path), why=str(error))
            return None
        self._log("kept_list", age_s=round((self._deadlines.clock() - kept.at) / 1000, 1))
        return kept.table

    def changed(self) -> None:
        """The list that is held has changed."""
        self._plan(self._writing.changed(self._deadlines.clock()))

    async def close(self) -> None:
        """Write what is not written yet."""
        self._deadlines.cancel(self._at)
        if self._task is not None:
            await self._task
            self._deadlines.cancel(self._at)
        self._begin()
        if self._task is not None:
            await self._task

    def _plan(self, when: float | None) -> None:
        if when is not None:
            self._at = self._deadlines.call_at(when, self._begin)

    def _begin(self) -> None:
        now = self._deadlines.clock()
        if self._writing.begin(now):
            table = self._table()
            self._task = asyncio.get_running_loop().create_task(self._write(now, table))

    async def _write(self, now: float, table: dict[str, Any]) -> None:
        try:
            await run_in_background(self._put, now, table)
        except OSError as error:
            self._log("kept_list_not_written", file=str(self.path), why=str(error))
        self._task = None
        self._plan(self._writing.done(self._deadlines.clock()))

    def _put(self, now: float, table: dict[str, Any]) -> None:
        """Whole or not at all: beside the old file, on the disk, then in its place."""
        fresh = self.path.with_name(f".{self.path.name}.{os.getpid()}")
        try:
            with fresh.open("wb") as file:
                file.write(write(self._register(), now, table))
                file.flush()
                os.fsync(file.fileno())
            fresh.replace(self.path)
        except OSError:
            fresh.unlink(missing_ok=True)
            raise

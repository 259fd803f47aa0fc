"""SIGHUP: read the configuration file again and take from it what can change while serving."""

import asyncio
from collections.abc import Callable
from dataclasses import fields

from heronlug.life.config import Config, ConfigError

APPLIED = "discovery"
FRESH = {"seed", "known"}  # new with each file, and of use at a start only


class Reload:
    """From the signal to the new configuration; a file that cannot be used changes nothing."""

    def __init__(
        self, config: Config, read: Callable[[], Config], move: Callable[[str], None], log: Callable[..., None]
    ) -> None:
        self.config = config
        self._read, self._move, self._log = read, move, log
        self._task: asyncio.Task[None] | None = None
        self._again = False

    def begin(self) -> None:
        """The signal has come; one that comes during a reading has the file read once more after it."""
        self._again = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._again:
                self._again = False
                try:  # in a thread: the file's disk may be slow, and the loop serves on
                    config = await loop.run_in_executor(None, self._read)
                except ConfigError as error:
                    self._log("reload_failed", error=str(error))
                except Exception as error:  # a file that parses and yet cannot be used must not end us either
                    self._log("reload_failed", error=repr(error))
                else:
                    self._take(config)
        finally:
            self._task = None

    def _take(self, config: Config) -> None:
        kept = [
            field.name
            for field in fields(Config)
            if field.name not in {APPLIED, *FRESH} and getattr(config, field.name) != getattr(self.config, field.name)
        ]
        self._log("reloaded", discovery=config.discovery, needs_restart=kept)
        self.config = config
        self._move(config.discovery)

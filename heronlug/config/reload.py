"""SIGHUP: read the files again and take from them what can change while serving."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import fields

from heronlug.config.desired_state import State, StateError
from heronlug.config.platform import Config, ConfigError
from heronlug.net.background import run_in_background

APPLIED = "discovery"
FRESH = {"seed", "known"}  # new with each file, and of use at a start only


class Reload:
    """From the signal to the new settings; files that cannot be used, or break a rule, change nothing."""

    def __init__(
        self,
        config: Config,
        read: Callable[[], tuple[Config, State]],
        move: Callable[[Config], None],
        limit: Callable[[State], Awaitable[list[str]]],
        log: Callable[..., None],
        read_keys: Callable[[], dict[int, bytes] | None],
        use_keys: Callable[[dict[int, bytes] | None], None],
    ) -> None:
        self.config = config
        self._read, self._move, self._limit, self._log = read, move, limit, log
        self._read_keys, self._use_keys = read_keys, use_keys
        self._task: asyncio.Task[None] | None = None
        self._again = False

    def begin(self) -> None:
        """The signal has come; one that comes during a reading has the files read once more after it."""
        self._again = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            while self._again:
                self._again = False
                try:  # the files' disk may be slow, and the loop serves on
                    config, state = await run_in_background(self._read)
                except (ConfigError, StateError) as error:
                    self._log("reload_failed", error=str(error))
                except Exception as error:  # a file that parses and yet cannot be used must not end us either
                    self._log("reload_failed", error=repr(error))
                else:
                    await self._take(config, state)
        finally:
            self._task = None

    async def _take(self, config: Config, state: State) -> None:
        kept = [
            field.name
            for field in fields(Config)
            if field.name not in {APPLIED, *FRESH} and getattr(config, field.name) != getattr(self.config, field.name)
        ]
        try:
            keys = await run_in_background(self._read_keys)
            limits = await self._limit(state["classes"])
        except (OSError, ValueError) as error:  # perhaps good for the site in the files, and not for ours
            self._log("reload_failed", error=str(error))
            return
        self._use_keys(keys)
        self._log("reloaded", discovery=config.discovery, needs_restart=kept, limits=limits)
        self.config = config
        self._move(config)

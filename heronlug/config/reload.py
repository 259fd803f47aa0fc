"""Reload on SIGHUP: reads the files again, and uses what can change while the dispatcher serves."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, fields

from heronlug.config.desired_state import State, StateError
from heronlug.config.platform import Config, ConfigError
from heronlug.net.background import run_in_background

APPLIED_FIELD = "discovery"
"""The field of the configuration that a reload changes."""
START_ONLY_FIELDS = {"seed", "known"}
"""Fields that differ in each file, and are used at a start only."""


@dataclass(frozen=True)
class ReloadHooks:
    """What a reload does to the other parts of a dispatcher.

    Attributes:
        read_files: reads and checks all files; called in a thread.
        use_config: uses what can change of the platform's configuration.
        use_limits: uses the limits of the classes; returns a line for each change.
        read_keys: reads the cluster's keys, None without a cluster; called in a thread.
        use_keys: uses the keys.
    """

    read_files: Callable[[], tuple[Config, State]]
    use_config: Callable[[Config], None]
    use_limits: Callable[[State], Awaitable[list[str]]]
    read_keys: Callable[[], dict[int, bytes] | None]
    use_keys: Callable[[dict[int, bytes] | None], None]


class Reload:
    """From the signal to the new settings; files that cannot be used, or break a rule, change nothing.

    Attributes:
        config: the platform's configuration that was read last.
    """

    def __init__(self, config: Config, hooks: ReloadHooks, log: Callable[..., None]) -> None:
        """Start with the configuration of the start."""
        self.config = config
        self._hooks = hooks
        self._log = log
        self._task: asyncio.Task[None] | None = None
        self._requested = False

    def begin(self) -> None:
        """The signal has come; one that comes during a reload has the files read once more after it."""
        self._requested = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            while self._requested:
                self._requested = False
                await self._reload()
        finally:
            self._task = None

    async def _reload(self) -> None:
        try:
            config, state = await run_in_background(self._hooks.read_files)
        except (ConfigError, StateError) as error:
            self._log("reload_failed", error=str(error))
        except Exception as error:  # a file that can be parsed but not used must not end the process either
            self._log("reload_failed", error=repr(error))
        else:
            await self._use(config, state)

    async def _use(self, config: Config, state: State) -> None:
        needs_restart = self._changed_fields(config)
        try:
            keys = await run_in_background(self._hooks.read_keys)
            limits = await self._hooks.use_limits(state["classes"])
        except (OSError, ValueError) as error:  # perhaps right for the site in the files, but not for the one that runs
            self._log("reload_failed", error=str(error))
            return
        self._hooks.use_keys(keys)
        self._log("reloaded", discovery=config.discovery, needs_restart=needs_restart, limits=limits)
        self.config = config
        self._hooks.use_config(config)

    def _changed_fields(self, config: Config) -> list[str]:
        """The fields that differ from what runs and that only a restart changes."""
        unchecked = {APPLIED_FIELD, *START_ONLY_FIELDS}
        names = [field.name for field in fields(Config) if field.name not in unchecked]
        return [name for name in names if getattr(config, name) != getattr(self.config, name)]

"""Reloads the configuration files on SIGHUP and applies the settings that can change without a restart."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, fields

from heronlug.config.desired_state import State, StateError
from heronlug.config.platform import Config, ConfigError
from heronlug.net.background import run_in_background

APPLIED_FIELD = "discovery"
"""The field of the configuration that a reload applies."""
START_ONLY_FIELDS = {"seed", "known"}
"""Fields that differ in each file and are used only at the start; a reload does not compare them."""


@dataclass(frozen=True)
class ReloadHooks:
    """Functions by which a reload reads the files and changes the other parts of a dispatcher.

    Attributes:
        read_files: Reads and checks all files; called in a thread.
        use_config: Applies the part of the platform's configuration that can change without a restart.
        use_limits: Applies the limits of the classes; returns a line for each change.
        read_keys: Reads the keys of the cluster, None without a cluster; called in a thread.
        use_keys: Applies the keys of the cluster.
    """

    read_files: Callable[[], tuple[Config, State]]
    use_config: Callable[[Config], None]
    use_limits: Callable[[State], Awaitable[list[str]]]
    read_keys: Callable[[], dict[int, bytes] | None]
    use_keys: Callable[[dict[int, bytes] | None], None]


class Reload:
    """Applies changed configuration files on request; files that are invalid or break a rule change nothing.

    Attributes:
        config: The platform's configuration of the start or of the last successful reload.
    """

    def __init__(self, config: Config, hooks: ReloadHooks, log: Callable[..., None]) -> None:
        """Creates the reload with the configuration of the start; ``log`` writes a log event."""
        self.config = config
        self._hooks = hooks
        self._log = log
        self._task: asyncio.Task[None] | None = None
        self._requested = False

    def begin(self) -> None:
        """Starts a reload; if one is in progress, the files are read once more after that reload."""
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
        except Exception as error:  # a file that is parsed but fails later must not end the process either
            self._log("reload_failed", error=repr(error))
        else:
            await self._use(config, state)

    async def _use(self, config: Config, state: State) -> None:
        needs_restart = self._changed_fields(config)
        try:
            keys = await run_in_background(self._hooks.read_keys)
            limits = await self._hooks.use_limits(state["classes"])
        except (OSError, ValueError) as error:  # the limits may suit the site in the files, but not the running site
            self._log("reload_failed", error=str(error))
            return
        self._hooks.use_keys(keys)
        self._log("reloaded", discovery=config.discovery, needs_restart=needs_restart, limits=limits)
        self.config = config
        self._hooks.use_config(config)

    def _changed_fields(self, config: Config) -> list[str]:
        """Returns the names of the fields that differ from the running configuration and need a restart."""
        unchecked = {APPLIED_FIELD, *START_ONLY_FIELDS}
        names = [field.name for field in fields(Config) if field.name not in unchecked]
        return [name for name in names if getattr(config, name) != getattr(self.config, name)]

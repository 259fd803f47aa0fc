"""The configuration that runs, and how plan and apply change it: completely, or not at all."""

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from heronlug.balancer.settings import RequestClass
from heronlug.config.desired_state import EMPTY, State, StateError, changed_limits, difference, digest
from heronlug.lifecycle.faktory_service import OpenedListener
from heronlug.net.background import run_in_background

if TYPE_CHECKING:
    from heronlug.plugins.host import Plugin

PluginModule = tuple[bytes, int, int]
"""A plug-in's WebAssembly module, its fuel, and its memory in KB."""


class BrokenLimit(NamedTuple):
    """A rule that the limits of a request class break, in the order in which commands get the fields."""

    class_name: str
    key: str
    wrong: str
    right: str


class ConfigurableParts(Protocol):
    """What of a dispatcher can be changed while it runs."""

    @property
    def log(self) -> Callable[..., None]:
        """Where events are logged."""

    async def open_faktory(self, table: dict[str, Any]) -> OpenedListener:
        """Bind the Faktory frontend's address, which is not served yet; raises ``OSError`` or ``ValueError``."""

    def use_faktory(self, listener: OpenedListener | None) -> None:
        """Serve on a listener, or with None on none."""

    def discard_faktory_listener(self, listener: OpenedListener) -> None:
        """Close a listener that was opened and is not in use."""

    async def join_cluster(self, table: State) -> None:
        """Join a cluster; raises ``OSError`` or ``ValueError``."""

    def cluster_view(self, view_name: str) -> list[dict[str, Any]]:
        """The members, or the periodic tasks; raises :class:`StateError` where there is no cluster."""

    def zones(self, request: dict[str, Any]) -> list[dict[str, Any]]:
        """The zones, after an order for one of them; raises :class:`StateError`."""

    def use_discovery_options(self, table: State) -> None:
        """Pace and cache service discovery, from the start on."""

    def load_plugins(self, plugins: dict[str, PluginModule]) -> "list[Plugin]":
        """Load plug-ins; raises ``ValueError``."""

    def use_plugins(self, loaded: "list[Plugin] | None") -> None:
        """Use loaded plug-ins in place of those before."""

    def use_log_level(self, level: str) -> None:
        """Log from this level on."""

    def broken_limits(self, classes: State) -> list[BrokenLimit]:
        """The rules that limits break here."""

    def resolved_limits(self, classes: State) -> tuple[RequestClass, ...]:
        """All classes under limits that break no rule."""

    def use_limits(self, classes: tuple[RequestClass, ...]) -> None:
        """Accept requests under these limits from now on."""


@dataclass
class _Prepared:
    """What was opened for a change and is not in use yet."""

    plugins: "list[Plugin] | None" = None
    listener: OpenedListener | None = None


class RunningState:
    """The state that runs; one change at a time.

    Attributes:
        state: as :func:`heronlug.config.desired_state.parse` gives it.
    """

    def __init__(self, parts: ConfigurableParts) -> None:
        """Begin with the empty state."""
        self._parts = parts
        self.state: State = EMPTY
        self._lock = asyncio.Lock()

    async def apply(self, base: str, desired: State) -> list[str]:
        """Change the running state to the desired one.

        Args:
            base: digest of the state that the plan was made for.
            desired: the new state.

        Returns:
            A line for each change.

        Raises:
            StateError: if the state cannot be reached; then nothing has changed.
        """
        async with self._lock:
            if self.state == desired:
                return []
            if await run_in_background(digest, self.state) != base:
                msg = "the plan is stale: the running state has changed since it was made"
                raise StateError(msg)
            classes = await self._resolve_limits(desired["classes"])
            changes = await run_in_background(difference, self.state, desired)
            self._check_restart_only(desired)
            prepared = await self._prepare(desired)
            self._activate(desired, prepared, classes)
            self.state = desired
            self._parts.log("applied", changes=changes)
            return changes

    async def limit(self, classes: State) -> list[str]:
        """Use other limits, and keep all else; returns a line for each change.  Raises :class:`StateError`."""
        async with self._lock:
            resolved = await self._resolve_limits(classes)
            changes = await run_in_background(changed_limits, self.state["classes"], classes)
            if changes:
                self._parts.use_limits(resolved)
                self.state = {**self.state, "classes": classes}
            return changes

    def cluster_view(self, view_name: str) -> list[dict[str, Any]]:
        """The members or the periodic tasks of the cluster."""
        return self._parts.cluster_view(view_name)

    def zones(self, request: dict[str, Any]) -> list[dict[str, Any]]:
        """The zones, after an operator's order for one of them if that was asked."""
        return self._parts.zones(request)

    async def broken_limits(self, classes: State) -> list[BrokenLimit]:
        """The rules that limits would break."""
        return await run_in_background(self._parts.broken_limits, classes) if classes else []

    def _is_changed(self, desired: State, key: str) -> bool:
        return bool(self.state.get(key, {}) != desired.get(key, {}))  # plans of earlier versions lack some keys

    def _check_restart_only(self, desired: State) -> None:
        """Raise :class:`StateError` for a change that needs a restart."""
        if self._is_changed(desired, "cluster") and self.state["cluster"]:
            msg = "cluster: it changes with a restart alone; keys are read again by SIGHUP"
            raise StateError(msg)
        if self._is_changed(desired, "register") and self.state is not EMPTY:
            msg = "register: it changes with a restart alone"
            raise StateError(msg)

    async def _resolve_limits(self, classes: State) -> tuple[RequestClass, ...]:
        """All classes under limits, checked here: a file may have been checked against another site."""
        if broken := await self.broken_limits(classes):
            lines = [f"class.{rule.class_name}.{rule.key}: {rule.wrong}, {rule.right}" for rule in broken]
            raise StateError("\n".join(lines))
        return await run_in_background(self._parts.resolved_limits, classes)

    async def _prepare(self, desired: State) -> _Prepared:
        """Do all that can fail, which changes nothing that runs; raises :class:`StateError`."""
        modules = {name: _read_module(name, plugin) for name, plugin in desired["plugins"].items()}
        prepared = _Prepared()
        try:
            if self._is_changed(desired, "plugins") and modules:
                prepared.plugins = self._parts.load_plugins(modules)
            if self._is_changed(desired, "faktory") and desired["faktory"]:
                prepared.listener = await self._parts.open_faktory(desired["faktory"])
            if self._is_changed(desired, "cluster"):
                await self._parts.join_cluster(desired["cluster"])
        except (ValueError, OSError) as error:
            if prepared.listener is not None:
                self._parts.discard_faktory_listener(prepared.listener)
            raise StateError(" ".join(str(error).split())) from error
        return prepared

    def _activate(self, desired: State, prepared: _Prepared, classes: tuple[RequestClass, ...]) -> None:
        """Put a change to use; nothing here can fail."""
        if self._is_changed(desired, "register"):
            self._parts.use_discovery_options(desired.get("register", {}))
        if self._is_changed(desired, "plugins"):
            self._parts.use_plugins(prepared.plugins)
        if self._is_changed(desired, "faktory"):
            self._parts.use_faktory(prepared.listener)
        self._parts.use_log_level(desired["log_level"])
        if self._is_changed(desired, "classes"):
            self._parts.use_limits(classes)


def _read_module(name: str, plugin: dict[str, Any]) -> PluginModule:
    """Read a plug-in's file; raises :class:`StateError` unless it is the one that was planned."""
    try:
        data = Path(plugin["file"]).read_bytes()
    except OSError as error:
        msg = f"plugin {name}: file: {error.strerror}"
        raise StateError(msg) from error
    if hashlib.sha256(data).hexdigest() != plugin["sha256"]:
        msg = f"plugin {name}: the plan is stale: its file has changed since it was made"
        raise StateError(msg)
    return data, plugin["fuel"], plugin["memory_kb"]

"""Changes the running configuration for plan and apply, either completely or not at all."""

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
"""The WebAssembly module of a plug-in, its fuel, and its memory in KB."""


class BrokenLimit(NamedTuple):
    """A rule that the limits of a request class break; commands receive the fields in this order."""

    class_name: str
    key: str
    wrong: str
    right: str


class ConfigurableParts(Protocol):
    """The parts of a dispatcher that can be changed at run time."""

    @property
    def log(self) -> Callable[..., None]:
        """Logs events."""

    async def open_faktory(self, table: dict[str, Any]) -> OpenedListener:
        """Binds the address of the Faktory frontend without serving yet; raises ``OSError`` or ``ValueError``."""

    def use_faktory(self, listener: OpenedListener | None) -> None:
        """Serves the Faktory frontend on a listener; with None, only the accepted jobs are finished."""

    def discard_faktory_listener(self, listener: OpenedListener) -> None:
        """Closes a listener that was opened but is not in use."""

    async def join_cluster(self, table: State) -> None:
        """Joins a cluster; raises ``OSError`` or ``ValueError``."""

    def cluster_view(self, view_name: str) -> list[dict[str, Any]]:
        """Returns the rows of the members or the periodic tasks; raises :class:`StateError` without a cluster."""

    def zones(self, request: dict[str, Any]) -> list[dict[str, Any]]:
        """Executes the order for a zone, if the request has one, and returns all zones; raises :class:`StateError`."""

    def use_discovery_options(self, table: State) -> None:
        """Configures the pacing of the polls and the cached list of service discovery; called only at the start."""

    def load_plugins(self, plugins: dict[str, PluginModule]) -> "list[Plugin]":
        """Compiles plug-ins; raises ``ValueError``."""

    def use_plugins(self, loaded: "list[Plugin] | None") -> None:
        """Replaces all plug-ins with loaded plug-ins; None removes all plug-ins."""

    def use_log_level(self, level: str) -> None:
        """Logs only events of this level and above."""

    def broken_limits(self, classes: State) -> list[BrokenLimit]:
        """Returns the rules that the limits break."""

    def resolved_limits(self, classes: State) -> tuple[RequestClass, ...]:
        """Returns all request classes under valid limits."""

    def use_limits(self, classes: tuple[RequestClass, ...]) -> None:
        """Accepts new requests under these limits."""


@dataclass
class _Prepared:
    """Resources opened for a change that are not in use yet."""

    plugins: "list[Plugin] | None" = None
    listener: OpenedListener | None = None


class RunningState:
    """The running state, to which changes are applied one at a time.

    Attributes:
        state: The running state, in the form that :func:`heronlug.config.desired_state.parse` returns.
    """

    def __init__(self, parts: ConfigurableParts) -> None:
        """Creates the empty state."""
        self._parts = parts
        self.state: State = EMPTY
        self._lock = asyncio.Lock()

    async def apply(self, base: str, desired: State) -> list[str]:
        """Changes the running state to the desired state.

        Args:
            base: Digest of the state for which the plan was made.
            desired: The new state.

        Returns:
            A line for each change.

        Raises:
            StateError: if the desired state cannot be reached; the running state is then unchanged.
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
        """Applies other limits without any other change and returns a line per change; raises :class:`StateError`."""
        async with self._lock:
            resolved = await self._resolve_limits(classes)
            changes = await run_in_background(changed_limits, self.state["classes"], classes)
            if changes:
                self._parts.use_limits(resolved)
                self.state = {**self.state, "classes": classes}
            return changes

    def cluster_view(self, view_name: str) -> list[dict[str, Any]]:
        """Returns the rows of the members or the periodic tasks of the cluster."""
        return self._parts.cluster_view(view_name)

    def zones(self, request: dict[str, Any]) -> list[dict[str, Any]]:
        """Executes the order for a zone, if the request has one, and returns all zones."""
        return self._parts.zones(request)

    async def broken_limits(self, classes: State) -> list[BrokenLimit]:
        """Returns the rules that the limits would break."""
        return await run_in_background(self._parts.broken_limits, classes) if classes else []

    def _is_changed(self, desired: State, key: str) -> bool:
        return bool(self.state.get(key, {}) != desired.get(key, {}))  # plans of earlier versions lack some keys

    def _check_restart_only(self, desired: State) -> None:
        """Raises :class:`StateError` for a change that requires a restart."""
        if self._is_changed(desired, "cluster") and self.state["cluster"]:
            msg = "cluster: cannot change while the dispatcher runs; restart the dispatcher (SIGHUP reloads keys)"
            raise StateError(msg)
        if self._is_changed(desired, "register") and self.state is not EMPTY:
            msg = "register: cannot change while the dispatcher runs; restart the dispatcher"
            raise StateError(msg)

    async def _resolve_limits(self, classes: State) -> tuple[RequestClass, ...]:
        """Returns all request classes under limits; checks the limits, since a plan may stem from another site."""
        if broken := await self.broken_limits(classes):
            lines = [f"class.{rule.class_name}.{rule.key}: {rule.wrong}, {rule.right}" for rule in broken]
            raise StateError("\n".join(lines))
        return await run_in_background(self._parts.resolved_limits, classes)

    async def _prepare(self, desired: State) -> _Prepared:
        """Runs all steps that can fail, without affecting the running state; raises :class:`StateError`."""
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
        """Activates a prepared change; none of these steps can fail."""
        if self._is_changed(desired, "register"):
            self._parts.use_discovery_options(desired.get("register", {}))
        if self._is_changed(desired, "plugins"):
            self._parts.use_plugins(prepared.plugins)
        self._parts.use_log_level(desired["log_level"])
        if self._is_changed(desired, "classes"):
            self._parts.use_limits(classes)
        if self._is_changed(desired, "faktory"):  # last, since recovered jobs continue under the plug-ins and limits
            self._parts.use_faktory(prepared.listener)


def _read_module(name: str, plugin: dict[str, Any]) -> PluginModule:
    """Reads the file of a plug-in; raises :class:`StateError` if the file is unreadable or differs from the plan."""
    try:
        data = Path(plugin["file"]).read_bytes()
    except OSError as error:
        msg = f"plugin {name}: file: {error.strerror}"
        raise StateError(msg) from error
    if hashlib.sha256(data).hexdigest() != plugin["sha256"]:
        msg = f"plugin {name}: the plan is stale: its file has changed since it was made"
        raise StateError(msg)
    return data, plugin["fuel"], plugin["memory_kb"]

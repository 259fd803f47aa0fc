"""The running state and the private Unix socket on which plan and apply speak with it, a JSON line each way."""

import asyncio
import hashlib
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol, cast

import orjson

from heronlug.balancer.settings import RequestClass
from heronlug.config.desired_state import EMPTY, State, StateError, changed_limits, difference, digest
from heronlug.net.background import run_in_background
from heronlug.net.http import Lines


class ConfigurableParts(Protocol):
    """What of the daemon can be changed while it runs."""

    @property
    def log(self) -> Callable[..., None]:
        """Where events are told."""

    async def open_faktory(self, terms: dict[str, Any]) -> Any:
        """Listen; raises ``OSError``.  Nothing is served until it is put to use."""

    def use_faktory(self, listener: Any) -> None:
        """Serve on a listener, or with None on none."""

    def drop_faktory(self, listener: Any) -> None:
        """Close what was bound and is not used."""

    async def join_cluster(self, terms: State) -> None:
        """Be a member; raises ``OSError`` or ``ValueError``."""

    def cluster_view(self, what: str) -> list[dict[str, Any]]:
        """The members, or the duties; raises :class:`StateError` where there is no cluster."""

    def halls(self, asked: dict[str, Any]) -> list[dict[str, Any]]:
        """The halls, after an order for one of them; raises :class:`StateError`."""

    def use_register(self, terms: State) -> None:
        """Read the register under these terms, from the start on."""

    def load_plugins(self, plugins: dict[str, tuple[bytes, int, int]]) -> Any:
        """Load plug-ins; raises ``ValueError``."""

    def use_plugins(self, loaded: Any) -> None:
        """Put loaded plug-ins to use."""

    def use_level(self, level: str) -> None:
        """Log from this level on."""

    def broken_limits(self, classes: State) -> list[tuple[str, str, str, str]]:
        """The rules that limits break here: class, key, what is wrong, what would be right."""

    def resolved_limits(self, classes: State) -> tuple[RequestClass, ...]:
        """All classes under limits that break no rule."""

    def use_limits(self, classes: tuple[RequestClass, ...]) -> None:
        """Take jobs in under these limits from now on."""


class RunningState:
    """The running state; a change of it is made whole or not at all."""

    def __init__(self, parts: ConfigurableParts) -> None:
        self._parts = parts
        self.state: State = EMPTY
        self._lock = asyncio.Lock()

    async def apply(self, base: str, desired: State) -> list[str]:
        """Go from the state that a plan was made for to the desired one; raises :class:`StateError`."""
        async with self._lock:
            if self.state == desired:
                return []
            if await run_in_background(digest, self.state) != base:
                raise StateError("the plan is stale: the running state has changed since it was made")
            classes = await self._resolve(desired["classes"])
            changes = await run_in_background(difference, self.state, desired)
            cluster_changes = self.state["cluster"] != desired["cluster"]
            if cluster_changes and self.state["cluster"]:
                raise StateError("cluster: it changes with a restart alone; keys are read again by SIGHUP")
            register = desired.get("register", {})  # a plan of a program of before has none
            register_changes = self.state["register"] != register
            if register_changes and self.state is not EMPTY:
                raise StateError("register: it changes with a restart alone")
            plugins_change = self.state["plugins"] != desired["plugins"]
            faktory_changes = self.state["faktory"] != desired["faktory"]
            # all that can fail comes first and changes nothing that runs
            modules = {name: self._module(name, plugin) for name, plugin in desired["plugins"].items()}
            loaded = listener = None
            try:
                if plugins_change and modules:
                    loaded = self._parts.load_plugins(modules)
                if faktory_changes and desired["faktory"]:
                    listener = await self._parts.open_faktory(desired["faktory"])
                if cluster_changes:
                    await self._parts.join_cluster(desired["cluster"])
            except (ValueError, OSError) as error:
                if listener is not None:
                    self._parts.drop_faktory(listener)
                raise StateError(" ".join(str(error).split())) from None
            if register_changes:
                self._parts.use_register(register)
            if plugins_change:
                self._parts.use_plugins(loaded)
            if faktory_changes:
                self._parts.use_faktory(listener)
            self._parts.use_level(desired["log_level"])
            if self.state["classes"] != desired["classes"]:
                self._parts.use_limits(classes)
            self.state = desired
            self._parts.log("applied", changes=changes)
            return changes

    async def limit(self, classes: State) -> list[str]:
        """Other limits in place of those that run; all else stays.  Raises :class:`StateError`."""
        async with self._lock:
            resolved = await self._resolve(classes)
            changes = await run_in_background(changed_limits, self.state["classes"], classes)
            if changes:
                self._parts.use_limits(resolved)
                self.state = {**self.state, "classes": classes}
            return changes

    async def _resolve(self, classes: State) -> tuple[RequestClass, ...]:
        """All classes under limits: a file may have been checked against another site than the one that runs here."""
        if broken := await self.broken(classes):
            raise StateError("\n".join(f"class.{n}.{key}: {wrong}, {right}" for n, key, wrong, right in broken))
        return await run_in_background(self._parts.resolved_limits, classes)

    def view(self, what: str) -> list[dict[str, Any]]:
        """The members or the duties of the cluster."""
        return self._parts.cluster_view(what)

    def halls(self, asked: dict[str, Any]) -> list[dict[str, Any]]:
        """The halls, after an order for one of them."""
        return self._parts.halls(asked)

    async def broken(self, classes: State) -> list[tuple[str, str, str, str]]:
        """The rules that limits would break."""
        return await run_in_background(self._parts.broken_limits, classes) if classes else []

    @staticmethod
    def _module(name: str, plugin: dict[str, Any]) -> tuple[bytes, int, int]:
        try:
            data = Path(plugin["file"]).read_bytes()
        except OSError as error:
            raise StateError(f"plugin {name}: file: {error.strerror}") from None
        if hashlib.sha256(data).hexdigest() != plugin["sha256"]:
            raise StateError(f"plugin {name}: the plan is stale: its file has changed since it was made")
        return data, plugin["fuel"], plugin["memory_kb"]


class ControlConnection(asyncio.Protocol):
    """A connection on the control socket."""

    def __init__(self, running: RunningState) -> None:
        self._running = running
        self._lines = Lines()
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Somebody wants to plan or apply."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """A request, one line."""
        try:
            lines = self._lines.feed(data)
        except ValueError:
            lines = [b"null"]
        for line in lines:
            task = asyncio.get_running_loop().create_task(self._answer(line))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, line: bytes) -> None:
        answer: dict[str, Any]
        try:
            asked = orjson.loads(line)
            if asked["ask"] == "state":
                answer = {"state": self._running.state}
            elif asked["ask"] in ("members", "duties"):
                answer = {asked["ask"]: self._running.view(asked["ask"])}
            elif asked["ask"] in ("halls", "hall"):
                answer = {"halls": self._running.halls(asked)}
            elif asked["ask"] == "check":
                answer = {"broken": await self._running.broken(asked["classes"])}
            elif asked["ask"] == "apply":
                answer = {"changes": await self._running.apply(asked["base"], asked["desired"])}
            else:
                answer = {"error": "unknown request"}
        except StateError as error:
            answer = {"error": str(error)}
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            answer = {"error": f"malformed request: {error!r}"}
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(orjson.dumps(answer) + b"\n")
            self._transport.close()


async def listen(path: str, running: RunningState) -> asyncio.AbstractServer:
    """Listen on a Unix socket that only our own user may open."""
    Path(path).unlink(missing_ok=True)
    mask = os.umask(0o177)
    try:
        return await asyncio.get_running_loop().create_unix_server(lambda: ControlConnection(running), path)
    finally:
        os.umask(mask)


def ask(path: str, request: dict[str, Any]) -> dict[str, Any]:
    """One request of the command line to a running daemon; raises :class:`StateError`."""
    if not path:
        raise StateError("environment: HERONLUG_CONTROL: not set, and no --control")
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(30)
            sock.connect(path)
            sock.sendall(orjson.dumps(request) + b"\n")
            data = b""
            while chunk := sock.recv(65536):
                data += chunk
        answer = orjson.loads(data)
    except (OSError, ValueError) as error:
        raise StateError(f"{path}: control: {error}") from None
    if "error" in answer:
        raise StateError(answer["error"])
    return cast(dict[str, Any], answer)

"""Connects commands such as plan and apply to a running dispatcher through a Unix socket, the control socket.

A request and its answer are one line of JSON each; the dispatcher closes the connection after the answer.
"""

import asyncio
import os
import socket
from pathlib import Path
from typing import Any, cast

import orjson

from heronlug.config.desired_state import StateError
from heronlug.lifecycle.running_state import RunningState
from heronlug.net.http import Lines

COMMAND_TIMEOUT_S = 30.0
"""Time for which a command waits for the dispatcher, in seconds."""
READ_CHUNK_BYTES = 65536
"""Maximum number of bytes that a command reads at once."""


class ControlConnection(asyncio.Protocol):
    """A connection of a command to the dispatcher."""

    def __init__(self, running: RunningState) -> None:
        """Creates a connection that answers requests from the running state."""
        self._running = running
        self._lines = Lines()
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self._transport = cast(
            asyncio.Transport, transport
        )  # the transport of uvloop is not a subclass of asyncio.Transport

    def data_received(self, data: bytes) -> None:
        """Answers each request that the received bytes complete."""
        try:
            lines = self._lines.feed(data)
        except ValueError:
            lines = [b"null"]  # answered as a malformed request
        for line in lines:
            task = asyncio.get_running_loop().create_task(self._answer(line))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, line: bytes) -> None:
        try:
            answer = await self._handle(orjson.loads(line))
        except StateError as error:
            answer = {"error": str(error)}
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            answer = {"error": f"malformed request: {error!r}"}
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(orjson.dumps(answer) + b"\n")
            self._transport.close()

    async def _handle(self, request: dict[str, Any]) -> dict[str, Any]:
        """Returns the answer to a request.

        Raises:
            StateError: if the request cannot be carried out.
            ValueError, KeyError, TypeError, AttributeError: if the request is malformed.
        """
        match request["ask"]:
            case "state":
                return {"state": self._running.state}
            case "members" | "duties" as view_name:
                return {view_name: self._running.cluster_view(view_name)}
            case "halls" | "hall":
                return {"halls": self._running.zones(request)}
            case "check":
                return {"broken": [tuple(rule) for rule in await self._running.broken_limits(request["classes"])]}
            case "apply":
                return {"changes": await self._running.apply(request["base"], request["desired"])}
            case _:
                return {"error": "unknown request"}


async def listen(path: str, running: RunningState) -> asyncio.AbstractServer:
    """Starts to listen on a Unix socket that only processes of this user can open; raises ``OSError``."""
    Path(path).unlink(missing_ok=True)
    previous_umask = os.umask(0o177)
    try:
        return await asyncio.get_running_loop().create_unix_server(lambda: ControlConnection(running), path)
    finally:
        os.umask(previous_umask)


def ask(path: str, request: dict[str, Any]) -> dict[str, Any]:
    """Sends the request of a command to the dispatcher that listens on ``path``, and returns the answer.

    Raises:
        StateError: if ``path`` is empty, or the dispatcher cannot be reached or answers with an error.
    """
    if not path:
        msg = "environment: HERONLUG_CONTROL: not set; set the variable or pass --control"
        raise StateError(msg)
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(COMMAND_TIMEOUT_S)
            sock.connect(path)
            sock.sendall(orjson.dumps(request) + b"\n")
            data = b""
            while chunk := sock.recv(READ_CHUNK_BYTES):
                data += chunk
        answer = orjson.loads(data)
    except (OSError, ValueError) as error:
        msg = f"{path}: control: {error}"
        raise StateError(msg) from error
    if "error" in answer:
        raise StateError(answer["error"])
    return cast(dict[str, Any], answer)

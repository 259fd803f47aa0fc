"""A stand-in of the node register: the whole list, and watches that wait for something new.

PROTOCOL, *Dispatchers to the register*: ``GET /registry/instances``, with ``after`` and ``wait_ms`` for a watch.
"""

import asyncio
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools
import orjson

from heronlug.wire import http

WAIT_MOST = 60_000.0  # ms
KEPT = 4096  # changes that a watch may ask for; from further back it gets the whole list


class Register:
    """Instances by name, and a version that each change raises by one."""

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, Any]] = {}
        self.version = 0
        self.calls = 0  # answered
        self.silent = False  # calls are read and not answered
        self.connections: set[Connection] = set()
        self._changed: list[tuple[int, str]] = []
        self._server: asyncio.AbstractServer | None = None

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen; returns the port.  Raises ``OSError``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), host, port, backlog=512)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Listen no more, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def put(self, name: str, **fields: Any) -> None:
        """A new instance, or other values of one: ``hostPort``, ``zone``, ``machineType``, ``lifecycle`` and so on."""
        given = {"instanceId": name, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0, "cell": 0}
        self.instances[name] = {**given, **self.instances.get(name, {}), **fields}
        self.version += 1
        self._changed.append((self.version, name))
        del self._changed[:-KEPT]
        for connection in list(self.connections):
            connection.look()

    def answer(self, after: int | None) -> bytes:
        """What is newer than a version, or all."""
        kept = not self._changed or after is None or self._changed[0][0] <= after + 1
        if after is None or after > self.version or not kept:
            instances, whole = [*self.instances.values()], True
        else:
            names = dict.fromkeys(name for version, name in self._changed if version > after)
            instances, whole = [self.instances[name] for name in names], False
        return orjson.dumps({"generation": self.version, "reset": whole, "instances": instances})


class Connection(asyncio.Protocol):
    """One dispatcher's connection."""

    def __init__(self, register: Register) -> None:
        self._register = register
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""
        self._after: int | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._waiting = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A dispatcher has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self._register.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone."""
        self._register.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Bytes of a call."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self.abort()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        """Path and query, perhaps in pieces."""
        self._target += url

    def on_message_complete(self) -> None:
        """The call is whole."""
        parts, self._target = urlsplit(self._target.decode("ascii", "replace")), b""
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        if parts.path != "/registry/instances":
            self._write(http.response(404))
            return
        self._after = int(query["after"]) if "after" in query else None
        wait = min(WAIT_MOST, float(query.get("wait_ms", 0)))
        self._waiting = True
        if self._after is None or wait <= 0 or self._register.version != self._after:
            self._say()
        else:
            self._timer = asyncio.get_running_loop().call_later(wait / 1000, self._say)

    def look(self) -> None:
        """Something is new."""
        if self._waiting:
            self._say()

    def _say(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if self._waiting and not self._register.silent:
            self._waiting = False
            self._register.calls += 1
            self._write(http.response(200, self._register.answer(self._after)))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)



"""A stand-in of the node register: the whole list, and watches that wait for something new.

PROTOCOL, *Dispatchers to the register*: ``GET /registry/instances``, with ``after`` and ``wait_ms`` for a watch. It is
one service for all and works through calls one after another: with a cost a call there is a queue, and what would wait
in it for too long is turned away.
"""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, cast
from urllib.parse import parse_qs, urlsplit

import httptools
import orjson

from heronlug.net import http

WAIT_MOST = 60_000.0  # ms
KEPT = 4096  # changes that a watch may ask for; from further back it gets the whole list

TRIES, TRY_AGAIN = 20, 0.05  # and s, for a port that listened before


class Call(NamedTuple):
    """A call that was worked through, or turned away."""

    caller: str
    whole: bool  # for the whole list
    turned: bool
    waited: float  # ms in the queue


class StandInDiscovery:
    """Instances by name, and a version that each change raises by one."""

    def __init__(self, call_ms: float = 0.0, wait_most: float = 1000.0, turned_ms: float = 0.0, seed: int = 1) -> None:
        """A call costs ``call_ms``; what would wait longer than ``wait_most`` is turned away, for ``turned_ms``."""
        self.instances: dict[str, dict[str, Any]] = {}
        self.version = 0
        self.calls = 0  # answered
        self.wrote_bytes = 0
        self.silent = False  # calls are read and not answered
        self.call_ms, self.wait_most, self.turned_ms = call_ms, wait_most, turned_ms
        self.retry_after = 0.0  # ms, told to whom is turned away
        self.turn_share = 0.0  # of all calls are turned away whatever there is to do
        self.connections: set[Connection] = set()
        self.told: Callable[[Call], None] = lambda call: None
        self.wrote: Callable[[str, list[dict[str, Any]], bool], None] = lambda caller, instances, whole: None
        self.watched: Callable[[str, int, float], None] = lambda caller, call, wait: None  # waits so many ms
        self.unwatched: Callable[[str, int], None] = lambda caller, call: None  # it is answered, or its connection over
        self.changed: Callable[[str, str], None] = lambda name, lifecycle: None
        self.address_of: Callable[[str, str, str], str] = lambda caller, name, address: address
        self._rng = Random(seed)
        self._free_at = 0.0
        self._watches = 0
        self._changed: list[tuple[int, str]] = []
        self._servers: dict[str, asyncio.AbstractServer] = {}
        self._ports: dict[str, int] = {}

    async def open(self, host: str = "127.0.0.1", port: int = 0, caller: str = "") -> int:
        """Listen for a caller, again on the port that it had; returns the port.  Raises ``OSError``."""
        if caller in self._servers:
            return self._ports[caller]  # it is up already
        loop, wanted = asyncio.get_running_loop(), port or self._ports.get(caller, 0)
        for again in range(TRIES, -1, -1):
            try:
                server = await loop.create_server(lambda: Connection(self, caller), host, wanted, backlog=512)
                break
            except OSError:  # somebody tries whether the port is free, for an instant
                if not again:
                    raise
                await asyncio.sleep(TRY_AGAIN)
        self._servers[caller] = server
        self._ports[caller] = int(server.sockets[0].getsockname()[1])
        return self._ports[caller]

    def close(self) -> None:
        """Listen no more, and reset all connections."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        self._free_at = 0.0
        for connection in list(self.connections):
            connection.abort()

    def put(self, name: str, **fields: Any) -> None:
        """A new instance, or other values of one: ``hostPort``, ``zone``, ``machineType``, ``lifecycle`` and so on."""
        given = {"instanceId": name, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0, "cell": 0}
        self.instances[name] = {**given, **self.instances.get(name, {}), **fields}
        self.version += 1
        self.changed(name, self.instances[name]["lifecycle"])
        self._changed.append((self.version, name))
        del self._changed[:-KEPT]
        for connection in list(self.connections):
            connection.look()

    def watch(self, connection: "Connection") -> None:
        """A call begins to wait."""
        self._watches += 1
        connection.call = self._watches
        self.watched(connection.caller, connection.call, connection.wait)

    def anew(self) -> None:
        """Versions begin again, as after a restart that lost them."""
        self.version = 1
        self._changed = [(1, name) for name in self.instances]

    def answer(self, after: int | None, caller: str = "") -> bytes:
        """What is newer than a version, or all."""
        kept = not self._changed or after is None or self._changed[0][0] <= after + 1
        if after is None or after > self.version or not kept:
            instances, whole = [*self.instances.values()], True
        else:
            names = dict.fromkeys(name for version, name in self._changed if version > after)
            instances, whole = [self.instances[name] for name in names], False
        self.wrote(caller, instances, whole)
        return orjson.dumps(self.table(caller, self.version, instances, whole))

    def table(self, caller: str, version: int, instances: list[dict[str, Any]], whole: bool) -> dict[str, Any]:
        """A list in the protocol's form, as a caller sees the addresses."""
        there = [{**i, "hostPort": self.address_of(caller, i["instanceId"], i["hostPort"])} for i in instances]
        return {"generation": version, "reset": whole, "instances": there}

    def watching(self) -> list[str]:
        """The callers whose watch waits for news now."""
        return sorted(connection.caller for connection in self.connections if connection.parked)

    def queue(self) -> float | None:
        """A call has come: ms until it has been worked through, or None where it is turned away."""
        now = time.monotonic() * 1000
        wait = max(0.0, self._free_at - now)
        if wait > self.wait_most or (self.turn_share and self._rng.random() < self.turn_share):
            self._free_at = max(now, self._free_at) + self.turned_ms
            return None
        self._free_at = now + wait + self.call_ms
        return wait + self.call_ms


class Connection(asyncio.Protocol):
    """One dispatcher's connection."""

    def __init__(self, register: StandInDiscovery, caller: str = "") -> None:
        self._register, self.caller = register, caller
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""
        self._after: int | None = None
        self.wait = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._owed = False  # a call is not answered yet
        self.parked = False  # it waits for something new
        self.call = 0  # the number of the call that waits for an answer; 0 for none

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A dispatcher has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self._register.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone."""
        self._register.connections.discard(self)
        self._end_call()
        self.parked = self._owed = False
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
        self.wait = min(WAIT_MOST, float(query.get("wait_ms", 0)))
        self._owed = True
        wait = self._register.queue()
        whole = not self._after or self._after > self._register.version
        self._register.told(Call(self.caller, whole, wait is None, wait or 0.0))
        if wait is None:
            self._owed = False
            self._write(http.response(503, retry_after=self._register.retry_after))
        elif wait > 0:
            self._timer = asyncio.get_running_loop().call_later(wait / 1000, self._work)
        else:
            self._work()

    def look(self) -> None:
        """Something is new."""
        if self.parked:
            self._say()

    def _work(self) -> None:
        """Its turn has come: answered at once, or it waits for something new."""
        self._timer = None
        if self._after is None or self.wait <= 0 or self._register.version != self._after:
            self._say()
        elif self._owed:
            self.parked = True
            self._register.watch(self)
            self._timer = asyncio.get_running_loop().call_later(self.wait / 1000, self._say)

    def _say(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self.parked = None, False  # who is silent now has fallen silent for good
        if self._owed and not self._register.silent:
            self._owed = False
            self._register.calls += 1
            self._write(http.response(200, self._register.answer(self._after, self.caller)))
            self._end_call()

    def _end_call(self) -> None:
        """The call that waited is answered, or can be no more."""
        if self.call:
            self._register.unwatched(self.caller, self.call)
            self.call = 0

    def _write(self, data: bytes) -> None:
        self._register.wrote_bytes += len(data)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

"""A stand-in of service discovery: the whole list, and watches that wait for something new.

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

MAX_WATCH_MS = 60_000.0
"""Milliseconds for which a watch waits at most."""
MAX_CHANGES = 4096
"""Changes that a watch may ask for; from further back it gets the whole list."""
BIND_RETRIES = 20
"""Further attempts to listen on a port that listened before."""
BIND_RETRY_S = 0.05
"""Seconds between two of these attempts."""


class Call(NamedTuple):
    """A call that was worked through, or rejected.

    Attributes:
        caller: the dispatcher.
        complete: it asks for the whole list.
        rejected: it was not worked through.
        waited_ms: milliseconds in the queue and in work.
    """

    caller: str
    complete: bool
    rejected: bool
    waited_ms: float


class StandInDiscovery:
    """Instances by name, and a version that each change raises by one.

    Attributes:
        instances: by name, in the protocol's form.
        version: of the list.
        answered_polls: calls that have been answered.
        written_bytes: of all responses.
        silent: calls are read and not answered.
        call_ms: milliseconds that a call costs.
        max_wait_ms: a call that would wait longer is rejected.
        reject_cost_ms: milliseconds that a rejected call costs.
        retry_after_ms: of the response to a rejected call; 0 for none.
        reject_share: of all calls, rejected whatever the load.
        connections: all that are open.
        on_poll: called for each call.
        on_list_written: called with the caller, the instances and whether they are the whole list.
        on_watch: called with the caller, the number of the call and the milliseconds that it waits.
        on_watch_end: called with the caller and the number of a call that is answered, or whose connection is closed.
        on_change: called with the name and the lifecycle of an instance that has changed.
        address_of: the address at which a caller finds an instance, from the caller, its name and its own address.
    """

    def __init__(
        self, call_ms: float = 0.0, max_wait_ms: float = 1000.0, reject_cost_ms: float = 0.0, seed: int = 1
    ) -> None:
        self.instances: dict[str, dict[str, Any]] = {}
        self.version = 0
        self.answered_polls = 0
        self.written_bytes = 0
        self.silent = False
        self.call_ms = call_ms
        self.max_wait_ms = max_wait_ms
        self.reject_cost_ms = reject_cost_ms
        self.retry_after_ms = 0.0
        self.reject_share = 0.0
        self.connections: set[Connection] = set()
        self.on_poll: Callable[[Call], None] = lambda call: None
        self.on_list_written: Callable[[str, list[dict[str, Any]], bool], None] = (
            lambda caller, instances, complete: None
        )
        self.on_watch: Callable[[str, int, float], None] = lambda caller, call, wait_ms: None
        self.on_watch_end: Callable[[str, int], None] = lambda caller, call: None
        self.on_change: Callable[[str, str], None] = lambda name, lifecycle: None
        self.address_of: Callable[[str, str, str], str] = lambda caller, name, address: address
        self._random = Random(seed)
        self._idle_at_ms = 0.0
        self._watch_count = 0
        self._changed: list[tuple[int, str]] = []
        self._servers: dict[str, asyncio.AbstractServer] = {}
        self._ports: dict[str, int] = {}

    async def open(self, host: str = "127.0.0.1", port: int = 0, caller: str = "") -> int:
        """Listen for a caller, again on the port that it had; returns the port.  Raises ``OSError``."""
        if caller in self._servers:
            return self._ports[caller]  # it is up already
        loop, wanted = asyncio.get_running_loop(), port or self._ports.get(caller, 0)
        for retries_left in range(BIND_RETRIES, -1, -1):
            try:
                server = await loop.create_server(lambda: Connection(self, caller), host, wanted, backlog=512)
                break
            except OSError:  # somebody tries whether the port is free, for an instant
                if not retries_left:
                    raise
                await asyncio.sleep(BIND_RETRY_S)
        self._servers[caller] = server
        self._ports[caller] = int(server.sockets[0].getsockname()[1])
        return self._ports[caller]

    def close(self) -> None:
        """Listen no more, and reset all connections."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        self._idle_at_ms = 0.0
        for connection in list(self.connections):
            connection.abort()

    def put(self, name: str, **fields: Any) -> None:
        """A new instance, or other values of one: ``hostPort``, ``zone``, ``machineType``, ``lifecycle`` and so on."""
        defaults = {"instanceId": name, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0, "cell": 0}
        self.instances[name] = {**defaults, **self.instances.get(name, {}), **fields}
        self.version += 1
        self.on_change(name, self.instances[name]["lifecycle"])
        self._changed.append((self.version, name))
        del self._changed[:-MAX_CHANGES]
        for connection in list(self.connections):
            connection.update_available()

    def begin_watch(self, connection: "Connection") -> None:
        """A call begins to wait."""
        self._watch_count += 1
        connection.call_number = self._watch_count
        self.on_watch(connection.caller, connection.call_number, connection.wait_ms)

    def restart_versions(self) -> None:
        """Versions begin again, as after a restart that lost them."""
        self.version = 1
        self._changed = [(1, name) for name in self.instances]

    def list_after(self, after: int | None, caller: str = "") -> bytes:
        """What is newer than a version, or all."""
        covered = not self._changed or after is None or self._changed[0][0] <= after + 1
        if after is None or after > self.version or not covered:
            instances, complete = [*self.instances.values()], True
        else:
            names = dict.fromkeys(name for version, name in self._changed if version > after)
            instances, complete = [self.instances[name] for name in names], False
        self.on_list_written(caller, instances, complete)
        return orjson.dumps(self.table(caller, self.version, instances, complete))

    def table(self, caller: str, version: int, instances: list[dict[str, Any]], complete: bool) -> dict[str, Any]:
        """A list in the protocol's form, as a caller sees the addresses."""
        visible = [{**i, "hostPort": self.address_of(caller, i["instanceId"], i["hostPort"])} for i in instances]
        return {"generation": version, "reset": complete, "instances": visible}

    def watching(self) -> list[str]:
        """The callers whose watch waits for news now."""
        return sorted(connection.caller for connection in self.connections if connection.watching)

    def enqueue_poll(self) -> float | None:
        """A call has come: ms until it has been worked through, or None where it is turned away."""
        now_ms = time.monotonic() * 1000
        queue_ms = max(0.0, self._idle_at_ms - now_ms)
        if queue_ms > self.max_wait_ms or (self.reject_share and self._random.random() < self.reject_share):
            self._idle_at_ms = max(now_ms, self._idle_at_ms) + self.reject_cost_ms
            return None
        self._idle_at_ms = now_ms + queue_ms + self.call_ms
        return queue_ms + self.call_ms


class Connection(asyncio.Protocol):
    """One dispatcher's connection."""

    def __init__(self, discovery: StandInDiscovery, caller: str = "") -> None:
        self._discovery, self.caller = discovery, caller
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""
        self._after: int | None = None
        self.wait_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._call_pending = False  # a call waits for its answer
        self.watching = False  # it waits for something new
        self.call_number = 0  # the number of the call that waits for an answer; 0 for none

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A dispatcher has connected."""
        self._transport = cast(asyncio.Transport, transport)
        self._discovery.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has gone."""
        self._discovery.connections.discard(self)
        self._end_call()
        self.watching = self._call_pending = False
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
        self.wait_ms = min(MAX_WATCH_MS, float(query.get("wait_ms", 0)))
        self._call_pending = True
        queue_ms = self._discovery.enqueue_poll()
        complete = not self._after or self._after > self._discovery.version
        self._discovery.on_poll(Call(self.caller, complete, queue_ms is None, queue_ms or 0.0))
        if queue_ms is None:
            self._call_pending = False
            self._write(http.response(503, retry_after=self._discovery.retry_after_ms))
        elif queue_ms > 0:
            self._timer = asyncio.get_running_loop().call_later(queue_ms / 1000, self._process_call)
        else:
            self._process_call()

    def update_available(self) -> None:
        """Something is new."""
        if self.watching:
            self._answer()

    def _process_call(self) -> None:
        """Its turn has come: answered at once, or it waits for something new."""
        self._timer = None
        if self._after is None or self.wait_ms <= 0 or self._discovery.version != self._after:
            self._answer()
        elif self._call_pending:
            self.watching = True
            self._discovery.begin_watch(self)
            self._timer = asyncio.get_running_loop().call_later(self.wait_ms / 1000, self._answer)

    def _answer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self.watching = None, False  # who is silent now has fallen silent for good
        if self._call_pending and not self._discovery.silent:
            self._call_pending = False
            self._discovery.answered_polls += 1
            self._write(http.response(200, self._discovery.list_after(self._after, self.caller)))
            self._end_call()

    def _end_call(self) -> None:
        """The call that waited is answered, or can be no more."""
        if self.call_number:
            self._discovery.on_watch_end(self.caller, self.call_number)
            self.call_number = 0

    def _write(self, data: bytes) -> None:
        self._discovery.written_bytes += len(data)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

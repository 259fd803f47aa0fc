"""Stand-in for service discovery: serves the complete endpoint list and watches for changes.

See PROTOCOL, *Dispatchers to the register*: ``GET /registry/instances``, with ``after`` and ``wait_ms`` for a watch.
One service answers all dispatchers and processes calls one after another. If calls have a processing time, they queue,
and a call that would wait too long is rejected.
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
"""Maximum milliseconds that a watch waits."""
MAX_CHANGES = 4096
"""Number of latest changes that are kept; a watch from an older version receives the complete list."""
BIND_RETRIES = 20
"""Retries to listen on a port that the service used before."""
BIND_RETRY_S = 0.05
"""Seconds between two bind retries."""


class Call(NamedTuple):
    """A call that was processed or rejected.

    Attributes:
        caller: name of the dispatcher.
        complete: whether the call receives the complete list.
        rejected: whether the call was rejected.
        waited_ms: milliseconds in the queue and in processing.
    """

    caller: str
    complete: bool
    rejected: bool
    waited_ms: float


class StandInDiscovery:
    """Servers by instance id, with a list version that each change increments.

    Attributes:
        instances: servers by instance id, in the format of the protocol.
        version: version of the list.
        answered_polls: number of calls that have been answered.
        written_bytes: bytes of all responses.
        silent: whether calls are read without being answered.
        call_ms: processing time of a call in milliseconds.
        max_wait_ms: milliseconds in the queue above which a call is rejected.
        reject_cost_ms: processing time of a rejected call in milliseconds.
        retry_after_ms: ``Retry-After`` of a rejection in milliseconds; 0 sends none.
        reject_share: share of calls that are rejected at any load, 0 to 1.
        connections: open connections.
        on_poll: called for each call.
        on_list_written: called with the caller, the instances and whether they are the complete list.
        on_watch: called with the caller, the call number and the milliseconds that the watch waits.
        on_watch_end: called with the caller and the call number when a watch is answered or its connection closes.
        on_change: called with the instance id and the lifecycle of a changed server.
        address_of: returns the address that a caller uses for a server, from the caller, the instance id and the
            server's own address.
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
        """Starts to listen for a caller, on the port of its previous listener if there was one; returns the port.

        Raises:
            OSError: if the port cannot be bound after ``BIND_RETRIES`` retries.
        """
        if caller in self._servers:
            return self._ports[caller]  # already listening
        loop, wanted = asyncio.get_running_loop(), port or self._ports.get(caller, 0)
        for retries_left in range(BIND_RETRIES, -1, -1):
            try:
                server = await loop.create_server(lambda: Connection(self, caller), host, wanted, backlog=512)
                break
            except OSError:  # free_port() binds a port briefly to test it
                if not retries_left:
                    raise
                await asyncio.sleep(BIND_RETRY_S)
        self._servers[caller] = server
        self._ports[caller] = int(server.sockets[0].getsockname()[1])
        return self._ports[caller]

    def close(self) -> None:
        """Stops listening, resets all connections and empties the queue."""
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        self._idle_at_ms = 0.0
        for connection in list(self.connections):
            connection.abort()

    def put(self, name: str, **fields: Any) -> None:
        """Adds a server or changes fields of one, such as ``hostPort``, ``zone``, ``machineType`` and ``lifecycle``."""
        defaults = {"instanceId": name, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0, "cell": 0}
        self.instances[name] = {**defaults, **self.instances.get(name, {}), **fields}
        self.version += 1
        self.on_change(name, self.instances[name]["lifecycle"])
        self._changed.append((self.version, name))
        del self._changed[:-MAX_CHANGES]
        for connection in list(self.connections):
            connection.update_available()

    def begin_watch(self, connection: "Connection") -> None:
        """Assigns a number to a call that begins to wait for a change, and reports the call."""
        self._watch_count += 1
        connection.call_number = self._watch_count
        self.on_watch(connection.caller, connection.call_number, connection.wait_ms)

    def restart_versions(self) -> None:
        """Restarts versions at 1, as a service does that lost its state."""
        self.version = 1
        self._changed = [(1, name) for name in self.instances]

    def list_after(self, after: int | None, caller: str = "") -> bytes:
        """Returns the encoded changes after a version.

        The complete list is returned if ``after`` is None or an unknown version, or if changes after this version are
        no longer kept.
        """
        covered = not self._changed or after is None or self._changed[0][0] <= after + 1
        if after is None or after > self.version or not covered:
            instances, complete = [*self.instances.values()], True
        else:
            names = dict.fromkeys(name for version, name in self._changed if version > after)
            instances, complete = [self.instances[name] for name in names], False
        self.on_list_written(caller, instances, complete)
        return orjson.dumps(self.table(caller, self.version, instances, complete))

    def table(self, caller: str, version: int, instances: list[dict[str, Any]], complete: bool) -> dict[str, Any]:
        """Returns a list in the format of the protocol, with the addresses that the caller uses."""
        visible = [{**i, "hostPort": self.address_of(caller, i["instanceId"], i["hostPort"])} for i in instances]
        return {"generation": version, "reset": complete, "instances": visible}

    def watching(self) -> list[str]:
        """Returns the callers that have a watch waiting for a change, sorted."""
        return sorted(connection.caller for connection in self.connections if connection.watching)

    def enqueue_poll(self) -> float | None:
        """Queues a call; returns the milliseconds until it is processed, or None if it is rejected."""
        now_ms = time.monotonic() * 1000
        queue_ms = max(0.0, self._idle_at_ms - now_ms)
        if queue_ms > self.max_wait_ms or (self.reject_share and self._random.random() < self.reject_share):
            self._idle_at_ms = max(now_ms, self._idle_at_ms) + self.reject_cost_ms
            return None
        self._idle_at_ms = now_ms + queue_ms + self.call_ms
        return queue_ms + self.call_ms


class Connection(asyncio.Protocol):
    """Connection of a dispatcher.

    Attributes:
        caller: name of the dispatcher.
        wait_ms: milliseconds that the latest call may wait for a change.
        watching: whether a call waits for a change.
        call_number: number of the watch that waits for an answer; 0 for none.
    """

    def __init__(self, discovery: StandInDiscovery, caller: str = "") -> None:
        self._discovery, self.caller = discovery, caller
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""
        self._after: int | None = None
        self.wait_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._call_pending = False
        self.watching = False
        self.call_number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._discovery.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the call that waits on the connection."""
        self._discovery.connections.discard(self)
        self._end_call()
        self.watching = self._call_pending = False
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses bytes of a call; invalid HTTP resets the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self.abort()

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the path and query."""
        self._target += url

    def on_message_complete(self) -> None:
        """Queues, rejects or processes a complete call."""
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
        """Answers a waiting watch after a change of the list."""
        if self.watching:
            self._answer()

    def _process_call(self) -> None:
        """Answers a call whose turn in the queue has come, or starts its wait for a change."""
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
        self._timer, self.watching = None, False  # a call that is due while the service is silent is never answered
        if self._call_pending and not self._discovery.silent:
            self._call_pending = False
            self._discovery.answered_polls += 1
            self._write(http.response(200, self._discovery.list_after(self._after, self.caller)))
            self._end_call()

    def _end_call(self) -> None:
        """Reports the end of a watch that was answered or whose connection closed."""
        if self.call_number:
            self._discovery.on_watch_end(self.caller, self.call_number)
            self.call_number = 0

    def _write(self, data: bytes) -> None:
        self._discovery.written_bytes += len(data)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

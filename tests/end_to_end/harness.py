"""Runs a complete dispatcher on real sockets with a manual clock, so that tests set the order of events.

The application runs on the event loop of the test. Stand-ins for service discovery, servers and clients act only when a
test calls them. :meth:`DispatcherHarness.pass_time` runs the deadlines in order, and lets all bytes arrive between two
deadlines.
"""

import asyncio
import contextlib
import json
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, cast
from unittest import mock

import uvloop
from exchange import SETTINGS, check_changes

from heronlug.config import platform as configs
from heronlug.config.desired_state import EMPTY
from heronlug.config.files import Files
from heronlug.lifecycle.application import Application
from heronlug.lifecycle.log import Log
from heronlug.standins.ports import free_port

START_TIME = 1_700_000_000_000.0
TIMEOUT_S = 10.0  # longest wait for an expected event; no speed is asserted
SETTLE_TURNS = 60  # turns of the loop after which bytes on loopback have arrived and been answered


class ManualClock:
    """A clock that advances only when a test sets ``time_ms``."""

    def __init__(self) -> None:
        self.time_ms = START_TIME

    def now(self) -> float:
        return self.time_ms


class StandInConnection(asyncio.Protocol):
    """A connection of a stand-in: collects the received bytes, and sends bytes when a test calls it."""

    def __init__(self, peer: "StandIn | None" = None) -> None:
        self.received, self.ended = b"", False
        self.transport: asyncio.Transport | None = None
        self.peer = peer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.peer is not None:
            self.peer.connections.append(self)

    def data_received(self, data: bytes) -> None:
        self.received += data

    def eof_received(self) -> bool:
        self.ended = True
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True

    def send(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    def send_now(self, data: bytes) -> None:
        """Sends bytes; they are in the kernel of the receiver when this method returns."""
        assert self.transport is not None
        os.write(self.transport.get_extra_info("socket").fileno(), data)

    def end_now(self, ending: str) -> None:
        """Sends a FIN or a reset, which is in the kernel of the receiver when this method returns."""
        assert self.transport is not None
        sock = socket.socket(fileno=os.dup(self.transport.get_extra_info("socket").fileno()))
        if ending == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_WR if ending == "close" else socket.SHUT_RDWR)
        sock.close()

    def take_request(self) -> bytes:
        """Removes and returns the next complete request, or returns ``b""`` if there is none."""
        head, gap, rest = self.received.partition(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0] or 0) if gap else 0
        if not gap or len(rest) < size:
            return b""
        self.received = rest[size:]
        return head + gap + rest[:size]

    def close(self) -> None:
        """Closes the connection with a FIN; bytes that arrive later are not read."""
        assert self.transport is not None
        self.transport.close()

    def half_close(self) -> None:
        assert self.transport is not None
        self.transport.write_eof()

    def reset(self) -> None:
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class BlockingClient:
    """A client on a blocking socket: the effect of each call is in the kernel when the call returns."""

    def __init__(self, address: str, receive_buffer_bytes: int = 0) -> None:
        """Connects; the kernel takes as many answers as it likes unless ``receive_buffer_bytes`` is not 0."""
        host, port = address.split(":")
        self.sock = socket.socket()
        self.sock.settimeout(TIMEOUT_S)
        if receive_buffer_bytes:  # before the connection is made, so that the window never grows
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.connect((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # sent bytes arrive immediately

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def received(self) -> bytes:
        """Returns the bytes that have arrived since the last call."""
        self.sock.setblocking(False)
        try:
            return self.sock.recv(65536)
        except BlockingIOError:
            return b""

    def leave(self, ending: str) -> None:
        """Disconnects.

        Args:
            ending: ``fin`` closes the connection, ``half`` closes only the sending direction, ``reset`` resets the
                connection, and ``behind`` sends the first bytes of a further request before a FIN.
        """
        if ending == "behind":
            self.sock.sendall(b"POST /sa")
        if ending == "half":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if ending == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class StandIn:
    """A listening stand-in for a server or for service discovery."""

    def __init__(self, name: str) -> None:
        self.name, self.connections = name, list[StandInConnection]()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    async def listen(self) -> None:
        self._server = await asyncio.get_running_loop().create_server(lambda: StandInConnection(self), sock=self.sock)

    async def refuse(self) -> None:
        """Stops listening: new connections are refused, and open connections stay open."""
        self._server.close()
        self.sock.close()
        await asyncio.sleep(0)

    @property
    def requests(self) -> int:
        """Returns the number of connections with received bytes that no test has taken."""
        return sum(1 for connection in self.connections if connection.received)

    async def request(self) -> tuple[StandInConnection, bytes]:
        """Waits for the next complete request; returns its connection and its bytes."""
        found: list[tuple[StandInConnection, bytes]] = []

        def request_has_come() -> bool:
            found.extend(
                (connection, data)
                for connection in self.connections
                if not found and (data := connection.take_request())
            )
            return bool(found)

        await until(request_has_come, f"a request at {self.name}")
        return found[0]

    async def unanswered_connection(self) -> StandInConnection:
        """Waits for a request on an open connection, takes the request and returns the connection."""
        await until(
            lambda: any(connection.received and not connection.ended for connection in self.connections),
            f"a request at {self.name}",
        )
        return next(
            connection
            for connection in self.connections
            if connection.received and not connection.ended and connection.take_request()
        )


async def until(condition: Callable[[], bool], description: str) -> None:
    """Waits until ``condition`` holds; raises ``AssertionError`` after ``TIMEOUT_S``."""
    for _ in range(int(TIMEOUT_S * 1000)):
        if condition():
            return
        await asyncio.sleep(0.001)
    msg = f"never: {description}"
    raise AssertionError(msg)


class DispatcherHarness:
    """Runs an application with its stand-ins.

    Attributes:
        clock: the clock of the application.
        lines: the logged events, each with its fields.
        discovery: the stand-in for service discovery.
        other_discovery: a second stand-in for service discovery, which a reload can configure.
        servers: the stand-ins for servers by name (``h1``, ``h2``, ...).
        raw: the configuration, as the file contains it.
        input_age_ms: time for which the bytes of clients have waited in the kernel when they are read.
    """

    def __init__(self, servers: int = 2, **changes: Any) -> None:
        self.clock, self.lines = ManualClock(), list[tuple[str, dict[str, object]]]()
        self.discovery, self.other_discovery = StandIn("service discovery"), StandIn("other service discovery")
        self.servers = {f"h{n + 1}": StandIn(f"h{n + 1}") for n in range(servers)}
        settings = {**SETTINGS, "instances": 1, **changes.pop("settings", {})}
        for table in ("limits", "safety"):
            settings[table] = {**SETTINGS[table], **changes.pop(table, {})}
        self.listen = f"127.0.0.1:{free_port()}"
        sockets, listed = changes.pop("sockets", 1024), changes.pop("listed", self.servers)
        memory_mb = changes.pop("memory_mb", 192)
        check_changes(changes)
        self.raw = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": "ab12",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.endpoint_list(3, *listed),
            "settings": settings,
            **changes,
        }
        self.level = "debug"
        self.input_age_ms = 0.0
        self.application: Application
        self._serving: asyncio.Task[None]

    def __call__(self, event: str, **fields: object) -> None:
        """Records an event that the application logs."""
        self.lines.append((event, fields))

    def load(self, again: bool = False) -> tuple[configs.Config, dict[str, Any]]:
        """Returns the configuration and the desired state that the application reads, in place of its files."""
        return configs.parse(self.raw, "the test"), EMPTY

    def endpoint_list(self, version: int, *lines: str, whole: bool = True) -> dict[str, Any]:
        """Returns an endpoint list.

        Args:
            version: the version of the list.
            lines: the servers, each as ``NAME`` or ``NAME:STATE``; the default state is ``active``.
            whole: whether the list is complete, or only changes.
        """
        entries = []
        for line in lines:
            name, _, state = line.partition(":")
            entries.append(
                {
                    "instanceId": name,
                    "hostPort": self.servers[name].address,
                    "zone": "a",
                    "machineType": "m1",
                    "cell": 0,
                    "lifecycle": state or "active",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
            )
        return {"generation": version, "reset": whole, "instances": entries}

    def list_response(self, version: int, *lines: str, whole: bool = False, indent: int | None = None) -> bytes:
        """Returns a response of service discovery with an endpoint list."""
        body = json.dumps(self.endpoint_list(version, *lines, whole=whole), indent=indent).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    async def turn_once(self) -> None:
        """Lets the loop turn once."""
        await asyncio.sleep(0)

    async def settle(self) -> None:
        """Lets all sent bytes arrive and be answered."""
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

    async def pass_time(self, duration_ms: float) -> None:
        """Advances the clock, and runs each deadline at its time."""
        await self.settle()
        end, deadlines = self.clock.time_ms + duration_ms, self.application.deadline_loop.deadlines
        while (next_due := deadlines.next_due()) is not None and next_due <= end:
            self.clock.time_ms = max(self.clock.time_ms, next_due)
            self.application.turn()
            await self.settle()
        self.clock.time_ms = end
        self.application.turn()
        await self.settle()

    async def until_time(self, duration_ms: float) -> None:
        """Advances the clock to a time after the start."""
        await self.pass_time(START_TIME + duration_ms - self.clock.time_ms)

    async def client(self) -> StandInConnection:
        """Opens a connection of a client."""
        host, port = self.listen.split(":")
        _, connection = await asyncio.get_running_loop().create_connection(StandInConnection, host, int(port))
        return connection

    async def post(
        self, request_id: str, class_name: str = "safe", remaining: int = 4000, client: StandInConnection | None = None
    ) -> StandInConnection:
        """Sends a request of a client, which has ``remaining`` ms left, and returns the client."""
        client = client or await self.client()
        client.send(request_bytes(request_id, class_name, remaining))
        await self.settle()
        return client

    async def confirm(self) -> None:
        """Answers the first poll: service discovery confirms the endpoint list."""
        call, poll = await self.discovery.request()
        assert b"?after=3&wait_ms=0 " in poll
        call.send(self.list_response(3))
        await self.settle()

    def blocking_client(self, receive_buffer_bytes: int = 0) -> BlockingClient:
        """Opens a connection of a client on a blocking socket."""
        return BlockingClient(self.listen, receive_buffer_bytes)

    def stall(self, duration_ms: float) -> None:
        """Advances the clock without a turn of the loop."""
        self.clock.time_ms += duration_ms

    def logged(self, event: str) -> list[dict[str, object]]:
        """Returns the fields of the logged events with this name."""
        return [fields for name, fields in self.lines if name == event]

    @contextlib.asynccontextmanager
    async def open(self, confirmed: bool = True) -> AsyncIterator["DispatcherHarness"]:
        """Runs the application.

        Args:
            confirmed: whether service discovery confirms the endpoint list; the next poll is then a watch that waits.
        """
        for standin in (self.discovery, self.other_discovery, *self.servers.values()):
            await standin.listen()
        folder = os.environ.pop("TMPDIR", None)
        try:
            with mock.patch("heronlug.lifecycle.deadline_loop.Clock", return_value=self.clock):
                self.application = Application(self.load()[0], cast(Files, self), cast(Log, self))
        finally:
            if folder is not None:
                os.environ["TMPDIR"] = folder
        self._serving = asyncio.get_running_loop().create_task(self.application.run(EMPTY, ""))
        kernel_clock = mock.patch(
            "heronlug.frontends.http.client_input.input_age_ms", side_effect=lambda transport: self.input_age_ms
        )
        kernel_clock.start()
        await until(lambda: bool(self.logged("started") or self._serving.done()), "the start")
        await self.settle()
        try:
            if confirmed:
                await self.confirm()
            yield self
        finally:
            self.application.stopped.set()
            with mock.patch.object(self.application, "_open_work", return_value=0):  # the test may leave clients open
                await asyncio.wait_for(self._serving, TIMEOUT_S)
            kernel_clock.stop()
        assert not self.logged("exception"), self.logged("exception")

    @property
    def ended(self) -> bool:
        """Returns whether the application has stopped without a call of the harness."""
        return self._serving.done() or self.application.stopped.is_set()


def request_id_of(request: bytes) -> str:
    """Returns the id of a request that a server has received."""
    return request.partition(b"x-txn: ")[2].partition(b"\r\n")[0].decode()


def request_bytes(request_id: str, class_name: str, remaining: int) -> bytes:
    """Returns a request of a client."""
    names = f"X-Txn: {request_id}\r\nX-Lane: {class_name}\r\nX-Remaining-Ms: {remaining}\r\n"
    return f"POST /{class_name} HTTP/1.1\r\nHost: x\r\n{names}Content-Length: 2\r\n\r\nhi".encode()


def progress_chunk(request_id: str, state: str, result: str = "") -> bytes:
    """Returns a chunk with one progress line of a server."""
    text = json.dumps({"id": request_id, "from": "h", "state": state, **({"result": result} if result else {})}) + "\n"
    return f"{len(text):x}\r\n{text}\r\n".encode()


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


def done(request_id: str, result: str = "ok") -> bytes:
    """Returns a complete response of a server."""
    return RESPONSE_HEAD + progress_chunk(request_id, "done", result) + LAST_CHUNK


def served(client: StandInConnection) -> bool:
    """Returns whether a client has received its complete result."""
    return client.received.startswith(b"HTTP/1.1 200 ") and client.received.endswith(b"ok")


def run_async(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a test on the same kind of event loop as the program."""
    uvloop.run(test())

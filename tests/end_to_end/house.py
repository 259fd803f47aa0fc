"""A whole dispatcher on real sockets whose clock is moved by hand: orders of events are made, not waited for.

The daemon runs in this process on its own loop, with real connections to stand-ins for the register, hosts and clients
that do only what a test tells them: answer, hold, break off at a byte, fall silent. Its time stands still but for
:meth:`House.pass_time`, which fires each deadline in its order and lets all bytes arrive between two of them.
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
from exchange import SETTINGS

from heronlug.config import platform as configs
from heronlug.config.desired_state import EMPTY
from heronlug.config.files import Files
from heronlug.lifecycle.application import Application
from heronlug.lifecycle.log import Log
from heronlug.standins.ports import free_port

BEGIN = 1_700_000_000_000.0
PATIENCE = 10.0  # s for something that must come; no speed is asserted
TURNS = 60  # of the loop, in which bytes on loopback have arrived and been answered


class Hand:
    """The clock."""

    def __init__(self) -> None:
        self.at = BEGIN

    def now(self) -> float:
        return self.at


class End(asyncio.Protocol):
    """A stand-in's end of a connection: it keeps what comes, and sends what a test says."""

    def __init__(self, peer: "StandIn | None" = None) -> None:
        self.got, self.over = b"", False
        self.transport: asyncio.Transport | None = None
        self.peer = peer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.peer is not None:
            self.peer.ends.append(self)

    def data_received(self, data: bytes) -> None:
        self.got += data

    def eof_received(self) -> bool:
        self.over = True
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True

    def send(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    def send_now(self, data: bytes) -> None:
        """The same, and the bytes are in the other side's kernel when this returns."""
        assert self.transport is not None
        os.write(self.transport.get_extra_info("socket").fileno(), data)

    def end_now(self, way: str) -> None:
        """A FIN, or a reset, that is in the other side's kernel when this returns."""
        assert self.transport is not None
        sock = socket.socket(fileno=os.dup(self.transport.get_extra_info("socket").fileno()))
        if way == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_WR if way == "close" else socket.SHUT_RDWR)
        sock.close()

    def take(self) -> bytes:
        """The next whole request of those that have come, or nothing."""
        head, gap, rest = self.got.partition(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0] or 0) if gap else 0
        if not gap or len(rest) < size:
            return b""
        self.got = rest[size:]
        return head + gap + rest[:size]

    def close(self) -> None:
        """A FIN; behind it nothing is read."""
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


class Kernel:
    """A client whose every act is done when the call returns, though no loop has turned: its bytes and its end wait."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), PATIENCE)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is sent is there at once

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def got(self) -> bytes:
        """What has come so far."""
        self.sock.setblocking(False)
        try:
            return self.sock.recv(65536)
        except BlockingIOError:
            return b""

    def leave(self, way: str) -> None:
        """``fin``, ``half`` for the end of its sending alone, ``reset``, or ``behind`` bytes of a next request."""
        if way == "behind":
            self.sock.sendall(b"POST /sa")
        if way == "half":
            self.sock.shutdown(socket.SHUT_WR)
            return
        if way == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class StandIn:
    """A listening stand-in: a host, or the register."""

    def __init__(self, name: str) -> None:
        self.name, self.ends = name, list[End]()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    async def listen(self) -> None:
        self._server = await asyncio.get_running_loop().create_server(lambda: End(self), sock=self.sock)

    async def refuse(self) -> None:
        """Listen no more: dials are refused, and the connections that are open stay."""
        self._server.close()
        self.sock.close()
        await asyncio.sleep(0)

    @property
    def requests(self) -> int:
        """First bytes of requests that have come and not been taken."""
        return sum(1 for end in self.ends if end.got)

    async def request(self) -> tuple[End, bytes]:
        """The next whole request, and where it came."""
        found: list[tuple[End, bytes]] = []

        def come() -> bool:
            found.extend((end, data) for end in self.ends if not found and (data := end.take()))
            return bool(found)

        await until(come, f"a request at {self.name}")
        return found[0]

    async def latest(self) -> End:
        """The request that still waits for an answer."""
        await until(lambda: any(end.got and not end.over for end in self.ends), f"a request at {self.name}")
        return next(end for end in self.ends if end.got and not end.over and end.take())


async def until(true: Callable[[], bool], what: str) -> None:
    """Wait for an event that must come."""
    for _ in range(int(PATIENCE * 1000)):
        if true():
            return
        await asyncio.sleep(0.001)
    raise AssertionError(f"never: {what}")


class House:
    """The daemon and its stand-ins."""

    def __init__(self, hosts: int = 2, **changes: Any) -> None:
        self.clock, self.lines = Hand(), list[tuple[str, dict[str, object]]]()
        self.register, self.other = StandIn("register"), StandIn("other register")
        self.hosts = {f"h{n + 1}": StandIn(f"h{n + 1}") for n in range(hosts)}
        settings = {**SETTINGS, "instances": 1, **changes.pop("settings", {})}
        for table in ("limits", "safety"):
            settings[table] = {**SETTINGS[table], **changes.pop(table, {})}
        self.listen = f"127.0.0.1:{free_port()}"
        self.raw = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.register.address,
            "seed": "ab12",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": changes.pop("sockets", 1024)},
            "known": self.listed(3, *changes.pop("listed", self.hosts)),
            "settings": settings,
            **changes,
        }
        self.level = "debug"
        self.daemon: Application
        self._serving: asyncio.Task[None]

    def __call__(self, event: str, **fields: object) -> None:
        """The daemon's log."""
        self.lines.append((event, fields))

    def load(self, again: bool = False) -> tuple[configs.Config, dict[str, Any]]:
        """The daemon's files."""
        return configs.parse(self.raw, "the test"), EMPTY

    def listed(self, version: int, *lines: str, whole: bool = True) -> dict[str, Any]:
        """A list; a line is a host's name, with its state if that is not ``active``."""
        entries = []
        for line in lines:
            name, _, state = line.partition(":")
            entries.append(
                {
                    "instanceId": name,
                    "hostPort": self.hosts[name].address,
                    "zone": "a",
                    "machineType": "m1",
                    "cell": 0,
                    "lifecycle": state or "active",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
            )
        return {"generation": version, "reset": whole, "instances": entries}

    def news(self, version: int, *lines: str, whole: bool = False, indent: int | None = None) -> bytes:
        """The register's answer."""
        body = json.dumps(self.listed(version, *lines, whole=whole), indent=indent).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    async def turn_once(self) -> None:
        """Let the loop turn once."""
        await asyncio.sleep(0)

    async def settle(self) -> None:
        """Let all that is under way arrive."""
        for _ in range(TURNS):
            await asyncio.sleep(0)

    async def pass_time(self, ms: float) -> None:
        """Let so much time pass for the daemon."""
        await self.settle()
        end, deadlines = self.clock.at + ms, self.daemon.deadline_loop.deadlines
        while (head := deadlines.next_due()) is not None and head <= end:
            self.clock.at = max(self.clock.at, head)
            self.daemon.turn()
            await self.settle()
        self.clock.at = end
        self.daemon.turn()
        await self.settle()

    async def until_time(self, ms: float) -> None:
        """The same, up to so long after the start."""
        await self.pass_time(BEGIN + ms - self.clock.at)

    async def client(self) -> End:
        """A client's connection."""
        host, port = self.listen.split(":")
        _, end = await asyncio.get_running_loop().create_connection(End, host, int(port))
        return end

    async def post(self, txn: str, lane: str = "safe", remaining: int = 4000, client: End | None = None) -> End:
        """A client hands in a job."""
        client = client or await self.client()
        client.send(message(txn, lane, remaining))
        await self.settle()
        return client

    async def confirm(self) -> None:
        """The register answers that the list is up to date."""
        call, asked = await self.register.request()
        assert b"?after=3&wait_ms=0 " in asked
        call.send(self.news(3))
        await self.settle()

    def kernel(self) -> Kernel:
        """A client that needs no loop."""
        return Kernel(self.listen)

    def stall(self, ms: float) -> None:
        """Time passes, and the daemon's loop does not turn."""
        self.clock.at += ms

    def logged(self, event: str) -> list[dict[str, object]]:
        """The lines of a kind so far."""
        return [fields for name, fields in self.lines if name == event]

    @contextlib.asynccontextmanager
    async def open(self, confirmed: bool = True) -> AsyncIterator["House"]:
        """A running daemon, whose list the register has ``confirmed``; the watch that follows has been asked for."""
        for standin in (self.register, self.other, *self.hosts.values()):
            await standin.listen()
        folder = os.environ.pop("TMPDIR", None)
        try:
            with mock.patch("heronlug.lifecycle.deadline_loop.Clock", lambda: self.clock):
                self.daemon = Application(self.load()[0], cast(Files, self), cast(Log, self))
        finally:
            if folder is not None:
                os.environ["TMPDIR"] = folder
        self._serving = asyncio.get_running_loop().create_task(self.daemon.run(EMPTY, ""))
        await until(lambda: bool(self.logged("started") or self._serving.done()), "the start")
        await self.settle()
        try:
            if confirmed:
                await self.confirm()
            yield self
        finally:
            self.daemon.stopped.set()
            await asyncio.wait_for(self._serving, PATIENCE)
        assert not self.logged("exception"), self.logged("exception")

    @property
    def ended(self) -> bool:
        """Whether the daemon has left by itself."""
        return self._serving.done() or self.daemon.stopped.is_set()


def name_of(request: bytes) -> str:
    """Whose request a host has got."""
    return request.partition(b"x-txn: ")[2].partition(b"\r\n")[0].decode()


def message(txn: str, lane: str, remaining: int) -> bytes:
    """A client's request."""
    head = f"POST /{lane} HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\nX-Remaining-Ms: {remaining}\r\n"
    return head.encode() + b"Content-Length: 2\r\n\r\nhi"


def line(txn: str, state: str, more: str = "") -> bytes:
    """A chunk with one line of a host."""
    text = json.dumps({"id": txn, "from": "h", "state": state, **({"result": more} if more else {})}) + "\n"
    return f"{len(text):x}\r\n{text}\r\n".encode()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST = b"0\r\n\r\n"
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


def done(txn: str, result: str = "ok") -> bytes:
    """A host's whole answer."""
    return HEAD + line(txn, "done", result) + LAST


def served(client: End) -> bool:
    """Whether a client has its result."""
    return client.got.startswith(b"HTTP/1.1 200 ") and client.got.endswith(b"ok")


def play(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test on the loop that the program runs on."""
    uvloop.run(test())

"""Clients of an upgrade run: they keep their connections, and record how each of their requests ended."""

import asyncio
import secrets
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import httptools

from heronlug.faults.upgrades.plan import ClientKind, UpgradePlan
from heronlug.net.http import format_address

READ_SIZE = 65536
"""Number of bytes that a client reads at a time."""
RECONNECT_PAUSE_S = 0.02
"""Pause before another attempt to connect, in seconds."""
HEALTH_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: clients\r\n\r\n"
BODY_BYTES = 40
"""Size of the body of a request, in bytes."""
SMALL_RECEIVE_BUFFER = 4096
"""Size of the receive buffer of a client that reads slowly, in bytes."""


class End(Enum):
    """How a request ended for its client; the values appear in reports."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    BAD = "bad"
    """An answer with another status."""

    LOST = "lost"
    """The connection ended without a whole answer."""

    CROSSED = "crossed"
    """A kept connection was closed while the request was in transit, unread: the client sends it once more."""

    KILLED = "killed"
    """The process that had the connection was killed outright."""

    TIMEOUT = "timeout"
    """No answer within the deadline of the request class."""


@dataclass
class RequestRecord:
    """A request and its end.

    Attributes:
        request_id: Id of the request.
        class_name: Request class.
        kind: Kind of the client.
        sent_at: Unix time at which the last byte was written, in seconds.
        first: Whether the request is the first one on its connection.
        end: End of the request; None while the client waits.
        ended_at: Unix time of the end, in seconds.
        client_address: Local address of the connection.
        connected_at: Unix time at which the client began to open the connection, in seconds.
        answer_begun: Whether a part of the answer had arrived when the connection ended.
    """

    request_id: str
    class_name: str
    kind: ClientKind
    sent_at: float
    first: bool
    client_address: str
    connected_at: float
    answer_begun: bool = False
    end: End | None = None
    ended_at: float = 0.0

    def finish(self, end: End) -> None:
        """Records the end of the request."""
        self.end, self.ended_at = end, time.time()


END_OF_STATUS = {200: End.SERVED, 429: End.REFUSED, 503: End.REFUSED, 500: End.FAILED}


class ResponseParser:
    """Collects the statuses of complete responses."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.keep_alive = True
        self.begun = False
        self._parser: Any = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parses bytes of responses."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Records that a response has begun."""
        self.begun = True

    def on_message_complete(self) -> None:
        """Records a complete response."""
        self.statuses.append(self._parser.get_status_code())
        self.keep_alive = self._parser.should_keep_alive()
        self.begun = False


class ClientConnection:
    """A connection of a client on a non-blocking socket."""

    def __init__(self, sock: socket.socket, connected_at: float) -> None:
        self.sock = sock
        self.address = format_address(sock.getsockname())
        self.connected_at = connected_at
        self.requests = 0
        self.parser = ResponseParser()

    async def send(self, data: bytes) -> None:
        """Sends bytes; an error shows when the answer is read."""
        with suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read(self) -> bool:
        """Reads more bytes of responses; returns False at the end of the connection."""
        try:
            data = await asyncio.get_running_loop().sock_recv(self.sock, READ_SIZE)
        except OSError:
            return False
        if not data:
            return False
        self.parser.feed(data)
        return True

    def has_ended(self) -> bool:
        """Returns whether the dispatcher has closed the connection, as far as this machine knows."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


@dataclass
class Crowd:
    """All clients of a run.

    Attributes:
        plan: Plan of the run.
        port: Port of the dispatcher on loopback.
        records: All requests.
        refused_connects: Number of connections that were refused or reset before they were established.
    """

    plan: UpgradePlan
    port: int
    records: list[RequestRecord] = field(default_factory=list)
    refused_connects: int = 0
    _over: bool = False

    async def run(self) -> None:
        """Runs all clients for the span of the plan, and then until each has its last answer."""
        rng = Random(self.plan.seed)
        tasks = [
            asyncio.create_task(self._client(kind, Random(rng.random())))
            for kind, count in self.plan.clients.items()
            for _ in range(count)
        ]
        await asyncio.sleep(self.plan.span_s)
        self._over = True
        await asyncio.gather(*tasks)

    async def _client(self, kind: ClientKind, rng: Random) -> None:
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        while not self._over:
            try:
                async with self._connect(kind) as connection:
                    await self._use(connection, kind, rng)
            except OSError:
                self.refused_connects += 1
                await asyncio.sleep(RECONNECT_PAUSE_S)

    @asynccontextmanager
    async def _connect(self, kind: ClientKind) -> AsyncIterator[ClientConnection]:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            if kind is ClientKind.SLOW_READER:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connected_at = time.time()
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
            yield ClientConnection(sock, connected_at)
        finally:
            sock.close()

    async def _use(self, connection: ClientConnection, kind: ClientKind, rng: Random) -> None:
        if kind in (ClientKind.SILENT, ClientKind.HEALTH_CHECKED):
            await self._rest(connection, kind)
            return
        while not self._over and not connection.has_ended():
            if not await self._send_requests(connection, kind, rng):
                return
            await asyncio.sleep(rng.uniform(*self.plan.pause_s))

    async def _rest(self, connection: ClientConnection, kind: ClientKind) -> None:
        if kind is ClientKind.HEALTH_CHECKED:
            await connection.send(HEALTH_CHECK)
        reading = asyncio.create_task(self._read_until_end(connection))
        while not self._over and not reading.done():
            await asyncio.sleep(0.1)
        reading.cancel()
        await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _read_until_end(self, connection: ClientConnection) -> None:
        while await connection.read():
            pass

    async def _send_requests(self, connection: ClientConnection, kind: ClientKind, rng: Random) -> bool:
        """Sends requests and waits for their ends; returns whether the connection can be used again."""
        count = 2 if kind is ClientKind.PAIRS else 1
        chosen = [(secrets.token_hex(8), rng.choice(list(self.plan.deadlines_s))) for _ in range(count)]
        data = b"".join(request_bytes(*each, self.plan.deadlines_s[each[1]]) for each in chosen)
        if kind is ClientKind.HALVES:
            cut = rng.randrange(1, len(data))
            await connection.send(data[:cut])
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            data = data[cut:]
            if connection.has_ended():
                return False
        await connection.send(data)
        sent_at = time.time()
        records = [
            RequestRecord(
                *each, kind, sent_at, connection.requests + number == 0, connection.address, connection.connected_at
            )
            for number, each in enumerate(chosen)
        ]
        connection.requests += count
        self.records += records
        if kind is ClientKind.SLOW_READER:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
        return await self._read_answers(connection, records)

    async def _read_answers(self, connection: ClientConnection, records: list[RequestRecord]) -> bool:
        connection.parser.statuses.clear()
        wait_s = max(self.plan.deadlines_s[record.class_name] for record in records)  # answers come in order
        try:
            async with asyncio.timeout(wait_s + LATE_S + self.plan.longest_pause_s):
                for record in records:
                    if not await self._read_answer(connection, record):
                        _end_all(records, connection.parser.begun)
                        return False
        except TimeoutError:
            for record in records:
                if record.end is None:
                    record.finish(End.TIMEOUT)
            return False
        return connection.parser.keep_alive

    async def _read_answer(self, connection: ClientConnection, record: RequestRecord) -> bool:
        while not connection.parser.statuses:
            if not await connection.read():
                return False
        record.finish(END_OF_STATUS.get(connection.parser.statuses.pop(0), End.BAD))
        return True


LATE_S = 0.5
"""Time after the deadline of a request until which its answer still counts, in seconds."""


def request_bytes(request_id: str, class_name: str, deadline_s: float) -> bytes:
    """Returns a request as a client sends it."""
    remaining_ms = round(deadline_s * 1000)
    return (
        f"POST /{class_name} HTTP/1.1\r\nHost: clients\r\nX-Txn: {request_id}\r\nX-Lane: {class_name}\r\n"
        f"X-Remaining-Ms: {remaining_ms}\r\nIdempotency-Key: {request_id * 2}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    ).encode() + b"b" * BODY_BYTES


def _end_all(records: list[RequestRecord], answer_begun: bool) -> None:
    """Records the ends of the requests whose connection has ended."""
    for record in records:
        if record.end is None:
            record.answer_begun = answer_begun
            record.finish(End.LOST)

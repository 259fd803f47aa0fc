"""Runs abusive clients in a process of their own: ``python -m heronlug.faults.abuse.clients JSON``.

The process prints the figures of its clients as one JSON object when it ends.
"""

import asyncio
import secrets
import socket
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from typing import Any

import httptools
import msgspec
import uvloop

from heronlug.faults.abuse import payloads
from heronlug.faults.abuse.plan import HOLDING_KINDS, Abuse, AbuseKind

OWED_WITHIN_S = 3.0
"""Time within which a client that sends no whole request is owed an error or a close, in seconds."""
LARGE_BODY_OWED_WITHIN_S = 6.0
"""The same for a client that has a large body to send, in seconds."""
READ_BYTES = 65536
"""Number of bytes that a client reads at a time."""
SEND_BYTES = 65536
"""Number of bytes that a flooding client sends at a time."""
RECONNECT_PAUSE_S = 0.02
"""Pause after a refused connect, in seconds."""
TRICKLE_PAUSE_S = 0.01
"""Pause between two pieces of a trickled request, in seconds."""
TRICKLE_BYTES = 8
"""Largest piece of a trickled request, in bytes."""
SMALL_RECEIVE_BUFFER = 4096
"""Size of the receive buffer of a client that does not read, in bytes."""
ANSWER_CHECK_S = 0.05
"""Interval between two checks whether all answers have come, in seconds."""
LAST_CONNECTION_S = 6.0
"""Time for which a connection may stay open after the end of the abuse, in seconds."""
LEAVE_AFTER_S = (0.005, 0.3)
"""Minimum and maximum time after which a client leaves with its requests unread, in seconds."""
SEND_WITHIN_S = 1.0
"""Time after which a client closes its connection although it could not send all of its requests, in seconds."""

CLOSED_AT = "closed at"
"""Name among the figures of the Unix times at which clients closed their connections, by client id."""
CLIENT_ID_END = "-"
"""Ends the id of the client at the beginning of a request id."""
REPEAT_HELD_S = (0.02, 0.2)
"""Minimum and maximum time for which a client waits for the answer to a repeated id, in seconds."""
LEAVE_RUNNING_AFTER_S = (0.012, 0.03)
"""Minimum and maximum time after which a client leaves its request, most of which run by then, in seconds."""
NON_IDEMPOTENT_CLASS = "once"
"""Class of the requests whose ids come again."""


class AbuserConfig(msgspec.Struct, frozen=True):
    """What the clients of one process do.

    Attributes:
        port: Port of the dispatcher on loopback.
        seed: Seed of all random draws.
        class_names: Names of the request classes.
        abuse: The clients.
    """

    port: int
    seed: int
    class_names: list[str]
    abuse: Abuse


class Answers:
    """Counts the statuses of responses by code.

    Attributes:
        count: Number of responses.
    """

    def __init__(self, statuses: Counter[int]) -> None:
        self.count = 0
        self._statuses = statuses
        self._parser: Any = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parses bytes of responses."""
        with suppress(httptools.HttpParserError):
            self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Counts a complete response."""
        self.count += 1
        self._statuses[self._parser.get_status_code()] += 1


class Connection:
    """A connection of an abusive client on a non-blocking socket."""

    def __init__(self, sock: socket.socket, statuses: Counter[int]) -> None:
        self.sock = sock
        self.opened_at = asyncio.get_running_loop().time()
        self.ended = asyncio.Event()
        self.client_id = ""  # with which the ids of its requests begin, if no attempt may begin after its close
        self.answers = Answers(statuses)

    async def send(self, data: bytes) -> bool:
        """Sends bytes; returns False once the dispatcher has closed the connection."""
        try:
            await asyncio.get_running_loop().sock_sendall(self.sock, data)
        except OSError:
            return False
        return not self.ended.is_set()

    async def read(self) -> None:
        """Reads answers until the dispatcher closes the connection."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while data := await loop.sock_recv(self.sock, READ_BYTES):
                self.answers.feed(data)
        self.ended.set()

    async def hold(self, seconds: float) -> None:
        """Waits until the dispatcher closes the connection, at most for a time."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self.ended.wait(), seconds)


class Abusers:
    """The abusive clients of one process."""

    def __init__(self, config: AbuserConfig) -> None:
        self._config = config
        self._rng = Random(config.seed)
        self._statuses: Counter[int] = Counter()
        self._counts: Counter[str] = Counter()
        self._abandoned_ids: list[str] = []
        self._closed_at: dict[str, float] = {}
        self._ends_at = 0.0

    async def run(self) -> dict[str, Any]:
        """Runs all clients and returns their figures."""
        self._ends_at = asyncio.get_running_loop().time() + self._config.abuse.span_s
        clients = [asyncio.create_task(self._client()) for _ in range(self._config.abuse.clients)]
        await asyncio.gather(*clients)
        statuses = {str(status): count for status, count in sorted(self._statuses.items())}
        return {**dict(sorted(self._counts.items())), "statuses": statuses, CLOSED_AT: self._closed_at}

    @property
    def _over(self) -> bool:
        return asyncio.get_running_loop().time() >= self._ends_at

    async def _client(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.2))
        while not self._over:
            try:
                await self._use_connection()
            except OSError:
                self._counts["refused"] += 1
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _use_connection(self) -> None:
        kind = self._config.abuse.kind
        with socket.socket() as sock:
            sock.setblocking(False)
            if kind is AbuseKind.UNREAD_ANSWERS:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
            async with asyncio.timeout_at(self._ends_at + LAST_CONNECTION_S):
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self._config.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._counts["connections"] += 1
            connection = Connection(sock, self._statuses)
            reading = asyncio.create_task(connection.read()) if kind is not AbuseKind.UNREAD_ANSWERS else None
            try:
                async with asyncio.timeout_at(self._ends_at + LAST_CONNECTION_S):
                    await ACTIONS[kind](self, connection)
            except TimeoutError:
                self._counts["timeouts"] += 1
            finally:
                if reading is not None:
                    reading.cancel()
                    with suppress(asyncio.CancelledError):
                        await reading
            self._judge(connection)
        if connection.client_id:
            self._closed_at[connection.client_id] = time.time()

    def _judge(self, connection: Connection) -> None:
        """Counts a connection without a whole request that got neither an error nor a close in time."""
        kind = self._config.abuse.kind
        owed_within = LARGE_BODY_OWED_WITHIN_S if kind is AbuseKind.LARGE_BODY else OWED_WITHIN_S
        waited = asyncio.get_running_loop().time() - connection.opened_at
        if kind in HOLDING_KINDS and not connection.ended.is_set() and waited > owed_within:
            self._counts["owed"] += 1

    # -- what a client does on a connection

    def _class_name(self) -> str:
        return self._rng.choice(self._config.class_names)

    async def _send_and_hold(self, connection: Connection, data: bytes) -> None:
        await connection.send(data)
        await connection.hold(self._rng.uniform(*self._config.abuse.hold_s))

    async def half_body(self, connection: Connection) -> None:
        """Sends a part of a body and holds the connection."""
        await self._send_and_hold(connection, payloads.half_body(self._class_name(), self._rng))

    async def many_fields(self, connection: Connection) -> None:
        """Sends an unfinished head of many fields and holds the connection."""
        await self._send_and_hold(connection, payloads.many_fields(self._class_name(), self._rng))

    async def long_field(self, connection: Connection) -> None:
        """Sends an unfinished head with a long field and holds the connection."""
        await self._send_and_hold(connection, payloads.long_field(self._class_name(), self._rng))

    async def queued_bodies(self, connection: Connection) -> None:
        """Sends several requests at once and holds the connection."""
        await self._send_and_hold(connection, payloads.queued_bodies(self._class_name()))

    async def small_chunks(self, connection: Connection) -> None:
        """Sends a body of small chunks and holds the connection."""
        await self._send_and_hold(connection, payloads.small_chunks(self._class_name(), self._rng))

    async def trickle(self, connection: Connection) -> None:
        """Sends a request a few bytes at a time."""
        data = payloads.request(self._class_name(), body_bytes=200)
        for piece in payloads.pieces(data, self._rng, TRICKLE_BYTES):
            if not await connection.send(piece):
                return
            await asyncio.sleep(TRICKLE_PAUSE_S)
        await connection.hold(self._rng.uniform(*self._config.abuse.hold_s))

    async def silent(self, connection: Connection) -> None:
        """Sends nothing."""
        await connection.hold(self._rng.uniform(*self._config.abuse.hold_s))

    async def large_body(self, connection: Connection) -> None:
        """Sends a body that is too large until the dispatcher closes the connection."""
        block = b"b" * SEND_BYTES
        sent = await connection.send(payloads.large_body_head(self._class_name()))
        for _ in range(payloads.LARGE_BODY_BYTES // SEND_BYTES):
            sent = sent and await connection.send(block)
            if not sent or self._over:
                return
        await connection.hold(self._rng.uniform(*self._config.abuse.hold_s))

    async def unread_answers(self, connection: Connection) -> None:
        """Sends requests one after another without reading the answers."""
        while not self._over and await connection.send(payloads.HEALTH_CHECK * 100 + payloads.request("safe")):
            await asyncio.sleep(0)

    async def sound_flood(self, connection: Connection) -> None:
        """Sends sound requests at full speed, and waits for all answers."""
        name = self._class_name()
        sent = 0
        while not self._over and await connection.send(b"".join(payloads.request(name) for _ in range(100))):
            sent += 100
            await asyncio.sleep(0)
        while not connection.ended.is_set() and connection.answers.count < sent:
            await connection.hold(ANSWER_CHECK_S)
        self._counts["sent"] += sent
        self._counts["unanswered"] += max(0, sent - connection.answers.count)

    async def unsound_flood(self, connection: Connection) -> None:
        """Sends unsound requests at full speed."""
        while not self._over and await connection.send(b"".join(payloads.unsound_request() for _ in range(100))):
            await asyncio.sleep(0)

    async def health_flood(self, connection: Connection) -> None:
        """Sends health checks at full speed."""
        while not self._over and await connection.send(payloads.HEALTH_CHECK * 1000):
            await asyncio.sleep(0)

    async def leaves_unread(self, connection: Connection) -> None:
        """Sends many requests at once and leaves."""
        count = self._rng.randint(2, 300)
        await connection.send(b"".join(payloads.request(self._class_name()) for _ in range(count)))
        await connection.hold(self._rng.uniform(*LEAVE_AFTER_S))

    async def repeated_id(self, connection: Connection) -> None:
        """Sends a request whose client left while it ran once more, or leaves while a new request runs."""
        if self._abandoned_ids:
            self._counts["repeated"] += 1
            await connection.send(payloads.request(NON_IDEMPOTENT_CLASS, request_id=self._abandoned_ids.pop()))
            await connection.hold(self._rng.uniform(*REPEAT_HELD_S))
        else:
            request_id = secrets.token_hex(8)
            await connection.send(payloads.request(NON_IDEMPOTENT_CLASS, request_id=request_id))
            await connection.hold(self._rng.uniform(*LEAVE_RUNNING_AFTER_S))
            self._abandoned_ids.append(request_id)

    async def closes_behind_unread(self, connection: Connection) -> None:
        """Sends more than is read at once, and closes the connection."""
        count, body_bytes = self._rng.choice(payloads.PIPELINES)
        connection.client_id = secrets.token_hex(8)
        name = self._class_name()
        request_ids = [f"{connection.client_id}{CLIENT_ID_END}{number}" for number in range(count)]
        requests = [payloads.request(name, body_bytes, request_id=each) for each in request_ids]
        with suppress(TimeoutError):
            await asyncio.wait_for(connection.send(b"".join(requests)), SEND_WITHIN_S)
        await connection.hold(self._rng.uniform(*LEAVE_AFTER_S))


ACTIONS: dict[AbuseKind, Callable[[Abusers, Connection], Awaitable[None]]] = {
    kind: getattr(Abusers, kind.value) for kind in AbuseKind
}
"""What a client does on a connection, by kind; each method of :class:`Abusers` has the name of its kind."""


def main() -> None:
    """Runs the clients that the first argument describes, and prints their figures."""
    config: AbuserConfig = msgspec.json.decode(sys.argv[1], type=AbuserConfig)
    figures = uvloop.run(Abusers(config).run())
    with open(sys.stdout.fileno(), "wb", closefd=False) as output:  # an unbuffered stdout loses what a pipe cannot take
        output.write(msgspec.json.encode(figures))


if __name__ == "__main__":
    main()

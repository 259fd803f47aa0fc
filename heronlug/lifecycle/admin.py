"""The admin endpoint: operators' calls by HTTP/1.1 on an address of its own, one call per connection.

Operators can call during an overload: the descriptors here are not those of clients, and few callers are held.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, cast

import httptools

from heronlug.net import http
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.slots import SlotTable

MAX_ADMIN_CONNECTIONS = 16
"""Connections at once; one more has the oldest closed."""
CALL_TIMEOUT_MS = 2_000.0
"""A call must be complete within this time, in ms."""
ANSWER_READ_TIMEOUT_MS = 500.0
"""Time for the caller to read the answer and close, in ms."""
MAX_CALL_BYTES = 2 * http.MAX_HEAD
"""Bytes of a call at most."""


class Answer(NamedTuple):
    """The answer to a call."""

    status: int
    body: bytes


class CallKey(NamedTuple):
    """What a call is found by."""

    method: bytes
    path: bytes


Calls = dict[CallKey, Callable[[], Answer]]
"""The calls that are answered."""


class AdminConnection(asyncio.Protocol):
    """One connection with its one call.

    Attributes:
        handle: of the connection in the endpoint's table.
        deadline: of the call, or of the caller's reading; earliest for the connection that came first.
    """

    def __init__(self, endpoint: "AdminEndpoint") -> None:
        """Make a connection of this endpoint."""
        self.handle = 0
        self.deadline: Key | None = None
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)  # the package has no types
        self._target = b""
        self._received_bytes = 0
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """An operator has connected."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is no subclass
        self.deadline = self._endpoint.deadlines.call_after(CALL_TIMEOUT_MS, self.abort)
        self._endpoint.add(self)
        self._endpoint.turn()

    def data_received(self, data: bytes) -> None:
        """Bytes of the call; what follows it is not parsed."""
        self._received_bytes += len(data)
        if not self._is_answered:
            self._parse(data)
        elif self._received_bytes > MAX_CALL_BYTES:
            self.abort()
        self._endpoint.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._parser = None
        self._endpoint.deadlines.cancel(self.deadline)
        self._endpoint.remove(self)
        self._endpoint.turn()

    def on_url(self, url: bytes) -> None:
        """The parser has read path and query, or a piece of them."""
        self._target += url

    def on_message_complete(self) -> None:
        """The parser has read the whole call."""
        if not self._is_answered:
            path = self._target.split(b"?", 1)[0]
            self._answer(self._endpoint.answer(CallKey(self._parser.get_method(), path)))

    def abort(self) -> None:
        """Close the connection at once."""
        self._endpoint.remove(self)
        if self._transport is not None:
            self._transport.abort()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
            if self._received_bytes > MAX_CALL_BYTES and not self._is_answered:
                self._answer(Answer(413, b""))
        except httptools.HttpParserUpgrade:
            self._answer(Answer(400, b"no upgrades here\n"))
        except httptools.HttpParserError:
            self._answer(Answer(400, b"this is no HTTP/1.1\n"))
        except Exception as error:  # a fault in one call must not end the process
            self._endpoint.log("exception", where="admin", error=repr(error))
            self._answer(Answer(500, b""))

    def _answer(self, answer: Answer) -> None:
        self._is_answered = True
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(http.response(answer.status, answer.body, close=True))
        # Closing with input unread would reset the connection and lose the answer: the caller closes first.
        self._transport.write_eof()
        self._endpoint.deadlines.cancel(self.deadline)
        self.deadline = self._endpoint.deadlines.call_after(ANSWER_READ_TIMEOUT_MS, self.abort)


class AdminEndpoint:
    """Owner of the operators' connections.

    Attributes:
        deadlines: of the process.
        log: where events are logged.
        turn: to be called after every event from outside.
    """

    def __init__(self, calls: Calls, deadlines: Deadlines, log: Callable[..., None], turn: Callable[[], None]) -> None:
        """Answer these calls."""
        self.deadlines = deadlines
        self.log = log
        self.turn = turn
        self._calls = calls
        self._connections: SlotTable[AdminConnection] = SlotTable()

    def protocol(self) -> AdminConnection:
        """A protocol for a new connection."""
        return AdminConnection(self)

    def add(self, connection: AdminConnection) -> None:
        """Hold a connection; past the limit the one that came first is closed, since a call takes little time."""
        if len(self._connections) >= MAX_ADMIN_CONNECTIONS:
            min(self._connections, key=lambda other: other.deadline or (0.0, 0)).abort()
        connection.handle = self._connections.add(connection)

    def remove(self, connection: AdminConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.remove(connection.handle)

    def answer(self, key: CallKey) -> Answer:
        """Answer a call; 405 for another method of a known path, 404 for an unknown path."""
        call = self._calls.get(key)
        if call is not None:
            return call()
        methods = [known_key.method.decode() for known_key in self._calls if known_key.path == key.path]
        if not methods:
            return Answer(404, b"")
        return Answer(405, f"only {' and '.join(methods)} here\n".encode())

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.abort()

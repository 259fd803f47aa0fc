"""Serves the admin endpoint: calls of operators by HTTP/1.1 on a separate address, one call per connection.

Operators can call during an overload, since the endpoint does not share descriptors with clients and keeps only a few
connections open.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, cast

import httptools

from heronlug.net import http
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.slots import SlotTable

MAX_ADMIN_CONNECTIONS = 16
"""Maximum number of concurrent connections; a further connection closes the oldest."""
CALL_TIMEOUT_MS = 2_000.0
"""Time from the connection until the call must be complete, in ms."""
ANSWER_READ_TIMEOUT_MS = 500.0
"""Time for the caller to read the answer and close the connection, in ms."""
MAX_CALL_BYTES = 2 * http.MAX_HEAD
"""Maximum size of a call, in bytes."""


class Answer(NamedTuple):
    """The answer to a call: HTTP status and body."""

    status: int
    body: bytes


class CallKey(NamedTuple):
    """The method and path that identify a call."""

    method: bytes
    path: bytes


Calls = dict[CallKey, Callable[[], Answer]]
"""The function that answers each call."""


class AdminConnection(asyncio.Protocol):
    """A connection, which carries a single call.

    Attributes:
        handle: Handle of the connection in the table of the endpoint.
        deadline: Deadline for the call or, after the answer, for the caller to read the answer; the oldest connection
            has the earliest deadline.
    """

    def __init__(self, endpoint: "AdminEndpoint") -> None:
        """Creates a connection of this endpoint."""
        self.handle = 0
        self.deadline: Key | None = None
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)  # httptools has no type annotations
        self._target = b""
        self._received_bytes = 0
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the new connection and starts the deadline of the call."""
        self._transport = cast(
            asyncio.Transport, transport
        )  # the transport of uvloop is not a subclass of asyncio.Transport
        self.deadline = self._endpoint.deadlines.call_after(CALL_TIMEOUT_MS, self.abort)
        self._endpoint.add(self)
        self._endpoint.turn()

    def data_received(self, data: bytes) -> None:
        """Parses the bytes of the call; bytes after the call are only counted."""
        self._received_bytes += len(data)
        if not self._is_answered:
            self._parse(data)
        elif self._received_bytes > MAX_CALL_BYTES:
            self.abort()
        self._endpoint.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection and its deadline."""
        self._parser = None
        self._endpoint.deadlines.cancel(self.deadline)
        self._endpoint.remove(self)
        self._endpoint.turn()

    def on_url(self, url: bytes) -> None:
        """Appends the target, or a part of the target, that the parser has read."""
        self._target += url

    def on_message_complete(self) -> None:
        """Answers the call once the parser has read all of it."""
        if not self._is_answered:
            path = self._target.split(b"?", 1)[0]
            self._answer(self._endpoint.answer(CallKey(self._parser.get_method(), path)))

    def abort(self) -> None:
        """Closes the connection immediately."""
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
        except Exception as error:  # an unexpected error in one call must not end the process
            self._endpoint.log("exception", where="admin", error=repr(error))
            self._answer(Answer(500, b""))

    def _answer(self, answer: Answer) -> None:
        self._is_answered = True
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(http.response(answer.status, answer.body, close=True))
        # A close with unread input would reset the connection and lose the answer, so the caller closes first.
        self._transport.write_eof()
        self._endpoint.deadlines.cancel(self.deadline)
        self.deadline = self._endpoint.deadlines.call_after(ANSWER_READ_TIMEOUT_MS, self.abort)


class AdminEndpoint:
    """Owns the connections of operators.

    Attributes:
        deadlines: The deadlines of the process.
        log: Logs events.
        turn: Runs the due deadlines; must be called after every external event.
    """

    def __init__(self, calls: Calls, deadlines: Deadlines, log: Callable[..., None], turn: Callable[[], None]) -> None:
        """Creates an endpoint that answers ``calls``."""
        self.deadlines = deadlines
        self.log = log
        self.turn = turn
        self._calls = calls
        self._connections: SlotTable[AdminConnection] = SlotTable()

    def protocol(self) -> AdminConnection:
        """Returns a protocol for a new connection."""
        return AdminConnection(self)

    def add(self, connection: AdminConnection) -> None:
        """Adds a connection; at the limit, the oldest connection is closed, since a call takes little time."""
        if len(self._connections) >= MAX_ADMIN_CONNECTIONS:
            min(self._connections, key=lambda other: other.deadline or (0.0, 0)).abort()
        connection.handle = self._connections.add(connection)

    def remove(self, connection: AdminConnection) -> None:
        """Removes a connection that has ended."""
        self._connections.remove(connection.handle)

    def answer(self, key: CallKey) -> Answer:
        """Returns the answer to a call; 405 for a known path with another method, 404 for an unknown path."""
        call = self._calls.get(key)
        if call is not None:
            return call()
        methods = [known_key.method.decode() for known_key in self._calls if known_key.path == key.path]
        if not methods:
            return Answer(404, b"")
        return Answer(405, f"only {' and '.join(methods)} here\n".encode())

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connections:
            connection.abort()

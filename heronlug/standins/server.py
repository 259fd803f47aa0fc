"""Stand-in server for the platform's protocol: runs each request for a given time and counts its executions.

See PROTOCOL, *Dispatchers to runners*: a request begins when its last byte arrives; the answer is a chunked 200 with
one JSON object per line, or a 503 with ``X-Turned-Away``.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple, cast

import httptools
import orjson

SERVER_NAME = "stand-in"


class Behaviour(NamedTuple):
    """How the stand-in treats a request.

    Attributes:
        run_s: seconds of execution.
        end: state that ends the request in the protocol (``done``, ``failed``, ``returned`` or ``lost``), or
            ``turned_away`` (503), ``reset`` (connection reset) or ``silent`` (no end).
    """

    run_s: float = 0.02
    end: str = "done"


class Begun(NamedTuple):
    """A request whose last byte has arrived.

    Attributes:
        txn: request id from ``X-Txn``.
        request_class: request class from ``X-Lane``.
        execution_number: number of this execution among those of the same id on this server, from 1.
    """

    txn: str
    request_class: str
    execution_number: int


class StandInServer:
    """Listening stand-in server.

    Attributes:
        behave: returns the behaviour for each request.
        begun: executions by request id, without rejected and returned ones.
        running: requests that run now.
        max_running: highest number of requests that ran at the same time.
        connections: open connections.
    """

    def __init__(self, behave: Callable[[Begun], Behaviour] = lambda begun: Behaviour()) -> None:
        self.behave = behave
        self.begun: Counter[str] = Counter()
        self.running = self.max_running = 0
        self.connections: set[Connection] = set()
        self._server: asyncio.AbstractServer | None = None

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Starts to listen and returns the port.

        Raises:
            OSError: if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), host, port, backlog=512)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class Connection(asyncio.Protocol):
    """Connection of a dispatcher, which carries one request at a time."""

    def __init__(self, server: StandInServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the new connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses bytes of a request; invalid HTTP resets the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request that runs for this connection."""
        self.server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self.server.running -= 1

    def on_message_begin(self) -> None:
        """Clears the headers of the previous request."""
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Starts or rejects the request, whose last byte has arrived."""
        txn = self._headers.get(b"x-txn", b"").decode()
        request_class = self._headers.get(b"x-lane", b"").decode()
        self.server.begun[txn] += 1
        behaviour = self.server.behave(Begun(txn, request_class, self.server.begun[txn]))
        if behaviour.end == "turned_away":
            self.server.begun[txn] -= 1  # a rejected request does not run
            self._write(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self.server.running += 1
        self.server.max_running = max(self.server.max_running, self.server.running)
        self._write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write_line({"id": txn, "from": SERVER_NAME, "state": "started"})
        if behaviour.end == "silent":
            self._timer = asyncio.get_running_loop().call_later(3600, self._end, txn, behaviour)
        else:
            self._timer = asyncio.get_running_loop().call_later(behaviour.run_s, self._end, txn, behaviour)

    def _end(self, txn: str, behaviour: Behaviour) -> None:
        self._timer = None
        self.server.running -= 1
        if behaviour.end == "reset":
            if self.transport is not None:
                self.transport.abort()
            return
        if behaviour.end == "returned":
            self.server.begun[txn] -= 1
        result = {"result": f"run {self.server.begun[txn]} of {txn}"} if behaviour.end == "done" else {}
        self._write_line({"id": txn, "from": SERVER_NAME, "state": behaviour.end, **result})
        self._write(b"0\r\n\r\n")

    def _write_line(self, message: dict[str, Any]) -> None:
        line = orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE)
        self._write(b"%x\r\n%s\r\n" % (len(line), line))

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

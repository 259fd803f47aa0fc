"""North side of the platform's protocol: clients' connections, parsed by httptools."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

import httptools

from heronlug import interface as pk
from heronlug.memory.core import Core, Final, Message
from heronlug.memory.deadlines import Key
from heronlug.memory.slots import Slots
from heronlug.wire import http

MARGIN = 15.0  # the client counts from its send: what way and queue have used up of its time, at most
HEAD_WAIT = 15_000.0  # a request begun must be whole within this, or a slow sender holds a slot for ever
IDLE_WAIT = 120_000.0  # a client's connection may stand idle for this long
MAX_PIPELINED = 16  # requests read ahead on one connection
PASSED = (b"x-txn", b"idempotency-key", b"x-lane", b"x-labels", b"x-resent")


class Request:
    """One request as it came."""

    __slots__ = ("body", "connection", "headers", "keep_alive", "method", "target", "txn")

    def __init__(self) -> None:
        self.method, self.target, self.body = b"", b"", b""
        self.headers: dict[bytes, bytes] = {}
        self.txn = ""
        self.keep_alive = True
        self.connection: Connection | None = None


class Bad(Exception):
    """A request that gets a plain 4xx."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Owner(Protocol):
    """What a connection asks of the daemon."""

    core: Core
    stopping: bool

    def log(self, event: str, **fields: object) -> None:
        """One line."""

    def ready(self) -> bool:
        """Whether serving is possible."""


class Terms:
    """What a request has to keep to: the classes by name, and the longest wait."""

    __slots__ = ("lanes", "settings")

    def __init__(self, settings: pk.Settings) -> None:
        self.settings = settings
        self.lanes = {lane.name: index for index, lane in enumerate(settings.classes)}

    def read(self, request: Request) -> tuple[int, float, dict[str, Any]]:
        """Class, remaining time and figures of a request; raises :class:`Bad`."""
        if request.method != b"POST":
            raise Bad(405, "only POST hands in a message")
        head = request.headers
        try:
            request.txn = head[b"x-txn"].decode("ascii")
        except (KeyError, UnicodeDecodeError):
            raise Bad(400, "X-Txn is missing or no ASCII") from None
        segment = http.first_segment(request.target)
        name = head.get(b"x-lane", segment.encode()).decode("utf-8", "replace")
        if not request.txn or name != segment or name not in self.lanes:
            raise Bad(400, "X-Txn, X-Lane or path names nothing known")
        lane = self.lanes[name]
        try:
            remaining = float(head.get(b"x-remaining-ms", b"%d" % self.settings.classes[lane].deadline))
            labels = dict(part.split(b"=", 1) for part in head.get(b"x-labels", b"").split(b",") if part.strip())
            figures = {key.strip().lower(): float(value) for key, value in labels.items()}
        except ValueError:
            raise Bad(400, "X-Remaining-Ms or X-Labels is no figure") from None
        if not all(map(math.isfinite, [remaining, *figures.values()])):
            raise Bad(400, "X-Remaining-Ms or X-Labels is no finite figure")
        fields = {
            "slots": figures.get(b"slots", 1.0),
            "memory": figures.get(b"memory", 0.0),
            "retry": head.get(b"x-resent") == b"1",
        }
        return lane, min(remaining, 71 * 60_000.0) - MARGIN, fields


class Connection(asyncio.Protocol):
    """One client connection: requests in turn, pipelined ones wait."""

    def __init__(self, north: "North") -> None:
        self.north = north
        self.ticket = 0
        self.transport: asyncio.Transport | None = None
        self.message: Message | None = None
        self.busy = False  # a request is being served
        self._waiting: deque[Request] = deque()
        self._parser: Any = httptools.HttpRequestParser(self)
        self._request = Request()
        self._head_size = 0
        self._body: list[bytes] = []
        self._body_size = 0
        self._broken = False  # what comes after broken input cannot be read
        self._deadline: Key | None = None
        self._closing = False

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass, and keeps to it
        self.north.opened(self)
        self._rest(IDLE_WAIT)

    def data_received(self, data: bytes) -> None:
        """Bytes from the client."""
        if self._closing or self._broken:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(Bad(400, "no upgrades here"))
        except httptools.HttpParserError as error:
            # what a callback raised comes wrapped, as the context of the parser's own error
            cause = error.__context__ or error.__cause__
            self._reject(cause if isinstance(cause, Bad) else Bad(400, "this is no HTTP/1.1"))
        except Exception as error:  # one connection ends, the process does not
            self.north.owner.log("exception", where="north", error=repr(error))
            self.abort()
        self.north.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has closed: it has gone away, and with it what it asked for."""
        self._closing = True
        self.north.deadlines.drop(self._deadline)
        self.north.closed(self)
        self._waiting.clear()
        if self.message is not None:
            message, self.message = self.message, None
            self.north.owner.core.leave(message)
        self.north.turn()

    # -- httptools

    def on_message_begin(self) -> None:
        """A request begins."""
        self._request, self._body, self._body_size, self._head_size = Request(), [], 0, 0
        if not self.busy:
            self._rest(HEAD_WAIT)

    def on_url(self, url: bytes) -> None:
        """Path and query, perhaps in pieces."""
        self._request.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._count_head(len(name) + len(value) + 4)
        self._request.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """The head is whole."""
        length = self._request.headers.get(b"content-length", b"")
        if length.isdigit() and int(length) > http.MAX_BODY:
            raise Bad(413, "a body holds 64 KiB at most")
        if self._request.headers.get(b"expect", b"").lower() == b"100-continue" and not self.busy:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._body_size += len(body)
        if self._body_size > http.MAX_BODY:
            raise Bad(413, "a body holds 64 KiB at most")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The last byte of a request: it is taken."""
        request = self._request
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        request.body = b"".join(self._body)
        request.connection = self
        self._body = []
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED and self.transport is not None:
            self.transport.pause_reading()
        self._next()

    # -- serving

    def answer(self, data: bytes, keep_alive: bool = True) -> None:
        """The answer to the request that is being served."""
        self.message, self.busy = None, False
        if self.transport is None or self._closing:
            return
        self.transport.write(data)
        if not keep_alive:
            self._closing = True
            self.transport.close()
            return
        self._rest(IDLE_WAIT)
        if self._waiting and len(self._waiting) <= MAX_PIPELINED:
            self.transport.resume_reading()
        self._next()

    def close_if_idle(self) -> None:
        """Close between requests."""
        if not self.busy and not self._waiting and self.transport is not None and not self._closing:
            self._closing = True
            self.transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        self._closing = True
        if self.transport is not None:
            self.transport.abort()

    def _next(self) -> None:
        while self._waiting and not self.busy and not self._closing:
            self.busy = True
            self.north.deadlines.drop(self._deadline)
            self.north.serve(self, self._waiting.popleft())

    def _rest(self, wait: float) -> None:
        self.north.deadlines.drop(self._deadline)
        self._deadline = self.north.deadlines.after(wait, self.abort)

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > http.MAX_HEAD:
            raise Bad(431, "the head is too large")

    def _reject(self, bad: Bad) -> None:
        """Broken input: a plain 4xx once what came before it has been answered, and the end of the connection."""
        self.north.owner.log("bad_request", status=bad.status, text=str(bad))
        self._broken = True
        if self.busy or self._waiting:  # earlier requests on this connection are still owed their answers
            self._waiting.append(Request())  # of no method: it will get its 4xx in turn
            return
        self.answer(http.response(bad.status, str(bad).encode() + b"\n", close=True), False)


class North:
    """The clients' connections."""

    def __init__(self, owner: Owner, settings: pk.Settings, max_connections: int, turn: Callable[[], None]) -> None:
        self.owner, self.terms, self.turn = owner, Terms(settings), turn
        self.deadlines = owner.core.deadlines
        self.max_connections = max_connections
        self.connections: Slots[Connection] = Slots()
        self.opened_at = self.deadlines.clock()  # when the last connection came

    def protocol(self) -> Connection:
        """A protocol for a new connection."""
        return Connection(self)

    def opened(self, connection: Connection) -> None:
        """Book a connection; past the limit of descriptors an idle one makes room."""
        connection.ticket = self.connections.put(connection)
        self.opened_at = self.deadlines.clock()
        if len(self.connections) > self.max_connections:
            idle = next((c for c in self.connections if not c.busy and c is not connection), connection)
            self.owner.log("too_many_clients", connections=len(self.connections))
            idle.abort()

    def closed(self, connection: Connection) -> None:
        """A connection has ended."""
        self.connections.take(connection.ticket)

    def close_idle(self) -> None:
        """Close what stands between requests."""
        for connection in self.connections:
            connection.close_if_idle()

    def serve(self, connection: Connection, request: Request) -> None:
        """One whole request."""
        path = request.target.split(b"?", 1)[0]
        keep = request.keep_alive and not self.owner.stopping
        if request.method == b"GET" and path == b"/health/ready":
            ready = self.owner.ready()
            connection.answer(http.response(200 if ready else 503, b"ready\n" if ready else b"", close=not keep), keep)
        elif request.method == b"GET" and path == b"/health/live":
            connection.answer(http.response(200, b"alive\n", close=not keep), keep)
        else:
            try:
                lane, remaining, fields = self.terms.read(request)
            except Bad as bad:
                self.owner.log("bad_request", status=bad.status, text=str(bad))
                connection.answer(http.response(bad.status, str(bad).encode() + b"\n", close=True), False)
                return
            message = self.owner.core.take(request, lane, remaining, size=len(request.body), **fields)
            if not message.closed:
                connection.message = message

    def answer(self, message: Message, final: Final, body: bytes, come_back: float) -> None:
        """The final answer of a message, on its connection."""
        request: Request = message.load
        connection = request.connection
        request.body = b""  # nothing is relayed any more
        if connection is None:
            return
        keep = request.keep_alive and not self.owner.stopping
        status = {Final.SERVED: 200, Final.REFUSED: 503, Final.FAILED: 500}[final]
        connection.answer(
            http.response(status, body, close=not keep, retry_after=come_back if status == 503 else 0.0), keep
        )


def relay_head(request: Request, remaining: float) -> list[tuple[bytes, bytes]]:
    """The headers that go on to a host."""
    headers = [(name, request.headers[name]) for name in PASSED if name in request.headers]
    return [*headers, (b"x-remaining-ms", b"%d" % max(0, round(remaining)))]

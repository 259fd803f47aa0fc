"""North side of the platform's protocol: clients' connections, parsed by httptools."""

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from itertools import islice
from typing import Any, Protocol, cast

import httptools

from heronlug.balancer.settings import Settings
from heronlug.net import http
from heronlug.net.connection_state import left, unread
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Key
from heronlug.requests.model import FinalAnswer, Request, Workload
from heronlug.requests.slots import SlotTable

MARGIN = 15.0  # the client counts from its send: what way and queue have used up of its time, at most
READ_WAIT = 2_500.0  # the first request, counted from the dial, and any later one begun must be whole within this
IDLE_WAIT = 120_000.0  # a client's connection may stand idle for this long between requests
LINGER = 500.0  # after a rejection, for the client to read it: an end with input unread would void what we wrote
MAX_DISCARDED = 256 * 1024  # of a rejected connection's input that is read on meanwhile
MAX_PIPELINED = 16  # requests read ahead on one connection
MAX_READ = http.MAX_HEAD + 8 * http.MAX_BODY  # of one message with all framing: chunks may be small, not for ever
MAX_ID = 256
FRESH = 100.0  # a connection's first request may be on its way for so long
LOOKED_AT = 8  # of each rank, for one that nothing is owed
CROWD_LOG = 1000.0  # a crowd is worth a line a second
PASSED = (b"x-txn", b"idempotency-key", b"x-lane", b"x-labels", b"x-resent", b"x-org")
# of these a second one would silently replace the first, and the two ends would read different requests
ONCE = frozenset({*PASSED, b"x-remaining-ms", b"content-length", b"transfer-encoding", b"host", b"expect"})


class HttpRequest:
    """One request as it came."""

    __slots__ = (
        "body",
        "connection",
        "headers",
        "held",
        "keep_alive",
        "lane",
        "method",
        "remaining",
        "target",
        "txn",
        "workload",
    )

    def __init__(self) -> None:
        self.method, self.target, self.body = b"", b"", b""
        self.headers: dict[bytes, bytes] = {}
        self.txn = ""
        self.lane, self.remaining = -1, 0.0  # the class, and its time; -1 for what is no message
        self.workload = Workload()
        self.keep_alive = True
        self.held = 0  # bytes of body that count in the table's budget
        self.connection: ClientConnection | None = None


class BadRequestError(Exception):
    """A request that gets a plain error, and the end of its connection."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class FrontendOwner(Protocol):
    """What a connection asks of the daemon."""

    core: Core

    def parting(self) -> bool:
        """Whether connections end with their next answer."""

    def log(self, event: str, /, **fields: object) -> None:
        """One line."""

    def ready(self) -> bool:
        """Whether serving is possible."""


class RequestPolicy:
    """What a request has to keep to: the classes by name, and the longest wait."""

    __slots__ = ("_tenants", "lanes", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.lanes = {lane.name: index for index, lane in enumerate(settings.classes)}
        self._tenants = {name.encode(): index for index, name in enumerate(settings.tenants)}

    def read(self, request: HttpRequest) -> None:
        """Read class, remaining time and figures of a message; raises :class:`BadRequestError`."""
        if request.method != b"POST":
            raise BadRequestError(405, "only POST hands in a message")
        head = request.headers
        txn = head.get(b"x-txn", b"")
        if not 0 < len(txn) <= MAX_ID or not all(0x20 < byte < 0x7F for byte in txn):
            raise BadRequestError(400, "X-Txn is missing or no ASCII")
        request.txn = txn.decode("ascii")
        if any(byte < 0x20 for name in PASSED for byte in head.get(name, b"")):
            raise BadRequestError(400, "a header holds a control character")
        segment = http.first_segment(request.target)
        name = head.get(b"x-lane", segment.encode()).decode("utf-8", "replace")
        if name != segment or name not in self.lanes:
            raise BadRequestError(400, "X-Txn, X-Lane or path names nothing known")
        lane = self.lanes[name]
        try:
            wait = head.get(b"x-remaining-ms", b"%d" % self.settings.classes[lane].deadline)
            if not wait.isdigit():  # whole milliseconds; Python's own reading of figures is wider
                raise ValueError
            remaining = float(wait)
            labels = dict(part.split(b"=", 1) for part in head.get(b"x-labels", b"").split(b",") if part.strip())
            figures = {key.strip().lower(): float(value) for key, value in labels.items()}
        except ValueError:
            raise BadRequestError(400, "X-Remaining-Ms or X-Labels is no figure") from None
        if not all(map(math.isfinite, figures.values())):
            raise BadRequestError(400, "X-Remaining-Ms or X-Labels is no finite figure")
        request.workload = Workload(
            slots=figures.get(b"slots", 1.0),
            memory=figures.get(b"memory", 0.0),
            # an unknown tenant counts against no quota
            tenant=self._tenants.get(head.get(b"x-org", b""), len(self._tenants)),
            retry=head.get(b"x-resent") == b"1",
        )
        request.lane, request.remaining = lane, min(remaining, 71 * 60_000.0) - MARGIN


class EvictionRank(IntEnum):
    """Whom to part with first where descriptors are short; within a rank, who has been in it longest.

    Guards an ordinary client's place against hundreds that say nothing, or ask once and stay.
    """

    REJECTED = 0
    SILENT = 1  # has never sent a whole request
    ASKED = 2  # rests, and has handed in no message yet
    SERVED = 3  # rests, an ordinary client
    BUSY = 4  # not to be parted with


class ClientConnection(asyncio.Protocol):
    """One client connection: requests in turn, pipelined ones wait."""

    def __init__(self, north: "HttpFrontend", made: "Callable[[ClientConnection], None] | None" = None) -> None:
        self.north, self._made = north, made
        self.ticket = 0
        self.transport: asyncio.Transport | None = None
        self.message: Request | None = None
        self.busy = False  # a request is being served
        self.messages = 0  # taken from it so far
        self.opened_at = north.deadlines.clock()
        self.rank = -1  # its place among those to part with, see Rank
        self.asked = False  # a whole request has come
        self.closing = False
        self._waiting: deque[HttpRequest] = deque()
        self._parser: Any = httptools.HttpRequestParser(self)
        self._request = HttpRequest()
        self._begun = self._in_head = False  # a request has begun and is not whole; nor is its head
        self._read = 0  # bytes of it so far, with all framing; none for those read along with the one before
        self._head_size = 0  # what is whole of its head
        self._body = bytearray()
        self._discarded = 0
        self._deadline: Key | None = None  # for the request to be whole, or of the idle time

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass, and keeps to it
        self._wait(IDLE_WAIT if self.asked else READ_WAIT)
        self.north.opened(self)
        if self._made is not None:
            self._made(self)

    def data_received(self, data: bytes) -> None:
        """Bytes from the client.  What is whole is served only once all of them have been read."""
        if self.closing:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED:
                self.abort()
            return
        self._read += len(data)
        try:
            self._parser.feed_data(data)
            if self._begun and self._read > (http.MAX_HEAD if self._in_head else MAX_READ):
                # the parser tells of a header only once it is whole, and of a chunk's extension never
                raise (
                    BadRequestError(431, "the head is too large")
                    if self._in_head
                    else BadRequestError(413, "too much framing")
                )
        except BadRequestError as bad:
            self._reject(bad)
        except httptools.HttpParserUpgrade:
            self._reject(BadRequestError(400, "no upgrades here"))
        except httptools.HttpParserError as error:
            # what a callback raised comes wrapped, as the context of the parser's own error
            cause = error.__context__ or error.__cause__
            self._reject(cause if isinstance(cause, BadRequestError) else BadRequestError(400, "this is no HTTP/1.1"))
        except Exception as error:  # one connection ends, the process does not
            self.north.owner.log("exception", where="north", error=repr(error))
            self.abort()
        else:
            self._next()
        self.north.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has closed: it has gone away, and with it what it asked for."""
        self.closing = True
        self._parser = None  # it holds us, and we it: in a crowd that would wait long for the collector
        self.north.deadlines.cancel(self._deadline)
        self.north.closed(self)
        for request in (self._request, *self._waiting):
            self.north.release(request)
        self._waiting.clear()
        if self.message is not None:
            message, self.message = self.message, None
            self.north.release(message.payload)
            self.north.owner.core.client_left(message)
        self.north.turn()

    # -- httptools

    def on_message_begin(self) -> None:
        """A request begins."""
        self._request, self._head_size = HttpRequest(), 0
        self._body = bytearray()
        self._begun = self._in_head = True
        if self.asked:  # the first one's time runs from the dial
            self._wait(READ_WAIT)

    def on_url(self, url: bytes) -> None:
        """Path and query, perhaps in pieces."""
        self._request.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, also of a trailer."""
        headers, name = self._request.headers, name.lower()
        if not self._in_head:
            return  # nothing that a trailer says is heeded
        if name in ONCE and name in headers:
            raise BadRequestError(400, "a header is given twice")
        headers[name] = value.strip(b" \t")  # the parser takes the white space before a value off, and none behind
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """The head is whole."""
        self._in_head = False
        headers = self._request.headers
        length, coding = headers.get(b"content-length"), headers.get(b"transfer-encoding")
        if length is not None and coding is not None:
            raise BadRequestError(
                400, "Content-Length with Transfer-Encoding"
            )  # one of them hides what the other shows
        if length is not None and not length.isdigit():
            raise BadRequestError(400, "Content-Length is no figure")
        if length is not None and (len(length) > 9 or int(length) > http.MAX_BODY):
            raise BadRequestError(413, "a body holds 64 KiB at most")
        if coding is not None and coding.strip().lower() != b"chunked":
            raise BadRequestError(501, "no transfer coding but chunked")
        if headers.get(b"expect", b"").lower() == b"100-continue" and not self.busy:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._body += body
        if len(self._body) > http.MAX_BODY:
            raise BadRequestError(413, "a body holds 64 KiB at most")
        self.north.hold(self._request, len(body))

    def on_message_complete(self) -> None:
        """The last byte of a request: it is taken, unless it cannot be read."""
        request = self._request
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        request.body = bytes(self._body)
        request.connection = self
        self._body = bytearray()
        self._begun = self._in_head = False
        self._read = 0
        self.asked = True
        self.north.deadlines.cancel(self._deadline)
        if request.method != b"GET" or not request.target.startswith(b"/health/"):
            self.north.terms.read(request)
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED:
            raise BadRequestError(429, "too many requests at once on one connection")

    # -- serving

    def answer(self, data: bytes, keep_alive: bool = True) -> None:
        """The answer to the request that is being served."""
        self.message, self.busy = None, False
        if self.transport is None or self.closing:
            return
        self.transport.write(data)
        if not keep_alive:
            if unread(self.transport):  # to close now would send a reset, which overtakes the answer
                self._end()
            else:
                self.closing = True
                self.transport.close()
            return
        self.north.rank(self, EvictionRank.SERVED if self.messages else EvictionRank.ASKED)
        if not self._begun:
            self._wait(IDLE_WAIT)
        self._next()

    @property
    def more(self) -> bool:
        """Whether more of it has come than is answered: read, begun, or waiting to be read; that is taken too."""
        return bool(self._waiting) or self._begun or (self.transport is not None and unread(self.transport))

    @property
    def here(self) -> bool:
        """Whether the client has not left."""
        return self.transport is None or not left(self.transport)

    def close_if_idle(self) -> None:
        """Close between requests."""
        if not (self.busy or self.closing or self.more) and self.transport is not None:
            self.closing = True
            self.transport.close()

    def can_pass(self) -> bool:
        """Whether nothing of it is in our hands but the message that runs: nothing read, begun or unwritten."""
        transport = self.transport
        if self._waiting or self._begun or self.closing or not self.asked or transport is None:
            return False
        return not transport.is_closing() and transport.get_write_buffer_size() == 0

    def pause(self) -> int:
        """Read no more, and leave that to whoever gets this descriptor."""
        assert self.transport is not None
        self.transport.pause_reading()
        return int(self.transport.get_extra_info("socket").fileno())

    def let_go(self) -> None:
        """Another process holds the connection: close our descriptor, and nothing goes out."""
        if self.message is not None:
            self.north.release(self.message.payload)
        self.message, self.busy = None, False
        self.abort()

    def carry(self, message: Request) -> None:
        """Go on with a message that was taken from it in another process."""
        self.message, self.busy = message, True
        self.north.deadlines.cancel(self._deadline)
        self.north.rank(self, EvictionRank.BUSY)

    def abort(self) -> None:
        """End the connection at once."""
        self.closing = True
        self.north.closed(self)
        if self.transport is not None:
            self.transport.abort()

    def _next(self) -> None:
        while self._waiting and not self.busy and not self.closing:
            self.busy = True
            self.north.rank(self, EvictionRank.BUSY)
            if not self._begun:
                self.north.deadlines.cancel(self._deadline)
            try:
                self.north.serve(self, self._waiting.popleft())
            except BadRequestError as bad:
                self._reject(bad)

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > http.MAX_HEAD:
            raise BadRequestError(431, "the head is too large")

    def _wait(self, wait: float) -> None:
        self.north.deadlines.cancel(self._deadline)
        self._deadline = self.north.deadlines.call_after(wait, self._overdue)

    def _overdue(self) -> None:
        """A request begun is not whole in time, or nothing comes at all."""
        if self._begun:
            self._reject(BadRequestError(408, "the request is not whole in time"))
        elif self.more:  # it has just come, and is read in this turn
            self._wait(READ_WAIT)
        else:
            self.abort()

    def _reject(self, bad: BadRequestError) -> None:
        """What cannot be read gets its error at once and ends the connection, whatever waits before it.

        Those before it are owed whole answers all the same: what may have run has failed, the rest is refused.
        """
        if self.closing or self.transport is None:
            return
        self.north.owner.log("bad_request", status=bad.status, text=str(bad))
        waiting = [http.response(503)] * len(self._waiting)
        for request in self._waiting:
            if request.lane >= 0:
                self.north.owner.core.count_answer(request.lane, FinalAnswer.REFUSED)
        for request in (self._request, *self._waiting):
            self.north.release(request)
        self._waiting.clear()
        if self.message is not None:
            self.north.owner.core.fail(self.message)  # answers by way of this connection
            if self.closing:
                return
        self.transport.write(b"".join(waiting) + http.response(bad.status, str(bad).encode() + b"\n", close=True))
        self._end()

    def _end(self) -> None:
        """Nothing more goes out; what comes is read on for a while, so that what we wrote arrives."""
        assert self.transport is not None
        self.closing = True
        if not self.transport.is_closing():
            self.transport.write_eof()
        self.north.rank(self, EvictionRank.REJECTED)
        self.north.deadlines.cancel(self._deadline)
        self._deadline = self.north.deadlines.call_after(LINGER, self.abort)


class HttpFrontend:
    """The clients' connections."""

    def __init__(
        self, owner: FrontendOwner, settings: Settings, max_connections: int, max_held: int, turn: Callable[[], None]
    ) -> None:
        self.owner, self.terms, self.turn = owner, RequestPolicy(settings), turn
        self.deadlines = owner.core.deadlines
        self.max_connections, self.max_held = max_connections, max_held
        self.held = 0  # bytes of bodies, of requests being read too
        self.connections: SlotTable[ClientConnection] = SlotTable()
        self.ranks: list[dict[int, ClientConnection]] = [{} for _ in EvictionRank]  # by ticket, who came into it first
        self.opened_at = self.came_at = self.deadlines.clock()  # when the last connection came, and the last client
        self._adopting: set[asyncio.Task[Any]] = set()
        self._crowded_at = 0.0  # when the log was told last that there are too many

    def protocol(self) -> ClientConnection:
        """A protocol for a new connection."""
        return ClientConnection(self)

    def opened(self, connection: ClientConnection) -> None:
        """Book a connection; past the limit of descriptors another one makes room."""
        connection.ticket = self.connections.add(connection)
        self.opened_at = self.deadlines.clock()
        if len(self.connections) > self.max_connections:
            self._note_crowd()
            (self._first_to_go() or connection).abort()
        rested = EvictionRank.SERVED if connection.messages else EvictionRank.ASKED
        self.rank(connection, rested if connection.asked else EvictionRank.SILENT)

    def make_room(self) -> None:
        """The process has no descriptor left: one connection that owes nothing goes, if there is such a one."""
        first = self._first_to_go()
        if first is not None:
            self._note_crowd()
            first.abort()

    def _note_crowd(self) -> None:
        now = self.deadlines.clock()
        if now - self._crowded_at >= CROWD_LOG:
            self._crowded_at = now
            self.owner.log("too_many_clients", connections=len(self.connections))

    def _first_to_go(self) -> ClientConnection | None:
        """The first in rank, but one whose first request may be under way comes after those that asked for nothing."""
        rejected, silent, asked, served = (
            next(
                (one for one in islice(those.values(), LOOKED_AT) if rank is EvictionRank.REJECTED or not one.more),
                None,
            )
            for rank, those in zip(EvictionRank, self.ranks[: EvictionRank.BUSY], strict=False)
        )
        fresh = silent is not None and self.deadlines.clock() - silent.opened_at < FRESH
        settled = None if fresh else silent
        return rejected or settled or asked or silent or served

    def rank(self, connection: ClientConnection, rank: int) -> None:
        """Put a connection last in its new rank; -1 is none."""
        if connection.rank >= 0:
            del self.ranks[connection.rank][connection.ticket]
        if connection.closing and rank > EvictionRank.REJECTED:
            rank = -1
        connection.rank = rank
        if rank >= 0:
            self.ranks[rank][connection.ticket] = connection

    def hold(self, request: HttpRequest, size: int) -> None:
        """So many bytes more of a body; raises :class:`BadRequestError` where memory has no room for them."""
        request.held += size
        self.held += size
        if self.held > self.max_held:
            raise BadRequestError(503, "no room for a body now")

    def release(self, request: HttpRequest) -> None:
        """Nothing is relayed of it any more."""
        self.held -= request.held
        request.held, request.body = 0, b""

    def closed(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.rank(connection, -1)
        self.connections.remove(connection.ticket)

    def close_idle(self) -> None:
        """Close what stands between requests, but one whose first request may still be on its way."""
        since = self.deadlines.clock() - FRESH
        for connection in self.connections:
            if connection.asked or connection.opened_at < since:
                connection.close_if_idle()

    def pass_on(self, take: Callable[[int, bool], None]) -> None:
        """Give whatever stands between requests to another process."""
        for connection in self.connections:
            if connection.can_pass() and not connection.busy:
                take(connection.pause(), connection.messages > 0)
                connection.let_go()

    def adopt(self, sock: socket.socket, served: bool, made: Callable[[ClientConnection], None] | None = None) -> None:
        """A client's connection that another process has passed on."""
        sock.setblocking(False)
        connection = ClientConnection(self, made)
        connection.asked, connection.messages = True, int(served)
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.connect_accepted_socket(lambda: connection, sock))
        self._adopting.add(task)
        task.add_done_callback(self._adopting.discard)

    def serve(self, connection: ClientConnection, request: HttpRequest) -> None:
        """One whole request."""
        path = request.target.split(b"?", 1)[0]
        keep = self._keeps(request, connection)
        if request.lane < 0:
            self.release(request)
            if path == b"/health/ready":
                ready = self.owner.ready()
                text = b"ready\n" if ready else b""
                connection.answer(http.response(200 if ready else 503, text, close=not keep), keep)
            else:
                known = path == b"/health/live"
                connection.answer(
                    http.response(200 if known else 404, b"alive\n" if known else b"", close=not keep), keep
                )
            return
        if self.owner.core.is_open(request.txn):
            self.release(request)
            self.owner.core.count_answer(request.lane, FinalAnswer.FAILED)
            raise BadRequestError(409, "a message of this X-Txn is open")  # another client's, or it would not be open
        connection.messages += 1
        if connection.messages == 1:
            self.came_at = self.deadlines.clock()
        message = self.owner.core.accept(
            request,
            request.lane,
            request.remaining,
            request_id=request.txn,
            size=len(request.body),
            workload=request.workload,
        )
        if not message.closed:
            connection.message = message

    def client_waits(self, message: Request) -> bool:
        """Whether its client has not left."""
        connection = message.payload.connection
        return connection is None or connection.here

    def _keeps(self, request: HttpRequest, connection: ClientConnection) -> bool:
        """Whether a connection stays after this answer: when we part, until nothing more of it is taken."""
        return request.keep_alive and not (self.owner.parting() and not connection.more)

    def answer(self, message: Request, final: FinalAnswer, body: bytes, come_back: float) -> None:
        """The final answer of a message, on its connection."""
        request: HttpRequest = message.payload
        connection = request.connection
        self.release(request)  # nothing is relayed any more
        if connection is None:
            return
        keep = self._keeps(request, connection)
        status = {FinalAnswer.SERVED: 200, FinalAnswer.REFUSED: 503, FinalAnswer.FAILED: 500}[final]
        connection.answer(
            http.response(status, body, close=not keep, retry_after=come_back if status == 503 else 0.0), keep
        )


def relay_head(request: HttpRequest, remaining: float) -> list[tuple[bytes, bytes]]:
    """The headers that go on to a host."""
    headers = [(name, request.headers[name]) for name in PASSED if name in request.headers]
    return [*headers, (b"x-remaining-ms", b"%d" % max(0, round(remaining)))]

"""South side of the platform's protocol: connections to hosts, kept warm, one request at a time on each."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import httptools
import orjson

from heronlug.balancer.events import Outcome, ProgressKind
from heronlug.frontends.http.request import forwarded_headers
from heronlug.net import http
from heronlug.net.connection_state import has_unread_input, shutdown_sending
from heronlug.requests.core import POSTPONED_MS, Core
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.model import Attempt, Server
from heronlug.requests.slots import SlotTable

# The host closes an idle connection at the latest after conn_idle, and a request written to it from then on is a
# reset, which send-invites does not survive: ours are retired at this share of that time.
RETIRE_SHARE = 0.7
# The last byte of what must not run twice is held back for so long: what breaks until then, as a warm connection that
# the host has forgotten or a new one that it drops, proves that the message never ran, and it may go elsewhere.
HOLD_BACK = 10.0
# So long after a warm connection has broken under its next request, what must not run twice goes out on new ones: some
# hosts drop a connection only when the request is whole, and then it may have run.
DISTRUST = 30_000.0
LAST_CHUNK_WAIT = 1000.0  # after the last line, for the end of the answer
STRAYS = 100.0  # a second answer to the same request may come so much later
OF_THE_HOST = (408, 429)  # of the 4xx, these find no fault with the message
ENDS = {"done": Outcome.SERVED, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


class ServerConnection(asyncio.Protocol):
    """One connection to a host."""

    def __init__(self, south: "ConnectionPool", host: Server, address: str) -> None:
        self.south, self.host, self.address = south, host, address
        self.ticket = 0
        self.relay: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.dial: asyncio.Task[None] | None = None
        self.deadline: Key | None = None  # of the dial, of the idle time, or of the last chunk
        self.sent = False  # the first byte of a request has been handed to the network
        self.unwritten = False  # not all of it has gone out
        self.held_back = b""  # its last byte, while that is not to go out yet
        self.closed = False
        self.warm = False  # has served a request before
        self.nameless_until = 0.0  # its last answer named no message: a second one would be taken for the next one's
        self.txn = self._before = ""  # whom its request is for, and whom the one before was for
        self._stray = False  # what is being read answers the one before once more
        self._answered = False  # the host has said something to this one
        self._between = True  # what it has said ends with a chunk, or it has said nothing
        self._chunked = self._last = False  # as the head says: in chunks; the connection ends with it
        self._parser: Any = None
        self._status = 0
        self._turned_away = False
        self._lines = http.Lines()
        self._verdict: tuple[Outcome, bytes] | None = None  # how the relay has ended, as the host tells
        self._complete = self._keep = False  # nothing more will come for it; the connection may be used again

    # -- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The dial has come through."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass, and keeps to it
        self.transport.set_write_buffer_limits(high=0)  # so that we are told when a byte stays unwritten
        if self.closed:
            self.transport.abort()
            return
        if self.sent:
            return  # adopted, with its request written
        self.south.dialled(self)
        self.south.turn()

    def pause_writing(self) -> None:
        """Bytes are waiting in the buffer."""
        self.unwritten = True

    def resume_writing(self) -> None:
        """The buffer is empty."""
        self.unwritten = False

    def data_received(self, data: bytes) -> None:
        """Bytes from the host."""
        if self.closed:
            return
        if self.relay is None and self._parser is None:
            self.close()  # it talks with nobody asking
            return
        self._answered = True
        try:
            self._parser.feed_data(data)
            self._between = self._between and data.endswith(b"\r\n")
            self._settle()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(Outcome.ERROR)
            self.south.log("bad_host", host=self.host.entry.name, error=str(error.__context__ or error))
            self.close()
        except Exception as error:  # one connection ends, the process does not
            self.south.log("exception", where="south", error=repr(error))
            self._end(Outcome.ERROR)
            self.close()
        self.south.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has broken or ended."""
        if self._parser is not None and self.sent and exc is None:
            self._finish_lines()
            self._settle()
        if self.warm and self.relay is not None and not self._answered:
            self.south.distrust_until = self.south.deadlines.clock() + DISTRUST
        self._end(Outcome.CONNECT_FAILED if self.unwritten or not self.sent else Outcome.RESET)
        self.close()
        self.south.turn()

    # -- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header of the answer."""
        name = name.lower()
        if name == b"x-turned-away":
            self._turned_away = value.strip() == b"1"
        elif name == b"transfer-encoding":
            self._chunked = value.strip().lower() == b"chunked"
        elif name == b"connection":
            self._last = b"close" in value.lower()

    def on_message_begin(self) -> None:
        """An answer begins."""
        self._answered = True

    def on_headers_complete(self) -> None:
        """The head is whole: all but a 200 ends the relay."""
        self._status = self._parser.get_status_code()
        if self._status in (503, 504) and self._turned_away:
            self._verdict = Outcome.FULL, b""
        elif 400 <= self._status < 500 and self._status not in OF_THE_HOST:
            self._verdict = Outcome.REJECTED_BY_SERVER, b""
        elif self._status >= 200 and self._status != 200:
            self._verdict = Outcome.ERROR, b""

    def on_chunk_header(self) -> None:
        """A chunk begins."""
        self._between = False

    def on_chunk_complete(self) -> None:
        """A chunk is whole."""
        self._between = True

    def on_body(self, body: bytes) -> None:
        """A chunk, which may end anywhere in a line."""
        if self._status == 200:
            for line in self._lines.feed(body):
                self._line(line)

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if self._status == 200:
            self._finish_lines()
        if self._stray and self._verdict is None:
            self._expect()  # ours is still to come
            return
        if self._status >= 200:
            self._verdict = self._verdict or (Outcome.RESET, b"")  # it ended before the last line
            # only here does the parser still know: past this it reads as if the next answer had begun
            self._complete, self._keep = True, self._parser.should_keep_alive()

    # -- the relay on it

    def write(self, relay: Attempt) -> None:
        """Send the relay's request; its first byte goes out here."""
        assert self.transport is not None
        request = relay.request.payload
        remaining = relay.request.give_up_at - self.south.deadlines.clock()
        if relay.request.policy.attempt_timeout:
            remaining = min(remaining, relay.request.policy.attempt_timeout)
        data = http.request(
            request.method, request.target, self.address, forwarded_headers(request, remaining), request.body
        )
        self.relay = relay
        self.txn, self._before = request.request_id, self.txn
        self._parser = httptools.HttpResponseParser(self)
        self._verdict, self._complete = None, False
        self._expect()
        self.sent, self.unwritten, self.held_back = True, False, b""
        if self.south.core.is_non_idempotent(relay):
            data, self.held_back = data[:-1], data[-1:]
            self.deadline = self.south.deadlines.call_after(HOLD_BACK, self._write_last)
        self.transport.write(data)
        if not self.held_back:
            self._count(relay)

    def _expect(self) -> None:
        """The answer is still to begin."""
        self._status, self._turned_away, self._lines = 0, False, http.Lines()
        self._answered = self._stray = False
        self._between, self._chunked, self._last = True, False, False

    def close(self) -> None:
        """Close it, and leave whatever is on it."""
        if not self.closed:
            self.closed = True
            self.south.deadlines.cancel(self.deadline)
            self.south.forget(self)
            if self.transport is not None:
                self.transport.abort()
            elif self.dial is not None:
                self.dial.cancel()

    def can_pass(self) -> bool:
        """Whether another process can read on: the request is out, and what has been read ends with a line."""
        transport = self.transport
        if self.closed or transport is None or transport.is_closing() or self.held_back or not self.sent:
            return False
        if transport.get_write_buffer_size() or self._verdict is not None:
            return False
        told = self._status == 200 and self._chunked and self._between and not self._lines.has_partial_line
        return told or not self._answered

    def pause(self) -> tuple[int, dict[str, bool]]:
        """Read no more, and leave that to whoever gets this descriptor, and what it has to know."""
        assert self.transport is not None
        self.transport.pause_reading()
        fd = int(self.transport.get_extra_info("socket").fileno())
        return fd, {"answered": self._answered, "last": self._last}

    def let_go(self) -> None:
        """Another process holds the connection: close our descriptor, and nothing goes out."""
        self.relay = None
        self.close()

    def read_on(self, relay: Attempt, answered: bool, last: bool) -> None:
        """Go on with an answer in chunks that another process has begun to read, or with one not begun."""
        self.relay, self.sent, self.txn = relay, True, relay.request.payload.request_id
        self._parser = httptools.HttpResponseParser(self)
        if answered:
            end = b"Connection: close\r\n" if last else b""
            self._parser.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + end + b"\r\n")
            self._answered = True

    def _write_last(self) -> None:
        """The connection has held: the last byte goes out, and from here on the message may have run."""
        relay = self.relay
        if self.closed or relay is None or self.transport is None:
            return
        if self.sound() and self.south.core.may_write(relay):
            data, self.held_back = self.held_back, b""
            self.transport.write(data)
            self._count(relay)
        else:
            self._end(Outcome.CONNECT_FAILED)
            self.close()

    def _count(self, relay: Attempt) -> None:
        """Have the relay counted once its last byte is out: the loop writes at the end of a turn, or later."""
        if self.transport is None or self.closed:
            return
        if self.transport.get_write_buffer_size() == 0:
            self.south.core.attempt_written()
        elif not self.unwritten:
            asyncio.get_running_loop().call_soon(self._count, relay)
        elif self.relay is relay:
            self.south.deadlines.call_after(HOLD_BACK, self._count, relay)

    def sound(self) -> bool:
        """Whether no end of it is waiting to be read, nor anything else."""
        return self.transport is not None and not has_unread_input(self.transport)

    def _finish_lines(self) -> None:
        for line in self._lines.end():
            self._line(line)

    def _line(self, line: bytes) -> None:
        relay = self.relay
        if relay is None or self._verdict is not None:
            return
        try:
            told = orjson.loads(line)
            state = told["state"]
            if told["id"] != self.txn:
                if told["id"] != self._before or self.held_back:
                    raise ValueError("a line of another message")
                self._stray = True
            elif state == "started":
                self.south.core.attempt_progressed(relay, ProgressKind.STARTED)
            elif state == "running":
                self.south.core.attempt_progressed(relay, ProgressKind.PROGRESS, float(told.get("share", 0.0)))
            elif state == "done":
                self._verdict = Outcome.SERVED, told["result"].encode()
            else:
                self._verdict = ENDS[state], b""
        except (ValueError, KeyError, TypeError, AttributeError, UnicodeError) as error:
            # strange JSON ends this relay as an error, and nothing else
            self.south.log("bad_host", host=self.host.entry.name, error=repr(error))
            self._verdict = Outcome.ERROR, b""

    def _settle(self) -> None:
        """Act on what has been read.  A connection is free before its relay ends, so that the next can have it."""
        if self._verdict is None or self.closed:
            return
        relay, self.relay = self.relay, None
        if self.held_back and self._verdict[0] not in (Outcome.FULL, Outcome.REJECTED_BY_SERVER):
            self._verdict = Outcome.CONNECT_FAILED, b""  # no answer to what lacks its last byte: it never ran
        nameless = self._status != 200 or self._verdict[0] is Outcome.FULL
        self.nameless_until = self.south.deadlines.clock() + STRAYS if nameless else 0.0
        if self._complete and self._keep and not self.held_back:
            self.south.rest(self)
        elif self._complete or self.held_back:
            self.close()
        elif relay is not None:
            self.south.deadlines.cancel(self.deadline)
            self.deadline = self.south.deadlines.call_after(LAST_CHUNK_WAIT, self.close)
        if relay is not None:
            relay.exchange = None
            self.south.core.attempt_ended(relay, *self._verdict)

    def _end(self, outcome: Outcome) -> None:
        relay, self.relay = self.relay, None
        if self.held_back:
            outcome = Outcome.CONNECT_FAILED
        if relay is not None:
            relay.exchange = None
            self.south.core.attempt_ended(relay, outcome)


class ConnectionPool:
    """The connections to all hosts."""

    core: Core

    def __init__(
        self,
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
        *,
        conn_idle: float,
        dial_timeout: float,
        max_connections: int,
    ) -> None:
        self.deadlines, self.log, self.turn = deadlines, log, turn
        self.retire_after = RETIRE_SHARE * conn_idle
        self.dial_timeout = dial_timeout
        self.max_connections = max_connections
        self.connections: SlotTable[ServerConnection] = SlotTable()
        self.idle: dict[int, deque[ServerConnection]] = {}  # by host, the one used last at the end
        self._adopting: set[asyncio.Task[Any]] = set()
        self.dials = 0  # so many made so far
        self.distrust_until = 0.0  # warm connections have broken lately

    def send(self, relay: Attempt) -> None:
        """Put a relay on a warm connection, or dial one for it."""
        pool, once = self.idle.get(relay.server.number), self.core.is_non_idempotent(relay)
        if self.deadlines.clock() < self.distrust_until and once:
            pool = None
        while pool:
            connection = pool.pop()
            rested = connection.deadline is not None and connection.deadline[0] <= self.deadlines.clock()
            named = (
                connection.txn != relay.request.payload.request_id
                and self.deadlines.clock() >= connection.nameless_until
            )
            if rested:
                connection.close()  # its time is over, though the loop has not come to close it
            elif not named or (once and connection.nameless_until):
                connection.close()  # its last answer, come twice, would be taken for the next one's
            elif connection.address == relay.server.entry.address and connection.sound():
                self.deadlines.cancel(connection.deadline)
                relay.exchange = connection
                connection.write(relay)
                return
            else:
                connection.close()
        if len(self.connections) >= self.max_connections and not self._evict():
            self.log("too_many_connections", connections=len(self.connections))
            self.core.attempt_ended(relay, Outcome.CONNECT_FAILED)
            return
        connection = ServerConnection(self, relay.server, relay.server.entry.address)
        connection.ticket = self.connections.add(connection)
        connection.relay = relay
        relay.exchange = connection
        connection.deadline = self.deadlines.call_after(self.dial_timeout, self._dial_over, connection)
        connection.dial = asyncio.get_running_loop().create_task(self._dial(connection))
        self.dials += 1

    def adopt(self, relay: Attempt, sock: socket.socket, answered: bool, last: bool) -> None:
        """Go on with a relay that another process has written."""
        sock.setblocking(False)
        connection = ServerConnection(self, relay.server, relay.server.entry.address)
        connection.ticket = self.connections.add(connection)
        relay.exchange = connection
        connection.read_on(relay, answered, last)
        loop = asyncio.get_running_loop()
        task = loop.create_task(loop.connect_accepted_socket(lambda: connection, sock))
        self._adopting.add(task)
        task.add_done_callback(self._adopting.discard)

    def cancel(self, relay: Attempt) -> None:
        """Give a relay up by closing its connection."""
        connection, relay.exchange = relay.exchange, None
        if connection is not None:
            connection.relay = None
            if connection.sent and connection.transport is not None:
                shutdown_sending(connection.transport)  # else the next attempt might be out beside this one
            connection.close()

    def dialled(self, connection: ServerConnection) -> None:
        """A connection is up.  Guards the rules at the write: its relay may have lost its right to go out."""
        relay = connection.relay
        if connection.closed:
            return
        if relay is not None and self.core.has_unread_update():
            self.deadlines.call_after(POSTPONED_MS, self.dialled, connection)
            return
        self.deadlines.cancel(connection.deadline)
        if relay is None:
            self.rest(connection)
        elif connection.address == relay.server.entry.address and self.core.may_write(relay):
            connection.write(relay)
        else:
            connection.relay = None
            relay.exchange = None
            self.rest(connection)
            self.core.attempt_ended(relay, Outcome.CONNECT_FAILED)

    def rest(self, connection: ServerConnection) -> None:
        """A connection is free: keep it warm for a while."""
        if connection.closed:
            return
        connection._parser = None
        connection.warm, connection.sent = connection.warm or connection.sent, False
        self.deadlines.cancel(connection.deadline)
        connection.deadline = self.deadlines.call_after(self.retire_after, connection.close)
        self.idle.setdefault(connection.host.number, deque()).append(connection)

    def forget(self, connection: ServerConnection) -> None:
        """A connection has ended."""
        self.connections.remove(connection.ticket)
        pool = self.idle.get(connection.host.number)
        if pool and connection in pool:
            pool.remove(connection)

    def retire(self, hosts: dict[int, Server]) -> None:
        """Close what stands idle to hosts that are not ready, or not there any more."""
        for number, pool in list(self.idle.items()):
            host = hosts.get(number)
            for connection in list(pool):
                if host is None or not host.ready or host.entry.address != connection.address:
                    connection.close()
            if not pool:
                del self.idle[number]

    def close_idle(self) -> None:
        """Close what stands idle."""
        for pool in self.idle.values():
            for connection in list(pool):
                connection.close()

    def _evict(self) -> bool:
        """Close the connection that has stood idle longest, to make room for a dial."""
        oldest = [pool[0] for pool in self.idle.values() if pool]
        if not oldest:
            return False
        min(oldest, key=lambda c: c.deadline or (0.0, 0)).close()
        return True

    async def _dial(self, connection: ServerConnection) -> None:
        host, port = http.split_address(connection.address)
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
        except OSError:
            self._dial_over(connection)
            self.turn()

    def _dial_over(self, connection: ServerConnection) -> None:
        relay, connection.relay = connection.relay, None
        connection.close()
        if relay is not None:
            relay.exchange = None
            self.core.attempt_ended(relay, Outcome.CONNECT_FAILED)

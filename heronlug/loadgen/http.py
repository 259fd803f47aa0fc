"""Generates load over the platform's HTTP protocol, as an open loop."""

import asyncio
import secrets
from collections import deque
from collections.abc import Iterable
from functools import partial
from typing import Any, cast

import httptools

from heronlug.loadgen.pace import OpenLoopPacer
from heronlug.loadgen.plan import PlannedRequest
from heronlug.loadgen.tally import Tally
from heronlug.net.connection_state import input_age_ms

MAX_CONNECTIONS = 4000
"""Maximum number of open connections; a request waits if all are busy, and the wait counts towards its latency."""


class SentRequest:
    """A planned request that has become due.

    Attributes:
        planned: the planned request.
        began: time in ms at which the load generator started the request.
        txn: transaction id of the request.
    """

    __slots__ = ("began", "planned", "txn")

    def __init__(self, planned: PlannedRequest, began: float) -> None:
        self.planned, self.began, self.txn = planned, began, secrets.token_hex(8)


class Connection(asyncio.Protocol):
    """A connection to a dispatcher that carries one request at a time.

    Attributes:
        load: load generator that the connection belongs to.
        dispatcher: index of the dispatcher.
        request: request in flight on the connection, if any.
        transport: transport while the connection is open.
    """

    def __init__(self, load: "HttpLoad", dispatcher: int) -> None:
        self.load, self.dispatcher = load, dispatcher
        self.request: SentRequest | None = None
        self.transport: asyncio.Transport | None = None
        self._parser: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, request: SentRequest) -> None:
        """Sends a request."""
        assert self.transport is not None
        self.request, self._parser = request, httptools.HttpResponseParser(self)
        self.load.request_sent(request, self.dispatcher)
        request_class, body = request.planned.request_class, f"{request.planned.work_ms:.3f}".encode()
        remaining_ms = max(1, round(request_class.deadline_ms - (self.load.now() - request.planned.due_at)))
        head = (
            f"POST /{request_class.name} HTTP/1.1\r\nHost: load\r\n"
            f"X-Txn: {request.txn}\r\nX-Lane: {request_class.name}\r\nX-Remaining-Ms: {remaining_ms}\r\n"
            f"Idempotency-Key: {request.txn * 2}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)

    def data_received(self, data: bytes) -> None:
        """Parses bytes of an answer; aborts the connection if the bytes are malformed or no request is in flight."""
        if self._parser is None:
            if self.transport is not None:
                self.transport.abort()  # an answer without a request
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_complete(self) -> None:
        """Handles the end of an answer."""
        status, keep_alive = self._parser.get_status_code(), self._parser.should_keep_alive()
        request, self.request, self._parser = self.request, None, None
        assert request is not None
        assert self.transport is not None
        outcome = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        self.load.request_ended(request, outcome, input_age_ms(self.transport))
        if keep_alive and not self.transport.is_closing():
            self.load.connection_idle(self)
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection; a request in flight counts as lost."""
        self.load.connection_closed(self)
        request, self.request = self.request, None
        if request is not None:
            self.load.request_ended(request, "lost")


class HttpLoad(OpenLoopPacer):
    """Sends planned requests to the dispatchers in round-robin order, each request when it is due.

    Attributes:
        addresses: hosts and ports of the dispatchers.
        in_flight: number of requests that were started and have not ended, including those that wait for a connection.
    """

    def __init__(self, addresses: list[tuple[str, int]], tallies: dict[str, Tally], seconds: float) -> None:
        """Creates the load for a list of dispatchers.

        Args:
            addresses: hosts and ports of the dispatchers.
            tallies: tallies by the name of the request class.
            seconds: time in seconds after which no further request is due, even if the plan has more.
        """
        super().__init__(tallies, seconds)
        self.addresses = addresses
        self.in_flight = 0
        self._idle: list[deque[Connection]] = [deque() for _ in addresses]
        self._open_count = 0
        self._queued: deque[SentRequest] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_dispatcher = 0
        self._connections: set[Connection] = set()

    async def run(self, due: Iterable[PlannedRequest]) -> None:
        """Sends planned requests when they are due and waits for the last answers."""
        async for planned in self.due(due):
            self.in_flight += 1
            self._send_or_queue(SentRequest(planned, self.now()))
        while self.in_flight and not self.is_over():
            await asyncio.sleep(0.02)
        for request in self._queued:
            self.request_ended(request, "lost")
        for connection in list(self._connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(0)

    def may_open_connection(self, dispatcher: int) -> bool:
        """Returns whether new connections to a dispatcher may be opened; open connections are used in any case."""
        return True

    def request_sent(self, request: SentRequest, dispatcher: int) -> None:
        """Does nothing; a subclass handles a request that is about to be sent to a dispatcher."""

    def request_ended(self, request: SentRequest, outcome: str, unread_ms: float = 0.0) -> None:
        """Counts a request that has ended; its latency counts from its due time to the arrival of the answer.

        Args:
            request: the request.
            outcome: ``served``, ``refused``, ``failed`` or ``lost``.
            unread_ms: time for which the answer had arrived and was not read, because this process did not run.
        """
        self.in_flight -= 1
        latency_ms = self.now() - unread_ms - request.planned.due_at
        self.tallies[request.planned.request_class.name].request_ended(outcome, latency_ms)

    def connection_idle(self, connection: Connection) -> None:
        """Sends the next queued request on an idle connection, or keeps the connection for later requests."""
        if self._queued:
            connection.send(self._queued.popleft())
        else:
            self._idle[connection.dispatcher].append(connection)

    def connection_closed(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self._open_count -= 1
        self._connections.discard(connection)
        if connection in self._idle[connection.dispatcher]:
            self._idle[connection.dispatcher].remove(connection)

    def _send_or_queue(self, request: SentRequest) -> None:
        for _ in self.addresses:
            self._last_dispatcher = (self._last_dispatcher + 1) % len(self.addresses)
            idle_connections = self._idle[self._last_dispatcher]
            while idle_connections:
                connection = idle_connections.pop()
                if connection.transport is not None and not connection.transport.is_closing():
                    connection.send(request)
                    return
            if self.may_open_connection(self._last_dispatcher):
                break
        if self._open_count >= MAX_CONNECTIONS:
            self._queued.append(request)
            return
        self._open_count += 1
        task = asyncio.get_running_loop().create_task(self._dial(self._last_dispatcher, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, dispatcher: int, request: SentRequest) -> None:
        loop = asyncio.get_running_loop()
        for offset in range(len(self.addresses)):  # skips dispatchers that do not listen
            candidate = (dispatcher + offset) % len(self.addresses)
            try:
                _, connection = await loop.create_connection(
                    partial(Connection, self, candidate), *self.addresses[candidate]
                )
            except OSError:
                continue
            self._connections.add(connection)
            if connection.transport is not None:  # the connection may be closed already
                connection.send(request)
                return
        self._open_count -= 1
        self.request_ended(request, "lost")

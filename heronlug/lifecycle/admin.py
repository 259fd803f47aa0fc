"""Where operators call: HTTP/1.1 on an address of its own, one call per connection.

Guards operators against every crowd: the descriptors here are not those of clients, and few callers can be held.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import httptools

from heronlug.net import http
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.slots import SlotTable

MAX_CALLERS = 16  # at once; one more has the oldest cut
CALL_WAIT = 2_000.0  # a call must be whole within this
LINGER = 500.0  # for the caller to read the answer and close
MAX_CALL = 2 * http.MAX_HEAD

Answer = tuple[int, bytes]
Calls = dict[tuple[bytes, bytes], Callable[[], Answer]]  # by method and path


class AdminConnection(asyncio.Protocol):
    """One connection with its one call."""

    def __init__(self, admin: "AdminEndpoint") -> None:
        self.admin = admin
        self.ticket = 0
        self.transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._answered = False
        self._deadline: Key | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """An operator has connected."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass, and keeps to it
        self._deadline = self.admin.deadlines.call_after(CALL_WAIT, self.abort)
        self.admin.opened(self)
        self.admin.turn()

    def data_received(self, data: bytes) -> None:
        """Bytes of the call; what comes after it is not read."""
        self._size += len(data)
        if not self._answered:
            try:
                self._parser.feed_data(data)
                if self._size > MAX_CALL and not self._answered:
                    self._answer(413, b"")
            except httptools.HttpParserUpgrade:
                self._answer(400, b"no upgrades here\n")
            except httptools.HttpParserError:
                self._answer(400, b"this is no HTTP/1.1\n")
            except Exception as error:  # one call fails, the process does not
                self.admin.log("exception", where="admin", error=repr(error))
                self._answer(500, b"")
        elif self._size > MAX_CALL:
            self.abort()
        self.admin.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """The operator has gone."""
        self._parser = None
        self.admin.deadlines.cancel(self._deadline)
        self.admin.callers.remove(self.ticket)
        self.admin.turn()

    def on_url(self, url: bytes) -> None:
        """Path and query, perhaps in pieces."""
        self._target += url

    def on_message_complete(self) -> None:
        """The call is whole."""
        if not self._answered:
            self._answer(*self.admin.answer(self._parser.get_method(), self._target.split(b"?", 1)[0]))

    def abort(self) -> None:
        """End the connection at once."""
        self.admin.callers.remove(self.ticket)
        if self.transport is not None:
            self.transport.abort()

    def _answer(self, status: int, body: bytes) -> None:
        self._answered = True
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(http.response(status, body, close=True))
        # an end of ours with input unread would void the answer: the caller closes, or the time is over
        self.transport.write_eof()
        self.admin.deadlines.cancel(self._deadline)
        self._deadline = self.admin.deadlines.call_after(LINGER, self.abort)


class AdminEndpoint:
    """The callers, and what they may call."""

    def __init__(self, calls: Calls, deadlines: Deadlines, log: Callable[..., None], turn: Callable[[], None]) -> None:
        self.calls, self.deadlines, self.log, self.turn = calls, deadlines, log, turn
        self.callers: SlotTable[AdminConnection] = SlotTable()

    def protocol(self) -> AdminConnection:
        """A protocol for a new connection."""
        return AdminConnection(self)

    def opened(self, caller: AdminConnection) -> None:
        """Book a caller; past the limit the one that came first makes room: a call takes no such time."""
        if len(self.callers) >= MAX_CALLERS:
            min(self.callers, key=lambda other: other._deadline or (0.0, 0)).abort()
        caller.ticket = self.callers.add(caller)

    def answer(self, method: bytes, path: bytes) -> Answer:
        """Status and body of a call."""
        call = self.calls.get((method, path))
        if call is not None:
            return call()
        known = [name.decode() for name, place in self.calls if place == path]
        return (405, f"only {' and '.join(known)} here\n".encode()) if known else (404, b"")

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            caller.abort()

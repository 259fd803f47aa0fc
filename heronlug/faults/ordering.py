"""Records ends after all that was written before them, whichever connection is read first.

A dispatcher sends a hedged request, receives the first attempt's answer and forwards it. The answer comes on a
connection long open; the hedge may lie unread at that time, on one that has not even been accepted, and the slower this
machine the longer. Recorded as they are read, the hedge would seem to be sent after the request's end.

So an end waits for a mark: a connection of our own, opened when the end is read, through one of the proxies, which is
the longest way that anything takes here. Once its byte has come, all that lay there before has been read.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from heronlug.faults.network import FaultyNetwork
from heronlug.net.http import split_address

MARK_PARTY = "mark"
"""The name of the path of the marks; no party of a test plan has it."""


class _MarkReceiver(asyncio.Protocol):
    def __init__(self, received: Callable[[], None]) -> None:
        self._mark_received = received

    def data_received(self, data: bytes) -> None:
        self._mark_received()


class OrderedEnds:
    """Ends that wait for a mark, in order; one mark is on its way at a time."""

    def __init__(self, network: FaultyNetwork) -> None:
        self._network = network
        self._pending_ends: deque[Callable[[], None]] = deque()
        self._covered_count = 0  # of these, what was there when the latest mark was sent
        self._mark_socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._address = ("", 0)

    async def open(self) -> None:
        """Listen for marks; raises ``OSError``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _MarkReceiver(self._mark_received), "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = split_address(
            self._network.proxy_connections(MARK_PARTY, MARK_PARTY, lambda: f"127.0.0.1:{port}")
        )

    def report(self, end: Callable[[], None]) -> None:
        """Call ``end`` when all that has come by now has been read, after all ends that were reported before."""
        self._pending_ends.append(end)
        self._send_mark()

    async def wait_until_caught_up(self) -> None:
        """Wait until all that has come by now has been read and recorded."""
        recorded = asyncio.Event()
        self.report(recorded.set)
        await recorded.wait()

    def close(self) -> None:
        """Record what still waits, and send no more marks."""
        self._covered_count = len(self._pending_ends)
        self._mark_received()
        if self._server is not None:
            self._server.close()

    def _send_mark(self) -> None:
        if self._mark_socket is None and self._pending_ends:
            self._covered_count = len(self._pending_ends)
            self._mark_socket = socket.create_connection(self._address)  # on loopback, with room in the queue: at once
            self._mark_socket.send(b"\0")

    def _mark_received(self) -> None:
        if self._mark_socket is not None:
            self._mark_socket.close()
            self._mark_socket = None
        while self._covered_count:
            self._covered_count -= 1
            self._pending_ends.popleft()()
        if self._server is not None and self._server.is_serving():
            self._send_mark()

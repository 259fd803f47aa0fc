"""Records the end of a request after all events that were written before it, whichever connection is read first.

A dispatcher may send a hedged request, receive the answer of the first attempt and forward it. The answer arrives on an
established connection, while the hedge may still be unread on a connection that has not been accepted; the delay grows
with the load of the machine. Recorded in reading order, the hedge would appear to be sent after the end of its request.

Each end therefore waits for a mark: a connection that this module opens when the end is read. The mark goes through a
proxy, the longest path in the harness, so once its byte arrives, everything written before the mark has been read.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from heronlug.faults.network import FaultyNetwork
from heronlug.net.http import split_address

MARK_PARTY = "mark"
"""Name of the path that marks take; no party of a test plan has this name."""


class _MarkReceiver(asyncio.Protocol):
    def __init__(self, received: Callable[[], None]) -> None:
        self._mark_received = received

    def data_received(self, data: bytes) -> None:
        self._mark_received()


class OrderedEnds:
    """Queue of ends that wait for a mark; at most one mark is in transit."""

    def __init__(self, network: FaultyNetwork) -> None:
        self._network = network
        self._pending_ends: deque[Callable[[], None]] = deque()
        self._covered_count = 0  # number of pending ends when the latest mark was sent
        self._mark_socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._address = ("", 0)

    async def open(self) -> None:
        """Starts to listen for marks.

        Raises:
            OSError: if no port is free.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _MarkReceiver(self._mark_received), "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = split_address(
            self._network.proxy_connections(MARK_PARTY, MARK_PARTY, lambda: f"127.0.0.1:{port}")
        )

    def report(self, end: Callable[[], None]) -> None:
        """Calls ``end`` after all bytes that have arrived by now were read, in the order of the reports."""
        self._pending_ends.append(end)
        self._send_mark()

    async def wait_until_caught_up(self) -> None:
        """Waits until all bytes that have arrived by now were read and recorded."""
        recorded = asyncio.Event()
        self.report(recorded.set)
        await recorded.wait()

    def close(self) -> None:
        """Records the pending ends and stops sending marks."""
        self._covered_count = len(self._pending_ends)
        self._mark_received()
        if self._server is not None:
            self._server.close()

    def _send_mark(self) -> None:
        if self._mark_socket is None and self._pending_ends:
            self._covered_count = len(self._pending_ends)
            self._mark_socket = socket.create_connection(self._address)  # does not block: loopback with a free backlog
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

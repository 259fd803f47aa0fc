"""Has ends told behind all that was written before them, whichever connection is read first.

A dispatcher writes a second copy of a job, hears the first copy's answer and passes it on.  The answer comes on a
connection long open; the copy may lie there unread at that time, on one that has not even been accepted, and the slower
this machine the longer.  Told as they are read, the copy would seem to go out after the job's end.

So an end waits for a mark: a connection of our own, dialled when the end is read, through one of our relays, which is
the longest way that anything takes here.  Once its byte has come, all that lay there before has been read.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from heronlug.faults.network import FaultyNetwork
from heronlug.net.http import split_address

MARK_PARTY = "mark"  # no party of a script


class _Mark(asyncio.Protocol):
    def __init__(self, come: Callable[[], None]) -> None:
        self._come = come

    def data_received(self, data: bytes) -> None:
        self._come()


class OrderedEnds:
    """What waits for a mark, in order; one mark is out at a time."""

    def __init__(self, paths: FaultyNetwork) -> None:
        self._paths = paths
        self._waiting: deque[Callable[[], None]] = deque()
        self._covered = 0  # so many of these were there when the mark that is out was sent
        self._sock: socket.socket | None = None  # of that mark
        self._server: asyncio.Server | None = None
        self._address = ("", 0)

    async def open(self) -> None:
        """Listen for marks; raises ``OSError``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Mark(self._come), "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = split_address(
            self._paths.proxy_connections(MARK_PARTY, MARK_PARTY, lambda: f"127.0.0.1:{port}")
        )

    def report(self, end: Callable[[], None]) -> None:
        """Call this when all that has come by now has been read, and after all that was handed in before."""
        self._waiting.append(end)
        self._send()

    async def caught_up(self) -> None:
        """Until all that has come by now has been read and told."""
        told = asyncio.Event()
        self.report(told.set)
        await told.wait()

    def close(self) -> None:
        """Tell what still waits, and send no more."""
        self._covered = len(self._waiting)
        self._come()
        if self._server is not None:
            self._server.close()

    def _send(self) -> None:
        if self._sock is None and self._waiting:
            self._covered = len(self._waiting)
            self._sock = socket.create_connection(self._address)  # on loopback, with room in the queue: at once
            self._sock.send(b"\0")

    def _come(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        while self._covered:
            self._covered -= 1
            self._waiting.popleft()()
        if self._server is not None and self._server.is_serving():
            self._send()

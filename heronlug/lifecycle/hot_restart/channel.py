"""Sends and receives messages and file descriptors on the Unix socket between two processes of one dispatcher.

The transports of asyncio cannot pass descriptors, so this module reads and writes the socket itself whenever the event
loop reports that the socket is ready.
"""

import asyncio
import errno
import os
import socket
import struct
import zlib
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from heronlug.lifecycle.hot_restart.errors import MalformedMessageError

MAX_FRAGMENT_BYTES = 32 * 1024
"""Maximum number of message bytes in one packet."""
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Maximum size of an accepted message, in bytes."""
MAX_FDS = 8
"""Maximum number of descriptors that accompany a message."""
PACKETS_PER_TURN = 64
"""Number of packets read before control returns to the event loop."""
SHORTAGE_ERRORS = frozenset({errno.ETOOMANYREFS, errno.ENOBUFS, errno.ENOMEM})
"""Errors of a send that report a shortage, such as too many descriptors in transit, which soon ends."""
SHORTAGE_RETRY_S = 0.01
"""Delay before a send that failed because of a shortage is repeated."""
LISTEN_BACKLOG = 4
"""Number of processes that may wait for their connection to be accepted."""
PARTIAL_MARKER = b"+"
"""First byte of a packet whose message continues in the next packet."""
FINAL_MARKER = b"."
"""First byte of the last packet of a message."""
PEER_CREDENTIALS = struct.Struct("3i")
"""Layout of the ``SO_PEERCRED`` option: process, user and group ids."""


def socket_path(folder: str, name: str, listen: str) -> str:
    """Returns the path of the Unix socket shared by all processes of the dispatcher with this name and address."""
    return str(Path(folder) / f"heronlug-{zlib.crc32(f'{name} {listen}'.encode()):08x}")


@contextmanager
def _short_path(path: str) -> Iterator[str]:
    """Yields a path to the same file that fits into a socket address, however long the name of the folder is."""
    folder = os.open(os.path.dirname(path) or ".", os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


def connect(path: str) -> socket.socket | None:
    """Returns a connection to the process that listens on ``path``; None if there is no such process."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with _short_path(path) as short_path:
            sock.connect(short_path)
    except OSError:  # no socket file, a stale socket file, or a full backlog
        sock.close()
        return None
    return sock


def listen(path: str) -> socket.socket:
    """Returns a listening socket that replaces any earlier socket at ``path``; only processes of this user can connect.

    Raises:
        OSError: if the socket cannot be created, bound or listened on.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    previous_umask = os.umask(0o177)
    try:
        with _short_path(path) as short_path:
            Path(path).unlink(missing_ok=True)
            sock.bind(short_path)
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    finally:
        os.umask(previous_umask)
    return sock


def is_same_user(sock: socket.socket) -> bool:
    """Returns whether the process at the other end runs as the same user."""
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(data)
    return bool(user == os.getuid())


@dataclass
class ReceivedMessage:
    """A received message, which owns its descriptors until they are taken.

    Attributes:
        message: The message.
        fds: The descriptors that accompany the message.
        fds_cut_off: Whether the kernel has discarded descriptors, because this process has none free.
    """

    message: dict[str, Any]
    fds: list[int]
    fds_cut_off: bool = False

    def take_fds(self) -> list[int]:
        """Returns the descriptors; the caller owns them from now on."""
        fds = self.fds
        self.fds = []
        return fds

    def close(self) -> None:
        """Closes the descriptors that have not been taken."""
        for fd in self.take_fds():
            os.close(fd)


@dataclass(frozen=True)
class _Packet:
    """A packet to send, with the descriptors that accompany and belong to the packet."""

    data: bytes
    fds: list[int]


class PeerProcess:
    """A connection to another process of this dispatcher.

    Attributes:
        closed: Whether this end is closed.
        features: Names of the features of the other process, as far as it has named them.
        clock_offset_ns: Difference of the clock of the other process to the monotonic clock, in ns; None if unknown.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[["PeerProcess", ReceivedMessage], None],
        on_disconnected: Callable[["PeerProcess", str], None],
    ) -> None:
        """Starts to read from a connected socket.

        Args:
            sock: A non-blocking socket, owned by this object from now on.
            on_message: Called with each message; an exception of the callee ends the connection.
            on_disconnected: Called once with the reason when the connection has ended, but not after :meth:`close`.
        """
        self.closed = False
        self.features: frozenset[str] = frozenset()
        self.clock_offset_ns: int | None = None
        self._sock = sock
        self._on_message = on_message
        self._on_disconnected = on_disconnected
        self._loop = asyncio.get_running_loop()
        self._outgoing: deque[_Packet] = deque()
        self._fragments: list[bytes] = []
        self._loop.add_reader(sock.fileno(), self._read)

    def send(self, message: dict[str, Any], fds: list[int] | None = None) -> None:
        """Sends a message; the descriptors are duplicated, so the caller may close its own copies at once.

        Raises:
            OSError: if no descriptor is free for a copy; then nothing is sent.
        """
        if self.closed:
            return
        data = orjson.dumps(message)
        copies = _duplicate(fds or [])
        while len(data) > MAX_FRAGMENT_BYTES:
            self._outgoing.append(_Packet(PARTIAL_MARKER + data[:MAX_FRAGMENT_BYTES], []))
            data = data[MAX_FRAGMENT_BYTES:]
        self._outgoing.append(_Packet(FINAL_MARKER + data, copies))
        self._write()

    def close(self) -> None:
        """Closes this end and drops unsent messages."""
        if not self.closed:
            self.closed = True
            self._loop.remove_reader(self._sock.fileno())
            self._loop.remove_writer(self._sock.fileno())
            self._sock.close()
            self._drop_outgoing()

    def _end(self, reason: str) -> None:
        if not self.closed:
            self.close()
            self._on_disconnected(self, reason)

    def _drop_outgoing(self) -> None:
        for packet in self._outgoing:
            _close_all(packet.fds)
        self._outgoing.clear()

    def _write(self) -> None:
        try:
            while self._outgoing:
                packet = self._outgoing[0]
                socket.send_fds(self._sock, [packet.data], packet.fds)
                self._outgoing.popleft()
                _close_all(packet.fds)
            self._loop.remove_writer(self._sock.fileno())
        except (BlockingIOError, InterruptedError):
            self._loop.add_writer(self._sock.fileno(), self._write)
        except (BrokenPipeError, ConnectionResetError):
            # The other process has ended. The reader receives its last packets, if unread, and then detects the end.
            self._loop.remove_writer(self._sock.fileno())
            self._drop_outgoing()
        except OSError as error:
            if error.errno in SHORTAGE_ERRORS:
                self._loop.call_later(SHORTAGE_RETRY_S, self._retry_write)
            else:
                self._loop.call_soon(self._end, repr(error))

    def _retry_write(self) -> None:
        if not self.closed:
            self._write()

    def _read(self) -> None:
        for _ in range(PACKETS_PER_TURN):
            if self.closed:
                return
            try:
                data, fds, flags, _ = socket.recv_fds(
                    self._sock, MAX_FRAGMENT_BYTES + 1, MAX_FDS, socket.MSG_CMSG_CLOEXEC
                )
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # The other process closed the socket before it had read all packets of this process. The kernel reports
                # the reset first, but the packets of the other process are still readable and may carry connections
                # of clients.
                continue
            except OSError as error:
                self._end(repr(error))
                return
            if not data:
                self._end("closed")
                return
            try:
                self._receive(data, fds, bool(flags & socket.MSG_CTRUNC))
            except Exception as error:  # malformed data from another process must not end this process
                self._end(repr(error))

    def _receive(self, data: bytes, fds: list[int], fds_cut_off: bool) -> None:
        """Handles a packet, and passes its message to the callback once the message is complete."""
        try:
            message = self._assemble(data)
        except ValueError:
            _close_all(fds)
            raise
        if message is None:
            _close_all(fds)  # only the last packet of a message carries valid descriptors
            return
        received = ReceivedMessage(message, fds, fds_cut_off)
        try:
            self._on_message(self, received)
        finally:
            received.close()

    def _assemble(self, data: bytes) -> dict[str, Any] | None:
        """Returns the message that this packet completes; None if further packets follow."""
        marker = data[:1]
        self._fragments.append(data[1:])
        if marker not in (PARTIAL_MARKER, FINAL_MARKER) or sum(map(len, self._fragments)) > MAX_MESSAGE_BYTES:
            msg = (
                f"malformed packet: expected {PARTIAL_MARKER!r} or {FINAL_MARKER!r} as its first byte, "
                f"and a message of at most {MAX_MESSAGE_BYTES} bytes"
            )
            raise MalformedMessageError(msg)
        if marker == PARTIAL_MARKER:
            return None
        message = orjson.loads(b"".join(self._fragments))
        self._fragments = []
        if not isinstance(message, dict):
            msg = "malformed message: expected a JSON object"
            raise MalformedMessageError(msg)
        return message


def _duplicate(fds: list[int]) -> list[int]:
    """Returns duplicates of the descriptors; raises ``OSError``, without any duplicate left, if none is free."""
    copies: list[int] = []
    try:
        for fd in fds:
            copies.append(os.dup(fd))
    except OSError:
        _close_all(copies)
        raise
    return copies


def _close_all(fds: list[int]) -> None:
    for fd in fds:
        os.close(fd)

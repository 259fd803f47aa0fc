"""The Unix socket between two processes of one dispatcher: complete messages, with descriptors beside them.

Asyncio's transports pass no descriptors, so the socket is read and written here when the loop says that it is ready.
"""

import asyncio
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
"""Bytes of a message that one packet holds at most."""
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Bytes of a message that is accepted at most."""
MAX_FDS = 8
"""Descriptors that come with a message at most."""
PACKETS_PER_TURN = 64
"""Packets that are read before the loop runs other work."""
LISTEN_BACKLOG = 4
"""Processes that may wait to be accepted."""
PARTIAL_MARKER = b"+"
"""First byte of a packet that is followed by more of its message."""
FINAL_MARKER = b"."
"""First byte of the last packet of a message."""
PEER_CREDENTIALS = struct.Struct("3i")
"""What ``SO_PEERCRED`` gives: process, user and group."""


def socket_path(folder: str, name: str, listen: str) -> str:
    """Where the processes of the dispatcher of this name and address find each other."""
    return str(Path(folder) / f"heronlug-{zlib.crc32(f'{name} {listen}'.encode()):08x}")


@contextmanager
def _short_path(path: str) -> Iterator[str]:
    """A path to the same file that fits into a socket's address, however long the folder's name is."""
    folder = os.open(os.path.dirname(path) or ".", os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


def connect(path: str) -> socket.socket | None:
    """A connection to the process that listens there; None if there is none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with _short_path(path) as short_path:
            sock.connect(short_path)
    except OSError:  # no file, a stale one, or a full backlog
        sock.close()
        return None
    return sock


def listen(path: str) -> socket.socket:
    """Listen there in place of whoever did before; only processes of this user can connect.  Raises ``OSError``."""
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
    """Whether the process at the other end runs as the same user."""
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(data)
    return bool(user == os.getuid())


@dataclass(frozen=True)
class _Packet:
    """A packet to send, and the descriptors that go with it, which are owned here."""

    data: bytes
    fds: list[int]


class PeerProcess:
    """A connection with another process of this dispatcher.

    Attributes:
        closed: this end is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[["PeerProcess", dict[str, Any], list[int]], None],
        on_disconnected: Callable[["PeerProcess", str], None],
    ) -> None:
        """Read from a connected socket.

        Args:
            sock: non-blocking, owned by this object.
            on_message: called with each message and its descriptors, which are the receiver's; what it raises ends
                the connection.
            on_disconnected: called once with the reason when the connection has ended, but not after :meth:`close`.
        """
        self.closed = False
        self._sock = sock
        self._on_message = on_message
        self._on_disconnected = on_disconnected
        self._loop = asyncio.get_running_loop()
        self._outgoing: deque[_Packet] = deque()
        self._fragments: list[bytes] = []
        self._loop.add_reader(sock.fileno(), self._read)

    def send(self, message: dict[str, Any], fds: list[int] | None = None) -> None:
        """Send a message.  The descriptors are copied, so the caller may close its own at once."""
        if self.closed:
            return
        data = orjson.dumps(message)
        copies = [os.dup(fd) for fd in fds or ()]
        while len(data) > MAX_FRAGMENT_BYTES:
            self._outgoing.append(_Packet(PARTIAL_MARKER + data[:MAX_FRAGMENT_BYTES], []))
            data = data[MAX_FRAGMENT_BYTES:]
        self._outgoing.append(_Packet(FINAL_MARKER + data, copies))
        self._write()

    def close(self) -> None:
        """Close this end; what was not sent is dropped."""
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
            # The other process has ended; what it sent before may still be unread, and its end is read after that.
            self._loop.remove_writer(self._sock.fileno())
            self._drop_outgoing()
        except OSError as error:
            self._loop.call_soon(self._end, repr(error))

    def _read(self) -> None:
        for _ in range(PACKETS_PER_TURN):
            if self.closed:
                return
            try:
                data, fds, _, _ = socket.recv_fds(self._sock, MAX_FRAGMENT_BYTES + 1, MAX_FDS, socket.MSG_CMSG_CLOEXEC)
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # The other process has closed with something of ours unread. The kernel reports that before the
                # packets that it sent, which are not lost: connections of clients may be among them.
                continue
            except OSError as error:
                self._end(repr(error))
                return
            if not data:
                self._end("closed")
                return
            try:
                self._receive(data, fds)
            except Exception as error:  # bytes of another process must not end this one
                self._end(repr(error))

    def _receive(self, data: bytes, fds: list[int]) -> None:
        """Collect a packet, and give its message out once it is complete."""
        try:
            message = self._assemble(data)
        except ValueError:
            _close_all(fds)
            raise
        if message is None:
            _close_all(fds)  # descriptors come with the last packet alone
            return
        self._on_message(self, message, fds)

    def _assemble(self, data: bytes) -> dict[str, Any] | None:
        """The message that this packet completes; None if more follows."""
        marker = data[:1]
        self._fragments.append(data[1:])
        if marker not in (PARTIAL_MARKER, FINAL_MARKER) or sum(map(len, self._fragments)) > MAX_MESSAGE_BYTES:
            msg = f"a packet begins with {PARTIAL_MARKER!r} or {FINAL_MARKER!r}, and its message is of limited size"
            raise MalformedMessageError(msg)
        if marker == PARTIAL_MARKER:
            return None
        message = orjson.loads(b"".join(self._fragments))
        self._fragments = []
        if not isinstance(message, dict):
            msg = "a message is a JSON object"
            raise MalformedMessageError(msg)
        return message


def _close_all(fds: list[int]) -> None:
    for fd in fds:
        os.close(fd)

"""The Unix socket between two processes of one dispatcher: whole messages, and descriptors with them.

Asyncio's transports pass no descriptors, so the socket is read and written here as the loop says it is ready.
"""

import asyncio
import os
import socket
import struct
import zlib
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

PIECE = 32 * 1024  # a packet holds so much of a message at most
MAX_MESSAGE = 8 * 1024 * 1024
MAX_FDS = 8
READS = 64  # packets a turn
MORE, LAST = b"+", b"."
CREDENTIALS = struct.Struct("3i")


def place(folder: str, name: str, listen: str) -> str:
    """Where the processes of one dispatcher find each other."""
    return str(Path(folder) / f"heronlug-{zlib.crc32(f'{name} {listen}'.encode()):08x}")


class _Reach:
    """A path that fits into a socket's address, however long the folder's name is."""

    def __init__(self, path: str) -> None:
        self._folder = os.open(os.path.dirname(path) or ".", os.O_PATH | os.O_DIRECTORY)
        self._path = f"/proc/self/fd/{self._folder}/{os.path.basename(path)}"

    def __enter__(self) -> str:
        return self._path

    def __exit__(self, *_: object) -> None:
        os.close(self._folder)


def call(path: str) -> socket.socket | None:
    """A connection to the process that listens there; None if there is none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with _Reach(path) as reach:
            sock.connect(reach)
    except OSError:  # no file, a stale one, or a queue that is full
        sock.close()
        return None
    return sock


def listen(path: str) -> socket.socket:
    """Listen there in place of whoever did before; only our own user may come.  Raises ``OSError``."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    mask = os.umask(0o177)
    try:
        with _Reach(path) as reach:
            Path(path).unlink(missing_ok=True)
            sock.bind(reach)
        sock.listen(4)
    except OSError:
        sock.close()
        raise
    finally:
        os.umask(mask)
    return sock


def is_ours(sock: socket.socket) -> bool:
    """Whether the process at the other end runs as our user."""
    data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return bool(CREDENTIALS.unpack(data)[1] == os.getuid())


class PeerProcess:
    """One end of a connection."""

    def __init__(
        self,
        sock: socket.socket,
        told: Callable[["PeerProcess", dict[str, Any], list[int]], None],
        lost: Callable[["PeerProcess", str], None],
    ) -> None:
        self._sock, self._told, self._lost = sock, told, lost
        self._loop = asyncio.get_running_loop()
        self._out: deque[tuple[bytes, list[int]]] = deque()
        self._pieces: list[bytes] = []
        self.closed = False
        self._loop.add_reader(sock.fileno(), self._read)

    def send(self, table: dict[str, Any], fds: list[int] | None = None) -> None:
        """Send a message.  The descriptors are copied, so the caller may close its own at once."""
        if self.closed:
            return
        data, copies = orjson.dumps(table), [os.dup(fd) for fd in fds or ()]
        while len(data) > PIECE:
            self._out.append((MORE + data[:PIECE], []))
            data = data[PIECE:]
        self._out.append((LAST + data, copies))
        self._write()

    def close(self) -> None:
        """Close this end, with what was not sent."""
        if not self.closed:
            self.closed = True
            self._loop.remove_reader(self._sock.fileno())
            self._loop.remove_writer(self._sock.fileno())
            self._sock.close()
            for _, fds in self._out:
                _close(fds)
            self._out.clear()

    def _end(self, why: str) -> None:
        if not self.closed:
            self.close()
            self._lost(self, why)

    def _write(self) -> None:
        try:
            while self._out:
                data, fds = self._out[0]
                socket.send_fds(self._sock, [data], fds)
                self._out.popleft()
                _close(fds)
            self._loop.remove_writer(self._sock.fileno())
        except (BlockingIOError, InterruptedError):
            self._loop.add_writer(self._sock.fileno(), self._write)
        except (BrokenPipeError, ConnectionResetError):
            # the other has gone, and what it passed on before may still wait to be read: its end is read after that
            self._loop.remove_writer(self._sock.fileno())
            for _, fds in self._out:
                _close(fds)
            self._out.clear()
        except OSError as error:
            self._loop.call_soon(self._end, repr(error))

    def _read(self) -> None:
        for _ in range(READS):
            if self.closed:
                return
            try:
                data, fds, _, _ = socket.recv_fds(self._sock, PIECE + 1, MAX_FDS, socket.MSG_CMSG_CLOEXEC)
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                # the other has closed with something of ours unread; that is told before what it sent, which is
                # not lost: connections of clients may be among it
                continue
            except OSError as error:
                self._end(repr(error))
                return
            if not data:
                self._end("closed")
                return
            try:
                self._take(data, fds)
            except Exception as error:  # a partner's bytes must not end us
                self._end(repr(error))

    def _take(self, data: bytes, fds: list[int]) -> None:
        self._pieces.append(data[1:])
        try:
            if data[:1] not in (MORE, LAST) or sum(map(len, self._pieces)) > MAX_MESSAGE:
                raise ValueError("no message of ours")
            if data[:1] == MORE:
                _close(fds)
                return
            message, self._pieces = orjson.loads(b"".join(self._pieces)), []
            if not isinstance(message, dict):
                raise ValueError("no message of ours")
        except ValueError:
            _close(fds)
            raise
        self._told(self, message, fds)  # the descriptors are the receiver's now


def _close(fds: list[int]) -> None:
    for fd in fds:
        os.close(fd)

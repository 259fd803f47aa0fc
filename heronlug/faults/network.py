"""Relays between any two parties, over TCP and UDP on loopback, and the faults on them.

A path has a source and a target.  What goes from the source to the target is ``out``, what comes back is ``back``.
Bytes that a cut holds are kept, as a sender's machine would send them again, and go on when it is over; datagrams are
lost.  A new connection through a cut never comes up: the listening socket's queue is filled and nobody takes from it.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol, cast

from heronlug.net.http import split_address
from heronlug.standins.ports import free_port

LISTEN_BACKLOG = 512
FILLER_COUNT = 3  # connections that fill the queue of a socket with a backlog of 0
TRICKLE_INTERVAL_S = 0.05  # s between two sips of a trickle
MAX_HELD_BYTES = 1 << 20  # bytes that a way holds before its sender is made to wait
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # a close sends a reset
PathName = tuple[str, str]


@dataclass(slots=True)
class Direction:
    """What befalls bytes one way."""

    held: bool = False
    delay_ms: float = 0.0
    bytes_per_second: int = 0  # bytes a second, 0 for no bound
    reset_after_bytes: int = 0  # so many bytes of each connection come through, then it is reset; 0 for all
    loss: float = 0.0  # of datagrams

    def heal(self) -> None:
        """Nothing befalls them any more."""
        self.held, self.delay_ms, self.bytes_per_second, self.reset_after_bytes, self.loss = False, 0.0, 0, 0, 0.0


class ConnectionListener(Protocol):
    """Whoever hears bytes of one connection."""

    def bytes_written(self, data: bytes) -> None:
        """They have been written, whenever they come through."""


class NetworkPath:
    """One path, with its faults and all that goes through it."""

    def __init__(self, name: PathName) -> None:
        self.name = name
        self.forward, self.backward = Direction(), Direction()
        self.refusing = self.queue_full = self.silent = False  # silent: dials come up, and then nothing comes through
        self.target_gone = False  # the target's process has ended
        self.dial_count = 0
        self.connections: set[ProxiedConnection] = set()
        self.listener: ListeningProxy | None = None
        self.make_connection_listener: Callable[[], ConnectionListener] | None = (
            None  # hears what is written into each connection, when it is written
        )

    @property
    def blocked(self) -> bool:
        """Whether nothing gets through to the target, or nothing back."""
        return self.refusing or self.queue_full or self.silent or self.forward.held or self.backward.held

    def dial_outcome(self) -> str:
        """What becomes of a dial: taken, refused, or nothing at all."""
        if self.refusing or self.target_gone:
            return "refused"
        cut = (self.forward.held or self.backward.held) and not self.silent
        return "unanswered" if self.queue_full or cut else "taken"

    def heal(self) -> None:
        """End all faults."""
        self.refusing = self.queue_full = self.silent = False
        self.forward.heal()
        self.backward.heal()

    def reset_connections(self) -> None:
        """Reset all connections through it."""
        for connection in list(self.connections):
            connection.reset()

    def apply_faults(self) -> None:
        """Its faults are others now."""
        if self.listener is not None:
            self.listener.set_dial_outcome(self.dial_outcome())
        for link in list(self.connections):
            link.pump()


class ListeningProxy:
    """A listening socket whose dials are taken, refused or left unanswered."""

    def __init__(self, path: NetworkPath, target: Callable[[], str]) -> None:
        self._path, self._target = path, target
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._own: set[int] = set()  # ports that fillers had
        self._how = "refused"
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = free_port()  # it is closed for a while, and has to be had again
        self.set_dial_outcome("taken")

    def set_dial_outcome(self, how: str) -> None:
        """Take, refuse or leave unanswered what is dialled from now on."""
        if how == self._how:
            return
        loop = asyncio.get_running_loop()
        if self._how == "taken" and self._socket is not None:
            loop.remove_reader(self._socket)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if how == "refused":
            if self._socket is not None:
                self._socket.close()
            self._socket = None
        else:
            if self._socket is None:
                self._socket = self._bind()
            self._socket.listen(LISTEN_BACKLOG if how == "taken" else 0)
            if how == "taken":
                loop.add_reader(self._socket, self._accept)
            else:
                self._fill()
        self._how = how

    def close(self) -> None:
        """Nothing is listened for any more."""
        self.set_dial_outcome("refused")
        for task in self._tasks:
            task.cancel()

    def _bind(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        return sock

    def _fill(self) -> None:
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)
            self._own.add(filler.getsockname()[1])

    def _accept(self) -> None:
        while self._socket is not None:
            try:
                sock, (_, sender) = self._socket.accept()
            except OSError:
                return
            if sender in self._own:  # it filled the queue, and is no dial
                self._own.discard(sender)
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._path.dial_count += 1
            task = asyncio.get_running_loop().create_task(self._link(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _link(self, sock: socket.socket) -> None:
        loop, link = asyncio.get_running_loop(), ProxiedConnection(self._path)
        try:
            await loop.create_connection(lambda: link.target_end, *split_address(self._target()))
        except OSError:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
            return
        self._path.connections.add(link)
        try:
            await loop.connect_accepted_socket(lambda: link.source_end, sock)
        except OSError:
            link.reset()


class ConnectionEnd(asyncio.Protocol):
    """One end of a link."""

    def __init__(self, link: "ProxiedConnection", way: Direction) -> None:
        self.connection, self.direction = link, way  # the way of what is read here
        self.transport: asyncio.Transport | None = None
        self.other: ConnectionEnd
        self.pending: deque[tuple[float, bytes]] = deque()  # when it may go on, and what; empty bytes are the end
        self.pending_bytes = self.passed_bytes = 0
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.connection.pump()

    def data_received(self, data: bytes) -> None:
        """Bytes to pass on."""
        if self is self.connection.source_end and self.connection.listener is not None:
            self.connection.listener.bytes_written(data)
        self._put(data)

    def eof_received(self) -> bool:
        """The end of what comes from here; the other way may go on."""
        self._put(b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """This end has gone: a clean end has been passed on as such, a reset goes on as one, unless it is held."""
        self.transport = None
        if not self.ended:
            self._put(b"")
        self.connection.end_lost(self)

    def _put(self, data: bytes) -> None:
        self.ended = self.ended or not data
        when = asyncio.get_running_loop().time() + self.direction.delay_ms / 1000
        self.pending.append((when, data))
        self.pending_bytes += len(data)
        if self.pending_bytes > MAX_HELD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.connection.pump()


class ProxiedConnection:
    """A connection through a path."""

    def __init__(self, path: NetworkPath) -> None:
        self.path = path
        self.listener = path.make_connection_listener() if path.make_connection_listener is not None else None
        self.source_end, self.target_end = ConnectionEnd(self, path.forward), ConnectionEnd(self, path.backward)
        self.source_end.other, self.target_end.other = self.target_end, self.source_end
        self._timer: asyncio.TimerHandle | None = None

    def pump(self) -> None:
        """Pass on what may go."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waits = [wait for wait in (self._pass(self.source_end), self._pass(self.target_end)) if wait is not None]
        if waits:
            self._timer = asyncio.get_running_loop().call_later(max(0.001, min(waits)), self.pump)

    def reset(self) -> None:
        """End both sides at once."""
        self.path.connections.discard(self)
        for side in (self.source_end, self.target_end):
            side.pending.clear()
            side.ended = True
            if side.transport is not None:
                side.transport.abort()

    def end_lost(self, side: ConnectionEnd) -> None:
        """A side has gone; the other one hears of it as soon as its bytes have come through."""
        if side.other.transport is None:
            self.path.connections.discard(self)
        elif not side.pending and not side.direction.held:
            side.other.transport.abort()
        self.pump()

    def _pass(self, side: ConnectionEnd) -> float | None:
        """Pass on what was read at a side; seconds until there may be more, None for no more by itself."""
        way, to, loop = side.direction, side.other.transport, asyncio.get_running_loop()
        while side.pending and not way.held and to is not None:
            when, data = side.pending[0]
            if (wait := when - loop.time()) > 0:
                return wait
            if not data:
                side.pending.popleft()
                if side.transport is None:
                    to.abort()  # the sender has gone altogether
                elif to.can_write_eof():
                    with suppress(OSError):  # it has been reset, and we are about to hear of it
                        to.write_eof()
                continue
            room = len(data)
            if way.bytes_per_second:
                room = min(room, max(1, round(way.bytes_per_second * TRICKLE_INTERVAL_S)))
            if way.reset_after_bytes:
                room = min(room, max(0, way.reset_after_bytes - side.passed_bytes))
                if not room:
                    self.reset()
                    return None
            to.write(data[:room])
            side.passed_bytes += room
            side.pending_bytes -= room
            if room < len(data):
                side.pending[0] = when, data[room:]
            else:
                side.pending.popleft()
            if side.transport is not None and side.pending_bytes <= MAX_HELD_BYTES // 2:
                side.transport.resume_reading()
            if way.reset_after_bytes and side.passed_bytes >= way.reset_after_bytes:
                self.reset()
                return None
            if way.bytes_per_second:
                return max(TRICKLE_INTERVAL_S, 1 / way.bytes_per_second)
        return None


class FaultyNetwork:
    """All paths of a rig."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._paths: dict[PathName, NetworkPath] = {}
        self._boxes: list[DatagramProxy] = []

    def path_between(self, source: str, target: str) -> NetworkPath:
        """The path from one to another."""
        return self._paths.setdefault((source, target), NetworkPath((source, target)))

    def proxy_connections(self, source: str, target: str, address: Callable[[], str]) -> str:
        """The address at which the source finds the target; ``address`` is where it really is."""
        path = self.path_between(source, target)
        if path.listener is None:
            path.listener = ListeningProxy(path, address)
        return f"127.0.0.1:{path.listener.port}"

    async def proxy_datagrams(self, real: dict[str, int]) -> dict[str, int]:
        """A relay for each of these parties; the ports at which the others find them.

        What comes in at the relay of X is sent on to X from the relay of whoever sent it, so answers take the same way.
        """
        names, boxes = {port: name for name, port in real.items()}, dict[str, DatagramProxy]()
        for name in real:
            box = DatagramProxy(self, name, names, real, boxes)
            await asyncio.get_running_loop().create_datagram_endpoint(lambda box=box: box, ("127.0.0.1", 0))  # type: ignore[misc]
            boxes[name] = box
            self._boxes.append(box)
        return {name: box.port for name, box in boxes.items()}

    def drops_datagram(self, way: Direction) -> bool:
        """Whether a datagram does not come through."""
        return way.held or (way.loss > 0 and self._rng.random() < way.loss)

    def paths_between(self, sources: Iterable[str], targets: Iterable[str]) -> list[tuple[NetworkPath, bool]]:
        """The paths between these, each with whether it goes from a source to a target or back."""
        froms, tos = set(sources), set(targets)
        chosen = []
        for (source, target), path in self._paths.items():
            if source in froms and target in tos:
                chosen.append((path, True))
            elif source in tos and target in froms:
                chosen.append((path, False))
        return chosen

    def set_target_gone(self, target: str, gone: bool) -> None:
        """A target's process has ended, or is there again: its connections are reset, and dials refused."""
        for (_, name), path in self._paths.items():
            if name == target:
                path.target_gone = gone
                if gone:
                    for link in list(path.connections):
                        link.reset()
                path.apply_faults()

    def close(self) -> None:
        """End everything."""
        for path in self._paths.values():
            if path.listener is not None:
                path.listener.close()
            for link in list(path.connections):
                link.reset()
        for box in self._boxes:
            box.transport.close()


class DatagramProxy(asyncio.DatagramProtocol):
    """The relay of one party's datagrams."""

    def __init__(
        self, paths: FaultyNetwork, owner: str, names: dict[int, str], real: dict[str, int], boxes: dict[str, Any]
    ) -> None:
        self._paths, self._owner, self._names, self._real, self._boxes = paths, owner, names, real, boxes
        self.transport: asyncio.DatagramTransport
        self.port = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """One to our owner."""
        sender = self._names.get(addr[1])
        if sender is None:
            return
        way = self._paths.path_between(sender, self._owner).forward
        if self._paths.drops_datagram(way):
            return
        if way.delay_ms:
            asyncio.get_running_loop().call_later(way.delay_ms / 1000, self._pass, sender, data)
        else:
            self._pass(sender, data)

    def _pass(self, sender: str, data: bytes) -> None:
        transport = self._boxes[sender].transport
        if not transport.is_closing():
            transport.sendto(data, ("127.0.0.1", self._real[self._owner]))

    def error_received(self, exc: Exception) -> None:
        """The party is not there."""

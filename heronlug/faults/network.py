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
    trickle: int = 0  # bytes a second, 0 for no bound
    half: int = 0  # so many bytes of each connection come through, then it is reset; 0 for all
    loss: float = 0.0  # of datagrams

    def heal(self) -> None:
        """Nothing befalls them any more."""
        self.held, self.delay_ms, self.trickle, self.half, self.loss = False, 0.0, 0, 0, 0.0


class ConnectionListener(Protocol):
    """Whoever hears bytes of one connection."""

    def hear(self, data: bytes) -> None:
        """They have been written, whenever they come through."""


class NetworkPath:
    """One path, with its faults and all that goes through it."""

    def __init__(self, name: PathName) -> None:
        self.name = name
        self.out, self.back = Direction(), Direction()
        self.refusing = self.full = self.silent = False  # silent: dials come up, and then nothing comes through
        self.gone = False  # the target's process has ended
        self.dials = 0
        self.links: set[ProxiedConnection] = set()
        self.door: ListeningProxy | None = None
        self.ear: Callable[[], ConnectionListener] | None = (
            None  # hears what is written into each connection, when it is written
        )

    @property
    def blocked(self) -> bool:
        """Whether nothing gets through to the target, or nothing back."""
        return self.refusing or self.full or self.silent or self.out.held or self.back.held

    def open_to_dials(self) -> str:
        """What becomes of a dial: taken, refused, or nothing at all."""
        if self.refusing or self.gone:
            return "refused"
        cut = (self.out.held or self.back.held) and not self.silent
        return "unanswered" if self.full or cut else "taken"

    def changed(self) -> None:
        """Its faults are others now."""
        if self.door is not None:
            self.door.set(self.open_to_dials())
        for link in list(self.links):
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
        self.set("taken")

    def set(self, how: str) -> None:
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
        self.set("refused")
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
            self._path.dials += 1
            task = asyncio.get_running_loop().create_task(self._link(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _link(self, sock: socket.socket) -> None:
        loop, link = asyncio.get_running_loop(), ProxiedConnection(self._path)
        try:
            await loop.create_connection(lambda: link.far, *split_address(self._target()))
        except OSError:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
            return
        self._path.links.add(link)
        try:
            await loop.connect_accepted_socket(lambda: link.near, sock)
        except OSError:
            link.reset()


class ConnectionEnd(asyncio.Protocol):
    """One end of a link."""

    def __init__(self, link: "ProxiedConnection", way: Direction) -> None:
        self.link, self.way = link, way  # the way of what is read here
        self.transport: asyncio.Transport | None = None
        self.other: ConnectionEnd
        self.queue: deque[tuple[float, bytes]] = deque()  # when it may go on, and what; empty bytes are the end
        self.size = self.passed = 0
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.link.pump()

    def data_received(self, data: bytes) -> None:
        """Bytes to pass on."""
        if self is self.link.near and self.link.ear is not None:
            self.link.ear.hear(data)
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
        self.link.lost(self)

    def _put(self, data: bytes) -> None:
        self.ended = self.ended or not data
        when = asyncio.get_running_loop().time() + self.way.delay_ms / 1000
        self.queue.append((when, data))
        self.size += len(data)
        if self.size > MAX_HELD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.link.pump()


class ProxiedConnection:
    """A connection through a path."""

    def __init__(self, path: NetworkPath) -> None:
        self.path = path
        self.ear = path.ear() if path.ear is not None else None
        self.near, self.far = ConnectionEnd(self, path.out), ConnectionEnd(self, path.back)
        self.near.other, self.far.other = self.far, self.near
        self._timer: asyncio.TimerHandle | None = None

    def pump(self) -> None:
        """Pass on what may go."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waits = [wait for wait in (self._pass(self.near), self._pass(self.far)) if wait is not None]
        if waits:
            self._timer = asyncio.get_running_loop().call_later(max(0.001, min(waits)), self.pump)

    def reset(self) -> None:
        """End both sides at once."""
        self.path.links.discard(self)
        for side in (self.near, self.far):
            side.queue.clear()
            side.ended = True
            if side.transport is not None:
                side.transport.abort()

    def lost(self, side: ConnectionEnd) -> None:
        """A side has gone; the other one hears of it as soon as its bytes have come through."""
        if side.other.transport is None:
            self.path.links.discard(self)
        elif not side.queue and not side.way.held:
            side.other.transport.abort()
        self.pump()

    def _pass(self, side: ConnectionEnd) -> float | None:
        """Pass on what was read at a side; seconds until there may be more, None for no more by itself."""
        way, to, loop = side.way, side.other.transport, asyncio.get_running_loop()
        while side.queue and not way.held and to is not None:
            when, data = side.queue[0]
            if (wait := when - loop.time()) > 0:
                return wait
            if not data:
                side.queue.popleft()
                if side.transport is None:
                    to.abort()  # the sender has gone altogether
                elif to.can_write_eof():
                    with suppress(OSError):  # it has been reset, and we are about to hear of it
                        to.write_eof()
                continue
            room = len(data)
            if way.trickle:
                room = min(room, max(1, round(way.trickle * TRICKLE_INTERVAL_S)))
            if way.half:
                room = min(room, max(0, way.half - side.passed))
                if not room:
                    self.reset()
                    return None
            to.write(data[:room])
            side.passed += room
            side.size -= room
            if room < len(data):
                side.queue[0] = when, data[room:]
            else:
                side.queue.popleft()
            if side.transport is not None and side.size <= MAX_HELD_BYTES // 2:
                side.transport.resume_reading()
            if way.half and side.passed >= way.half:
                self.reset()
                return None
            if way.trickle:
                return max(TRICKLE_INTERVAL_S, 1 / way.trickle)
        return None


class FaultyNetwork:
    """All paths of a rig."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)
        self._paths: dict[PathName, NetworkPath] = {}
        self._boxes: list[DatagramProxy] = []

    def of(self, source: str, target: str) -> NetworkPath:
        """The path from one to another."""
        return self._paths.setdefault((source, target), NetworkPath((source, target)))

    def tcp(self, source: str, target: str, address: Callable[[], str]) -> str:
        """The address at which the source finds the target; ``address`` is where it really is."""
        path = self.of(source, target)
        if path.door is None:
            path.door = ListeningProxy(path, address)
        return f"127.0.0.1:{path.door.port}"

    async def udp(self, real: dict[str, int]) -> dict[str, int]:
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

    def lost(self, way: Direction) -> bool:
        """Whether a datagram does not come through."""
        return way.held or (way.loss > 0 and self._rng.random() < way.loss)

    def choose(self, sources: Iterable[str], targets: Iterable[str]) -> list[tuple[NetworkPath, bool]]:
        """The paths between these, each with whether it goes from a source to a target or back."""
        froms, tos = set(sources), set(targets)
        chosen = []
        for (source, target), path in self._paths.items():
            if source in froms and target in tos:
                chosen.append((path, True))
            elif source in tos and target in froms:
                chosen.append((path, False))
        return chosen

    def gone(self, target: str, gone: bool) -> None:
        """A target's process has ended, or is there again: its connections are reset, and dials refused."""
        for (_, name), path in self._paths.items():
            if name == target:
                path.gone = gone
                if gone:
                    for link in list(path.links):
                        link.reset()
                path.changed()

    def close(self) -> None:
        """End everything."""
        for path in self._paths.values():
            if path.door is not None:
                path.door.close()
            for link in list(path.links):
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
        way = self._paths.of(sender, self._owner).out
        if self._paths.lost(way):
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

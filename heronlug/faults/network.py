"""Proxies between any two parties, over TCP and UDP on loopback, and the faults on them.

A path has a source and a target. What goes from the source to the target is ``forward``, what comes back is
``backward``. Bytes that a cut holds are kept, as a sender's machine would send them again, and go on when it is over;
datagrams are lost. A new connection through a cut never comes up: the listening socket's queue is filled and nothing is
accepted from it.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from random import Random
from typing import cast

from heronlug.faults.datagram_proxy import DatagramPorts, DatagramProxy
from heronlug.faults.direction import ConnectionListener, DialOutcome, Direction
from heronlug.net.http import split_address
from heronlug.standins.ports import free_port

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted."""
FILLER_COUNT = 3
"""Connections that fill the queue of a socket with a backlog of 0."""
TRICKLE_INTERVAL_S = 0.05
"""Seconds between two writes where the rate is bounded."""
MAX_PENDING_BYTES = 1 << 20
"""Bytes that are held in one direction of a connection before its sender is made to wait."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of ``SO_LINGER`` with which a close sends a reset."""
PathName = tuple[str, str]
"""The source and the target of a path."""


class NetworkPath:
    """The path from a source to a target, with its faults and all that goes through it.

    Attributes:
        name: the source and the target.
        forward: the faults on what goes to the target.
        backward: the faults on what comes back.
        refusing: new connections are refused.
        queue_full: new connections are left unanswered.
        silent: new connections are accepted, and then nothing comes through.
        target_gone: the target's process has ended.
        dial_count: new connections so far.
        connections: all that are open.
        listener: accepts new connections, if any go through here.
        make_connection_listener: makes the listener of each new connection, if one is wanted.
    """

    def __init__(self, name: PathName) -> None:
        self.name = name
        self.forward = Direction()
        self.backward = Direction()
        self.refusing = False
        self.queue_full = False
        self.silent = False
        self.target_gone = False
        self.dial_count = 0
        self.connections: set[ProxiedConnection] = set()
        self.listener: ListeningProxy | None = None
        self.make_connection_listener: Callable[[], ConnectionListener] | None = None

    @property
    def blocked(self) -> bool:
        """Whether nothing gets through to the target, or nothing back."""
        return self.refusing or self.queue_full or self.silent or self.forward.stalled or self.backward.stalled

    def dial_outcome(self) -> DialOutcome:
        """What becomes of a new connection."""
        if self.refusing or self.target_gone:
            return DialOutcome.REFUSED
        cut = (self.forward.stalled or self.backward.stalled) and not self.silent
        return DialOutcome.UNANSWERED if self.queue_full or cut else DialOutcome.ACCEPTED

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
        """Apply faults that have changed to the listening socket and to open connections."""
        if self.listener is not None:
            self.listener.set_dial_outcome(self.dial_outcome())
        for connection in list(self.connections):
            connection.pump()


class ListeningProxy:
    """A listening socket whose new connections are accepted, refused or left unanswered."""

    def __init__(self, path: NetworkPath, target: Callable[[], str]) -> None:
        self._path, self._target = path, target
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._filler_ports: set[int] = set()
        self._outcome = DialOutcome.REFUSED
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = free_port()  # it is closed for a while, and has to be had again
        self.set_dial_outcome(DialOutcome.ACCEPTED)

    def set_dial_outcome(self, outcome: DialOutcome) -> None:
        """Accept, refuse or leave unanswered all new connections from now on."""
        if outcome is self._outcome:
            return
        self._stop_accepting()
        self._outcome = outcome
        if outcome is DialOutcome.REFUSED:
            if self._socket is not None:
                self._socket.close()
            self._socket = None
            return
        if self._socket is None:
            self._socket = self._bind()
        if outcome is DialOutcome.ACCEPTED:
            self._socket.listen(LISTEN_BACKLOG)
            asyncio.get_running_loop().add_reader(self._socket, self._accept)
        else:
            self._socket.listen(0)
            self._fill()

    def close(self) -> None:
        """Listen no more."""
        self.set_dial_outcome(DialOutcome.REFUSED)
        for task in self._tasks:
            task.cancel()

    def _stop_accepting(self) -> None:
        if self._outcome is DialOutcome.ACCEPTED and self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

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
            self._filler_ports.add(filler.getsockname()[1])

    def _accept(self) -> None:
        while self._socket is not None:
            try:
                sock, (_, sender) = self._socket.accept()
            except OSError:
                return
            if sender in self._filler_ports:  # it filled the queue, and is no dial
                self._filler_ports.discard(sender)
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._path.dial_count += 1
            task = asyncio.get_running_loop().create_task(self._connect(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, sock: socket.socket) -> None:
        loop, connection = asyncio.get_running_loop(), ProxiedConnection(self._path)
        try:
            await loop.create_connection(lambda: connection.target_end, *split_address(self._target()))
        except OSError:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
            return
        self._path.connections.add(connection)
        try:
            await loop.connect_accepted_socket(lambda: connection.source_end, sock)
        except OSError:
            connection.reset()


class ConnectionEnd(asyncio.Protocol):
    """One end of a connection."""

    def __init__(self, connection: "ProxiedConnection", direction: Direction) -> None:
        self.connection = connection
        self.direction = direction  # of what is read here
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
        self._enqueue(data)

    def eof_received(self) -> bool:
        """The end of what comes from here; the other way may go on."""
        self._enqueue(b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """This end has gone: a clean end has been passed on as such, a reset goes on as one, unless it is held."""
        self.transport = None
        if not self.ended:
            self._enqueue(b"")
        self.connection.end_lost(self)

    def remove_forwarded(self, size: int) -> None:
        """Remove bytes that have been forwarded, and read on where there is room again."""
        due_at, data = self.pending.popleft()
        if size < len(data):
            self.pending.appendleft((due_at, data[size:]))
        self.passed_bytes += size
        self.pending_bytes -= size
        if self.transport is not None and self.pending_bytes <= MAX_PENDING_BYTES // 2:
            self.transport.resume_reading()

    def _enqueue(self, data: bytes) -> None:
        self.ended = self.ended or not data
        due_at = asyncio.get_running_loop().time() + self.direction.delay_ms / 1000
        self.pending.append((due_at, data))
        self.pending_bytes += len(data)
        if self.pending_bytes > MAX_PENDING_BYTES and self.transport is not None:
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
        waits = [wait for wait in (self._forward(self.source_end), self._forward(self.target_end)) if wait is not None]
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
        elif not side.pending and not side.direction.stalled:
            side.other.transport.abort()
        self.pump()

    def _forward(self, end: ConnectionEnd) -> float | None:
        """Forward what was read at an end; seconds until more may be forwarded, None for no more by itself."""
        direction, loop = end.direction, asyncio.get_running_loop()
        while end.pending and not direction.stalled and end.other.transport is not None:
            due_at, data = end.pending[0]
            if (wait := due_at - loop.time()) > 0:
                return wait
            if not data:
                end.pending.popleft()
                self._forward_end(end, end.other.transport)
                continue
            size = self._allowed_bytes(end, len(data))
            if size:
                end.other.transport.write(data[:size])
                end.remove_forwarded(size)
            if direction.reset_after_bytes and end.passed_bytes >= direction.reset_after_bytes:
                self.reset()
                return None
            if direction.bytes_per_second:
                return max(TRICKLE_INTERVAL_S, 1 / direction.bytes_per_second)
        return None

    @staticmethod
    def _allowed_bytes(end: ConnectionEnd, size: int) -> int:
        """How many of the next bytes may be forwarded at once."""
        direction = end.direction
        if direction.bytes_per_second:
            size = min(size, max(1, round(direction.bytes_per_second * TRICKLE_INTERVAL_S)))
        if direction.reset_after_bytes:
            size = min(size, max(0, direction.reset_after_bytes - end.passed_bytes))
        return size

    @staticmethod
    def _forward_end(end: ConnectionEnd, target: asyncio.Transport) -> None:
        if end.transport is None:
            target.abort()  # the sender's connection is closed altogether
        elif target.can_write_eof():
            with suppress(OSError):  # the target has reset it, and its end is about to be told so
                target.write_eof()


class FaultyNetwork:
    """All paths between the parties of a run."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._paths: dict[PathName, NetworkPath] = {}
        self._datagram_proxies: list[DatagramProxy] = []

    def path_between(self, source: str, target: str) -> NetworkPath:
        """The path from one to another."""
        return self._paths.setdefault((source, target), NetworkPath((source, target)))

    def proxy_connections(self, source: str, target: str, address: Callable[[], str]) -> str:
        """The address at which the source finds the target; ``address`` is where it really is."""
        path = self.path_between(source, target)
        if path.listener is None:
            path.listener = ListeningProxy(path, address)
        return f"127.0.0.1:{path.listener.port}"

    async def proxy_datagrams(self, party_ports: dict[str, int]) -> dict[str, int]:
        """A relay for each of these parties; the ports at which the others find them.

        What comes in at the relay of X is sent on to X from the relay of whoever sent it, so answers take the same way.
        """
        ports = DatagramPorts({port: name for name, port in party_ports.items()}, party_ports)
        proxies: dict[str, DatagramProxy] = {}
        for name in party_ports:
            proxy = DatagramProxy(name, ports, proxies, self)
            await asyncio.get_running_loop().create_datagram_endpoint(lambda proxy=proxy: proxy, ("127.0.0.1", 0))  # type: ignore[misc]
            proxies[name] = proxy
            self._datagram_proxies.append(proxy)
        return {name: proxy.port for name, proxy in proxies.items()}

    def datagram_delay_ms(self, source: str, target: str) -> float | None:
        """By how much a datagram comes later; None where it is lost."""
        direction = self.path_between(source, target).forward
        if direction.stalled or (direction.loss > 0 and self._random.random() < direction.loss):
            return None
        return direction.delay_ms

    def paths_between(self, sources: Iterable[str], targets: Iterable[str]) -> list[tuple[NetworkPath, bool]]:
        """The paths between these, each with whether it goes from a source to a target or back."""
        source_names, target_names = set(sources), set(targets)
        chosen = []
        for (source, target), path in self._paths.items():
            if source in source_names and target in target_names:
                chosen.append((path, True))
            elif source in target_names and target in source_names:
                chosen.append((path, False))
        return chosen

    def set_target_gone(self, target: str, gone: bool) -> None:
        """A target's process has ended, or is there again: its connections are reset, and dials refused."""
        for (_, name), path in self._paths.items():
            if name == target:
                path.target_gone = gone
                if gone:
                    for connection in list(path.connections):
                        connection.reset()
                path.apply_faults()

    def close(self) -> None:
        """End everything."""
        for path in self._paths.values():
            if path.listener is not None:
                path.listener.close()
            for connection in list(path.connections):
                connection.reset()
        for proxy in self._datagram_proxies:
            proxy.transport.close()

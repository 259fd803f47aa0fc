"""TCP and UDP proxies on loopback between any two parties, with faults on the paths that they form.

A path has a source and a target; ``forward`` is the direction to the target, ``backward`` the direction to the source.
During a cut, bytes of open connections are kept and forwarded when the cut ends, as TCP would retransmit them, and
datagrams are lost. A new connection through a cut is never established: the backlog of the listening socket is filled
and the proxy accepts nothing from it.
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
"""Backlog of a listening socket that accepts connections."""
FILLER_COUNT = 3
"""Number of connections that fill the queue of a socket with a backlog of 0."""
TRICKLE_INTERVAL_S = 0.05
"""Seconds between two writes on a connection with a limited rate."""
MAX_PENDING_BYTES = 1 << 20
"""Bytes queued in one direction of a connection above which reading from its sender pauses."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes close() send a TCP reset."""
PathName = tuple[str, str]
"""Source and target of a path."""


class NetworkPath:
    """Path from a source to a target, with its faults and open connections.

    Attributes:
        name: source and target.
        forward: faults on the direction to the target.
        backward: faults on the direction to the source.
        refusing: whether new connections are refused.
        queue_full: whether new connections are left unanswered.
        silent: whether new connections are accepted but nothing is forwarded.
        target_gone: whether the target's process has ended.
        dial_count: number of connections accepted so far.
        connections: open connections.
        listener: proxy that accepts new connections; None if no connections take this path.
        make_connection_listener: creates the listener of each new connection; None for no listeners.
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
        """Whether at least one direction forwards nothing or new connections fail."""
        return self.refusing or self.queue_full or self.silent or self.forward.stalled or self.backward.stalled

    def dial_outcome(self) -> DialOutcome:
        """Returns the outcome of a new connection under the current faults."""
        if self.refusing or self.target_gone:
            return DialOutcome.REFUSED
        cut = (self.forward.stalled or self.backward.stalled) and not self.silent
        return DialOutcome.UNANSWERED if self.queue_full or cut else DialOutcome.ACCEPTED

    def heal(self) -> None:
        """Ends all faults."""
        self.refusing = self.queue_full = self.silent = False
        self.forward.heal()
        self.backward.heal()

    def reset_connections(self) -> None:
        """Resets all open connections of the path."""
        for connection in list(self.connections):
            connection.reset()

    def apply_faults(self) -> None:
        """Applies changed faults to the listening socket and to open connections."""
        if self.listener is not None:
            self.listener.accept_established()
            self.listener.set_dial_outcome(self.dial_outcome())
        for connection in list(self.connections):
            connection.pump()


class ListeningProxy:
    """Listening socket whose new connections are accepted, refused or left unanswered."""

    def __init__(self, path: NetworkPath, target: Callable[[], str]) -> None:
        self._path, self._target = path, target
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._filler_ports: set[int] = set()
        self._outcome = DialOutcome.REFUSED
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = free_port()  # the socket may close and must be able to bind this port again
        self.set_dial_outcome(DialOutcome.ACCEPTED)

    def set_dial_outcome(self, outcome: DialOutcome) -> None:
        """Sets the outcome of all new connections."""
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

    def accept_established(self) -> None:
        """Accepts the connections in the queue, which a later change of the outcome does not concern."""
        if self._outcome is DialOutcome.ACCEPTED:
            self._accept()

    def close(self) -> None:
        """Stops listening and cancels the connections that are being established."""
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
            if sender in self._filler_ports:  # this connection only filled the queue
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
    """One end of a proxied connection.

    Attributes:
        connection: connection that the end belongs to.
        direction: faults on the bytes that are read at this end.
        transport: open transport; None before the end is connected and after it is lost.
        other: opposite end.
        pending: unforwarded data, each with the event-loop time from which it may be forwarded; empty bytes mark the
            end of the stream.
        pending_bytes: size of ``pending``.
        passed_bytes: bytes forwarded so far.
        ended: whether the end of the stream has been read.
    """

    def __init__(self, connection: "ProxiedConnection", direction: Direction) -> None:
        self.connection = connection
        self.direction = direction
        self.transport: asyncio.Transport | None = None
        self.other: ConnectionEnd
        self.pending: deque[tuple[float, bytes]] = deque()
        self.pending_bytes = self.passed_bytes = 0
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, makes the socket send a reset when it is closed, and forwards pending bytes."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.connection.pump()

    def data_received(self, data: bytes) -> None:
        """Queues the bytes for the other end."""
        if self is self.connection.source_end and self.connection.listener is not None:
            self.connection.listener.bytes_written(data)
        self._enqueue(data)

    def eof_received(self) -> bool:
        """Queues the end of the stream; the opposite direction stays open."""
        self._enqueue(b"")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of this end.

        A clean end of stream has already been queued. A reset reaches the other end as a reset, unless the direction
        is stalled.
        """
        self.transport = None
        if not self.ended:
            self._enqueue(b"")
        self.connection.end_lost(self)

    def remove_forwarded(self, size: int) -> None:
        """Removes forwarded bytes and resumes reading if at most half of ``MAX_PENDING_BYTES`` is queued."""
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
    """Connection through a path, made of a source end and a target end."""

    def __init__(self, path: NetworkPath) -> None:
        self.path = path
        self.listener = path.make_connection_listener() if path.make_connection_listener is not None else None
        self.source_end, self.target_end = ConnectionEnd(self, path.forward), ConnectionEnd(self, path.backward)
        self.source_end.other, self.target_end.other = self.target_end, self.source_end
        self._timer: asyncio.TimerHandle | None = None

    def pump(self) -> None:
        """Forwards the bytes that the faults permit and schedules the next attempt."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waits = [wait for wait in (self._forward(self.source_end), self._forward(self.target_end)) if wait is not None]
        if waits:
            self._timer = asyncio.get_running_loop().call_later(max(0.001, min(waits)), self.pump)

    def reset(self) -> None:
        """Resets both ends and discards pending bytes."""
        self.path.connections.discard(self)
        for side in (self.source_end, self.target_end):
            side.pending.clear()
            side.ended = True
            if side.transport is not None:
                side.transport.abort()

    def end_lost(self, side: ConnectionEnd) -> None:
        """Handles the loss of one end; the other end is aborted after the pending bytes were forwarded."""
        if side.other.transport is None:
            self.path.connections.discard(self)
        elif not side.pending and not side.direction.stalled:
            side.other.transport.abort()
        self.pump()

    def _forward(self, end: ConnectionEnd) -> float | None:
        """Forwards pending bytes; returns the seconds until the next attempt, or None if no timer is needed."""
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
        """Returns how many of the next ``size`` bytes may be forwarded now."""
        direction = end.direction
        if direction.bytes_per_second:
            size = min(size, max(1, round(direction.bytes_per_second * TRICKLE_INTERVAL_S)))
        if direction.reset_after_bytes:
            size = min(size, max(0, direction.reset_after_bytes - end.passed_bytes))
        return size

    @staticmethod
    def _forward_end(end: ConnectionEnd, target: asyncio.Transport) -> None:
        if end.transport is None:
            target.abort()  # the sender's connection is closed in both directions
        elif target.can_write_eof():
            with suppress(OSError):  # the target has reset the connection; connection_lost follows
                target.write_eof()


class FaultyNetwork:
    """Network paths between the parties of a run."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._paths: dict[PathName, NetworkPath] = {}
        self._datagram_proxies: list[DatagramProxy] = []

    def path_between(self, source: str, target: str) -> NetworkPath:
        """Returns the path from a source to a target; the path is created on first use."""
        return self._paths.setdefault((source, target), NetworkPath((source, target)))

    def proxy_connections(self, source: str, target: str, address: Callable[[], str]) -> str:
        """Returns the proxy address that the source uses for the target.

        Args:
            source: party that connects.
            target: party that is connected to.
            address: returns the target's own address, ``host:port``.
        """
        path = self.path_between(source, target)
        if path.listener is None:
            path.listener = ListeningProxy(path, address)
        return f"127.0.0.1:{path.listener.port}"

    async def proxy_datagrams(self, party_ports: dict[str, int]) -> dict[str, int]:
        """Opens a datagram proxy for each party; returns the port of each proxy by party.

        The proxy of X receives datagrams for X and forwards each from the proxy of its sender, so that replies take the
        same path back.

        Args:
            party_ports: port on which each party itself listens, by name.
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
        """Returns the delay of a datagram in milliseconds, or None if the datagram is lost."""
        direction = self.path_between(source, target).forward
        if direction.stalled or (direction.loss > 0 and self._random.random() < direction.loss):
            return None
        return direction.delay_ms

    def paths_between(self, sources: Iterable[str], targets: Iterable[str]) -> list[tuple[NetworkPath, bool]]:
        """Returns the paths between sources and targets, each with whether it runs from a source to a target."""
        source_names, target_names = set(sources), set(targets)
        chosen = []
        for (source, target), path in self._paths.items():
            if source in source_names and target in target_names:
                chosen.append((path, True))
            elif source in target_names and target in source_names:
                chosen.append((path, False))
        return chosen

    def set_target_gone(self, target: str, gone: bool) -> None:
        """Sets whether a target's process has ended; if so, resets its connections and refuses new ones."""
        for (_, name), path in self._paths.items():
            if name == target:
                path.target_gone = gone
                if gone:
                    for connection in list(path.connections):
                        connection.reset()
                path.apply_faults()

    def close(self) -> None:
        """Closes all proxies and resets all connections."""
        for path in self._paths.values():
            if path.listener is not None:
                path.listener.close()
            for connection in list(path.connections):
                connection.reset()
        for proxy in self._datagram_proxies:
            proxy.transport.close()

"""Opens the listening and peer sockets of a process, or takes them over from the previous process."""

import asyncio
import errno
import os
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from heronlug.config.platform import Config
from heronlug.lifecycle.hot_restart.errors import MalformedMessageError
from heronlug.net.listener import Listener
from heronlug.peers.datagrams import PeerSocket
from heronlug.requests.deadlines import Deadlines

PEER_SOCKET_RETRY_MS = 500.0
"""Delay before another attempt to bind the peer address while another process uses the address, in ms."""
LISTENER_SOCKET = "listen"
"""Name of the client listening socket in a process state message."""
PEER_SOCKET = "peers"
"""Name of the peer socket in a process state message."""
SOCKET_TYPES = {PEER_SOCKET: socket.SOCK_DGRAM, LISTENER_SOCKET: socket.SOCK_STREAM}


class InheritedSockets:
    """Owns the descriptors from the previous process until they are in use."""

    def __init__(
        self,
        config: Config,
        listener: Listener,
        peers: PeerSocket,
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        """Creates an owner without inherited descriptors."""
        self._config = config
        self._listener = listener
        self._peers = peers
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        self._inherited: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def inherit(self, names: tuple[str, ...], fds: list[int]) -> None:
        """Takes ownership of the descriptors; if an error is raised, the caller still owns them.

        Args:
            names: The name of the socket behind each descriptor, in the order of ``fds``.
            fds: The descriptors.

        Raises:
            ValueError: if a name is unknown or repeated, or a socket is not of the type that its name requires.
            OSError: if a descriptor is not a socket.
        """
        sockets = dict(zip(names, fds, strict=True))
        wrong_type = any(SOCKET_TYPES.get(name) != _socket_type(fd) for name, fd in sockets.items())
        if wrong_type or len(sockets) != len(fds):
            msg = "unexpected names or types of inherited sockets"
            raise MalformedMessageError(msg)
        self._inherited = sockets

    def listen_address_in_use(self) -> bool:
        """Returns whether another process listens on the address that this process has to bind."""
        if self._config.inherited_fd is not None:
            return False
        host, _ = self._config.listen
        with socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(self._config.listen)
            except OSError as error:
                return error.errno == errno.EADDRINUSE
        return False

    def open_listener(self) -> None:
        """Opens the client listening socket: inherited from the parent, handed over, or bound; raises ``OSError``."""
        fd = self._inherited.pop(LISTENER_SOCKET, None)
        try:
            if self._config.inherited_fd is not None:
                self._listener.use(self._config.inherited_fd)
            elif fd is not None:
                self._listener.use(fd)
            else:
                self._listener.bind(self._config.listen)
        finally:
            unused_fds = [*([fd] if fd is not None else []), *self._inherited.values()]
            for unused_fd in unused_fds:
                os.close(unused_fd)
            self._inherited.clear()

    async def open_peers(self, is_wanted: Callable[[], bool]) -> None:
        """Opens the peer socket; retries while another process uses the address and ``is_wanted`` returns true."""
        fd = self._inherited.pop(PEER_SOCKET, None)
        address = self._config.peer_listen
        if address is None or not self._config.settings.gossip or self._peers.is_open or not is_wanted():
            if fd is not None:
                os.close(fd)
            return
        if fd is not None:
            sock = socket.socket(fileno=fd)
        else:
            bound_socket = self._bind_peers(address, is_wanted)
            if bound_socket is None:
                return
            sock = bound_socket
        sock.setblocking(False)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self._peers, sock=sock)

    def open_peers_later(self, is_wanted: Callable[[], bool]) -> None:
        """Opens the peer socket in a separate task."""
        self._start_task(self.open_peers(is_wanted))

    def _bind_peers(self, address: tuple[str, int], is_wanted: Callable[[], bool]) -> socket.socket | None:
        """Returns a socket bound to the peer address; None if another process uses the address, with a retry later."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            self._log("peers_unavailable", error=str(error))
            self._deadlines.call_after(PEER_SOCKET_RETRY_MS, self.open_peers_later, is_wanted)
            self._turn()
            return None
        return sock

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _socket_type(fd: int) -> int:
    """Returns the socket type of a descriptor; raises ``OSError`` if the descriptor is not a socket."""
    with socket.socket(fileno=os.dup(fd)) as sock:
        return sock.type

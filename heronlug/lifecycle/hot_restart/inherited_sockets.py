"""The sockets that a process serves on: taken over from the process before, or opened anew."""

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
"""Until the peers' address is tried again where another process holds it, in ms."""
LISTENER_SOCKET = "listen"
"""Name of the clients' socket in the state that a process tells."""
PEER_SOCKET = "peers"
"""Name of the peers' socket in the state that a process tells."""
SOCKET_TYPES = {PEER_SOCKET: socket.SOCK_DGRAM, LISTENER_SOCKET: socket.SOCK_STREAM}


class InheritedSockets:
    """Owner of the descriptors that the process before has given, until each is in use."""

    def __init__(
        self,
        config: Config,
        listener: Listener,
        peers: PeerSocket,
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
    ) -> None:
        """Start without inherited descriptors."""
        self._config = config
        self._listener = listener
        self._peers = peers
        self._deadlines = deadlines
        self._log = log
        self._turn = turn
        self._inherited: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def inherit(self, names: tuple[str, ...], fds: list[int]) -> None:
        """Own these descriptors.

        Raises:
            ValueError: if they are not of the expected kinds; then they are still the caller's.
            OSError: if one is no socket; then they are still the caller's.
        """
        sockets = dict(zip(names, fds, strict=True))
        wrong_type = any(SOCKET_TYPES.get(name) != _socket_type(fd) for name, fd in sockets.items())
        if wrong_type or len(sockets) != len(fds):
            msg = "sockets of the wrong kinds"
            raise MalformedMessageError(msg)
        self._inherited = sockets

    def open_listener(self) -> None:
        """Open the clients' socket: inherited from the parent, handed over, or bound; raises ``OSError``."""
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
        """Open the peers' socket, again and again while another process holds its address and ``wanted`` is true."""
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
        """Open the peers' socket in a task of its own."""
        self._start_task(self.open_peers(is_wanted))

    def _bind_peers(self, address: tuple[str, int], is_wanted: Callable[[], bool]) -> socket.socket | None:
        """A socket on the peers' address; None while another process holds it, and then it is tried again."""
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
    """Which type of socket a descriptor is; raises ``OSError`` for what is none."""
    with socket.socket(fileno=os.dup(fd)) as sock:
        return sock.type

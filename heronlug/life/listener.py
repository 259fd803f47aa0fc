"""The clients' listening socket: our own, or one that was there before us and will be after us."""

import asyncio
import os
import socket
from collections.abc import Callable

from heronlug.wire.ends import waits

BACKLOG = 512


class Listener:
    """Accepts on a socket; that can be stopped and begun again, for the socket itself stays open.

    What waits in the socket's queue is taken by whoever else holds it, so it is never shut down here.
    """

    def __init__(self, protocol: Callable[[], asyncio.Protocol]) -> None:
        self._protocol = protocol
        self._server: asyncio.AbstractServer | None = None
        self.socket: socket.socket | None = None

    def fileno(self) -> int:
        """The socket's descriptor, -1 for none."""
        return self.socket.fileno() if self.socket is not None else -1

    def use(self, fd: int) -> None:
        """Take a listening socket that another process holds too, by a copy; raises ``OSError``."""
        self.socket = socket.socket(fileno=os.dup(fd))
        if not self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"descriptor {fd} is no listening socket")

    def bind(self, address: tuple[str, int]) -> None:
        """A socket of our own; raises ``OSError``."""
        host, port = address
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=BACKLOG)

    @property
    def waits(self) -> bool:
        """Whether somebody waits in the queue for us to accept, and not for another process that holds it too."""
        return self._server is not None and waits(self.fileno())

    async def accept(self) -> None:
        """Take clients, unless that is so already."""
        if self._server is None and self.socket is not None:
            copy = self.socket.dup()
            self._server = await asyncio.get_running_loop().create_server(self._protocol, sock=copy, backlog=BACKLOG)

    def pause(self) -> None:
        """Take none."""
        server, self._server = self._server, None
        if server is not None:
            server.close()

    def close(self) -> None:
        """Leave the socket."""
        self.pause()
        if self.socket is not None:
            self.socket.close()

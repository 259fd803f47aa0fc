"""The clients' listening socket: our own, or one that was there before us and will be after us."""

import os
import socket

from heronlug.net.acceptor import Acceptor
from heronlug.net.connection_state import waits

BACKLOG = 512


class Listener:
    """Accepts on a socket; that can be stopped and begun again, for the socket itself stays open.

    What waits in the socket's queue is taken by whoever else holds it, so it is never shut down here.
    """

    def __init__(self, acceptor: Acceptor) -> None:
        self.acceptor = acceptor
        self.socket: socket.socket | None = None
        self._backlog = BACKLOG

    def fileno(self) -> int:
        """The socket's descriptor, -1 for none."""
        return self.socket.fileno() if self.socket is not None else -1

    def use(self, fd: int) -> None:
        """Take a listening socket that another process holds too, by a copy; raises ``OSError``."""
        self.socket = socket.socket(fileno=os.dup(fd))
        if not self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"descriptor {fd} is no listening socket")

    def bind(self, address: tuple[str, int], backlog: int = BACKLOG) -> None:
        """A socket of our own, which refuses whoever comes before :meth:`accept`; raises ``OSError``."""
        bound = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind(address)
        except OSError:
            bound.close()
            raise
        self.socket, self._backlog = bound, backlog

    @property
    def waits(self) -> bool:
        """Whether somebody waits in the queue for us to accept, and not for another process that holds it too."""
        return self.acceptor.opening > 0 or (self.acceptor.active and waits(self.fileno()))

    def accept(self) -> None:
        """Take clients, unless that is so already."""
        if not self.acceptor.active and self.socket is not None:
            self.socket.listen(self._backlog)
            self.acceptor.start(self.socket)

    def pause(self) -> None:
        """Take none."""
        self.acceptor.stop()

    def close(self) -> None:
        """Leave the socket."""
        self.pause()
        if self.socket is not None:
            self.socket.close()

"""A listening socket: bound here, or shared with the process before or after this one."""

import os
import socket

from heronlug.net.acceptor import Acceptor
from heronlug.net.connection_state import has_pending_connection

DEFAULT_BACKLOG = 512
"""Connections that may wait in a socket's queue."""


class Listener:
    """A listening socket and its acceptor, which can be stopped and started again.

    The connections in the socket's queue may be accepted by another process that holds the socket, so the socket is
    closed but never shut down.

    Attributes:
        acceptor: accepts the connections.
        socket: the socket, None before there is one.
    """

    def __init__(self, acceptor: Acceptor) -> None:
        """Make a listener without a socket."""
        self.acceptor = acceptor
        self.socket: socket.socket | None = None
        self._backlog = DEFAULT_BACKLOG

    def fileno(self) -> int:
        """The socket's descriptor, -1 for none."""
        return self.socket.fileno() if self.socket is not None else -1

    def use(self, fd: int) -> None:
        """Use a copy of a listening socket that another process holds too.

        Raises:
            OSError: the descriptor is not that of a listening socket.
        """
        self.socket = socket.socket(fileno=os.dup(fd))
        if not self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            msg = f"descriptor {fd} is not a listening socket"
            raise OSError(msg)

    def bind(self, address: tuple[str, int], backlog: int = DEFAULT_BACKLOG) -> None:
        """Bind a new socket, which refuses connections until :meth:`accept`.

        Raises:
            OSError: the address cannot be bound.
        """
        new_socket = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        try:
            new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            new_socket.bind(address)
        except OSError:
            new_socket.close()
            raise
        self.socket = new_socket
        self._backlog = backlog

    @property
    def has_pending_connection(self) -> bool:
        """Whether a connection waits for this process to accept or open it, and not for another one."""
        if self.acceptor.opening > 0:
            return True
        return self.acceptor.active and has_pending_connection(self.fileno())

    def accept(self) -> None:
        """Start to accept connections, if that has not been done."""
        if not self.acceptor.active and self.socket is not None:
            self.socket.listen(self._backlog)
            self.acceptor.start(self.socket)

    def pause(self) -> None:
        """Accept no more connections until :meth:`accept`."""
        self.acceptor.stop()

    def close(self) -> None:
        """Stop accepting and close this process's descriptor."""
        self.pause()
        if self.socket is not None:
            self.socket.close()

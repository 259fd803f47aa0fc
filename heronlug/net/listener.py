"""Manages a listening socket that is bound here or shared with another process during a hot restart."""

import os
import socket

from heronlug.net.acceptor import Acceptor
from heronlug.net.connection_state import has_pending_connection

DEFAULT_BACKLOG = 512
"""Maximum number of connections in the queue of a listening socket."""


class Listener:
    """A listening socket and its acceptor, which can be paused and started again.

    Another process that shares the socket may accept the queued connections, so the socket is closed but never shut
    down.

    Attributes:
        acceptor: Accepts the connections.
        socket: The listening socket; None before :meth:`use` or :meth:`bind`.
    """

    def __init__(self, acceptor: Acceptor) -> None:
        """Creates a listener without a socket."""
        self.acceptor = acceptor
        self.socket: socket.socket | None = None
        self._backlog = DEFAULT_BACKLOG

    def fileno(self) -> int:
        """Returns the descriptor of the socket; -1 without a socket."""
        return self.socket.fileno() if self.socket is not None else -1

    def use(self, fd: int) -> None:
        """Uses a duplicate of a listening socket that another process shares.

        Raises:
            OSError: The descriptor does not belong to a listening socket.
        """
        self.socket = socket.socket(fileno=os.dup(fd))
        if not self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            msg = f"descriptor {fd} is not a listening socket"
            raise OSError(msg)

    def bind(self, address: tuple[str, int], backlog: int = DEFAULT_BACKLOG) -> None:
        """Binds a new socket, which refuses connections until :meth:`accept`.

        Raises:
            OSError: The address cannot be bound.
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
        """Returns whether a connection is waiting that this process, and no other one, will accept or open."""
        if self.acceptor.opening > 0:
            return True
        return self.acceptor.active and has_pending_connection(self.fileno())

    def accept(self) -> None:
        """Starts to accept connections; does nothing if the acceptor is active or the listener has no socket."""
        if not self.acceptor.active and self.socket is not None:
            self.socket.listen(self._backlog)
            self.acceptor.start(self.socket)

    def pause(self) -> None:
        """Stops accepting connections until :meth:`accept`."""
        self.acceptor.stop()

    def close(self) -> None:
        """Stops accepting and closes the descriptor of this process."""
        self.pause()
        if self.socket is not None:
            self.socket.close()

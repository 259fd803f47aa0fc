"""Ports for stand-ins, and for processes of the program that are started beside them."""

import itertools
import os
import socket
import threading
from contextlib import suppress

FIRST, MANY = 12_000, 20_000  # below the ports of outgoing connections
_numbers = itertools.count(os.getpid() * 97)
# A process that is started holds copies of all our sockets for a moment, until its exec has closed them; whoever starts
# processes beside other threads holds this meanwhile, so that no port that was just tried is still in use.
starting = threading.Lock()


def free_port() -> int:
    """A port that nothing listens on, each once; raises ``OSError`` where there is none.

    It is none of those that the system gives to outgoing connections: one of these, also of the program itself, may
    have taken it before somebody listens there, or while nobody does for a while.
    """
    with starting:
        for _ in range(MANY):
            port = FIRST + next(_numbers) % MANY
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams, suppress(OSError):
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
                return port
    raise OSError("no port is free")


def free_ports(count: int) -> list[int]:
    """So many, all different."""
    return [free_port() for _ in range(count)]

"""Provides free ports for stand-ins and for the processes that tests start beside them."""

import os
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress

FIRST_PORT, PORT_COUNT = 12_000, 20_000
"""Range of the ports, below the ports that the system gives to outgoing connections."""
BLOCK_SIZE = 100
"""Ports that one process claims at a time, so that other processes do not take a port that is free between two uses."""
_claims: list[socket.socket] = []
"""Sockets that keep the claimed blocks until this process ends."""
process_start_lock = threading.Lock()
"""Lock held while a process is started.

Between fork and exec, a child process has copies of all open sockets, so a port that another thread has just tested
would still be in use.
"""


def _claim_block() -> Iterator[int]:
    """Claims a block for this process and returns its ports.

    Raises:
        OSError: if all blocks are claimed.
    """
    block_count = PORT_COUNT // BLOCK_SIZE
    for number in range(block_count):
        block = (os.getpid() + number) % block_count
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            claim.bind(f"\0heronlug-ports-{block}")  # abstract socket name, released when the process ends
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return iter(range(FIRST_PORT + block * BLOCK_SIZE, FIRST_PORT + (block + 1) * BLOCK_SIZE))
    msg = "no block of ports is free; other processes have claimed all of them"
    raise OSError(msg)


def _claimed_ports() -> Iterator[int]:
    """Yields ports of newly claimed blocks; once all blocks are claimed, repeats the ports of this process."""
    used: list[int] = []
    while True:
        try:
            block = list(_claim_block())
        except OSError:
            if not used:
                raise
            block = used
            yield from block
            continue
        used += block
        yield from block


_candidate_ports = _claimed_ports()


def free_port() -> int:
    """Returns a port that is free for TCP and UDP on loopback; ports repeat only when no unclaimed block is left.

    The port is outside the range of outgoing connections. Otherwise an outgoing connection, also one of the program
    itself, could take the port before its listener opens or while the listener is closed.

    Raises:
        OSError: if no port is free.
    """
    with process_start_lock:
        for _ in range(PORT_COUNT):
            port = next(_candidate_ports)
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams, suppress(OSError):
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
                return port
    msg = "no port is free on 127.0.0.1 in the range for stand-ins"
    raise OSError(msg)


def free_ports(count: int) -> list[int]:
    """Returns the given number of different free ports."""
    return [free_port() for _ in range(count)]

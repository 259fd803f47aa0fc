"""Ports for stand-ins, and for processes of the program that are started beside them."""

import os
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress

FIRST_PORT, PORT_COUNT = 12_000, 20_000  # below the ports of outgoing connections
BLOCK_SIZE = (
    100  # ports that one process claims at a time, so that no other one takes what is only free between two uses
)
_claims: list[socket.socket] = []  # held until this process ends
# A process that is started holds copies of all our sockets for a moment, until its exec has closed them; whoever starts
# processes beside other threads holds this meanwhile, so that no port that was just tried is still in use.
process_start_lock = threading.Lock()


def _claim_block() -> Iterator[int]:
    """The ports of a block that no other process has claimed; raises ``OSError`` where there is none."""
    block_count = PORT_COUNT // BLOCK_SIZE
    for number in range(block_count):
        block = (os.getpid() + number) % block_count
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            claim.bind(f"\0heronlug-ports-{block}")  # a name in the kernel alone, which goes with the process
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return iter(range(FIRST_PORT + block * BLOCK_SIZE, FIRST_PORT + (block + 1) * BLOCK_SIZE))
    msg = "all blocks of ports are claimed"
    raise OSError(msg)


def _claimed_ports() -> Iterator[int]:
    """Ports of our blocks, each once as long as there are blocks that nobody has claimed; then ours again."""
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
    """A port that nothing listens on, each once; raises ``OSError`` where there is none.

    It is none of those that the system gives to outgoing connections: one of these, also of the program itself, may
    have taken it before somebody listens there, or while nobody does for a while.
    """
    with process_start_lock:
        for _ in range(PORT_COUNT):
            port = next(_candidate_ports)
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams, suppress(OSError):
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
                return port
    msg = "no port is free"
    raise OSError(msg)


def free_ports(count: int) -> list[int]:
    """So many, all different."""
    return [free_port() for _ in range(count)]

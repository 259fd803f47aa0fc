"""Queries the kernel for unread events of a connection, and shuts down its sending side without delay."""

import asyncio
import select
import socket
import struct
from contextlib import suppress

PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Poll events that report that the other side has shut down its sending side or reset the connection."""

LAST_DATA_RECEIVED = struct.Struct("52xI")
"""Layout of the start of the ``TCP_INFO`` option, up to the time since the last data arrived, in ms."""


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Returns whether the other side has ended sending or reset the connection, even if unread bytes remain."""
    return transport.is_closing() or bool(_ready_events(_descriptor(transport), select.POLLRDHUP) & PEER_CLOSED_EVENTS)


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Returns whether bytes, or the end of the connection, can be read."""
    return transport.is_closing() or bool(_ready_events(_descriptor(transport), select.POLLIN | select.POLLRDHUP))


def input_age_ms(transport: asyncio.Transport) -> float:
    """Returns the time since the last bytes from the other side arrived, in ms; 0 if the system does not tell."""
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    return float(LAST_DATA_RECEIVED.unpack(info)[0]) if len(info) == LAST_DATA_RECEIVED.size else 0.0


def has_pending_connection(listening_fd: int) -> bool:
    """Returns whether a connection can be accepted from a listening socket; False for the descriptor -1."""
    return listening_fd >= 0 and bool(_ready_events(listening_fd, select.POLLIN) & select.POLLIN)


def shutdown_sending(transport: asyncio.Transport) -> None:
    """Shuts down sending immediately; ``close`` of a transport takes effect only in the next loop iteration."""
    if transport.is_closing():
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=_descriptor(transport))
    try:
        with suppress(OSError):  # the other side has reset the connection
            sock.shutdown(socket.SHUT_WR)
    finally:
        sock.detach()


def _ready_events(descriptor: int, events: int) -> int:
    """Returns those of ``events`` that a descriptor has now, with any error or hang-up; 0 if there are none."""
    poller = select.poll()
    poller.register(descriptor, events)
    return next((ready for _, ready in poller.poll(0)), 0)


def _descriptor(transport: asyncio.Transport) -> int:
    return int(transport.get_extra_info("socket").fileno())

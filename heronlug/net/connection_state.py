"""What the kernel knows of a connection before anything is read from it, and an end of sending without delay."""

import asyncio
import select
import socket
from contextlib import suppress

PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events of a connection whose other side has ended its sending, or reset it."""


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the other side has ended its sending or reset the connection, even behind bytes not read yet."""
    return transport.is_closing() or bool(_ready_events(_descriptor(transport), select.POLLRDHUP) & PEER_CLOSED_EVENTS)


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the end of the connection, can be read."""
    return transport.is_closing() or bool(_ready_events(_descriptor(transport), select.POLLIN | select.POLLRDHUP))


def has_pending_connection(listening_fd: int) -> bool:
    """Whether a connection can be accepted from a listening socket; never for the descriptor -1."""
    return listening_fd >= 0 and bool(_ready_events(listening_fd, select.POLLIN) & select.POLLIN)


def shutdown_sending(transport: asyncio.Transport) -> None:
    """End our sending at once: a transport's close takes effect only in the loop's next turn."""
    if transport.is_closing():
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=_descriptor(transport))
    try:
        with suppress(OSError):  # the other side has reset the connection
            sock.shutdown(socket.SHUT_WR)
    finally:
        sock.detach()


def _ready_events(descriptor: int, events: int) -> int:
    """The events that a descriptor has now."""
    poller = select.poll()
    poller.register(descriptor, events)
    return next((ready for _, ready in poller.poll(0)), 0)


def _descriptor(transport: asyncio.Transport) -> int:
    return int(transport.get_extra_info("socket").fileno())

"""What the kernel knows of a connection and nobody has read yet, asked without reading; and an end without delay."""

import asyncio
import select
import socket
from contextlib import suppress

LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def _poll(fd: int, events: int) -> int:
    poll = select.poll()
    poll.register(fd, events)
    return next((found for _, found in poll.poll(0)), 0)


def left(transport: asyncio.Transport) -> bool:
    """Whether the other side has ended its sending, or broken off; also behind bytes that are not read yet."""
    return transport.is_closing() or bool(_poll(_fd(transport), select.POLLRDHUP) & LEFT)


def unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or an end, wait to be read."""
    return transport.is_closing() or bool(_poll(_fd(transport), select.POLLIN | select.POLLRDHUP))


def waits(fd: int) -> bool:
    """Whether a connection waits in a listening socket's queue."""
    return fd >= 0 and bool(_poll(fd, select.POLLIN) & select.POLLIN)


def cut(transport: asyncio.Transport) -> None:
    """End our sending at once: the loop closes only in its next turn, after all that is written in this one."""
    if transport.is_closing():
        return
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=_fd(transport))
    try:
        with suppress(OSError):  # it has been reset
            sock.shutdown(socket.SHUT_WR)
    finally:
        sock.detach()


def _fd(transport: asyncio.Transport) -> int:
    return int(transport.get_extra_info("socket").fileno())

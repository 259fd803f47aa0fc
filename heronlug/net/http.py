"""Provides HTTP/1.1 functions without I/O for the frontend, the backends and service discovery."""

from urllib.parse import unquote_to_bytes

MAX_BODY = 64 * 1024
"""Maximum size of the body of a request, in bytes."""

MAX_HEAD = 16 * 1024
"""Maximum size of the request line and the headers together, in bytes."""

MAX_LINE = 256 * 1024
"""Maximum length of a line in :class:`Lines`, in bytes."""

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}
"""Reason phrases of the statuses that are sent."""


def response(status: int, body: bytes = b"", *, close: bool = False, retry_after: float = 0.0) -> bytes:
    """Returns a complete response.

    Args:
        status: The status, a key of ``REASONS``.
        body: The body.
        close: Whether the connection is closed after the response.
        retry_after: Time in ms until the client may retry; 0 for no ``Retry-After`` header.
    """
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n"
    if retry_after > 0:
        head += f"Retry-After: {retry_after / 1000:.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + body


def request(method: bytes, target: bytes, host: str, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Returns a complete request, with ``Content-Length`` for every body and every POST."""
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: " + host.encode()]
    lines += [name + b": " + value for name, value in headers]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def first_segment(target: bytes) -> str:
    """Returns the first segment of a path, decoded and without the query."""
    path = target.split(b"?", 1)[0]
    return unquote_to_bytes(path.lstrip(b"/").split(b"/", 1)[0]).decode("utf-8", "replace")


def split_address(text: str) -> tuple[str, int]:
    """Returns host and port of an address such as ``10.0.0.4:8081`` or ``[::1]:8081``.

    Raises:
        ValueError: ``text`` does not have the form host:port, or the port is not between 1 and 65535.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        msg = f"{text!r} is not an address of the form host:port with a port from 1 to 65535"
        raise ValueError(msg)
    return host.strip("[]"), int(port)


def format_address(address: tuple[str, int] | None) -> str:
    """Returns an address of a socket as ``host:port``; an empty string if there is none."""
    return f"{address[0]}:{address[1]}" if address else ""


class Lines:
    """Splits a stream of chunks of any length into lines."""

    __slots__ = ("_partial_line",)

    def __init__(self) -> None:
        self._partial_line = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that a chunk completes, without blank lines.

        Raises:
            ValueError: The line that is still incomplete is longer than ``MAX_LINE``.
        """
        first, line_end, rest = data.partition(b"\n")
        self._partial_line += first
        lines: list[bytes] = []
        if line_end:
            *others, last = rest.split(b"\n")
            lines = [line for line in (bytes(self._partial_line), *others) if line.strip()]
            self._partial_line = bytearray(last)
        if len(self._partial_line) > MAX_LINE:
            msg = f"line is longer than {MAX_LINE} bytes"
            raise ValueError(msg)
        return lines

    @property
    def held_bytes(self) -> int:
        """Returns the size of the line that is still incomplete, in bytes."""
        return len(self._partial_line)

    @property
    def has_partial_line(self) -> bool:
        """Returns whether an incomplete line has been received."""
        return bool(self._partial_line)

    def end(self) -> list[bytes]:
        """Returns the last line, which may lack its newline, after the last chunk; an empty list if there is none."""
        remainder, self._partial_line = bytes(self._partial_line), bytearray()
        return [remainder] if remainder.strip() else []

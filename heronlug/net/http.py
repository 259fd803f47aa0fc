"""Pieces of HTTP/1.1 without I/O that the frontend, the backends and service discovery share."""

from urllib.parse import unquote_to_bytes

MAX_BODY = 64 * 1024
"""Bytes of the largest body of a request."""

MAX_HEAD = 16 * 1024
"""Bytes of the largest head of a request: its first line and its headers."""

MAX_LINE = 256 * 1024
"""Bytes of the longest line that :class:`Lines` takes."""

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
"""The reason phrase of each status that is sent."""


def response(status: int, body: bytes = b"", *, close: bool = False, retry_after: float = 0.0) -> bytes:
    """A complete response.

    Args:
        status: its status, one of ``REASONS``.
        body: its body.
        close: the connection ends with it.
        retry_after: milliseconds until the client may retry, 0 for no such header.
    """
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n"
    if retry_after > 0:
        head += f"Retry-After: {retry_after / 1000:.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + body


def request(method: bytes, target: bytes, host: str, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A complete request."""
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: " + host.encode()]
    lines += [name + b": " + value for name, value in headers]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def first_segment(target: bytes) -> str:
    """The first segment of a path, decoded and without the query."""
    path = target.split(b"?", 1)[0]
    return unquote_to_bytes(path.lstrip(b"/").split(b"/", 1)[0]).decode("utf-8", "replace")


def split_address(text: str) -> tuple[str, int]:
    """Host and port of an address like ``10.0.0.4:8081``.

    Raises:
        ValueError: it is not of that form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        msg = f"{text!r} is no address of the form host:port"
        raise ValueError(msg)
    return host.strip("[]"), int(port)


class Lines:
    """Splits chunks that may end anywhere into lines."""

    __slots__ = ("_partial_line",)

    def __init__(self) -> None:
        self._partial_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that a chunk completes, without empty ones.

        Raises:
            ValueError: a line is longer than ``MAX_LINE``.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE:
            msg = "line too long"
            raise ValueError(msg)
        return [line for line in lines if line.strip()]

    @property
    def has_partial_line(self) -> bool:
        """Whether a line has begun and is not complete."""
        return bool(self._partial_line)

    def end(self) -> list[bytes]:
        """The last line, which may lack its end, once no more chunks come."""
        remainder, self._partial_line = self._partial_line, b""
        return [remainder] if remainder.strip() else []

"""HTTP/1.1 pieces that the north side, the south side and the inventory share: bytes in, bytes out."""

from urllib.parse import unquote_to_bytes

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
MAX_LINE = 256 * 1024

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


def response(status: int, body: bytes = b"", *, close: bool = False, retry_after: float = 0.0) -> bytes:
    """A whole response; ``retry_after`` is in milliseconds, 0 for none."""
    head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n"
    if retry_after > 0:
        head += f"Retry-After: {retry_after / 1000:.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + body


def request(method: bytes, target: bytes, host: str, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A whole request."""
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: " + host.encode()]
    lines += [name + b": " + value for name, value in headers]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def first_segment(target: bytes) -> str:
    """The first part of a path, without the query."""
    path = target.split(b"?", 1)[0]
    return unquote_to_bytes(path.lstrip(b"/").split(b"/", 1)[0]).decode("utf-8", "replace")


def split_address(text: str) -> tuple[str, int]:
    """Host and port of ``10.0.0.4:8081``; raises ``ValueError``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address of the form host:port")
    return host.strip("[]"), int(port)


class Lines:
    """Lines out of chunks that may end anywhere."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now; raises ``ValueError`` for one that is too long."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE:
            raise ValueError("line too long")
        return [line for line in lines if line.strip()]

    @property
    def begun(self) -> bool:
        """Whether a line has begun and is not whole."""
        return bool(self._rest)

    def end(self) -> list[bytes]:
        """What is left when no more comes: a last line may lack its end."""
        rest, self._rest = self._rest, b""
        return [rest] if rest.strip() else []

"""Builds the bytes that abusive clients send."""

import secrets
from collections.abc import Iterator
from random import Random

MAX_HEAD_BYTES = 15 * 1024
"""Size of the largest unfinished head, in bytes, below the limit of the protocol."""
HALF_BODY_BYTES = 65_000
"""Announced size of a body of which a part is sent, in bytes, below the limit of the protocol."""
QUEUED_BODY_BYTES = 60_000
"""Size of the body of each request that is sent behind another one, in bytes."""
QUEUED_REQUESTS = 17
"""Number of requests sent at once: one that runs, and those behind it."""
MAX_CHUNKED_BYTES = 360 * 1024
"""Size of the largest body in chunks of one byte, in bytes on the wire."""
PIPELINES = ((5, 60_000), (15, 60_000), (300, 2_000), (40, 2))
"""Numbers of requests that are sent at once, with the size of their bodies in bytes."""
LARGE_BODY_BYTES = 60 * 1024 * 1024
"""Announced size of a body that is too large, in bytes."""
CHUNK = b"1\r\nx\r\n"
"""A chunk of one byte."""
HEALTH_CHECK = b"GET /health/live HTTP/1.1\r\nHost: abuse\r\n\r\n"
"""A health check, which the dispatcher answers itself."""


def request(class_name: str, body_bytes: int = 2, remaining_ms: int = 4000, request_id: str = "") -> bytes:
    """Returns a sound request, with a new id if none is given."""
    request_id = request_id or secrets.token_hex(8)
    return (
        f"POST /{class_name} HTTP/1.1\r\nHost: abuse\r\nX-Txn: {request_id}\r\nX-Lane: {class_name}\r\n"
        f"X-Remaining-Ms: {remaining_ms}\r\nIdempotency-Key: {request_id * 2}\r\nContent-Length: {body_bytes}\r\n\r\n"
    ).encode() + b"b" * body_bytes


def half_body(class_name: str, rng: Random) -> bytes:
    """Returns a request that ends in the middle of its body."""
    whole = request(class_name, HALF_BODY_BYTES)
    return whole[: -rng.randrange(1, HALF_BODY_BYTES // 2)]


def many_fields(class_name: str, rng: Random) -> bytes:
    """Returns an unfinished head of many short fields with different names."""
    head = bytearray(f"POST /{class_name} HTTP/1.1\r\n".encode())
    size = rng.randrange(MAX_HEAD_BYTES // 2, MAX_HEAD_BYTES)
    number = 0
    while len(head) < size:
        head += b"%xa:\r\n" % number
        number += 1
    return bytes(head)


def long_field(class_name: str, rng: Random) -> bytes:
    """Returns an unfinished head with one long field."""
    size = rng.randrange(MAX_HEAD_BYTES // 2, MAX_HEAD_BYTES)
    return f"POST /{class_name} HTTP/1.1\r\nX-Labels: ".encode() + b"a" * size


def queued_bodies(class_name: str) -> bytes:
    """Returns several requests with large bodies."""
    return b"".join(request(class_name, QUEUED_BODY_BYTES) for _ in range(QUEUED_REQUESTS))


def small_chunks(class_name: str, rng: Random) -> bytes:
    """Returns a request whose body comes in chunks of one byte."""
    request_id = secrets.token_hex(8)
    head = (
        f"POST /{class_name} HTTP/1.1\r\nX-Txn: {request_id}\r\nX-Remaining-Ms: 4000\r\n"
        f"Idempotency-Key: {request_id * 2}\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    count = rng.randrange(MAX_CHUNKED_BYTES // 2, MAX_CHUNKED_BYTES) // len(CHUNK)
    return head + CHUNK * count + b"0\r\n\r\n"


def large_body_head(class_name: str) -> bytes:
    """Returns the head of a request with a body that is too large."""
    request_id = secrets.token_hex(8)
    return f"POST /{class_name} HTTP/1.1\r\nX-Txn: {request_id}\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n".encode()


def unsound_request() -> bytes:
    """Returns a request of an unknown class with a new name."""
    name = secrets.token_hex(8)
    return f"POST /{name} HTTP/1.1\r\nX-Txn: {name}\r\nX-Lane: {name}\r\nContent-Length: 0\r\n\r\n".encode()


def pieces(data: bytes, rng: Random, most: int) -> Iterator[bytes]:
    """Yields the data in pieces of random size, of up to ``most`` bytes."""
    at = 0
    while at < len(data):
        size = rng.randint(1, most)
        yield data[at : at + size]
        at += size

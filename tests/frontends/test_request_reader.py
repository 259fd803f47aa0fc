"""Tests what the reader of client requests keeps in memory, and for another process."""

import tracemalloc

import pytest

from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_reader import RequestReader

HEAD = b"POST /safe HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nContent-Length: 60000\r\n\r\n"
CHUNKED_HEAD = b"POST /safe HTTP/1.1\r\nX-Txn: t\r\nTransfer-Encoding: chunked\r\n\r\n"


class Receiver:
    """A receiver that keeps nothing."""

    def request_began(self) -> None:
        pass

    def head_complete(self, expects_continue: bool) -> None:
        pass

    def request_complete(self, request: HttpRequest) -> None:
        pass


def reader_of(*pieces: bytes) -> RequestReader:
    reader = RequestReader(Receiver())
    for piece in pieces:
        reader.feed(piece)
    return reader


def test_half_a_body_is_held_once() -> None:
    """Guards against a second copy of each unfinished body, for the case of an upgrade."""
    count, piece = 50, b"b" * 10_000
    reader_of(HEAD, piece)
    tracemalloc.start()
    readers = [reader_of(HEAD, *[piece] * 5) for _ in range(count)]
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held < 1.5 * count * 50_000
    assert readers[0].held_bytes >= 50_000


def test_unstored_headers_take_no_memory() -> None:
    """Guards against fields that cost many times their size on the wire."""
    fields = b"".join(b"%xa:\r\n" % number for number in range(2000))
    reader_of(b"POST /safe HTTP/1.1\r\n", fields)
    tracemalloc.start()
    readers = [reader_of(b"POST /safe HTTP/1.1\r\n", fields) for _ in range(20)]
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held < 20 * (2 * len(fields) + 10_000)
    assert readers[0].reading


@pytest.mark.parametrize("size", [1, 7, 64, 1000])
def test_partial_request_is_what_has_been_read(size: int) -> None:
    """Guards against a request that the other process of an upgrade reads differently."""
    whole = HEAD + b"b" * 3000
    reader = RequestReader(Receiver())
    for at in range(0, len(whole), size):
        reader.feed(whole[at : at + size])
        assert reader.partial_request == whole[: at + size]


def test_partial_request_is_unknown_behind_another_request_and_in_chunks() -> None:
    """Guards against a request that another process continues from the wrong byte."""
    short = b"POST /safe HTTP/1.1\r\nX-Txn: s\r\nContent-Length: 0\r\n\r\n"
    assert reader_of(short + HEAD[:20]).partial_request is None
    assert reader_of(short, HEAD[:20]).partial_request == HEAD[:20]
    assert reader_of(CHUNKED_HEAD, b"3\r\nabc\r\n2").partial_request is None

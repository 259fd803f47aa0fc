"""Turns a connection's bytes into requests, within the limits of size."""

from enum import Enum
from typing import Any, Protocol

import httptools

from heronlug.frontends.http.errors import (
    BadRequestError,
    BodyTooLargeError,
    ConflictingLengthError,
    DuplicateHeaderError,
    FramingTooLargeError,
    HeadTooLargeError,
    InvalidContentLengthError,
    MalformedRequestError,
    UnsupportedTransferCodingError,
    UpgradeError,
)
from heronlug.frontends.http.request import FORWARDED_HEADERS, HttpRequest
from heronlug.net import http

MAX_REQUEST_BYTES = http.MAX_HEAD + 8 * http.MAX_BODY
"""Size of the largest request with all its framing: chunks may be small, but not without end."""

MAX_LENGTH_DIGITS = 9
"""Digits of the longest Content-Length that is read as a number."""

HEADER_FRAMING_BYTES = 4
"""Bytes around each header: colon, space and the end of the line."""

SINGLE_HEADERS = frozenset(
    {*FORWARDED_HEADERS, b"x-remaining-ms", b"content-length", b"transfer-encoding", b"host", b"expect"}
)
"""Headers that may come once: a second one would replace the first, and the two ends would read different requests."""


class ReadPhase(Enum):
    """How far the request that is being read has come."""

    BETWEEN_REQUESTS = "between requests"
    HEAD = "head"
    BODY = "body"


class RequestReceiver(Protocol):
    """Takes what a reader finds; each method may raise :class:`BadRequestError`."""

    def request_began(self) -> None:
        """The first byte of a request has come."""

    def head_complete(self, expects_continue: bool) -> None:
        """The head is complete; the client may wait for a 100 before it sends the body."""

    def body_received(self, request: HttpRequest, size: int) -> None:
        """So many bytes more of the body have come."""

    def request_complete(self, request: HttpRequest) -> None:
        """The last byte of a request has come."""


class RequestReader:
    """Reads one connection's requests with httptools, which calls the ``on_`` methods.

    Attributes:
        phase: how far the current request has come.
        request: the current request, or the last one.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        self.phase = ReadPhase.BETWEEN_REQUESTS
        self.request = HttpRequest()
        self._receiver = receiver
        self._parser: Any = httptools.HttpRequestParser(self)
        self._body = bytearray()
        self._head_size = 0  # bytes of the head that the parser has reported
        self._request_size = 0  # bytes of the request with all framing; 0 for those that came along with the one before

    @property
    def reading(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.phase is not ReadPhase.BETWEEN_REQUESTS

    def feed(self, data: bytes) -> None:
        """Read bytes of the client.

        Raises:
            BadRequestError: they break the protocol; the reader cannot be used any more.
        """
        self._request_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise UpgradeError from error
        except httptools.HttpParserError as error:
            # the parser wraps what one of the methods below has raised
            cause = error.__context__ or error.__cause__
            if isinstance(cause, BadRequestError):
                raise cause from None
            raise MalformedRequestError from error
        self._check_size()

    def close(self) -> None:
        """Drop the parser: it refers to this reader, and the cycle would wait long for the collector in an overload."""
        self._parser = None

    def on_message_begin(self) -> None:
        """A request begins."""
        self.request = HttpRequest()
        self._head_size = 0
        self._body = bytearray()
        self.phase = ReadPhase.HEAD
        self._receiver.request_began()

    def on_url(self, url: bytes) -> None:
        """Path and query, perhaps in pieces."""
        self.request.target += url
        self._add_to_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header; those of a trailer are ignored."""
        if self.phase is not ReadPhase.HEAD:
            return
        name = name.lower()
        if name in SINGLE_HEADERS and name in self.request.headers:
            raise DuplicateHeaderError
        self.request.headers[name] = value.strip(b" \t")  # the parser strips only what stands before a value
        self._add_to_head_size(len(name) + len(value) + HEADER_FRAMING_BYTES)

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.phase = ReadPhase.BODY
        headers = self.request.headers
        _check_framing(headers.get(b"content-length"), headers.get(b"transfer-encoding"))
        self._receiver.head_complete(headers.get(b"expect", b"").lower() == b"100-continue")

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._body += body
        if len(self._body) > http.MAX_BODY:
            raise BodyTooLargeError
        self._receiver.body_received(self.request, len(body))

    def on_message_complete(self) -> None:
        """The request is complete."""
        request = self.request
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        request.body = bytes(self._body)
        self._body = bytearray()
        self._request_size = 0
        self.phase = ReadPhase.BETWEEN_REQUESTS
        self._receiver.request_complete(request)

    def _add_to_head_size(self, size: int) -> None:
        self._head_size += size
        if self._head_size > http.MAX_HEAD:
            raise HeadTooLargeError

    def _check_size(self) -> None:
        """Bound what the parser does not report: a header that is not complete, and the extension of a chunk."""
        if self.phase is ReadPhase.HEAD and self._request_size > http.MAX_HEAD:
            raise HeadTooLargeError
        if self.phase is ReadPhase.BODY and self._request_size > MAX_REQUEST_BYTES:
            raise FramingTooLargeError


def _check_framing(length: bytes | None, coding: bytes | None) -> None:
    """Check Content-Length and Transfer-Encoding; raises :class:`BadRequestError`."""
    if length is not None and coding is not None:
        raise ConflictingLengthError
    if length is not None and not length.isdigit():
        raise InvalidContentLengthError
    if length is not None and (len(length) > MAX_LENGTH_DIGITS or int(length) > http.MAX_BODY):
        raise BodyTooLargeError
    if coding is not None and coding.strip().lower() != b"chunked":
        raise UnsupportedTransferCodingError

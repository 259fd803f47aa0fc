"""Parses the bytes of a client connection into requests and enforces the size limits."""

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
"""Maximum size of a request including its framing, in bytes; allows small chunks but bounds their total overhead."""

MAX_LENGTH_DIGITS = 9
"""Maximum number of digits in a Content-Length that is converted to a number."""

HEADER_FRAMING_BYTES = 4
"""Bytes that frame each header: colon, space and line end."""

SINGLE_HEADERS = frozenset(
    {*FORWARDED_HEADERS, b"x-remaining-ms", b"content-length", b"transfer-encoding", b"host", b"expect"}
)
"""Headers that the dispatcher reads or forwards, each of which may occur only once.

A second value would replace the first, so that client and server could interpret the same request differently. Other
headers are not stored: in the process, a header of four bytes would take some two hundred.
"""


class ReadPhase(Enum):
    """Part of a request that the reader expects next."""

    BETWEEN_REQUESTS = "between requests"
    HEAD = "head"
    BODY = "body"


class RequestReceiver(Protocol):
    """Receives the callbacks of a reader; each method may raise :class:`BadRequestError`."""

    def request_began(self) -> None:
        """Handles the first byte of a request."""

    def head_complete(self, expects_continue: bool) -> None:
        """Handles a complete head.

        Args:
            expects_continue: Whether the client waits for 100 Continue before it sends the body.
        """

    def request_complete(self, request: HttpRequest) -> None:
        """Handles a complete request."""


class RequestReader:
    """Reads the requests of one connection with httptools, which calls the ``on_`` methods.

    Attributes:
        phase: Part of the current request that is being read.
        calls: Number of headers, pieces of bodies and requests that have been parsed.
        request: Current request; the last complete request between two requests.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        self.phase = ReadPhase.BETWEEN_REQUESTS
        self.calls = 0
        self.request = HttpRequest()
        self._head: bytearray | None = bytearray()  # None if unknown: it began together with the end of a request
        self._receiver = receiver
        self._parser: Any = httptools.HttpRequestParser(self)
        self._body = bytearray()
        self._head_size = 0  # bytes of the head reported by the parser
        self._request_size = 0  # bytes including framing; excludes bytes received together with the previous request

    @property
    def reading(self) -> bool:
        """Returns whether a request is partly read."""
        return self.phase is not ReadPhase.BETWEEN_REQUESTS

    @property
    def knows_partial_request(self) -> bool:
        """Returns whether the bytes of the current request so far are known, so that another process can read them."""
        if self._head is None:
            return False
        return self.phase is not ReadPhase.BODY or b"content-length" in self.request.headers

    @property
    def partial_request(self) -> bytes | None:
        """Returns the bytes of the current request so far; None if they are unknown.

        They are unknown if its first bytes came together with the end of the previous request, and in a chunked body.
        """
        if self._head is None or not self.knows_partial_request:
            return None
        return bytes(self._head + self._body)

    @property
    def held_bytes(self) -> int:
        """Returns the memory that the current request takes, in bytes: parser and reader both hold its head."""
        return 2 * max(len(self._head or b""), self._head_size) + len(self._body) if self.reading else 0

    @property
    def body_bytes_left(self) -> int:
        """Returns the number of bytes that the body still lacks, as far as its length was announced."""
        if self.phase is not ReadPhase.BODY:
            return 0
        return int(self.request.headers.get(b"content-length", b"0")) - len(self._body)

    def feed(self, data: bytes) -> None:
        """Parses bytes from the client.

        Raises:
            BadRequestError: The bytes violate the protocol; the reader must not be used again.
        """
        self._request_size += len(data)
        was_in_body = self.phase is ReadPhase.BODY
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise UpgradeError from error
        except httptools.HttpParserError as error:
            raise _bad_request(error) from None
        self._check_size()
        self._keep_head(data, was_in_body)

    def drop(self) -> None:
        """Drops what has been read; the reader must not be used again."""
        self.request = HttpRequest()
        self._head = None
        self._body = bytearray()
        self._parser = None

    def close(self) -> None:
        """Drops what has been read and breaks the reference cycles with parser and receiver; the reader is unusable.

        The garbage collector would free the cycles only after a long time, with all that ended connections have sent.
        """
        self.drop()
        del self._receiver

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self.request = HttpRequest()
        self._head_size = 0
        self._body = bytearray()
        self.phase = ReadPhase.HEAD
        self._receiver.request_began()

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the path and query."""
        self.request.target += url
        self._add_to_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header that the dispatcher reads or forwards; headers in a trailer are ignored.

        Raises:
            DuplicateHeaderError: A header that must be unique occurs a second time.
        """
        self.calls += 1
        if self.phase is not ReadPhase.HEAD:
            return
        self._add_to_head_size(len(name) + len(value) + HEADER_FRAMING_BYTES)
        name = name.lower()
        if name not in SINGLE_HEADERS:
            return
        if name in self.request.headers:
            raise DuplicateHeaderError
        self.request.headers[name] = value.strip(b" \t")  # the parser strips only leading white space

    def on_headers_complete(self) -> None:
        """Checks the framing headers and reports the complete head to the receiver."""
        self.phase = ReadPhase.BODY
        headers = self.request.headers
        _check_framing(headers.get(b"content-length"), headers.get(b"transfer-encoding"))
        self._receiver.head_complete(headers.get(b"expect", b"").lower() == b"100-continue")

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body.

        Raises:
            BodyTooLargeError: The body exceeds ``http.MAX_BODY`` bytes.
        """
        self.calls += 1
        self._body += body
        if len(self._body) > http.MAX_BODY:
            raise BodyTooLargeError

    def on_message_complete(self) -> None:
        """Completes the request and passes it to the receiver."""
        self.calls += 1
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

    def _keep_head(self, data: bytes, was_in_body: bool) -> None:
        """Keeps the bytes of a head for another process; those of a body are in the body itself."""
        if not self.reading:
            self._head = bytearray()
        elif self._request_size == 0:
            self._head = None
        elif self._head is not None and not was_in_body:
            self._head += data[: len(data) - len(self._body)]

    def _check_size(self) -> None:
        """Limits input that the parser does not report: incomplete headers and chunk extensions."""
        if self.phase is ReadPhase.HEAD and self._request_size > http.MAX_HEAD:
            raise HeadTooLargeError
        if self.phase is ReadPhase.BODY and self._request_size > MAX_REQUEST_BYTES:
            raise FramingTooLargeError


def _bad_request(error: httptools.HttpParserError) -> BadRequestError:
    """Returns the error that an ``on_`` method raised, which the parser wraps, or else the one for malformed input."""
    cause = error.__context__ or error.__cause__
    return cause if isinstance(cause, BadRequestError) else MalformedRequestError()


def _check_framing(length: bytes | None, coding: bytes | None) -> None:
    """Checks Content-Length and Transfer-Encoding.

    Raises:
        BadRequestError: The headers conflict, are invalid, exceed the body limit or name an unsupported coding.
    """
    if length is not None and coding is not None:
        raise ConflictingLengthError
    if length is not None and not length.isdigit():
        raise InvalidContentLengthError
    if length is not None and (len(length) > MAX_LENGTH_DIGITS or int(length) > http.MAX_BODY):
        raise BodyTooLargeError
    if coding is not None and coding.strip().lower() != b"chunked":
        raise UnsupportedTransferCodingError

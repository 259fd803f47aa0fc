"""Parses a server's response to a request: an HTTP response with one JSON line per step of the work."""

from collections.abc import Callable
from typing import Any, NamedTuple

import httptools
import orjson

from heronlug.balancer.events import Outcome, ProgressKind
from heronlug.net import http

MAX_UNFRAMED_BYTES = 64 * 1024
"""Maximum size of a head, of trailers or of an extension of a chunk, in bytes; the parser holds them to their end."""

SERVER_SIDE_STATUSES = (408, 429)
"""4xx statuses that report a condition of the server rather than an invalid request."""

OUTCOMES_BY_FINAL_STATE = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
"""Outcome by protocol state, for the states that end a request without a result."""


class ResponseTooLargeError(Exception):
    """Raised if a server sends a head, trailers or an extension of a chunk without end."""


class AttemptResult(NamedTuple):
    """Result of an attempt as reported by the server.

    Attributes:
        outcome: Outcome of the attempt.
        result: Result of the work; empty if there is none.
    """

    outcome: Outcome
    result: bytes = b""


class ResponseReader:
    """Parses the response to one request.

    Some servers repeat the response to the previous request, so lines that name the previous request are skipped.

    Attributes:
        attempt_result: Result of the attempt; None while the attempt runs.
        complete: Whether the response is complete.
        keep_alive: Whether the connection can be reused; valid once the response is complete.
        begun: Whether the server has begun to respond.
        closes_connection: Whether the head announces that the connection closes after the response.
        request_withheld: Whether part of the request has not been sent, so that no response to it can be valid.
    """

    begun: bool
    closes_connection: bool
    _status: int
    _rejected: bool
    _chunked: bool
    _between_chunks: bool
    _is_repeated: bool
    _lines: http.Lines

    def __init__(
        self,
        request_id: str,
        previous_request_id: str,
        on_progress: Callable[[ProgressKind, float], None],
        on_invalid_line: Callable[[str], None],
    ) -> None:
        """Creates a reader that expects the head of a response.

        Args:
            request_id: Id of the request.
            previous_request_id: Id of the previous request on the connection; empty if there is none.
            on_progress: Called with the kind of progress and the share of the work that is done.
            on_invalid_line: Called with the error of a line that violates the protocol.
        """
        self.attempt_result: AttemptResult | None = None
        self.complete = False
        self.keep_alive = False
        self.request_withheld = False
        self._request_id = request_id
        self._previous_request_id = previous_request_id
        self._on_progress = on_progress
        self._on_invalid_line = on_invalid_line
        self._unframed_bytes = 0  # received since the last part of the body, or since the last head
        self._parser: Any = httptools.HttpResponseParser(self)  # httptools has no types
        self._expect_head()

    @property
    def lacks_request_id(self) -> bool:
        """Returns whether the response names no request.

        A repetition of such a response could be mistaken for the response to the next request.
        """
        return self._status != 200 or (self.attempt_result is not None and self.attempt_result.outcome is Outcome.FULL)

    @property
    def at_line_boundary(self) -> bool:
        """Returns whether another process can continue to read at the current position."""
        between_lines = self._between_chunks and not self._lines.has_partial_line
        return not self.begun or (self._status == 200 and self._chunked and between_lines)

    @property
    def held_bytes(self) -> int:
        """Returns the size of what has been received and not been handled, in bytes."""
        return self._lines.held_bytes + self._unframed_bytes

    def feed(self, data: bytes) -> None:
        """Parses bytes of the response.

        Raises:
            httptools.HttpParserError: The bytes are not a valid HTTP response.
            httptools.HttpParserUpgrade: The server switches to another protocol.
            ResponseTooLargeError: The server sends a head or trailers without end.
        """
        self.begun = True
        self._unframed_bytes += len(data)
        self._parser.feed_data(data)
        if self._unframed_bytes > MAX_UNFRAMED_BYTES:
            msg = f"a head, the trailers or an extension of a chunk exceed {MAX_UNFRAMED_BYTES} bytes"
            raise ResponseTooLargeError(msg)
        self._between_chunks = self._between_chunks and data.endswith(b"\r\n")

    def close(self) -> None:
        """Breaks the reference cycles with the parser and the connection; the reader must not be used any more."""
        self._parser = None
        del self._on_progress, self._on_invalid_line

    def skip_head(self, closes_connection: bool) -> None:
        """Prepares to read the chunks of a response whose head another process has read."""
        connection = b"Connection: close\r\n" if closes_connection else b""
        self._parser.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + connection + b"\r\n")
        self.begun = True

    def finish(self) -> None:
        """Reads the last line, which may lack a line end, after the end of the response or connection."""
        for line in self._lines.end():
            self._read_line(line)

    # -- Callbacks of httptools

    def on_message_begin(self) -> None:
        """Records that the server has begun to respond."""
        self.begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reads the headers X-Turned-Away, Transfer-Encoding and Connection."""
        name = name.lower()
        if name == b"x-turned-away":
            self._rejected = value.strip() == b"1"
        elif name == b"transfer-encoding":
            self._chunked = value.strip().lower() == b"chunked"
        elif name == b"connection":
            self.closes_connection = b"close" in value.lower()

    def on_headers_complete(self) -> None:
        """Ends the attempt if the status is final and not 200."""
        self._unframed_bytes = 0
        self._status = self._parser.get_status_code()
        if self._status in (503, 504) and self._rejected:
            self.attempt_result = AttemptResult(Outcome.FULL)
        elif 400 <= self._status < 500 and self._status not in SERVER_SIDE_STATUSES:
            self.attempt_result = AttemptResult(Outcome.REJECTED_BY_SERVER)
        elif self._status >= 200 and self._status != 200:
            self.attempt_result = AttemptResult(Outcome.ERROR)

    def on_chunk_header(self) -> None:
        """Records the start of a chunk."""
        self._between_chunks = False

    def on_chunk_complete(self) -> None:
        """Records the end of a chunk."""
        self._between_chunks = True

    def on_body(self, body: bytes) -> None:
        """Reads the complete lines of a chunk; a line may span several chunks."""
        self._unframed_bytes = 0
        if self._status == 200:
            for line in self._lines.feed(body):
                self._read_line(line)

    def on_message_complete(self) -> None:
        """Completes the response; after a repetition of the previous response, expects another head."""
        if self._status == 200:
            self.finish()
        if self._is_repeated and self.attempt_result is None:
            self._expect_head()
        elif self._status >= 200:
            # without a result the response ended before its last line
            self.attempt_result = self.attempt_result or AttemptResult(Outcome.RESET)
            self.complete = True
            # After this callback the parser reports the state of the next response.
            self.keep_alive = self._parser.should_keep_alive()

    # -- Lines

    def _expect_head(self) -> None:
        self.begun = False
        self.closes_connection = False
        self._status = 0
        self._rejected = False
        self._chunked = False
        self._between_chunks = True
        self._is_repeated = False  # whether this response repeats the response to the previous request
        self._lines = http.Lines()

    def _read_line(self, line: bytes) -> None:
        if self.attempt_result is not None:
            return
        try:
            self._apply_line(orjson.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError, UnicodeError) as error:
            self._on_invalid_line(repr(error))
            self.attempt_result = AttemptResult(Outcome.ERROR)

    def _apply_line(self, message: dict[str, Any]) -> None:
        state = message["state"]
        if message["id"] != self._request_id:
            if message["id"] != self._previous_request_id or self.request_withheld:
                msg = f"response line names request {message['id']!r}, expected {self._request_id!r}"
                raise ValueError(msg)
            self._is_repeated = True
        elif state == "started":
            self._on_progress(ProgressKind.STARTED, 0.0)
        elif state == "running":
            self._on_progress(ProgressKind.PROGRESS, float(message.get("share", 0.0)))
        elif state == "done":
            self.attempt_result = AttemptResult(Outcome.SERVED, message["result"].encode())
        else:
            self.attempt_result = AttemptResult(OUTCOMES_BY_FINAL_STATE[state])

"""Manages a connection to service discovery that carries one poll at a time."""

import asyncio
import errno
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

from heronlug.discovery.endpoint_list import EndpointListError
from heronlug.discovery.poll_failure import PollFailure
from heronlug.net import http
from heronlug.net.connection_state import has_unread_input

INSTANCES_PATH = "/registry/instances"
"""Path of the endpoint list in service discovery."""

MAX_LIST_BYTES = 8 * 1024 * 1024
"""Maximum size of the body of an answer."""

MAX_RETRY_AFTER_MS = 60_000.0
"""Upper bound of Retry-After; longer values are reduced to this."""

UNREACHABLE_ERRNOS = frozenset({errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT})
"""Errors of a dial to which the other machine did not reply."""

OVERLOAD_STATUSES = (429, 503)
"""HTTP statuses by which service discovery rejects a poll because of overload."""


@dataclass(frozen=True, slots=True)
class Poll:
    """The parameters of one poll.

    Attributes:
        after: Version after which changes are requested; None requests the complete list.
        wait_ms: Maximum time for which service discovery may delay the answer until a change happens.
    """

    after: int | None
    wait_ms: float

    @property
    def immediate(self) -> bool:
        """Returns whether service discovery answers immediately, even if nothing has changed."""
        return self.after is None or not self.wait_ms

    @property
    def target(self) -> bytes:
        """Returns the HTTP request target."""
        if self.after is None:
            return INSTANCES_PATH.encode()
        return f"{INSTANCES_PATH}?after={self.after}&wait_ms={int(self.wait_ms)}".encode()


class PollObserver(Protocol):
    """Receives the events of a connection; implemented by the owner of the connection."""

    def on_connected(self, connection: "DiscoveryConnection") -> None:
        """Called when the connection is established."""

    def on_answer_begun(self, connection: "DiscoveryConnection") -> None:
        """Called when the first bytes of an answer arrive."""

    def on_list_begun(self, connection: "DiscoveryConnection") -> None:
        """Called when the headers of an answer with status 200, which carries a list, are complete."""

    def on_answer(self, connection: "DiscoveryConnection", body: bytes) -> None:
        """Called when an answer with a list is complete."""

    def on_failure(self, connection: "DiscoveryConnection", reason: str, failure: PollFailure) -> None:
        """Called when the poll, or the dial for the poll, has failed."""

    def flush(self) -> None:
        """Called after all other callbacks of one I/O event."""


class DiscoveryConnection(asyncio.Protocol):
    """Dials service discovery, sends polls and parses their answers.

    Attributes:
        poll: The last poll sent; None before the first.
        sent_at: Time at which the last poll was sent, in ms; 0 before the first.
        retry_after_ms: Retry-After of the answer to the last poll, in ms; 0 if there is none.
        lost: Whether the connection has ended or is closing.
    """

    def __init__(self, address: str, observer: PollObserver) -> None:
        self.poll: Poll | None = None
        self.sent_at = 0.0
        self.retry_after_ms = 0.0
        self.lost = False
        self._address = address
        self._observer = observer
        self._transport: asyncio.Transport | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._answer_begun = False
        self._parser: Any = None  # httptools has no types; None while no answer is due
        self._body: list[bytes] = []
        self._body_size = 0

    # -- The owner's calls

    @property
    def reusable(self) -> bool:
        """Returns whether another poll can be sent on this connection."""
        return self._transport is not None and not self.lost

    @property
    def has_unread_data(self) -> bool:
        """Returns whether bytes, or the end of the connection, are waiting unread in the kernel."""
        return self._transport is not None and not self.lost and has_unread_input(self._transport)

    def dial(self) -> None:
        """Starts to connect; the observer is notified of the result."""
        self._dial_task = asyncio.get_running_loop().create_task(self._dial())

    def send(self, poll: Poll, now: float) -> None:
        """Sends a poll.

        Args:
            poll: The poll.
            now: The current time in ms.

        Raises:
            ConnectionError: The connection is not established.
        """
        if self._transport is None:
            msg = f"connection to {self._address} is not established: call dial() first"
            raise ConnectionError(msg)
        self.poll = poll
        self.sent_at = now
        self.retry_after_ms = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self._answer_begun = False
        self._body = []
        self._body_size = 0
        self._transport.write(http.request(b"GET", poll.target, self._address, [], b""))

    def close(self) -> None:
        """Aborts the connection or the dial."""
        if self._transport is not None:
            self._transport.abort()
        elif self._dial_task is not None:
            self._dial_task.cancel()

    async def _dial(self) -> None:
        host, port = http.split_address(self._address)
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, host, port)
        except OSError as error:
            self._observer.on_failure(self, f"dial: {error}", _dial_failure(error))
            self._observer.flush()

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notifies the observer, which sends the poll."""
        # uvloop's transport implements the interface without being a subclass.
        self._transport = cast(asyncio.Transport, transport)
        self._observer.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parses bytes of an answer."""
        try:
            self._parse(data)
        except Exception as error:  # invalid data from the other side must fail only the poll
            self._observer.on_failure(self, repr(error.__context__ or error), PollFailure.INVALID_ANSWER)
        self._observer.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the failure of the unanswered poll, if there is one."""
        self.lost = True
        if self._parser is not None:
            self._observer.on_failure(self, f"connection lost: {exc}", PollFailure.CONNECTION_LOST)
        self._observer.flush()

    def _parse(self, data: bytes) -> None:
        if self._parser is None:
            msg = "received data although no poll is waiting for an answer"
            raise EndpointListError(msg)
        if not self._answer_begun:
            self._answer_begun = True
            self._observer.on_answer_begun(self)
        self._parser.feed_data(data)

    # -- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reads the Retry-After header."""
        if name.lower() != b"retry-after":
            return
        try:
            self.retry_after_ms = max(0.0, min(MAX_RETRY_AFTER_MS, 1000 * float(value)))
        except ValueError:
            self.retry_after_ms = 0.0  # an HTTP date or an invalid value

    def on_headers_complete(self) -> None:
        """Notifies the observer when an answer with a list begins."""
        if self._parser.get_status_code() == 200:
            self._observer.on_list_begun(self)

    def on_body(self, body: bytes) -> None:
        """Collects the body.

        Raises:
            EndpointListError: The body is larger than ``MAX_LIST_BYTES``.
        """
        self._body_size += len(body)
        if self._body_size > MAX_LIST_BYTES:
            msg = f"the answer is larger than {MAX_LIST_BYTES} bytes"
            raise EndpointListError(msg)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Reports the complete answer, or its status as a failure."""
        status = self._parser.get_status_code()
        keep_alive = self._parser.should_keep_alive()
        self._parser = None
        if not keep_alive and self._transport is not None:
            self.lost = True
            self._transport.close()
        if status == 200:
            self._observer.on_answer(self, b"".join(self._body))
            return
        overloaded = status in OVERLOAD_STATUSES
        failure = PollFailure.REJECTED if overloaded else PollFailure.INVALID_ANSWER
        self._observer.on_failure(self, f"HTTP status {status}", failure)


def _dial_failure(error: OSError) -> PollFailure:
    """Returns the kind of a dial failure; an error of this machine says nothing about service discovery."""
    if isinstance(error, ConnectionRefusedError):
        return PollFailure.REFUSED
    return PollFailure.UNREACHABLE if error.errno in UNREACHABLE_ERRNOS else PollFailure.CONNECTION_LOST

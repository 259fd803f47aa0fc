"""A connection to service discovery that carries one poll at a time."""

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
"""Where service discovery serves the endpoint list."""

MAX_LIST_BYTES = 8 * 1024 * 1024
"""The largest body of an answer that is read."""

MAX_RETRY_AFTER_MS = 60_000.0
"""A longer Retry-After is cut to this."""

UNREACHABLE_ERRNOS = frozenset({errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT})
"""Errors of a dial that got no reply from the other machine."""

OVERLOAD_STATUSES = (429, 503)
"""Statuses by which service discovery rejects a poll because of its load."""


@dataclass(frozen=True, slots=True)
class Poll:
    """What a poll asks for.

    Attributes:
        after: The version whose successors are wanted; None for the complete list.
        wait_ms: How long the answer may wait for a change.
    """

    after: int | None
    wait_ms: float

    @property
    def immediate(self) -> bool:
        """Whether the answer comes at once, changed or not."""
        return self.after is None or not self.wait_ms

    @property
    def target(self) -> bytes:
        """The target of the HTTP request."""
        if self.after is None:
            return INSTANCES_PATH.encode()
        return f"{INSTANCES_PATH}?after={self.after}&wait_ms={int(self.wait_ms)}".encode()


class PollObserver(Protocol):
    """What the owner of a connection is notified of."""

    def on_connected(self, connection: "DiscoveryConnection") -> None:
        """The connection is established."""

    def on_answer_begun(self, connection: "DiscoveryConnection") -> None:
        """The first bytes of an answer have arrived."""

    def on_list_begun(self, connection: "DiscoveryConnection") -> None:
        """The head of an answer that carries a list has arrived."""

    def on_answer(self, connection: "DiscoveryConnection", body: bytes) -> None:
        """An answer with a list is complete."""

    def on_failure(self, connection: "DiscoveryConnection", reason: str, failure: PollFailure) -> None:
        """The poll, or the dial for it, has failed."""

    def flush(self) -> None:
        """All callbacks of one I/O event have been made."""


class DiscoveryConnection(asyncio.Protocol):
    """Dials service discovery, sends polls and reads their answers.

    Attributes:
        poll: The poll that was sent last; None before the first.
        sent_at: When it was sent, in ms; 0 before the first.
        retry_after_ms: The Retry-After of its answer; 0 for none.
        lost: Whether the connection has ended or is about to.
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
        """Whether another poll can be sent on it."""
        return self._transport is not None and not self.lost

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel holds bytes, or an end, that have not been read."""
        return self._transport is not None and not self.lost and has_unread_input(self._transport)

    def dial(self) -> None:
        """Start to connect; the observer is notified of the result."""
        self._dial_task = asyncio.get_running_loop().create_task(self._dial())

    def send(self, poll: Poll, now: float) -> None:
        """Send a poll on the established connection; ``now`` in ms."""
        if self._transport is None:
            msg = f"no connection to {self._address} is established: dial it first"
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
        """Abort the connection, or the dial."""
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
        """Notify the owner, which sends the poll."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport has its interface, not its type
        self._observer.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        try:
            self._parse(data)
        except Exception as error:  # whatever the other side sends must end no more than the poll
            self._observer.on_failure(self, repr(error.__context__ or error), PollFailure.INVALID_ANSWER)
        self._observer.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the poll that is unanswered, if there is one."""
        self.lost = True
        if self._parser is not None:
            self._observer.on_failure(self, f"connection lost: {exc}", PollFailure.CONNECTION_LOST)
        self._observer.flush()

    def _parse(self, data: bytes) -> None:
        if self._parser is None:
            msg = "an answer came without a poll"
            raise EndpointListError(msg)
        if not self._answer_begun:
            self._answer_begun = True
            self._observer.on_answer_begun(self)
        self._parser.feed_data(data)

    # -- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read Retry-After."""
        if name.lower() != b"retry-after":
            return
        try:
            self.retry_after_ms = max(0.0, min(MAX_RETRY_AFTER_MS, 1000 * float(value)))
        except ValueError:
            self.retry_after_ms = 0.0  # a date, or no time at all

    def on_headers_complete(self) -> None:
        """Notify the owner of a list that begins."""
        if self._parser.get_status_code() == 200:
            self._observer.on_list_begun(self)

    def on_body(self, body: bytes) -> None:
        """Collect the body.

        Raises:
            EndpointListError: It is larger than ``MAX_LIST_BYTES``.
        """
        self._body_size += len(body)
        if self._body_size > MAX_LIST_BYTES:
            msg = f"the list is larger than {MAX_LIST_BYTES} bytes"
            raise EndpointListError(msg)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Report the answer."""
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
        self._observer.on_failure(self, f"status {status}", failure)


def _dial_failure(error: OSError) -> PollFailure:
    """What a failed dial says of the other side; a failure of this machine says nothing of it."""
    if isinstance(error, ConnectionRefusedError):
        return PollFailure.REFUSED
    return PollFailure.UNREACHABLE if error.errno in UNREACHABLE_ERRNOS else PollFailure.CONNECTION_LOST

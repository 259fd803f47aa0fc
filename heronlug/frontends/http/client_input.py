"""Reads the input of a client connection no faster than its requests are served, and a bounded part of it at a time."""

import asyncio
from typing import Protocol

from heronlug.frontends.http.errors import BodyMemoryExhaustedError
from heronlug.frontends.http.request_reader import ReadPhase, RequestReader, RequestReceiver
from heronlug.memory.account import MemoryAccount, MemoryShortError, Reservation
from heronlug.memory.holders import Holder
from heronlug.net.connection_state import has_unread_input, input_age_ms
from heronlug.net.paced_protocol import RECEIVE_BUFFER_BYTES
from heronlug.net.read_gate import PauseReason, ReadGate
from heronlug.net.turn_queue import TurnQueue
from heronlug.requests.deadlines import Deadlines

PIECE_BYTES = 1024
"""Number of bytes that are parsed at once, beyond which a connection may have to wait for its next turn."""

PIECE_BYTES_BEHIND_REQUEST = 256
"""The same while a request is served or waits, so that a piece cannot hold many more requests than may wait."""

PARSER_CALLS_PER_TURN = 64
"""Number of headers, pieces of bodies and requests that are parsed for a connection in one turn."""

SMALL_INPUT_BYTES = 8 * 1024
"""Size of an unfinished request up to which all memory may be used for it, in bytes."""

LARGE_INPUT_SHARE = 0.75
"""Share of the memory that may be in use after more of a larger request has been received."""

SMALL_READ_BYTES = 64
"""Number of bytes below which a read counts as small."""

MAX_SMALL_READS = 8
"""Number of small reads in a row within a request, from which on the client's bytes are collected before each read."""

SMALL_READ_PAUSE_MS = 50.0
"""Time for which bytes are then collected, in ms."""


class InputOwner(RequestReceiver, Protocol):
    """The connection that reads its input."""

    @property
    def takes_requests(self) -> bool:
        """Returns whether another request may be parsed now."""

    @property
    def is_serving(self) -> bool:
        """Returns whether a request is being served or waits."""

    def parse_more(self) -> None:
        """Parses the rest of the input in a later turn, by :meth:`ClientInput.parse`."""


class InputServices(Protocol):
    """What the inputs of all connections share.

    Attributes:
        memory: Account of the memory that clients make the process hold.
        turn_queue: Postponed parsing of all connections.
        deadlines: Scheduler for time-outs.
    """

    memory: MemoryAccount
    turn_queue: TurnQueue
    deadlines: Deadlines


class ClientInput:
    """The input of one client connection: its reader, and the bytes that it has not parsed yet.

    While bytes are left, or enough requests wait, the connection is not read, so that the client has to wait.

    Attributes:
        reader: Parses the bytes.
        gate: Pauses reading.
    """

    def __init__(self, owner: InputOwner, services: InputServices) -> None:
        """Creates an input without a transport."""
        self.reader = RequestReader(owner)
        self.gate = ReadGate(services.deadlines.clock)
        self._owner = owner
        self._turn_queue = services.turn_queue
        self._deadlines = services.deadlines
        self._memory = Reservation(services.memory, Holder.CLIENT_INPUT)
        self._transport: asyncio.Transport | None = None
        self._unparsed = b""
        self._offset = 0  # of the first byte that is not parsed
        self._arrived_at: float | None = None  # None until it is needed
        self._small_reads = 0

    def open(self, transport: asyncio.Transport) -> None:
        """Sets the transport, which reads already.

        What has arrived by now may have waited for long, in the accept queue or in another process.
        """
        self._transport = transport
        self.gate.open(transport)
        if has_unread_input(transport):
            self.gate.unread_since = self._deadlines.clock() - input_age_ms(transport)

    def close(self) -> None:
        """Drops what has been read and breaks the reference cycles; the input is unusable."""
        self._turn_queue.remove(self)
        self._set_unparsed(b"")
        self._transport = None
        self._memory.release()
        self.gate.close()
        self.reader.close()
        del self._owner

    @property
    def held_bytes(self) -> int:
        """Returns the memory that the input takes, in bytes."""
        return self._memory.size

    @property
    def unparsed(self) -> bytes:
        """Returns the bytes that have been read and not parsed."""
        return self._unparsed[self._offset :]

    @property
    def has_unparsed(self) -> bool:
        """Returns whether bytes have been read that are not parsed yet."""
        return self._offset < len(self._unparsed)

    @property
    def partial_request(self) -> bytes | None:
        """Returns the bytes that follow the last complete request; None if they are unknown."""
        partial = self.reader.partial_request
        return partial + self.unparsed if partial is not None else None

    @property
    def arrived_at(self) -> float:
        """Returns a time at which the bytes that are parsed now had not arrived later, in ms.

        Bytes that waited while the connection was not read may have arrived when reading stopped.
        """
        if self._arrived_at is None:
            now = self._deadlines.clock()
            last_arrival = now if self._transport is None else now - input_age_ms(self._transport)
            waited_since = self.gate.unread_since
            self._arrived_at = last_arrival if waited_since is None else min(waited_since, last_arrival)
        return self._arrived_at

    def receive(self, data: bytes) -> None:
        """Parses bytes from the client, as far as this turn and the waiting requests allow.

        Raises:
            BadRequestError: The bytes violate the protocol, or there is no memory for them; the input must not be used
                again.
        """
        self._add(data)
        self.parse()
        if self.has_unparsed:
            self._arrived_at = self.arrived_at
        if len(data) < RECEIVE_BUFFER_BYTES and not self.gate.paused:
            self.gate.drained()
        self._count_small_read(len(data))

    def receive_later(self, data: bytes) -> None:
        """Keeps bytes from the client until the next turn of the connection.

        Raises:
            BadRequestError: There is no memory for the bytes; the input must not be used again.
        """
        self._add(data)
        self._arrived_at = self.arrived_at
        self._hold_memory()
        self.adjust()

    def parse(self) -> None:
        """Parses further bytes, and pauses or resumes reading.

        Raises:
            BadRequestError: As :meth:`receive`.
        """
        last_call = self.reader.calls + PARSER_CALLS_PER_TURN
        while self.has_unparsed and self._owner.takes_requests and self.reader.calls < last_call:
            piece = self._unparsed[self._offset : self._offset + self._piece_bytes()]
            self._offset += len(piece)
            self.reader.feed(piece)
        if not self.has_unparsed:
            self._set_unparsed(b"")
        self._hold_memory()
        self.adjust()

    def adjust(self) -> None:
        """Pauses or resumes reading after requests have been added or served."""
        if self.has_unparsed or not self._owner.takes_requests:
            self.gate.pause(PauseReason.INPUT)
        else:
            self.gate.resume(PauseReason.INPUT)
        if self.has_unparsed and self._owner.takes_requests:
            self._turn_queue.add(self, self._owner.parse_more)

    def stop_parsing(self) -> None:
        """Drops the input so far, and reads again in order to discard what the client still sends."""
        self._turn_queue.remove(self)
        self._set_unparsed(b"")
        self.reader.drop()
        self._memory.release()
        self.gate.resume(PauseReason.INPUT)

    def _add(self, data: bytes) -> None:
        """Adds received bytes to those that are not parsed.

        Raises:
            BadRequestError: There is no memory for the bytes.
        """
        self._reserve(len(data))
        self._set_unparsed(self.unparsed + data if self.has_unparsed else data)
        self._arrived_at = None

    def _set_unparsed(self, data: bytes) -> None:
        self._unparsed = data
        self._offset = 0

    def _hold_memory(self) -> None:
        self._memory.hold(len(self._unparsed) + self.reader.held_bytes)

    def _reserve(self, size: int) -> None:
        """Reserves memory for received bytes, which are held twice as long as they belong to a head.

        Raises:
            BodyMemoryExhaustedError: Memory is short, and nobody else holds more without a whole request.
        """
        needed = size if self.reader.phase is ReadPhase.BODY else 2 * size
        share = 1.0 if self._memory.size + needed <= SMALL_INPUT_BYTES else LARGE_INPUT_SHARE
        try:
            self._memory.grow(needed, self._owner, share)
        except MemoryShortError:
            raise BodyMemoryExhaustedError from None

    def _count_small_read(self, size: int) -> None:
        """Reads a request that comes in very many parts less often, as each read costs as much as a whole request."""
        self._small_reads = self._small_reads + 1 if self.reader.reading and size < SMALL_READ_BYTES else 0
        if self._small_reads > MAX_SMALL_READS and not self.gate.paused:
            self.gate.pause(PauseReason.SMALL_READS)
            self._deadlines.call_after(SMALL_READ_PAUSE_MS, self.gate.resume, PauseReason.SMALL_READS)

    def _piece_bytes(self) -> int:
        smallest = PIECE_BYTES_BEHIND_REQUEST if self._owner.is_serving else PIECE_BYTES
        return max(smallest, self.reader.body_bytes_left)

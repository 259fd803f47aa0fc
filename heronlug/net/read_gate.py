"""Pauses reading from a connection while at least one reason exists."""

import asyncio
from collections.abc import Callable
from enum import Enum

from heronlug.net.connection_state import has_unread_input


class PauseReason(Enum):
    """Why a connection is not read."""

    TURN = "turn"
    """It has filled the buffer in this iteration of the event loop."""

    SMALL_READS = "small reads"
    """It sends a request in very many small parts, of which several are read at once."""

    INPUT = "input"
    """What has been read is not parsed yet, or enough requests wait."""

    UNREAD_ANSWERS = "unread answers"
    """The other side does not read what has been written."""

    HANDOVER = "handover"
    """It is offered to another process."""


class ReadGate:
    """Reads from a connection only while there is no reason to pause.

    Attributes:
        unread_since: Time from which on bytes may have waited unread, in ms; None if the last read took all.
    """

    __slots__ = ("_clock", "_reasons", "_transport", "unread_since")

    def __init__(self, clock: Callable[[], float]) -> None:
        """Creates a gate without a transport; ``clock`` returns the time in ms."""
        self._clock = clock
        self._reasons: set[PauseReason] = set()
        self._transport: asyncio.Transport | None = None
        self.unread_since: float | None = None

    @property
    def paused(self) -> bool:
        """Returns whether the connection is not read."""
        return bool(self._reasons)

    def paused_for(self, reason: PauseReason) -> bool:
        """Returns whether there is this reason to pause."""
        return reason in self._reasons

    def open(self, transport: asyncio.Transport) -> None:
        """Sets the transport, which reads already."""
        self._transport = transport

    def close(self) -> None:
        """Drops the transport, which has ended."""
        self._transport = None

    def pause(self, reason: PauseReason) -> None:
        """Stops reading."""
        if not self._reasons:
            if self.unread_since is None:
                self.unread_since = self._clock()
            if self._transport is not None and not self._transport.is_closing():
                self._transport.pause_reading()
        self._reasons.add(reason)

    def resume(self, reason: PauseReason) -> None:
        """Reads again if there is no other reason to pause."""
        if reason not in self._reasons:
            return
        self._reasons.remove(reason)
        if self._reasons or self._transport is None or self._transport.is_closing():
            return
        if not has_unread_input(self._transport):
            self.unread_since = None
        self._transport.resume_reading()

    def pause_for_turn(self) -> None:
        """Stops reading until the next iteration of the event loop."""
        self.pause(PauseReason.TURN)
        asyncio.get_running_loop().call_soon(self.resume, PauseReason.TURN)

    def received(self) -> None:
        """Stops reading again if bytes have come in spite of a pause.

        A transport starts to read after the callback for the new connection, also if that has paused it.
        """
        if self._reasons and self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def drained(self) -> None:
        """Records that a read took all bytes that had arrived."""
        self.unread_since = None

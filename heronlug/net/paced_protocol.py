"""Limits how much the event loop reads from one connection before it turns to the others."""

import asyncio

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Maximum number of bytes that are read from a connection in one iteration of the event loop."""

_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
"""Buffer of all connections; the received bytes are copied before another connection is read."""


class PacedProtocol(asyncio.BufferedProtocol):
    """A protocol that is read at most once in each iteration of the event loop.

    A transport reads again and again while a sender fills its buffer, and allocates memory for each read. Here a full
    buffer pauses reading until the next iteration, and all connections read into the same buffer.

    Attributes:
        max_read_bytes: Maximum number of bytes that are read in one iteration.
    """

    max_read_bytes = RECEIVE_BUFFER_BYTES

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _RECEIVE_BUFFER[: self.max_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes the received bytes on."""
        data = bytes(_RECEIVE_BUFFER[:nbytes])
        if nbytes == self.max_read_bytes:
            self.input_exceeds_buffer()
        self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Handles received bytes."""
        raise NotImplementedError

    def input_exceeds_buffer(self) -> None:
        """Handles a full buffer, before its bytes are passed on: pauses reading until the next iteration."""
        raise NotImplementedError

"""Limits how much the event loop reads from one connection before it turns to the others."""

import asyncio

from heronlug.net.read_gate import ReadGate

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Maximum number of bytes that are read from a connection in one iteration of the event loop."""

RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
"""Buffer of all connections; the received bytes are copied before another connection is read."""


class PacedProtocol(asyncio.BufferedProtocol):
    """A protocol that is read at most once in each iteration of the event loop.

    A transport reads again and again while a sender fills its buffer, and allocates memory for each read. Here a full
    buffer pauses reading until the next iteration, and all connections read into the same buffer.

    Attributes:
        receive_buffer: As much of the common buffer as is read in one iteration.
        gate: Pauses reading.
    """

    receive_buffer = RECEIVE_BUFFER
    gate: ReadGate

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes the received bytes on."""
        data = bytes(self.receive_buffer[:nbytes])
        self.gate.received()
        if nbytes == len(self.receive_buffer):
            self.gate.pause_for_turn()
        self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Handles received bytes."""
        raise NotImplementedError

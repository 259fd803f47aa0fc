"""The faults on what goes one way through a path, and what becomes of its new connections."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class DialOutcome(Enum):
    """What becomes of a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(slots=True)
class Direction:
    """The faults on what goes one way.

    Attributes:
        stalled: nothing comes through; bytes are kept, datagrams are lost.
        delay_ms: by which all comes later.
        bytes_per_second: at most, on each connection; 0 for no bound.
        reset_after_bytes: of each connection, which is then reset; 0 for never.
        loss: the share of datagrams that is lost.
    """

    stalled: bool = False
    delay_ms: float = 0.0
    bytes_per_second: int = 0
    reset_after_bytes: int = 0
    loss: float = 0.0

    def heal(self) -> None:
        """End all faults."""
        self.stalled = False
        self.delay_ms = 0.0
        self.bytes_per_second = 0
        self.reset_after_bytes = 0
        self.loss = 0.0


class ConnectionListener(Protocol):
    """Is told of the bytes that the source writes into one connection."""

    def bytes_written(self, data: bytes) -> None:
        """Bytes have been written, whenever they come through."""

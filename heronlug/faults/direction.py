"""Faults on one direction of a network path, and the outcomes of new connections."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class DialOutcome(Enum):
    """Outcome of an attempt to connect through a path."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(slots=True)
class Direction:
    """Faults on one direction of a path.

    Attributes:
        stalled: whether nothing is forwarded; bytes of connections are kept, datagrams are lost.
        delay_ms: delay of all bytes and datagrams.
        bytes_per_second: maximum rate of each connection; 0 means no limit.
        reset_after_bytes: bytes that a connection forwards before it is reset; 0 means that it is never reset.
        loss: share of datagrams that is lost, 0 to 1.
    """

    stalled: bool = False
    delay_ms: float = 0.0
    bytes_per_second: int = 0
    reset_after_bytes: int = 0
    loss: float = 0.0

    def heal(self) -> None:
        """Ends all faults."""
        self.stalled = False
        self.delay_ms = 0.0
        self.bytes_per_second = 0
        self.reset_after_bytes = 0
        self.loss = 0.0


class ConnectionListener(Protocol):
    """Receives the bytes that the source writes into one connection."""

    def bytes_written(self, data: bytes) -> None:
        """Handles bytes at the time of writing, even if the path forwards them later."""

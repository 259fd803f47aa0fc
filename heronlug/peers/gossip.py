"""Encodes the datagrams to the peers and tracks which peers serve.  Does no I/O and has no clock.

A datagram contains a message of the balancer, or :data:`LEAVING` followed by a message, or ``LEAVING`` alone, which is
a goodbye.
"""

from dataclasses import dataclass

from heronlug.peers.goodbye import ALL_PEERS, SERVING_TIMEOUT_MS, GoodbyeSchedule

MAX_DATAGRAM_BYTES = 256
"""Maximum size of a datagram that is sent or accepted, in bytes."""

LEAVING = b"l"
"""Mark at the start of a datagram whose sender is leaving; no message of the balancer starts with this byte."""

LEAVING_TIMEOUT_MS = 500.0
"""Time after the last mark from which a message without the mark means that a new process serves, in ms."""


@dataclass(slots=True)
class DatagramCounts:
    """Number of datagrams sent; a datagram to several peers counts once for each peer.

    Attributes:
        to_all: Datagrams with a message to all peers.
        to_one: Datagrams with a message to a single peer.
        goodbyes: Goodbyes, which contain only the mark.
    """

    to_all: int = 0
    to_one: int = 0
    goodbyes: int = 0


class Gossip:
    """Tracks which peers serve, and which peers must be notified that this dispatcher leaves.  Times are in ms.

    Attributes:
        sent: Counts of the datagrams sent.
    """

    def __init__(self, dispatchers: int) -> None:
        """Creates the gossip of a dispatcher that has received no message yet.

        Args:
            dispatchers: Number of dispatchers, including this dispatcher.
        """
        self.sent = DatagramCounts()
        self._peer_count = dispatchers - 1
        self._goodbyes = GoodbyeSchedule()
        self._last_message: dict[int, float] = {}  # by peer: time of the last message
        self._last_mark: dict[int, float] = {}  # by leaving peer: time of the last mark

    # -- receiving

    def receive(self, peer: int, datagram: bytes, now: float) -> bytes:
        """Processes a datagram of a peer and returns the contained message, which is empty for a goodbye."""
        message = datagram.removeprefix(LEAVING)
        if datagram.startswith(LEAVING):
            self._last_mark[peer] = now
            if not message:
                return b""
        self._last_message[peer] = now
        if now - self._last_mark.get(peer, now) >= LEAVING_TIMEOUT_MS:
            del self._last_mark[peer]
        return message

    def others_serve(self, now: float) -> bool:
        """Returns whether a peer that is not leaving has sent a message within ``SERVING_TIMEOUT_MS``."""
        return any(
            now - last_message < SERVING_TIMEOUT_MS and peer not in self._last_mark
            for peer, last_message in self._last_message.items()
        )

    # -- sending

    def datagram(self, message: bytes, recipient: int, now: float) -> bytes:
        """Returns the datagram for a message to a peer or to ``ALL_PEERS``, and counts the datagram as sent.

        The datagram is empty and is not counted if the message is too long.
        """
        if self._goodbyes.record_message(recipient, now) and len(message) < MAX_DATAGRAM_BYTES:
            message = LEAVING + message
        if len(message) > MAX_DATAGRAM_BYTES:
            return b""
        if recipient == ALL_PEERS:
            self.sent.to_all += self._peer_count
        else:
            self.sent.to_one += 1
        return message

    def leave(self, now: float) -> list[int]:
        """Begins or continues the leave, and returns the recipients of the goodbyes that are due now.

        Called repeatedly until the process ends.
        """
        self._goodbyes.begin()
        due = self._goodbyes.take_due(now)
        self.sent.goodbyes += sum(self._peer_count if recipient == ALL_PEERS else 1 for recipient in due)
        return due

    def rejoin(self) -> None:
        """Cancels the leave; the dispatcher continues to serve."""
        self._goodbyes.cancel()

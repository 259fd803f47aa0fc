"""What one dispatcher sends its peers and knows of them.  No I/O and no clock.

A datagram holds a message of the balancer, or :data:`LEAVING` and then a message, or ``LEAVING`` alone, which is a
goodbye.
"""

from dataclasses import dataclass

from heronlug.peers.goodbye import ALL_PEERS, SERVING_TIMEOUT_MS, GoodbyeSchedule

MAX_DATAGRAM_BYTES = 256
"""Size of the largest datagram that is sent or accepted, in bytes."""

LEAVING = b"l"
"""The mark at the start of a datagram whose sender is leaving; no message of the balancer begins so."""

LEAVING_TIMEOUT_MS = 500.0
"""A peer that sends without the mark so long after its last mark, in ms, is a new process that serves."""


@dataclass(slots=True)
class DatagramCounts:
    """Datagrams that were sent, one for each peer that they go to.

    Attributes:
        to_all: Messages to all peers.
        to_one: Messages to one peer.
        goodbyes: The mark alone.
    """

    to_all: int = 0
    to_one: int = 0
    goodbyes: int = 0


class Gossip:
    """Which peers serve, and whether the peers know that this dispatcher leaves.  Times are in ms.

    Attributes:
        sent: Datagrams that were sent.
    """

    def __init__(self, dispatchers: int) -> None:
        """Begin with no peer heard; ``dispatchers`` is the number of all, this one included."""
        self.sent = DatagramCounts()
        self._peer_count = dispatchers - 1
        self._goodbyes = GoodbyeSchedule()
        self._last_message: dict[int, float] = {}  # when each peer last sent a message
        self._last_mark: dict[int, float] = {}  # when each leaving peer last said that it leaves

    # -- received

    def receive(self, peer: int, datagram: bytes, now: float) -> bytes:
        """Take in a datagram of a peer; returns the message that it holds, which is empty for a goodbye."""
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
        """Whether a peer was heard within ``SERVING_TIMEOUT_MS`` that is not leaving."""
        return any(
            now - last_message < SERVING_TIMEOUT_MS and peer not in self._last_mark
            for peer, last_message in self._last_message.items()
        )

    # -- sent

    def datagram(self, message: bytes, recipient: int, now: float) -> bytes:
        """The datagram for a message to a peer or ``ALL_PEERS``, which counts as sent; empty if it is too long."""
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
        """Begin or go on to leave; returns who is to be sent a goodbye now.

        To be called again and again until the process ends.
        """
        self._goodbyes.begin()
        due = self._goodbyes.take_due(now)
        self.sent.goodbyes += sum(self._peer_count if recipient == ALL_PEERS else 1 for recipient in due)
        return due

    def rejoin(self) -> None:
        """Serve on: the dispatcher does not leave after all."""
        self._goodbyes.cancel()

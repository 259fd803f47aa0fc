"""One side of what dispatchers tell each other.  No I/O, no clock: the socket and the emulator use it alike.

A datagram is what the module says, or begins with ``LEAVING`` and goes on with it, or is ``LEAVING`` alone.
"""

from collections import Counter

from heronlug.peers.goodbye import ALL, HEARD, Goodbye

MAX_CONTENT = 256  # bytes of a datagram
LEAVING = b"l"  # the module's own begin otherwise
SILENCE = 500.0  # ms: who said that it parts and speaks without that so long after is a new process


class Gossip:
    """Who is at work, and whether those that hear us know that we part."""

    def __init__(self, count: int) -> None:
        """One of ``count`` dispatchers."""
        self._others = count - 1
        self.farewell = Goodbye()
        self.sent: Counter[str] = Counter()  # datagrams by kind, one for each that it goes to
        self._heard_at: dict[int, float] = {}
        self._leaving: dict[int, float] = {}  # when they last said so

    # -- in

    def receive(self, peer: int, data: bytes, now: float) -> bytes:
        """A datagram of a peer; returns what of it is for the module, perhaps nothing."""
        if data.startswith(LEAVING):
            self._leaving[peer], data = now, data[len(LEAVING) :]
            if not data:
                return b""
        self._heard_at[peer] = now
        if now - self._leaving.get(peer, now) >= SILENCE:
            del self._leaving[peer]
        return data

    def serving(self, now: float) -> bool:
        """Whether another dispatcher has lately been heard at work that does not part."""
        return any(now - at < HEARD and peer not in self._leaving for peer, at in self._heard_at.items())

    # -- out

    def tell(self, content: bytes, peer: int, now: float) -> bytes:
        """What goes out for what the module tells a peer, or ``ALL``; nothing where it is too long."""
        if self.farewell.told(peer, now) and len(content) < MAX_CONTENT:
            content = LEAVING + content
        if len(content) > MAX_CONTENT:
            return b""
        self.sent["sums" if peer == ALL else "counts"] += self._receivers(peer)
        return content

    def leave(self, now: float) -> list[int]:
        """We part: whom to tell ``LEAVING`` now.  To be asked again and again, until the process ends."""
        self.farewell.begin()
        due = self.farewell.due(now)
        self.sent["farewells"] += sum(map(self._receivers, due))
        return due

    def stay(self) -> None:
        """We do not part after all."""
        self.farewell.over()

    def _receivers(self, peer: int) -> int:
        """How many a datagram goes to."""
        return self._others if peer == ALL else 1

"""Who is told that we part, and when.  No I/O, no clock.

A dispatcher that stops keeps its clients for as long as it hears nobody else at work.  So who parts matters only to
those that hear us at work: whom we have told something within ``HEARD``, before we parted.  All others take us for
silent by now.  What we tell anyway carries the mark of who parts, and costs nothing more; beside it the mark goes out
alone at gaps that double, 0, 50, 150, 350 and 750 ms from the start, and never later than ``HEARD`` after the last
datagram without it.  With 30% lost, one in 37 does not know after 150 ms and one in 412 not at the end; it waits
until it takes us for silent.

So a stop costs at most ``MOST`` datagrams for each whom we tell anyway: two relays where there are many dispatchers,
all where there are few, and all for the few who are relays.  Over a fleet that grows with its size, not its square.
"""

from typing import NamedTuple

HEARD = 1000.0  # ms: who has work tells of it more often than this; who is silent for longer is not at work
FIRST = 50.0  # ms from the first time to the second
MOST = 5  # times that one of them is told it alone: the sixth would come after ``HEARD``
ALL = -1


class Said(NamedTuple):
    """When one of them was last told that we part, and how often it was told so alone."""

    at: float
    times: int


class Goodbye:
    """One dispatcher's farewells."""

    __slots__ = ("_said", "_told", "parting")

    def __init__(self) -> None:
        self.parting = False
        self._told: dict[int, float] = {}  # when we last told a peer anything without the mark; ALL for all of them
        self._said: dict[int, Said] = {}

    def begin(self) -> None:
        """We part; a second call changes nothing."""
        self.parting = True

    def over(self) -> None:
        """We stay after all."""
        self.parting = False
        self._said.clear()

    def told(self, peer: int, now: float) -> bool:
        """Something goes out to a peer, or to ``ALL``; returns whether it has to carry the mark."""
        if not self.parting:
            self._told[peer] = now
        elif peer in self._said:
            self._said[peer] = Said(now, self._said[peer].times)
        return self.parting

    def due(self, now: float) -> list[int]:
        """Whom to tell the mark alone now; ``ALL`` stands for everybody."""
        if not self.parting:
            return []
        misled = [peer for peer, at in self._told.items() if now - at < HEARD]
        if ALL in misled:
            misled = [ALL]
        due = []
        for peer in misled:
            at, times = self._said.get(peer, (now, 0))
            if not times or (times < MOST and now - at >= FIRST * 2 ** (times - 1)):
                self._said[peer] = Said(now, times + 1)
                due.append(peer)
        return due

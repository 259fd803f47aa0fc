"""Which peers are told that this dispatcher leaves, and when.  No I/O and no clock.

A dispatcher that stops keeps its clients for as long as it hears of no other dispatcher that serves. So a leave matters
only to peers that believe this dispatcher to be serving: those that it has sent something within ``SERVING_TIMEOUT_MS``
before it left. All others have not heard it for so long that they believe it to be down.

Messages that are sent anyway carry a mark that says that their sender is leaving; that costs no datagram. Besides, the
mark is sent alone, as a goodbye, at intervals that double: 0, 50, 150, 350 and 750 ms after the leave began, and never
later than ``SERVING_TIMEOUT_MS`` after the last datagram without the mark. If 30% of the datagrams are lost, one peer
in 37 does not know after 150 ms, and one in 412 not at the end; such a peer believes that this dispatcher serves until
``SERVING_TIMEOUT_MS`` have passed.

So a stop costs at most ``MAX_GOODBYES`` datagrams for each peer that gossip is sent to: the two aggregators where there
are many dispatchers, all peers where there are few, and all peers if the one that leaves is an aggregator. Over a
rolling restart the cost grows with the number of dispatchers, not with its square.
"""

from typing import NamedTuple

SERVING_TIMEOUT_MS = 1000.0
"""A dispatcher that was not heard for this long, in ms, does not serve; one that serves sends more often."""

FIRST_INTERVAL_MS = 50.0
"""Between the first goodbye and the second, in ms; each later interval is twice as long."""

MAX_GOODBYES = 5
"""Goodbyes to one recipient; a sixth would come after ``SERVING_TIMEOUT_MS``."""

ALL_PEERS = -1
"""Stands for all peers where the position of one is expected."""


class SentGoodbyes(NamedTuple):
    """What a recipient was told of the leave.

    Attributes:
        last_at: When it was last sent a goodbye or a message with the mark, in ms.
        goodbyes: Goodbyes that it was sent.
    """

    last_at: float
    goodbyes: int


class GoodbyeSchedule:
    """The goodbyes of one dispatcher; a recipient is a peer's position or ``ALL_PEERS``.

    Attributes:
        leaving: Whether the dispatcher is leaving.
    """

    __slots__ = ("_last_unmarked", "_sent", "leaving")

    def __init__(self) -> None:
        self.leaving = False
        self._last_unmarked: dict[int, float] = {}  # when each recipient was last sent a message without the mark
        self._sent: dict[int, SentGoodbyes] = {}

    def begin(self) -> None:
        """Begin to leave; a second call changes nothing."""
        self.leaving = True

    def cancel(self) -> None:
        """Serve on: the dispatcher does not leave after all."""
        self.leaving = False
        self._sent.clear()

    def record_message(self, recipient: int, now: float) -> bool:
        """Note that a message is sent now; returns whether it has to carry the mark."""
        if not self.leaving:
            self._last_unmarked[recipient] = now
        elif recipient in self._sent:
            self._sent[recipient] = SentGoodbyes(now, self._sent[recipient].goodbyes)
        return self.leaving

    def take_due(self, now: float) -> list[int]:
        """The recipients of a goodbye that is due now, which counts as sent."""
        if not self.leaving:
            return []
        due = [recipient for recipient in self._uninformed_recipients(now) if self._is_goodbye_due(recipient, now)]
        for recipient in due:
            sent = self._sent.get(recipient)
            self._sent[recipient] = SentGoodbyes(now, 1 if sent is None else sent.goodbyes + 1)
        return due

    def _uninformed_recipients(self, now: float) -> list[int]:
        """Those that may believe that this dispatcher serves."""
        recipients = [recipient for recipient, at in self._last_unmarked.items() if now - at < SERVING_TIMEOUT_MS]
        return [ALL_PEERS] if ALL_PEERS in recipients else recipients

    def _is_goodbye_due(self, recipient: int, now: float) -> bool:
        sent = self._sent.get(recipient)
        if sent is None:
            return True
        interval = FIRST_INTERVAL_MS * 2 ** (sent.goodbyes - 1)
        return sent.goodbyes < MAX_GOODBYES and now - sent.last_at >= interval

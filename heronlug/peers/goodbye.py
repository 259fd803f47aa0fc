"""Schedules the goodbyes that notify peers when this dispatcher leaves.  Does no I/O and has no clock.

A dispatcher that stops keeps its clients until another dispatcher serves. A leave therefore matters only to the peers
that regard this dispatcher as serving: the peers that were sent a message within ``SERVING_TIMEOUT_MS`` before the
leave. The other peers regard this dispatcher as down already.

Regular messages of a leaving dispatcher carry a mark, which costs no extra datagram. In addition, the mark is sent
alone, as a goodbye, at intervals that double: 0, 50, 150, 350 and 750 ms after the leave began, and never later than
``SERVING_TIMEOUT_MS`` after the last datagram without the mark. If 30% of the datagrams are lost, one peer in 37 is not
notified after 150 ms, and one in 412 is never notified; such a peer regards this dispatcher as serving until
``SERVING_TIMEOUT_MS`` have passed.

A stop thus costs at most ``MAX_GOODBYES`` datagrams for each peer that this dispatcher sends gossip to: the two
aggregators if there are many dispatchers, all peers if there are few, and all peers if the leaving dispatcher is an
aggregator. The cost of a rolling restart grows linearly with the number of dispatchers, not quadratically.
"""

from typing import NamedTuple

SERVING_TIMEOUT_MS = 1000.0
"""Time without messages after which a peer counts as not serving, in ms; serving dispatchers send more often."""

FIRST_INTERVAL_MS = 50.0
"""Interval between the first and the second goodbye, in ms; each later interval is twice as long."""

MAX_GOODBYES = 5
"""Maximum number of goodbyes to one recipient; a sixth goodbye would be due only after ``SERVING_TIMEOUT_MS``."""

ALL_PEERS = -1
"""Recipient that represents all peers, in place of the position of a single peer."""


class SentGoodbyes(NamedTuple):
    """The goodbyes sent to one recipient.

    Attributes:
        last_at: Time of the last goodbye or message with the mark, in ms.
        goodbyes: Number of goodbyes sent.
    """

    last_at: float
    goodbyes: int


class GoodbyeSchedule:
    """Schedules the goodbyes of one dispatcher; a recipient is the position of a peer or ``ALL_PEERS``.

    Attributes:
        leaving: Whether the dispatcher is leaving.
    """

    __slots__ = ("_last_unmarked", "_sent", "leaving")

    def __init__(self) -> None:
        self.leaving = False
        self._last_unmarked: dict[int, float] = {}  # by recipient: time of the last message without the mark
        self._sent: dict[int, SentGoodbyes] = {}

    def begin(self) -> None:
        """Begins the leave; further calls have no effect."""
        self.leaving = True

    def cancel(self) -> None:
        """Cancels the leave; the dispatcher continues to serve."""
        self.leaving = False
        self._sent.clear()

    def record_message(self, recipient: int, now: float) -> bool:
        """Records that a message is sent now, and returns whether the message must carry the mark."""
        if not self.leaving:
            self._last_unmarked[recipient] = now
        elif recipient in self._sent:
            self._sent[recipient] = SentGoodbyes(now, self._sent[recipient].goodbyes)
        return self.leaving

    def take_due(self, now: float) -> list[int]:
        """Returns the recipients of the goodbyes that are due now, and records these goodbyes as sent."""
        if not self.leaving:
            return []
        due = [recipient for recipient in self._uninformed_recipients(now) if self._is_goodbye_due(recipient, now)]
        for recipient in due:
            sent = self._sent.get(recipient)
            self._sent[recipient] = SentGoodbyes(now, 1 if sent is None else sent.goodbyes + 1)
        return due

    def _uninformed_recipients(self, now: float) -> list[int]:
        """Returns the recipients that may still regard this dispatcher as serving."""
        recipients = [recipient for recipient, at in self._last_unmarked.items() if now - at < SERVING_TIMEOUT_MS]
        return [ALL_PEERS] if ALL_PEERS in recipients else recipients

    def _is_goodbye_due(self, recipient: int, now: float) -> bool:
        sent = self._sent.get(recipient)
        if sent is None:
            return True
        interval = FIRST_INTERVAL_MS * 2 ** (sent.goodbyes - 1)
        return sent.goodbyes < MAX_GOODBYES and now - sent.last_at >= interval

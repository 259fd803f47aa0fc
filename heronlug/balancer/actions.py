"""Actions that a dispatcher returns for its host to carry out, in order.

All times and spans are milliseconds on one clock that only goes forward; ids are integers chosen by the caller.
"""

from enum import Enum
from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Start the request's next attempt; attempts are numbered 0, 1, 2 ... in this order."""

    request: int
    server: int


class GiveUpReason(Enum):
    """Why a request is given up; the values stand in the log, and nothing follows from them."""

    NO_TIME = "no_time"
    """Its client's time is over, or there is none left for an attempt."""

    NO_ATTEMPT = "no_attempt"
    """It may have no further attempt: their number or its repeat window is spent."""

    MAY_HAVE_RUN = "may_have_run"
    """An attempt ended unknown, and it must not run twice."""

    FAULTY = "faulty"
    """Servers find fault with the request itself."""

    HOPELESS = "hopeless"
    """Its answer would come too late, or be worth nothing."""

    CANCELLED_BEFORE_START = "moot"
    """Its attempt could not begin any more."""

    OVERRUN = "overrun"
    """A limit of its class had the attempt cancelled, and allows no other."""

    SHUTDOWN = "shutdown"
    """The process ends."""


class Reject(NamedTuple):
    """Final answer: the client may send the request again, as nothing has run or a second run does no harm."""

    request: int
    reason: GiveUpReason = GiveUpReason.NO_TIME


class Fail(NamedTuple):
    """Final answer: nothing is promised."""

    request: int
    reason: GiveUpReason = GiveUpReason.NO_TIME


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for :class:`heronlug.balancer.events.TimerFired` after ``delay`` ms."""

    delay: float
    token: int


class Subscribe(NamedTuple):
    """Ask service discovery for changes of the endpoint list from now on."""


class SendPeerMessage(NamedTuple):
    """Send at most 256 bytes to another dispatcher, or with ``peer`` -1 to every other one."""

    content: bytes
    peer: int = -1


class LogLine(NamedTuple):
    """A line for the people on call."""

    text: str


Action = StartAttempt | Reject | Fail | CancelAttempt | SetTimer | Subscribe | SendPeerMessage | LogLine

"""Defines the actions that a dispatcher returns and its host carries out in order.

All times and durations are milliseconds on one monotonic clock; ids are integers chosen by the caller.
"""

from enum import Enum
from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Start the next attempt of a request; attempts are numbered from 0 in the order of these actions."""

    request: int
    server: int


class GiveUpReason(Enum):
    """Reason for giving up a request; the value is written to the log and has no other effect."""

    NO_TIME = "no_time"
    """The deadline of the client has passed, or too little time is left for an attempt."""

    NO_ATTEMPT = "no_attempt"
    """No further attempt is allowed: the maximum number of attempts is reached or the repeat window is over."""

    MAY_HAVE_RUN = "may_have_run"
    """An attempt ended with an unknown result, and the request must not run twice."""

    FAULTY = "faulty"
    """Servers rejected the request as invalid."""

    HOPELESS = "hopeless"
    """The answer would come too late or would have no value."""

    CANCELLED_BEFORE_START = "moot"
    """The attempt could no longer start."""

    OVERRUN = "overrun"
    """The attempt reached the time limit of its class, which allows no further attempt."""

    SHUTDOWN = "shutdown"
    """The process shuts down."""


class Reject(NamedTuple):
    """Final answer: the client may safely retry, as no attempt has run or a second run is harmless."""

    request: int
    reason: GiveUpReason = GiveUpReason.NO_TIME


class Fail(NamedTuple):
    """Final answer: the request failed, without a promise that a retry by the client is safe."""

    request: int
    reason: GiveUpReason = GiveUpReason.NO_TIME


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Send :class:`heronlug.balancer.events.TimerFired` with this token after ``delay`` ms."""

    delay: float
    token: int


class Subscribe(NamedTuple):
    """Request the endpoint list and its future changes from service discovery."""


class SendPeerMessage(NamedTuple):
    """Send a message of at most 256 bytes to one peer, or to every peer if ``peer`` is -1."""

    content: bytes
    peer: int = -1


class LogLine(NamedTuple):
    """Write a line to the log for operators."""

    text: str


Action = StartAttempt | Reject | Fail | CancelAttempt | SetTimer | Subscribe | SendPeerMessage | LogLine

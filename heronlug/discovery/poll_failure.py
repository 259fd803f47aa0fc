"""Classifies failed polls of service discovery, since polling and list freshness depend on the kind of failure."""

from enum import Enum


class PollFailure(Enum):
    """Kinds of poll failures; the values are written to the log."""

    REJECTED = "turned away"
    """Service discovery rejected the poll because of overload."""

    TIMED_OUT = "slow"
    """The answer did not arrive within the timeout."""

    CONNECTION_LOST = "down"
    """The connection was lost, or this machine failed to dial."""

    REFUSED = "refused"
    """The other machine refused the dial, so no process listens on that port."""

    UNREACHABLE = "unreachable"
    """The other machine did not reply to the dial."""

    INVALID_ANSWER = "bad"
    """The answer is not a valid endpoint list."""

    @property
    def is_unavailable(self) -> bool:
        """Returns whether service discovery does not respond at all, so that polling adds no load to it."""
        return self in (PollFailure.CONNECTION_LOST, PollFailure.REFUSED, PollFailure.UNREACHABLE)

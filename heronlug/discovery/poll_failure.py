"""How a poll of service discovery fails.  The pacer and the freshness of the list treat failures differently."""

from enum import Enum


class PollFailure(Enum):
    """How a poll failed; the values stand in the log."""

    REJECTED = "turned away"
    """Service discovery answered that it is overloaded."""

    TIMED_OUT = "slow"
    """No answer came in time."""

    CONNECTION_LOST = "down"
    """The connection broke, or this machine could not dial."""

    REFUSED = "refused"
    """The other machine refused the dial: nothing listens there."""

    UNREACHABLE = "unreachable"
    """Nothing replied to the dial."""

    INVALID_ANSWER = "bad"
    """The answer is no endpoint list."""

    @property
    def is_unavailable(self) -> bool:
        """Whether service discovery does not answer at all, so that polling it adds no load."""
        return self in (PollFailure.CONNECTION_LOST, PollFailure.REFUSED, PollFailure.UNREACHABLE)

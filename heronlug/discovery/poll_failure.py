"""How a call of service discovery fails: told by the watch, weighed by the pace and by the freshness of the list."""

from enum import Enum


class PollFailure(Enum):
    """How a call failed."""

    TURNED_AWAY = "turned away"
    SLOW = "slow"  # no answer in time
    DOWN = "down"  # reset, or a failure of our own machine
    REFUSED = "refused"  # the dial, by a machine on which nobody listens
    UNREACHABLE = "unreachable"  # a dial that nobody answered
    BAD = "bad"  # an answer that is no list

    @property
    def nobody(self) -> bool:
        """Whether nobody answers, so that few who call cost discovery nothing."""
        return self in (PollFailure.DOWN, PollFailure.REFUSED, PollFailure.UNREACHABLE)

"""How a call of the node register fails: told by the inventory, weighed by the pace."""

from enum import Enum


class Why(Enum):
    """How a call failed."""

    TURNED_AWAY = "turned away"
    SLOW = "slow"  # no answer in time
    DOWN = "down"  # refused, reset, or the dial never came up
    BAD = "bad"  # an answer that is no list

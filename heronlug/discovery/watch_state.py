"""Defines the states of the watch on service discovery and the table of their transitions."""

from enum import Enum, auto


class WatchState(Enum):
    """States of the watch."""

    NEW = auto()
    """No poll has been scheduled yet; a pacer may delay the first one."""

    IDLE = auto()
    """No poll is sent until the next subscription."""

    SCHEDULED = auto()
    """The next poll is scheduled."""

    OPEN = auto()
    """A poll, or the dial for a poll, is in progress."""


class WatchEvent(Enum):
    """Events that change the state of the watch."""

    SCHEDULE = auto()
    """The next poll is scheduled for a later time."""

    OPEN = auto()
    """The watch starts."""

    CLOSE = auto()
    """The watch has failed or was stopped."""


TRANSITIONS: dict[tuple[WatchState, WatchEvent], WatchState] = {
    (WatchState.NEW, WatchEvent.SCHEDULE): WatchState.SCHEDULED,
    (WatchState.NEW, WatchEvent.OPEN): WatchState.OPEN,
    (WatchState.IDLE, WatchEvent.SCHEDULE): WatchState.SCHEDULED,
    (WatchState.IDLE, WatchEvent.OPEN): WatchState.OPEN,
    (WatchState.SCHEDULED, WatchEvent.OPEN): WatchState.OPEN,
    (WatchState.SCHEDULED, WatchEvent.CLOSE): WatchState.IDLE,
    (WatchState.OPEN, WatchEvent.CLOSE): WatchState.IDLE,
}
"""Next state by state and event; any pair not listed leaves the state unchanged."""


def next_state(state: WatchState, event: WatchEvent) -> WatchState:
    """Returns the state after an event."""
    return TRANSITIONS.get((state, event), state)

"""The states of the watch on service discovery, and the one table by which they change."""

from enum import Enum, auto


class WatchState(Enum):
    """Whether service discovery is polled."""

    NEW = auto()
    """No poll has been planned yet; a pacer may delay the first."""

    IDLE = auto()
    """Nothing is polled until somebody subscribes."""

    SCHEDULED = auto()
    """The next poll is planned."""

    OPEN = auto()
    """A poll is in flight, or the dial for it."""


class WatchEvent(Enum):
    """What changes the state of the watch."""

    SCHEDULE = auto()
    """The next poll is put off to a planned time."""

    OPEN = auto()
    """The watch begins."""

    CLOSE = auto()
    """The watch has failed, or was stopped."""


TRANSITIONS: dict[tuple[WatchState, WatchEvent], WatchState] = {
    (WatchState.NEW, WatchEvent.SCHEDULE): WatchState.SCHEDULED,
    (WatchState.NEW, WatchEvent.OPEN): WatchState.OPEN,
    (WatchState.IDLE, WatchEvent.SCHEDULE): WatchState.SCHEDULED,
    (WatchState.IDLE, WatchEvent.OPEN): WatchState.OPEN,
    (WatchState.SCHEDULED, WatchEvent.OPEN): WatchState.OPEN,
    (WatchState.SCHEDULED, WatchEvent.CLOSE): WatchState.IDLE,
    (WatchState.OPEN, WatchEvent.CLOSE): WatchState.IDLE,
}
"""The state that follows; every other event leaves the state as it is."""


def next_state(state: WatchState, event: WatchEvent) -> WatchState:
    """The state after an event."""
    return TRANSITIONS.get((state, event), state)

"""The states of a Faktory session, and the step from one to the next."""

from enum import Enum


class SessionState(Enum):
    """What a session is doing."""

    AWAITING_HELLO = "awaiting HELLO"
    """Nothing but HELLO is carried out."""

    READY = "ready"
    """The next command is carried out."""

    FETCHING = "fetching"
    """A FETCH waits for a job; later commands wait."""

    REPLY_PENDING = "reply pending"
    """A reply waits for the store; later commands wait."""

    CLOSED = "closed"
    """Nothing is read or written any more."""


class SessionEvent(Enum):
    """What changes the state of a session."""

    GREETED = "greeted"
    FETCH_STARTED = "fetch started"
    FETCH_TIMED_OUT = "fetch timed out"
    REPLY_DEFERRED = "reply deferred"
    REPLIED = "replied"
    CLOSED = "closed"


TRANSITIONS = {
    SessionState.AWAITING_HELLO: {
        SessionEvent.GREETED: SessionState.READY,
        SessionEvent.CLOSED: SessionState.CLOSED,
    },
    SessionState.READY: {
        SessionEvent.FETCH_STARTED: SessionState.FETCHING,
        SessionEvent.REPLY_DEFERRED: SessionState.REPLY_PENDING,
        SessionEvent.CLOSED: SessionState.CLOSED,
    },
    SessionState.FETCHING: {
        SessionEvent.FETCH_TIMED_OUT: SessionState.READY,
        SessionEvent.REPLY_DEFERRED: SessionState.REPLY_PENDING,
        SessionEvent.CLOSED: SessionState.CLOSED,
    },
    SessionState.REPLY_PENDING: {
        SessionEvent.REPLIED: SessionState.READY,
        SessionEvent.CLOSED: SessionState.CLOSED,
    },
    SessionState.CLOSED: {},
}
"""The next state by state and event; an event that is not listed changes nothing."""


def next_state(state: SessionState, event: SessionEvent) -> SessionState:
    """The state after an event."""
    return TRANSITIONS[state].get(event, state)

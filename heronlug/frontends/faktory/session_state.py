"""Defines the states of a Faktory session and the transitions between them."""

from enum import Enum


class SessionState(Enum):
    """States of a session."""

    AWAITING_HELLO = "awaiting HELLO"
    """Only HELLO is accepted."""

    READY = "ready"
    """The session executes the next command."""

    FETCHING = "fetching"
    """A FETCH waits for a job; later commands are blocked."""

    REPLY_PENDING = "reply pending"
    """A reply waits for the store; later commands are blocked."""

    CLOSED = "closed"
    """The session is closed for reading and writing."""


class SessionEvent(Enum):
    """Events that change the state of a session."""

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
"""The next state by current state and event; an event that is not listed leaves the state unchanged."""


def next_state(state: SessionState, event: SessionEvent) -> SessionState:
    """Returns the state after an event."""
    return TRANSITIONS[state].get(event, state)

"""Defines the states of a client connection and the transitions between them."""

from enum import Enum


class ConnectionState(Enum):
    """State of a client connection."""

    IDLE = "idle"
    """No request is being served; a request may be partly read."""

    OFFERED = "offered"
    """The idle connection is offered to another process and is not read."""

    SERVING = "serving"
    """A request is being served; later requests wait in the pipeline."""

    LINGERING = "lingering"
    """The last response is written; input is discarded until the client has had time to read the response."""

    CLOSED = "closed"
    """The connection is closed for reading and writing."""


class ConnectionEvent(Enum):
    """Event that can change the state of a client connection."""

    OFFERED = "offered"
    RECLAIMED = "reclaimed"
    REQUEST_STARTED = "request started"
    ANSWERED = "answered"
    LAST_RESPONSE_WRITTEN = "last response written"
    CLOSED = "closed"


TRANSITIONS = {
    ConnectionState.IDLE: {
        ConnectionEvent.OFFERED: ConnectionState.OFFERED,
        ConnectionEvent.REQUEST_STARTED: ConnectionState.SERVING,
        ConnectionEvent.LAST_RESPONSE_WRITTEN: ConnectionState.LINGERING,
        ConnectionEvent.CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.OFFERED: {
        ConnectionEvent.RECLAIMED: ConnectionState.IDLE,
        ConnectionEvent.CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.SERVING: {
        ConnectionEvent.ANSWERED: ConnectionState.IDLE,
        ConnectionEvent.LAST_RESPONSE_WRITTEN: ConnectionState.LINGERING,
        ConnectionEvent.CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.LINGERING: {ConnectionEvent.CLOSED: ConnectionState.CLOSED},
    ConnectionState.CLOSED: {},
}
"""Next state by current state and event; an event that is not listed leaves the state unchanged."""


def next_state(state: ConnectionState, event: ConnectionEvent) -> ConnectionState:
    """Returns the state that follows ``state`` after ``event``."""
    return TRANSITIONS[state].get(event, state)

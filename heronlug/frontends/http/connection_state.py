"""The states of a client's connection, and the step from one to the next."""

from enum import Enum


class ConnectionState(Enum):
    """What a connection is doing for its client."""

    IDLE = "idle"
    """No request is being served; one may be on its way."""

    SERVING = "serving"
    """A request is being served; later ones wait."""

    LINGERING = "lingering"
    """The last response is written, and input is discarded until the client has had time to read it."""

    CLOSED = "closed"
    """Nothing is read or written any more."""


class ConnectionEvent(Enum):
    """What changes the state of a connection."""

    REQUEST_STARTED = "request started"
    ANSWERED = "answered"
    LAST_RESPONSE_WRITTEN = "last response written"
    CLOSED = "closed"


TRANSITIONS = {
    ConnectionState.IDLE: {
        ConnectionEvent.REQUEST_STARTED: ConnectionState.SERVING,
        ConnectionEvent.LAST_RESPONSE_WRITTEN: ConnectionState.LINGERING,
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
"""The next state by state and event; an event that is not listed changes nothing."""


def next_state(state: ConnectionState, event: ConnectionEvent) -> ConnectionState:
    """The state after an event."""
    return TRANSITIONS[state].get(event, state)

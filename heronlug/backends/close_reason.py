"""Defines the reasons for which a connection to a server ends."""

from enum import StrEnum


class CloseReason(StrEnum):
    """The reason for which a connection to a server ended; the values appear in logs and metrics."""

    SERVER_CLOSED = "server_closed"
    """The server closed or reset the connection."""

    DIAL_FAILED = "dial_failed"
    """The connection was refused or not established in time."""

    ANSWERED = "answered"
    """The server ends the connection with its answer, or the answer does not allow reuse."""

    ANSWER_UNFINISHED = "answer_unfinished"
    """The last line of the answer has arrived, but its end has not arrived in time."""

    CANCELLED = "cancelled"
    """The attempt on the connection was cancelled."""

    PROTOCOL_ERROR = "protocol_error"
    """The server sent bytes that violate the protocol, or bytes without a request."""

    MEMORY_SHORT = "memory_short"
    """There is no memory for the rest of the response."""

    WRITE_FORBIDDEN = "write_forbidden"
    """The withheld last byte of a request may no longer be sent."""

    IDLE = "idle"
    """The connection was not reused in time."""

    UNUSABLE = "unusable"
    """The idle connection cannot carry the next request."""

    CONNECTION_LIMIT = "connection_limit"
    """The connection makes room for another one at the limit of server connections."""

    SERVER_NOT_READY = "server_not_ready"
    """The server is draining or removed, or has another address."""

    SUCCESSOR_SERVES = "successor_serves"
    """A successor process accepts clients in place of this process, which needs no idle connections."""

    HANDED_OVER = "handed_over"
    """Another process of this dispatcher continues the connection."""

    EXCEPTION = "exception"
    """An unexpected error in this connection."""

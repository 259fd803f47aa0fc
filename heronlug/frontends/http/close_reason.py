"""Defines the reasons for which a client connection ends."""

from enum import StrEnum


class CloseReason(StrEnum):
    """The reason for which a client connection ended; the values appear in logs and metrics."""

    CLIENT_CLOSED = "client_closed"
    """The client closed or reset the connection."""

    ANSWERED = "answered"
    """The last answer was sent: the client, or a drain, ends the connection with this answer."""

    REJECTED = "rejected"
    """The error for an invalid or incomplete request was sent."""

    EXCESS_INPUT = "excess_input"
    """The client went on sending after the last answer."""

    UNREAD_ANSWERS = "unread_answers"
    """The client did not read its answers for too long, or their memory is needed."""

    IDLE = "idle"
    """The client sent nothing for too long."""

    DRAINED = "drained"
    """A drain or stop closes idle connections."""

    CONNECTION_LIMIT = "connection_limit"
    """The limit of client connections was exceeded."""

    NO_DESCRIPTOR = "no_descriptor"
    """The process had no free file descriptor for another connection."""

    HANDED_OVER = "handed_over"
    """Another process of this dispatcher continues the connection."""

    EXCEPTION = "exception"
    """An unexpected error in this connection."""

    PROCESS_ENDED = "process_ended"
    """The connection was open when the process ended."""

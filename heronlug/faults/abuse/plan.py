"""Describes clients that abuse a dispatcher."""

from dataclasses import dataclass
from enum import Enum


class AbuseKind(Enum):
    """What an abusive client does on each of its connections, again and again; the values appear in reports."""

    HALF_BODY = "half_body"
    """Sends a head and a part of a large body, and holds the connection."""

    MANY_FIELDS = "many_fields"
    """Sends an unfinished head of very many short fields, and holds the connection."""

    LONG_FIELD = "long_field"
    """Sends an unfinished head with one very long field, and holds the connection."""

    QUEUED_BODIES = "queued_bodies"
    """Sends requests with large bodies behind one that runs, and reads the answers."""

    SMALL_CHUNKS = "small_chunks"
    """Sends a body in chunks of one byte, and reads the answer."""

    TRICKLE = "trickle"
    """Sends requests a few bytes at a time."""

    SILENT = "silent"
    """Connects and sends nothing."""

    LARGE_BODY = "large_body"
    """Announces and sends a body that is too large."""

    UNREAD_ANSWERS = "unread_answers"
    """Sends requests and does not read the answers."""

    SOUND_FLOOD = "sound_flood"
    """Sends sound requests with new ids without waiting for answers, which it reads."""

    UNSOUND_FLOOD = "unsound_flood"
    """Sends requests of unknown classes under new names at full speed, and connects again when it is closed."""

    HEALTH_FLOOD = "health_flood"
    """Sends health checks without waiting for answers, which it reads."""

    LEAVES_UNREAD = "leaves_unread"
    """Sends many requests at once, and closes the connection while most of them are unread."""

    REPEATED_ID = "repeated_id"
    """Leaves while its request runs, and sends a request with the same id on a new connection."""

    CLOSES_BEHIND_UNREAD = "closes_behind_unread"
    """Sends more than is read at once, and closes the connection in order while its kernel holds the rest."""


HOLDING_KINDS = frozenset(
    {AbuseKind.HALF_BODY, AbuseKind.MANY_FIELDS, AbuseKind.LONG_FIELD, AbuseKind.SILENT, AbuseKind.LARGE_BODY}
)
"""Kinds whose connections never carry a whole request, so that each is owed an error or a close."""


@dataclass(frozen=True)
class Abuse:
    """A number of clients that abuse a dispatcher in the same way.

    Attributes:
        kind: What each client does.
        clients: Number of clients, each with one connection at a time.
        at_s: Start, in seconds from the start of the load.
        span_s: Length in seconds.
        hold_s: Minimum and maximum time for which a client holds a connection, in seconds.
    """

    kind: AbuseKind
    clients: int
    at_s: float
    span_s: float
    hold_s: tuple[float, float] = (2.0, 4.0)

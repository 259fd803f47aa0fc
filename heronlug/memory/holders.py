"""Names what others can make a process hold."""

from enum import StrEnum


class Holder(StrEnum):
    """A kind of memory that others can cause; the values appear in metrics and logs."""

    CLIENT_REQUESTS = "client_requests"
    """Whole requests of clients, waiting or being served."""

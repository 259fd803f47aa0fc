"""Names what others can make a process hold."""

from enum import StrEnum


class Holder(StrEnum):
    """A kind of memory that others can cause; the values appear in metrics and logs."""

    CLIENT_CONNECTIONS = "client_connections"
    """Connections of clients, without what they have sent."""

    CLIENT_INPUT = "client_input"
    """Input of clients that is not a whole request yet: unparsed bytes, heads and bodies."""

    CLIENT_REQUESTS = "client_requests"
    """Whole requests of clients, waiting or being served."""

    CLIENT_ANSWERS = "client_answers"
    """Answers that clients have not read."""

    SERVER_RESPONSES = "server_responses"
    """Responses of servers that have begun, without the lines that have been handled."""

    PAST_REQUESTS = "past_requests"
    """Ids of requests that may have run, and room for those of open requests."""

    FAKTORY_JOBS = "faktory_jobs"
    """Known jobs of the Faktory frontend, without their payloads."""

    FAKTORY_SESSIONS = "faktory_sessions"
    """Connections of producers and workers, their commands that wait, and replies that they have not read."""

    FAKTORY_PAYLOADS = "faktory_payloads"
    """Payloads of jobs of the Faktory frontend, unless only the store has them."""

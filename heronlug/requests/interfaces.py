"""What the owner of requests asks of others: the transport of a protocol, plug-ins, and the log."""

from typing import Protocol

from heronlug.requests.model import Attempt, FinalAnswer, Request


class Transport(Protocol):
    """A frontend and a backend of one protocol."""

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt; its one end is reported to :meth:`Core.attempt_ended`."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its end has been booked already."""

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Give the one final answer; ``retry_after`` is in ms, 0 for none."""

    def client_waits(self, request: Request) -> bool:
        """Whether the client still waits, as far as this machine knows, whether or not that has been read."""


class Plugins(Protocol):
    """What plug-ins may decide and see, see :mod:`heronlug.plugins.host`."""

    def admit(self, class_index: int, remaining: float, size: int) -> bool:
        """Whether a request is accepted that has ``remaining`` ms left and a body of ``size`` bytes."""

    def observe(self, class_index: int, final: FinalAnswer, took: float) -> None:
        """A final answer has gone out after ``took`` ms."""


class EventLog(Protocol):
    """Where events are logged; the names of events and fields stand in the pages for people on call."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Log an event."""


def log_nothing(event: str, /, **fields: object) -> None:
    """Log nothing."""

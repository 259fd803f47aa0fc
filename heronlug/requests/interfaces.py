"""Defines the interfaces that the core uses: the transport of a protocol, the plug-ins and the event log."""

import traceback
from collections.abc import Callable
from typing import Protocol

from heronlug.requests.model import Attempt, FinalAnswer, Request


class Transport(Protocol):
    """The frontend and backend of one protocol."""

    def send(self, attempt: Attempt) -> None:
        """Starts an attempt; the transport reports its end once to :meth:`Core.attempt_ended`."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt; the core records the end, and the transport does not report it."""

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Sends the final answer of a request; ``retry_after`` is in ms, 0 for none."""

    def client_waits(self, request: Request) -> bool:
        """Returns whether the client is still connected; False also for a disconnect that has not been read yet."""

    def may_hide_disconnect(self, request: Request) -> bool:
        """Returns whether a disconnect of the client may be unnoticed, because it is queued behind unread input."""


class Plugins(Protocol):
    """The plug-ins, which may reject requests and observe answers; see :mod:`heronlug.plugins.host`."""

    def admit(self, class_index: int, remaining: float, size: int) -> bool:
        """Returns whether to accept a request that has ``remaining`` ms left and a body of ``size`` bytes."""

    def observe(self, class_index: int, final: FinalAnswer, took: float) -> None:
        """Observes a final answer that was sent ``took`` ms after the request was accepted."""


class EventLog(Protocol):
    """Writes log events; the names of events and fields are documented for people on call."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Logs an event."""


def call_isolated(log: EventLog, where: str, call: Callable[[], object]) -> None:
    """Calls a function, and logs an exception, which must not stop what follows the call."""
    try:
        call()
    except Exception as error:  # any fault of the program
        log("exception", where=where, error=repr(error), trace=traceback.format_exception(error)[-2:])


def log_nothing(event: str, /, **fields: object) -> None:
    """Ignores the event; the default event log."""

"""Declares what a client connection uses of the frontend that owns it."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.eviction import EvictionRank
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_policy import RequestPolicy
from heronlug.memory.account import MemoryAccount
from heronlug.net.turn_queue import TurnQueue
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog

if TYPE_CHECKING:
    from heronlug.frontends.http.connection import ClientConnection


class ConnectionOwner(Protocol):
    """The part of the frontend that its connections use.

    Attributes:
        deadlines: Scheduler for time-outs.
        policy: Reads and checks the headers of requests.
        memory: Account of the memory that clients make the process hold.
        turn_queue: Postponed parsing of all connections.
        transferring: Whether connections without a request that is being served are not read, because another process
            is to continue them.
        run_due: Runs the deadlines that are due; called after each I/O event.
    """

    deadlines: Deadlines
    policy: RequestPolicy
    memory: MemoryAccount
    turn_queue: TurnQueue
    transferring: bool
    run_due: Callable[[], None]

    @property
    def core(self) -> Core:
        """Returns the core, which owns the accepted requests."""

    @property
    def log(self) -> EventLog:
        """Returns the event log."""

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Registers a new connection."""

    def connection_idle(self, connection: "ClientConnection") -> None:
        """Sets the eviction rank of a connection on which no request is being served."""

    def connection_aborted(self, connection: "ClientConnection") -> None:
        """Records that a connection is about to be closed."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Removes an ended connection."""

    def count_close(self, reason: CloseReason) -> None:
        """Counts the end of a connection."""

    def rank_for_eviction(self, connection: "ClientConnection", rank: EvictionRank) -> None:
        """Sets the eviction rank of a connection."""

    def reading_paused(self, connection: "ClientConnection") -> None:
        """Watches for the client's end of a connection that is not read."""

    def serve(self, connection: "ClientConnection", request: HttpRequest) -> None:
        """Serves a complete request.

        Raises:
            BadRequestError: The request cannot be accepted.
        """

"""Workers and their reservations, as the frontend keeps them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from heronlug.requests.deadlines import Key
from heronlug.requests.model import Attempt

ReplyCallback = Callable[[bytes], None]
"""Writes the reply to a command that could not be replied to at once."""


class WorkerConnection(Protocol):
    """A connection of a worker."""

    queues: list[str]
    reserved_jids: set[str]

    @property
    def fetching(self) -> bool:
        """Whether a FETCH waits for a job."""

    @property
    def peer_connected(self) -> bool:
        """Whether the worker has not closed its side."""

    def defer_reply(self) -> ReplyCallback:
        """Carry out no further command until the result is called; ends a FETCH that waits."""

    def abort(self) -> None:
        """End the connection at once."""


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, connected or not.

    Attributes:
        wid: its id.
        connections: its open connections.
        assigned: attempts that the core has sent to it and that it has not fetched.
        reservations: jobs that it has fetched and not ended, by jid.
        state: ``quiet`` or ``terminate`` once it takes no more jobs, else empty.
        heartbeat_timeout: of its next heartbeat.
    """

    wid: str
    connections: set[WorkerConnection] = field(default_factory=set)
    assigned: deque[Attempt] = field(default_factory=deque)
    reservations: dict[str, "Reservation"] = field(default_factory=dict)
    state: str = ""
    heartbeat_timeout: Key | None = None


@dataclass(slots=True, eq=False)
class Reservation:
    """A job that a worker has fetched.

    Attributes:
        attempt: the attempt that is the delivery.
        worker: the worker.
        connection: that it was fetched on.
        timeout: of the reservation.
        written: a byte of the job may have gone out.
    """

    attempt: Attempt
    worker: Worker
    connection: WorkerConnection
    timeout: Key
    written: bool = False

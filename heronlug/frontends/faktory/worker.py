"""Defines the records of workers and of their reservations."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from heronlug.requests.deadlines import Key
from heronlug.requests.model import Attempt

ReplyCallback = Callable[[bytes], None]
"""Writes the deferred reply to a command."""


class WorkerConnection(Protocol):
    """A connection of a worker.

    Attributes:
        queues: queues of the last FETCH.
        reserved_jids: jids of the jobs that were fetched on this connection and have not ended.
    """

    queues: list[str]
    reserved_jids: set[str]

    @property
    def fetching(self) -> bool:
        """Returns whether a FETCH waits for a job."""

    @property
    def peer_connected(self) -> bool:
        """Returns whether the worker has not closed its side."""

    def defer_reply(self) -> ReplyCallback:
        """Ends a waiting FETCH and blocks further commands until the returned function is called with the reply."""

    def abort(self) -> None:
        """Aborts the connection immediately."""


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, which stays known after its connections have closed.

    Attributes:
        wid: the worker id.
        connections: the open connections of the worker.
        assigned: attempts that the core has assigned to the worker and that the worker has not fetched.
        reservations: jobs that the worker has fetched and not ended, by jid.
        state: ``quiet`` or ``terminate`` once the worker accepts no further jobs, else empty.
        heartbeat_timeout: the pending deadline for the next heartbeat.
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
        attempt: the attempt that delivers the job.
        worker: the worker that holds the job.
        connection: the connection on which the job was fetched.
        timeout: the pending deadline of the reservation.
        written: whether a byte of the job may have been sent.
    """

    attempt: Attempt
    worker: Worker
    connection: WorkerConnection
    timeout: Key
    written: bool = False

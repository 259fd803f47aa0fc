"""What is kept of an accepted job, and what becomes of it after a restart.  No I/O, no clock.

Times are Unix milliseconds: they have to mean the same to the next process.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from heronlug.balancer.settings import Effect, RequestClass

Done = Callable[[str], None]  # told why it could not be kept, or nothing once it is on the disk


class Final(str, Enum):
    """How a job ended; the words are the core's."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Kept(NamedTuple):
    """One job."""

    jid: str
    lane: str
    queue: str
    table: bytes  # as it was pushed, JSON; empty once it has ended
    accepted_at: float
    remaining: float  # ms that it may take, from acceptance or from ``due``
    due: float = 0.0  # not before this
    delivered_at: float = 0.0  # first, to a worker; 0: never
    final: str = ""
    ended_at: float = 0.0

    @property
    def chained(self) -> bool:
        """Whether it names others that it waits for."""
        return b'"after"' in self.table


class Store(Protocol):
    """Where jobs are kept.  Each call returns at once; ``done`` is called on the loop when it is durable, or is not."""

    @property
    def lasts(self) -> bool:
        """Whether it outlasts the process."""

    def load(self) -> Iterable[Kept]:
        """All that is kept, once, at the start."""

    def accept(self, job: Kept, done: Done) -> None:
        """A job is taken in."""

    def deliver(self, jid: str, at: float, done: Done) -> None:
        """A job is about to be given to a worker."""

    def end(self, jid: str, final: str, at: float) -> None:
        """A job has its final outcome; kept trying for until it is durable."""

    def forget(self, jid: str) -> None:
        """A job is not known any more."""

    def after(self, done: Done) -> None:
        """Call when all before this is durable."""

    def close(self) -> None:
        """Write what is open, and end."""


class Way(Enum):
    """What to do with a kept job after a restart."""

    KNOWN = "known"  # it has ended: its jid is remembered
    AGAIN = "again"  # it goes on as if just accepted
    LATER = "later"  # its time has not come
    REFUSED = "refused"  # it never ran, and its time is over
    FAILED = "failed"  # it may have run and must not again, or its time is over
    FORGET = "forget"  # it ended so long ago that its jid need not be known


def settle(job: Kept, lane: RequestClass | None, now: float, remember: float) -> Way:
    """What becomes of a kept job: by its class, where it had been delivered.

    ``lane`` is None for a class that the settings do not have any more: what has not ended cannot be run.
    """
    if job.final:
        return Way.FORGET if now - job.ended_at > remember else Way.KNOWN
    if lane is None:
        return Way.FAILED if job.delivered_at else Way.REFUSED
    if job.delivered_at:
        if lane.effect is Effect.NON_IDEMPOTENT:
            return Way.FAILED
        if lane.effect is Effect.IDEMPOTENT_BY_KEY and now - job.delivered_at >= lane.repeat_window:
            return Way.FAILED
        return Way.AGAIN if left(job, now) > 0 else Way.FAILED
    if job.due > now:
        return Way.LATER
    # a job in a chain counts its time from its release, and when that was is not kept: it has all of it again
    return Way.AGAIN if job.chained or left(job, now) > 0 else Way.REFUSED


def left(job: Kept, now: float) -> float:
    """Milliseconds that it has left; a clock that went back does not give it more than it had."""
    if job.chained:
        return job.remaining
    return min(job.remaining, max(job.accepted_at, job.due) + job.remaining - now)

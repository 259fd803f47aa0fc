"""What is stored of an accepted request, and what becomes of it after a restart. No I/O, no clock.

Times are Unix milliseconds, since they have to mean the same to the next process. Requests come from Faktory clients,
whose word for them is job and for their id jid.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from heronlug.balancer.settings import Effect, RequestClass

DurabilityCallback = Callable[[str], None]
"""Called with an empty text once something is durable, or with the reason why it could not be stored."""


class FinalState(str, Enum):
    """How a request ended; the values are those of :class:`heronlug.requests.model.FinalAnswer`."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class StoredRequest(NamedTuple):
    """What is stored of a request.

    Attributes:
        jid: its id.
        class_name: of its request class.
        queue: that it was pushed to.
        job: as it was pushed, in JSON; empty once it has ended.
        accepted_at: when it was accepted.
        time_allowed_ms: from its acceptance or from ``not_before``.
        not_before: when it may start; 0: at once.
        first_delivered_at: when it first went to a worker; 0: never.
        final_state: how it ended; empty: it has not.
        ended_at: when it ended.
    """

    jid: str
    class_name: str
    queue: str
    job: bytes
    accepted_at: float
    time_allowed_ms: float
    not_before: float = 0.0
    first_delivered_at: float = 0.0
    final_state: str = ""
    ended_at: float = 0.0

    @property
    def chained(self) -> bool:
        """Whether it names requests that it waits for."""
        return b'"after"' in self.job


class Store(Protocol):
    """Where requests are stored.

    Each call returns at once; its callback is called on the event loop when the change is durable or has failed.
    """

    @property
    def is_durable(self) -> bool:
        """Whether it outlasts the process."""

    def load(self) -> Iterable[StoredRequest]:
        """All that is stored; called once, at the start."""

    def accept(self, request: StoredRequest, callback: DurabilityCallback) -> None:
        """Store a request that is about to be accepted."""

    def deliver(self, jid: str, delivered_at: float, callback: DurabilityCallback) -> None:
        """Store that a request is about to be given to a worker."""

    def record_final_state(self, jid: str, final_state: str, ended_at: float) -> None:
        """Store how a request ended; retried until it is durable."""

    def forget(self, jid: str) -> None:
        """Delete a request."""

    def when_durable(self, callback: DurabilityCallback) -> None:
        """Call back when all changes before this one are durable."""

    def close(self) -> None:
        """Write what is outstanding, and release the file."""


class RecoveryAction(Enum):
    """What to do with a stored request after a restart; the values are counted in the log.

    Attributes:
        REMEMBER: it has ended; its jid stays known.
        RESTART: it goes on as if it had just been accepted.
        SCHEDULE: it may not start yet.
        REJECT: it never ran, and its time is over.
        FAIL: it may have run and must not run again, or its time is over.
        FORGET: it ended so long ago that its jid need not be known.
    """

    REMEMBER = "known"
    RESTART = "again"
    SCHEDULE = "later"
    REJECT = "refused"
    FAIL = "failed"
    FORGET = "forget"


def recovery_action(
    request: StoredRequest, policy: RequestClass | None, now: float, remember_ms: float
) -> RecoveryAction:
    """What becomes of a stored request after a restart.

    Args:
        request: the request.
        policy: its class; None: the settings do not have it any more, so that the request cannot run.
        now: the time.
        remember_ms: how long the jid of an ended request stays known.
    """
    if request.final_state:
        forgotten = now - request.ended_at > remember_ms
        return RecoveryAction.FORGET if forgotten else RecoveryAction.REMEMBER
    if policy is None:
        return RecoveryAction.FAIL if request.first_delivered_at else RecoveryAction.REJECT
    if request.first_delivered_at:
        return _action_after_delivery(request, policy, now)
    if request.not_before > now:
        return RecoveryAction.SCHEDULE
    # The time of a request in a chain counts from its release, which is not stored: it has all of it again.
    may_start = request.chained or remaining_ms(request, now) > 0
    return RecoveryAction.RESTART if may_start else RecoveryAction.REJECT


def _action_after_delivery(request: StoredRequest, policy: RequestClass, now: float) -> RecoveryAction:
    """What becomes of a request that may have run: it runs again only if its effect allows that."""
    if policy.effect is Effect.NON_IDEMPOTENT:
        return RecoveryAction.FAIL
    key_expired = now - request.first_delivered_at >= policy.repeat_window
    if policy.effect is Effect.IDEMPOTENT_BY_KEY and key_expired:
        return RecoveryAction.FAIL
    return RecoveryAction.RESTART if remaining_ms(request, now) > 0 else RecoveryAction.FAIL


def remaining_ms(request: StoredRequest, now: float) -> float:
    """The time that a request has left; a clock that went back does not give it more than it had."""
    allowed = request.time_allowed_ms
    if request.chained:
        return allowed
    return min(allowed, max(request.accepted_at, request.not_before) + allowed - now)

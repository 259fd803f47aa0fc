"""Defines the stored form of an accepted request and decides how a stored request continues after a restart.

This module does no I/O and reads no clock. Times are Unix time in ms, so that they remain valid in the next process.
Requests come from Faktory clients, where a request is called a job and its id a jid.
"""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from heronlug.balancer.settings import Effect, RequestClass

DurabilityCallback = Callable[[str], None]
"""Called with an empty string once a change is durable, or with the reason why it could not be stored."""

MAX_TIME_ALLOWED_MS = 366 * 86_400_000.0
"""Longest time that a stored request may have; older programs stored what the producer stated, without a bound."""

JobCallback = Callable[[bytes, str], None]
"""Called with the job as JSON and an empty string, or with no bytes and the reason why the job cannot be read."""


class FinalState(str, Enum):
    """Final states of a request; the values equal those of :class:`heronlug.requests.model.FinalAnswer`."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class StoredRequest(NamedTuple):
    """An accepted request as it is stored.

    A file of an older program lacks the last three fields, which then have their default values.

    Attributes:
        jid: the job id.
        class_name: name of the request class.
        queue: the queue that the job was pushed to.
        job: the pushed job as JSON; empty once the request has ended.
        accepted_at: time of acceptance.
        time_allowed_ms: time until the final answer, counted from the later of ``accepted_at`` and ``not_before``.
        not_before: earliest start, or the release by the last parent if that is later; 0 for an immediate start.
        first_delivered_at: time of the first delivery to a worker; 0 if the request was never delivered.
        final_state: a value of :class:`FinalState`; empty until the request has ended.
        ended_at: time of the end; 0 until the request has ended.
        effect: effect of the request class at the acceptance, a value of :class:`Effect`.
        repeat_window_ms: repeat window of the request class at the acceptance.
        deliveries: number of deliveries to workers.
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
    effect: str = ""
    repeat_window_ms: float = 0.0
    deliveries: int = 0


class Store(Protocol):
    """A store of accepted requests.

    Methods return immediately; callbacks are called on the event loop once the change is durable or has failed.
    """

    @property
    def is_durable(self) -> bool:
        """Returns whether stored requests survive the end of the process."""

    def load(self) -> Iterable[StoredRequest]:
        """Returns all stored requests, the open ones first; called once at startup.

        The caller must not keep all of them, since the jobs may take more memory than the process has.
        """

    def read_job(self, jid: str, callback: JobCallback) -> None:
        """Reads the job of an open request, after all earlier changes."""

    def accept(self, request: StoredRequest, callback: DurabilityCallback) -> None:
        """Stores a request before it is accepted."""

    def deliver(self, jid: str, delivered_at: float, callback: DurabilityCallback) -> None:
        """Stores the time of the first delivery of a request, and counts it, before the request is sent to a worker."""

    def release(self, jid: str, released_at: float) -> None:
        """Stores the time from which the allowed time of a request counts whose last parent has ended."""

    def record_final_state(self, jid: str, final_state: str, ended_at: float) -> None:
        """Stores the final state of a request; the write is retried until it is durable."""

    def forget(self, jid: str) -> None:
        """Deletes a request."""

    def when_durable(self, callback: DurabilityCallback) -> None:
        """Calls back once all earlier changes are durable or have failed."""

    def close(self) -> None:
        """Writes the pending changes and releases the file."""


class RecoveryAction(Enum):
    """Actions for a stored request after a restart; the values are field names in the log.

    Attributes:
        REMEMBER: keep the jid known, because the request has ended.
        RESTART: start the request immediately.
        SCHEDULE: start the request at its ``not_before`` time.
        WAIT: start the request once its parents have ended.
        REJECT: reject the request, which never ran, because no time is left or its class no longer exists.
        FAIL: fail the request, which may have run, because it must not run again, no time is left or its class no
            longer exists.
        FORGET: delete the request, because it ended so long ago that its jid need not stay known.
    """

    REMEMBER = "known"
    RESTART = "again"
    SCHEDULE = "later"
    WAIT = "waits"
    REJECT = "refused"
    FAIL = "failed"
    FORGET = "forget"


def recovery_action(
    request: StoredRequest,
    policy: RequestClass | None,
    now: float,
    remember_ms: float,
    *,
    has_open_parents: bool = False,
) -> RecoveryAction:
    """Returns the action for a stored request after a restart.

    Args:
        request: the stored request.
        policy: the request class; None if the settings no longer contain the class, so that the request cannot run.
        now: Unix time in ms.
        remember_ms: time in ms for which the jid of an ended request stays known.
        has_open_parents: whether a parent of the request has not ended.
    """
    if request.final_state:
        return action_after_end(request.ended_at, now, remember_ms)
    if policy is None:
        return RecoveryAction.FAIL if request.first_delivered_at else RecoveryAction.REJECT
    if request.first_delivered_at:
        return _action_after_delivery(request, policy, now)
    if has_open_parents:
        return RecoveryAction.WAIT
    if request.not_before > now:
        return RecoveryAction.SCHEDULE
    return RecoveryAction.RESTART if remaining_ms(request, now) > 0 else RecoveryAction.REJECT


def action_after_end(ended_at: float, now: float, remember_ms: float) -> RecoveryAction:
    """Returns the action for a request that has ended; the times are in ms."""
    return RecoveryAction.FORGET if now - ended_at > remember_ms else RecoveryAction.REMEMBER


def _action_after_delivery(request: StoredRequest, policy: RequestClass, now: float) -> RecoveryAction:
    """Returns the action for a request that may have run: the request runs again only if its effect allows that."""
    if policy.effect is Effect.NON_IDEMPOTENT:
        return RecoveryAction.FAIL
    # The time of the delivery lies in the future if the clock was set back; how long ago it was is then unknown.
    key_expired = not 0 <= now - request.first_delivered_at < policy.repeat_window
    if policy.effect is Effect.IDEMPOTENT_BY_KEY and key_expired:
        return RecoveryAction.FAIL
    return RecoveryAction.RESTART if remaining_ms(request, now) > 0 else RecoveryAction.FAIL


def remaining_ms(request: StoredRequest, now: float) -> float:
    """Returns the remaining time of a request in ms, at most its allowed time even if the clock was set back."""
    allowed = request.time_allowed_ms
    return min(allowed, max(request.accepted_at, request.not_before) + allowed - now)

"""Opens the store of accepted jobs and restores the stored jobs after a restart."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

from heronlug.balancer.settings import Effect, RequestClass
from heronlug.frontends.faktory.stored_jobs import OpenStoredJob, StoredJobs
from heronlug.requests.interfaces import EventLog, log_nothing
from heronlug.storage.memory import MemoryStore
from heronlug.storage.model import (
    MAX_TIME_ALLOWED_MS,
    FinalState,
    RecoveryAction,
    Store,
    StoredRequest,
    recovery_action,
)


class RecoveredJob(NamedTuple):
    """An open stored job and what becomes of it.

    Attributes:
        job: the job as it was read.
        request: the stored data as they are now.
        action: what becomes of the job.
        policy: the request class with the effect that the job was accepted under; None if the job cannot run.
    """

    job: OpenStoredJob
    request: StoredRequest
    action: RecoveryAction
    policy: RequestClass | None


class DamagedRecordError(ValueError):
    """Raised for a row of the store whose job cannot be read."""


def open_store(path: str, log: EventLog, run_due: Callable[[], None], clock: Callable[[], float]) -> Store:
    """Returns a store in a file, or a store in memory if the path is empty.

    SQLite is imported only if a file is used.

    Args:
        path: path of the store file; empty for a store in memory.
        log: the event log.
        run_due: runs the deadlines that are due; called after each callback of the store.
        clock: returns the Unix time in ms by the clock of this process.

    Raises:
        ValueError: if the file cannot be used as a store.
    """
    if not path:
        return MemoryStore()
    from heronlug.storage.sqlite import SqliteStore

    loop = asyncio.get_running_loop()

    def run_callback(callback: Callable[[], None]) -> None:
        """Runs a callback of the store and then the deadlines that are due."""
        callback()
        run_due()

    def call_on_loop(callback: Callable[[], None]) -> None:
        """Schedules a callback from the store's thread on the event loop."""
        if not loop.is_closed():
            loop.call_soon_threadsafe(run_callback, callback)

    return SqliteStore(Path(path), call_on_loop, log, clock)


def must_be_stored_before_delivery(policy: RequestClass) -> bool:
    """Returns whether a delivery must be durable before its first byte is written.

    This holds for every class that is not idempotent: after a restart the store must show that such a job may have run.
    """
    return policy.effect is not Effect.IDEMPOTENT


def recover_jobs(
    stored: StoredJobs,
    store: Store,
    classes: dict[str, RequestClass],
    now: float,
    remember_ms: float,
    log: EventLog = log_nothing,
) -> list[RecoveredJob]:
    """Decides what becomes of each open stored job, and stores the final states that follow from the restart.

    Args:
        stored: the stored jobs.
        store: the store of accepted jobs.
        classes: the request classes by name.
        now: Unix time in ms.
        remember_ms: time in ms for which the jid of an ended job stays known.
        log: the event log.

    Returns:
        The jobs that were open, each with its recovery action.
    """
    end_times = _end_times_of_parents(stored, now)
    recovered: list[RecoveredJob] = []
    for job in stored.open:
        policy = _readable_policy(job, classes, log)
        request = _within_longest_time(job.request, policy, log)
        parents = [end_times[edge.parent] for edge in job.edges if edge.parent in end_times]
        request = _with_release(request, parents)
        action = recovery_action(request, policy, now, remember_ms, has_open_parents=None in parents)
        if action in (RecoveryAction.FAIL, RecoveryAction.REJECT):
            final_state = FinalState.FAILED if action is RecoveryAction.FAIL else FinalState.REFUSED
            store.record_final_state(request.jid, final_state.value, now)
            request = request._replace(final_state=final_state.value, ended_at=now)
        recovered.append(RecoveredJob(job, request, action, policy))
    return recovered


def _readable_policy(job: OpenStoredJob, classes: dict[str, RequestClass], log: EventLog) -> RequestClass | None:
    """Returns the policy of a stored job; None for a damaged one, which cannot run, like one without a class."""
    damage = job.damage
    if not damage:
        try:
            return accepted_policy(job.request, classes, log)
        except DamagedRecordError as error:
            damage = str(error)
    log("job_damaged", jid=job.request.jid, why=damage)
    return None


def accepted_policy(record: StoredRequest, classes: dict[str, RequestClass], log: EventLog) -> RequestClass | None:
    """Returns the request class of an open stored job, with the effect that it was accepted under.

    Args:
        record: the stored job.
        classes: the request classes by name.
        log: gets an event if the effect of the class has changed.

    Returns:
        The request class; None if the settings no longer contain it.

    Raises:
        DamagedRecordError: if the stored effect is not valid.
    """
    policy = classes.get(record.class_name)
    if policy is None or not record.effect:
        return policy
    try:
        effect = Effect(record.effect)
        repeat_window = record.repeat_window_ms
        if policy.effect is Effect.IDEMPOTENT_BY_KEY:  # workers may drop repeats for a shorter time now
            repeat_window = min(repeat_window, policy.repeat_window)
        accepted = replace(policy, effect=effect, repeat_window=repeat_window)
    except ValueError as error:
        raise DamagedRecordError(str(error)) from error
    if effect is not policy.effect:
        log("job_effect_kept", jid=record.jid, effect=effect.value, now=policy.effect.value)
    return accepted


def _within_longest_time(request: StoredRequest, policy: RequestClass | None, log: EventLog) -> StoredRequest:
    """Returns a stored job with at most the time of its class, if its own is longer than any job may have."""
    if policy is None or request.time_allowed_ms <= MAX_TIME_ALLOWED_MS:
        return request
    log("job_time_limited", jid=request.jid, stored_ms=request.time_allowed_ms, ms=policy.deadline)
    return request._replace(time_allowed_ms=policy.deadline)


def _end_times_of_parents(stored: StoredJobs, now: float) -> dict[str, float | None]:
    """Returns the times at which the parents of open jobs ended, None for an open parent.

    A parent that is not in the store ended long ago, and is left out.
    """
    parents = {edge.parent for job in stored.open for edge in job.edges}
    end_times: dict[str, float | None] = {
        job.jid: now if job.ended_at is None else job.ended_at for job in stored.ended if job.jid in parents
    }
    end_times.update((job.request.jid, None) for job in stored.open if job.request.jid in parents)
    return end_times


def _with_release(record: StoredRequest, end_times: list[float | None]) -> StoredRequest:
    """Returns a job whose earliest start is not before the end of its last parent.

    The store file may lack the release itself, as it is written after the end of the parent.
    """
    released_at = max((ended_at for ended_at in end_times if ended_at is not None), default=0.0)
    return record._replace(not_before=released_at) if released_at > record.not_before else record

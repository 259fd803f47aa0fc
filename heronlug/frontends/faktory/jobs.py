"""Manages the known jobs: accepts, stores and ends them."""

import math
from collections import Counter
from collections.abc import Callable
from functools import partial

from heronlug.balancer.settings import RequestClass
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.errors import (
    CommandError,
    JobEndedError,
    JobNotStoredError,
    JobRejectedError,
    StoppingError,
    TooManyJobsError,
)
from heronlug.frontends.faktory.frontend_state import FrontendState
from heronlug.frontends.faktory.job import (
    Job,
    JobTiming,
    PushArguments,
    PushCallback,
    parse_due_at,
    parse_jid,
    parse_push,
    reserve_ms,
)
from heronlug.frontends.faktory.job_state import JobState
from heronlug.frontends.faktory.known_jobs import EndedJobs, KnownJob, KnownJobs
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.frontends.faktory.scheduler import JobScheduler
from heronlug.requests.interfaces import call_isolated
from heronlug.requests.model import FinalAnswer, allowed_ms
from heronlug.storage.model import StoredRequest

MIN_FORGET_SPAN_MS = 1_000.0
"""Minimum length of the spans at whose ends jids are forgotten together, in ms."""

FORGET_SPAN_SHARE = 0.001
"""Length of these spans as a share of the time for which jids stay known."""

MAX_FORGOTTEN_AT_ONCE = 1000
"""Maximum number of jids that are forgotten in one iteration of the event loop."""

PushAllCallback = Callable[[dict[str, str]], None]
"""Called once each job of a PUSHB is accepted or rejected, with the error texts of rejected jobs by jid."""


class JobTable:
    """Holds all known jobs; a jid stays known for ``FaktoryConfig.remember_ms`` after its job has ended.

    Attributes:
        by_jid: the known jobs.
        scheduler: holds the accepted jobs that have not started.
    """

    def __init__(self, context: FaktoryContext) -> None:
        self.by_jid = KnownJobs()
        self.scheduler = JobScheduler(context, self.by_jid, self.finish)
        self._context = context

    def open_counts(self) -> dict[str, int]:
        """Returns the number of jobs that have not ended, in all and by what they wait for, as fields of the log.

        The jobs that the core has are counted there. Each open job must be in one of the other counts.
        """
        counts = Counter(job.state for job in self.by_jid.open.values())
        waiting = (JobState.BEING_STORED, JobState.DELAYED, JobState.DEPENDENT, JobState.KEPT)
        return {
            "open": len(self.by_jid.open),
            **{state.value: counts[state] for state in waiting},
            JobState.STARTED.value: self._context.core.requests.open_count,
        }

    # -- acceptance

    def push(self, payload: JsonObject, callback: PushCallback) -> None:
        """Accepts a job; a push of a known jid does not start the job again."""
        try:
            self._push(payload, callback)
        except CommandError as error:
            callback(error)

    def push_all(self, payloads: list[JsonObject], callback: PushAllCallback) -> None:
        """Accepts several jobs and calls back once each job is accepted or rejected."""
        errors: dict[str, str] = {}
        pending_pushes = len(payloads)

        def on_pushed(jid: str, error: CommandError | None) -> None:
            """Records the result for one job; the result of the last job completes the command."""
            nonlocal pending_pushes
            pending_pushes -= 1
            if error is not None:
                errors[jid] = str(error)
            if not pending_pushes:
                callback(errors)

        for payload in payloads:
            self.push(payload, partial(on_pushed, str(payload.get("jid", ""))))
        if not payloads:
            callback(errors)

    def _push(self, payload: JsonObject, callback: PushCallback) -> None:
        jid = parse_jid(payload)
        known = self.by_jid.get(jid)
        if known is not None:
            _push_known_job(known, callback)
            return
        arguments = parse_push(payload, self._class_names())
        if self._context.state is not FrontendState.ON:
            raise StoppingError
        if len(self.by_jid) >= self._context.config.max_known_jobs:
            raise TooManyJobsError
        due_at = parse_due_at(payload)
        job = self._new_job(jid, arguments, due_at)
        job.push_callbacks.append(callback)
        job.parents = self.scheduler.parents_of_push(arguments.custom)
        self._context.memory.reserve(job)
        self._store(job, arguments)

    def _new_job(self, jid: str, arguments: PushArguments, due_at: float) -> Job:
        policy = self._context.core.settings.classes[arguments.class_index]
        return Job(
            jid,
            arguments.class_index,
            arguments.queue,
            arguments.encoded,
            len(arguments.encoded),
            reserve_ms(arguments.reserve_s, self._context.config),
            policy,
            JobTiming(_job_allowed_ms(policy, arguments), due_at),
        )

    def _store(self, job: Job, arguments: PushArguments) -> None:
        """Stores a new job; the job is accepted once the store confirms that the job is durable."""
        self.by_jid.add(job)
        accepted_at = self._context.deadlines.clock()
        class_name = self._class_names()[job.class_index]
        record = StoredRequest(
            job.jid,
            class_name,
            job.queue,
            arguments.encoded,
            accepted_at,
            job.timing.remaining_ms,
            job.timing.due_at,
            effect=job.policy.effect.value,
            repeat_window_ms=job.policy.repeat_window,
        )
        self._context.store.accept(record, partial(self._on_stored, job))

    def _on_stored(self, job: Job, failure: str) -> None:
        """Starts a stored job, or rejects the job if ``failure``, the error text of the store, is not empty."""
        callbacks, job.push_callbacks = job.push_callbacks, []
        error = self._start_stored(job, failure)
        if error is not None:
            self.scheduler.job_ended(job.jid, False)
        for callback in callbacks:
            call_isolated(self._context.log, "push", partial(callback, error))

    def _start_stored(self, job: Job, failure: str) -> CommandError | None:
        """Starts a job unless storing it failed; returns the error if the job is not accepted, else None."""
        if failure:
            job.enter(JobState.ENDED)
            job.final_answer = FinalAnswer.REFUSED
            self.by_jid.remove(job.jid)
            self._context.memory.release(job)
            return JobNotStoredError(failure)
        job.enter(JobState.STORED)
        request = self.scheduler.start(job) if self.scheduler.may_start(job) else None
        if request is not None and request.final_answer is FinalAnswer.REFUSED and not request.attempts:
            self._take_back(job)
            return JobRejectedError()
        self._leave_payload_to_store(job)
        return None

    def _take_back(self, job: Job) -> None:
        """Forgets a job that was refused as it started, so was not accepted; its jid may be pushed again."""
        self.by_jid.remove(job.jid)
        self._context.memory.release_ended(job.jid)
        self._context.store.forget(job.jid)

    def _leave_payload_to_store(self, job: Job) -> None:
        """Drops the payload of a job that cannot be delivered soon, if the store has it."""
        waits_for_worker = job.state is JobState.STARTED and self._context.memory.keeps_waiting_payloads
        if self._context.store.is_durable and not waits_for_worker:
            self._context.memory.drop_payload(job)

    # -- the end

    def finish(self, job: Job, final_answer: FinalAnswer) -> None:
        """Ends a job; its jid stays known for the configured time."""
        job.enter(JobState.ENDED)
        job.final_answer = final_answer
        self._context.memory.release(job)
        self._context.store.record_final_state(job.jid, final_answer.value, self._context.deadlines.clock())
        self._context.log("job_answered", jid=job.jid, final=final_answer.value)
        self.remember(job.jid, final_answer, self._context.config.remember_ms)
        self.scheduler.job_ended(job.jid, final_answer is FinalAnswer.SERVED)

    def answer(self, job: Job, final_answer: FinalAnswer, may_have_run: bool) -> None:
        """Ends a job with the final answer of the core.

        A job that never ran and is rejected because the process ends stays in a durable store for the next process.
        """
        given_up = self._context.state is FrontendState.STOPPED and final_answer is FinalAnswer.REFUSED
        if given_up and not may_have_run and self._context.store.is_durable:
            self.scheduler.keep(job)
        else:
            self.finish(job, final_answer)

    def remember(self, jid: str, final_answer: FinalAnswer, remember_ms: float) -> None:
        """Keeps the jid of an ended job known, together with the final answer.

        Args:
            jid: the job id.
            final_answer: the final answer.
            remember_ms: time in ms for which the jid stays known at least.
        """
        deadlines = self._context.deadlines
        span_ms = max(MIN_FORGET_SPAN_MS, self._context.config.remember_ms * FORGET_SPAN_SHARE)
        forget_at = math.ceil((deadlines.clock() + remember_ms) / span_ms) * span_ms
        group = self.by_jid.end(jid, final_answer, forget_at)
        self._context.memory.hold_ended(jid)
        if group is not None:
            deadlines.call_at(forget_at, self._forget, group)

    def _forget(self, group: EndedJobs) -> None:
        """Forgets jobs that have ended, a bounded number in one iteration of the event loop."""
        for jid in self.by_jid.forget(group, MAX_FORGOTTEN_AT_ONCE):
            self._context.memory.release_ended(jid)
            self._context.store.forget(jid)
        if group.jids:
            self._context.deadlines.call_after(0.0, self._forget, group)

    def _class_names(self) -> list[str]:
        return [policy.name for policy in self._context.core.settings.classes]


def _job_allowed_ms(policy: RequestClass, arguments: PushArguments) -> float:
    """Returns the time that a pushed job may take, at most the limit of its class, which a restart may change."""
    allowed = allowed_ms(policy, arguments.remaining_ms)
    return min(allowed, policy.give_up_after or allowed)


def _push_known_job(job: KnownJob, callback: PushCallback) -> None:
    """Handles the push of a jid that is already known.

    Raises:
        JobEndedError: if the job has ended without being served.
    """
    if job.final_answer in (FinalAnswer.REFUSED, FinalAnswer.FAILED):
        raise JobEndedError(job.jid, job.final_answer.value)
    if isinstance(job, Job) and job.state is JobState.BEING_STORED:
        job.push_callbacks.append(callback)
    else:
        callback(None)

"""Resumes the jobs of the store after a restart."""

import orjson

from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.job import Job, JobTiming, reserve_ms
from heronlug.frontends.faktory.job_state import JobState
from heronlug.frontends.faktory.jobs import JobTable
from heronlug.frontends.faktory.recovery import accepted_policy, recover_records
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.requests.model import FinalAnswer
from heronlug.storage.model import RecoveryAction, StoredRequest, remaining_ms


class JobRecovery:
    """Adds the stored jobs to a table of jobs and lets them continue."""

    def __init__(self, context: FaktoryContext, jobs: JobTable) -> None:
        self._context = context
        self._jobs = jobs

    def recover(self, stored: list[StoredRequest]) -> None:
        """Resumes the stored jobs after a restart, each as its request class allows."""
        context = self._context
        now = context.deadlines.clock()
        classes = {policy.name: policy for policy in context.core.settings.classes}
        records, counts = recover_records(stored, context.store, classes, now, context.config.remember_ms, context.log)
        # All jobs must be known before the first one starts, because a dependent job looks up its parents.
        jobs = [self._recover_job(record, action, now) for record, action in records]
        for job, (record, action) in zip(jobs, records, strict=True):
            if job.state is not JobState.ENDED:
                job.policy = accepted_policy(record, classes) or job.policy
                job.parents = self._jobs.scheduler.known_parents(job.custom)
                self._restart(job, record, action, now)
        if records:
            context.log("recovered", jobs=len(records), **counts)

    def _restart(self, job: Job, record: StoredRequest, action: RecoveryAction, now: float) -> None:
        self._context.log(
            "job_recovered",
            jid=job.jid,
            action=action.value,
            delivered_ms_ago=round(now - record.first_delivered_at) if record.first_delivered_at else None,
            left=round(remaining_ms(record, now)),
        )
        if record.first_delivered_at:  # a job is delivered only after its parents have ended
            self._jobs.scheduler.resume(
                job, remaining_ms(record, now), record.first_delivered_at, max(1, record.deliveries)
            )
        elif self._jobs.scheduler.may_start(job):
            if action is RecoveryAction.RESTART:  # the time of a job that had started counts from that start
                job.timing = JobTiming(remaining_ms(record, now), record.not_before)
            self._jobs.scheduler.start(job)

    def _recover_job(self, record: StoredRequest, action: RecoveryAction, now: float) -> Job:
        names = [policy.name for policy in self._context.core.settings.classes]
        class_index = names.index(record.class_name) if record.class_name in names else 0
        payload: JsonObject = orjson.loads(record.job) if record.job else {}
        job = Job(
            record.jid,
            class_index,
            record.queue,
            payload,
            len(record.job),
            reserve_ms(payload.get("reserve_for"), self._context.config),
            self._context.core.settings.classes[class_index],
            JobTiming(record.time_allowed_ms, record.not_before),
            JobState.STORED,
        )
        self._jobs.by_jid[record.jid] = job
        self._context.memory.hold(job)
        if record.final_state:
            self._recover_end(job, record, action, now)
        return job

    def _recover_end(self, job: Job, record: StoredRequest, action: RecoveryAction, now: float) -> None:
        """Keeps the jid of an ended job known for the rest of the configured time."""
        job.enter(JobState.ENDED)
        job.final_answer = FinalAnswer(record.final_state)
        job.payload = {}
        self._context.memory.release_payload(job)
        since_end_ms = max(0.0, now - record.ended_at)
        remember_ms = max(0.0, self._context.config.remember_ms - since_end_ms)
        self._jobs.forget_after(remember_ms, job)
        if action is not RecoveryAction.REMEMBER:
            note = " (may have run)" if record.first_delivered_at else ""
            self._context.log("job_answered", jid=job.jid, final=record.final_state + note, cause="restart")

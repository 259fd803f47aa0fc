"""Resumes the jobs of the store after a restart."""

from collections import Counter

from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.job import Job, JobTiming, reserve_ms
from heronlug.frontends.faktory.job_state import JobState
from heronlug.frontends.faktory.jobs import JobTable
from heronlug.frontends.faktory.recovery import RecoveredJob, recover_jobs
from heronlug.frontends.faktory.stored_jobs import EndedStoredJob, StoredJobs
from heronlug.requests.model import FinalAnswer
from heronlug.storage.model import RecoveryAction, action_after_end, remaining_ms


class JobRecovery:
    """Adds the stored jobs to a table of jobs and lets them continue."""

    def __init__(self, context: FaktoryContext, jobs: JobTable) -> None:
        self._context = context
        self._jobs = jobs

    def recover(self, stored: StoredJobs) -> None:
        """Resumes the stored jobs after a restart, each as its request class allows."""
        context = self._context
        now = context.deadlines.clock()
        classes = {policy.name: policy for policy in context.core.settings.classes}
        recovered = recover_jobs(stored, context.store, classes, now, context.config.remember_ms, context.log)
        counts = Counter(each.action for each in recovered)
        counts.update(self._remember(job, now) for job in stored.ended)
        # All jobs must be known before the first one starts, because a dependent job looks up its parents.
        jobs = [self._add(each) for each in recovered]
        for job, each in zip(jobs, recovered, strict=True):
            if job is not None:
                job.parents = self._jobs.scheduler.known_parents(each.job.edges)
                context.memory.hold(job)
                self._restart_or_end(job, each, now)
        known = counts.total() - counts[RecoveryAction.FORGET]
        if known:
            context.log("recovered", jobs=known, **{action.value: count for action, count in counts.items()})

    def _restart_or_end(self, job: Job, recovered: RecoveredJob, now: float) -> None:
        """Resumes a job; one that cannot be resumed ends alone, failed if it may have run, else refused."""
        try:
            self._restart(job, recovered, now)
        except Exception as error:  # one row must not stop the start
            self._context.log("exception", where="recovery", jid=job.jid, error=repr(error))
            if not self._is_in_core(job) and job.state is not JobState.ENDED:
                may_have_run = bool(recovered.request.first_delivered_at)
                self._jobs.finish(job, FinalAnswer.FAILED if may_have_run else FinalAnswer.REFUSED)

    def _is_in_core(self, job: Job) -> bool:
        """Returns whether the core has the job, and ends it at its deadline at the latest."""
        return any(request.payload is job and not request.closed for request in self._context.core.requests)

    def _restart(self, job: Job, recovered: RecoveredJob, now: float) -> None:
        request = recovered.request
        delivered_at = request.first_delivered_at
        self._context.log(
            "job_recovered",
            jid=job.jid,
            action=recovered.action.value,
            delivered_ms_ago=round(now - delivered_at) if delivered_at else None,
            left=round(remaining_ms(request, now)),
        )
        if delivered_at:  # a job is delivered only after its parents have ended
            most = self._context.core.settings.max_attempts_of(job.policy)  # a larger number has the same effect
            deliveries = max(1, min(request.deliveries, most))
            self._jobs.scheduler.resume(job, remaining_ms(request, now), delivered_at, deliveries)
        elif self._jobs.scheduler.may_start(job):
            if recovered.action is RecoveryAction.RESTART:  # the time of a job that had started counts from that start
                job.timing = JobTiming(remaining_ms(request, now), request.not_before)
            self._jobs.scheduler.start(job)

    def _add(self, recovered: RecoveredJob) -> Job | None:
        """Adds a job that was open, and returns it; returns None if it has ended by the restart."""
        request = recovered.request
        if request.final_state or recovered.policy is None:
            self._jobs.remember(request.jid, FinalAnswer(request.final_state), self._context.config.remember_ms)
            note = " (may have run)" if request.first_delivered_at else ""
            self._context.log("job_answered", jid=request.jid, final=request.final_state + note, cause="restart")
            return None
        names = [policy.name for policy in self._context.core.settings.classes]
        job = Job(
            request.jid,
            names.index(request.class_name),
            request.queue,
            b"",
            recovered.job.size,
            reserve_ms(recovered.job.reserve_s, self._context.config),
            recovered.policy,
            JobTiming(request.time_allowed_ms, request.not_before),
            JobState.STORED,
        )
        self._jobs.by_jid.add(job)
        return job

    def _remember(self, job: EndedStoredJob, now: float) -> RecoveryAction:
        """Keeps the jid of a job that had ended known for the rest of the configured time, or forgets it."""
        remember_ms = self._context.config.remember_ms
        if job.damage:
            self._context.log("job_damaged", jid=job.jid, why=job.damage)
        ended_at = now if job.ended_at is None else min(job.ended_at, now)
        action = action_after_end(ended_at, now, remember_ms)
        if action is RecoveryAction.FORGET:
            self._context.store.forget(job.jid)
        else:
            self._jobs.remember(job.jid, FinalAnswer(job.final_state), remember_ms - (now - ended_at))
        return action

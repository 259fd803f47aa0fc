"""When an accepted job goes to the core: at once, at its time, or after the jobs that it waits for."""

from collections.abc import Callable
from typing import NamedTuple

from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.errors import InvalidArgumentError, UnknownParentError
from heronlug.frontends.faktory.job import Job, StartTime
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.requests.deadlines import Key
from heronlug.requests.model import FinalAnswer, Request
from heronlug.scheduling.chains import ChainState, Edge, RequestChains, parse_edges


class _DelayedJob(NamedTuple):
    """A job whose time has not come, and the deadline at which it will have."""

    deadline: Key
    job: Job


class _DependentJob(NamedTuple):
    """A job that waits for others, and its times."""

    job: Job
    start: StartTime


class JobScheduler:
    """The jobs that are accepted and have not started.

    Attributes:
        stopping: jobs no more wait for their time: they are handed to the core at once, which rejects them.
    """

    def __init__(
        self, context: FaktoryContext, jobs: dict[str, Job], finish: Callable[[Job, FinalAnswer], None]
    ) -> None:
        """Make an empty scheduler.

        Args:
            context: the services.
            jobs: all known jobs by jid, kept by the caller.
            finish: called with a job that ends without being started.
        """
        self.stopping = False
        self._context = context
        self._jobs = jobs
        self._finish = finish
        self._delayed: dict[str, _DelayedJob] = {}
        self._dependent: dict[str, _DependentJob] = {}
        self._chains = RequestChains()

    def start(self, job: Job, start: StartTime) -> Request | None:
        """Hand a job to the core, now or when its time has come; returns the request if it is now."""
        deadlines = self._context.deadlines
        if start.due_at > deadlines.clock() and not self.stopping:
            deadline = deadlines.call_at(start.due_at, self.start_now, job, start.remaining_ms)
            self._delayed[job.jid] = _DelayedJob(deadline, job)
            return None
        return self.start_now(job, start.remaining_ms)

    def start_now(self, job: Job, remaining_ms: float) -> Request:
        """Hand a job to the core."""
        self._delayed.pop(job.jid, None)
        return self._context.core.accept(job, job.class_index, remaining_ms, size=job.size, policy=job.policy)

    def may_start(self, job: Job, start: StartTime) -> bool:
        """Whether a job waits for no other; else it is kept until they end, or has failed with one of them."""
        # a parent that has been forgotten ended long ago, and released this job by then
        parents = [
            (edge, self._jobs[edge.parent]) for edge in _parse_dependencies(job.custom) if edge.parent in self._jobs
        ]
        chain_state = self._chains.add(
            job.jid,
            [edge for edge, parent in parents if parent.final_answer is None],
            [
                (edge, parent.final_answer is FinalAnswer.SERVED)
                for edge, parent in parents
                if parent.final_answer is not None
            ],
        )
        if chain_state is ChainState.WAITS:
            self._dependent[job.jid] = _DependentJob(job, start)
        elif chain_state is ChainState.FAILED:
            self._context.log("job_chain_failed", jid=job.jid, cause="a parent had failed")
            self._finish(job, FinalAnswer.FAILED)
        return chain_state is ChainState.READY

    def check_parents(self, custom: JsonObject) -> None:
        """Check what a pushed job waits for.

        Raises:
            InvalidArgumentError: its parents are not given as they must be.
            UnknownParentError: nobody has pushed one of them.
        """
        try:
            edges = _parse_dependencies(custom)
        except ValueError as error:
            raise InvalidArgumentError(str(error)) from error
        for edge in edges:
            if edge.parent not in self._jobs:
                raise UnknownParentError(edge.parent)

    def job_ended(self, jid: str, served: bool) -> None:
        """Start the jobs that waited for this one last, and fail those that need it to be served."""
        self._dependent.pop(jid, None)
        chain_end = self._chains.request_ended(jid, served)
        for child in chain_end.failed:
            failed = self._dependent.pop(child)
            self._context.log("job_chain_failed", jid=child, cause=jid)
            self._finish(failed.job, FinalAnswer.FAILED)
        for child in chain_end.released:
            released = self._dependent.pop(child)
            self.start(released.job, released.start)

    def stop(self) -> None:
        """Start nothing later: what has not started is rejected, unless the store keeps it for the next process."""
        self.stopping = True
        durable = self._context.store.is_durable
        for delayed in list(self._delayed.values()):
            self._context.deadlines.cancel(delayed.deadline)
            if not durable:
                self._finish(delayed.job, FinalAnswer.REFUSED)
        self._delayed.clear()
        if durable:
            return
        for dependent in list(self._dependent.values()):
            if dependent.job.final_answer is None:
                self._finish(dependent.job, FinalAnswer.REFUSED)


def _parse_dependencies(custom: JsonObject) -> list[Edge]:
    """The jobs that a job waits for; raises ``ValueError``."""
    return parse_edges(custom.get("after"), custom.get("on_failure"))

"""Schedules accepted jobs: hands each job to the core immediately, at its start time or after its parents end."""

from collections import deque
from collections.abc import Callable

from heronlug.balancer.events import AttemptSnapshot, ServerState
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.errors import InvalidArgumentError, UnknownParentError
from heronlug.frontends.faktory.job import Job, Parent
from heronlug.frontends.faktory.job_state import JobState
from heronlug.frontends.faktory.known_jobs import KnownJobs
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.requests.model import FinalAnswer, ListedServer, Request
from heronlug.scheduling.chains import ChainState, Edge, RequestChains, parse_edges

EARLIER_WORKER = ListedServer(name="", address="", state=ServerState.REMOVED)
"""The worker of a delivery by an earlier process; a worker that connects never has an empty wid."""


class JobScheduler:
    """Decides when accepted jobs start, and what becomes of those that have not started when the process stops."""

    def __init__(self, context: FaktoryContext, jobs: KnownJobs, finish: Callable[[Job, FinalAnswer], None]) -> None:
        """Creates a scheduler.

        Args:
            context: the configuration and services.
            jobs: all known jobs; the caller adds and removes jobs.
            finish: called with each job that ends without having started, and with its final answer.
        """
        self._context = context
        self._jobs = jobs
        self._finish = finish
        self._chains = RequestChains()
        self._ended_jobs: deque[tuple[str, bool]] = deque()
        self._handling_ends = False

    def start(self, job: Job) -> Request | None:
        """Hands a job to the core, immediately or at its start time.

        Returns:
            The request, or None if the job starts later or, because the process stops, not at all.
        """
        deadlines = self._context.deadlines
        if not self._context.state.starts_jobs:
            self._end_without_start(job)
            return None
        if job.timing.due_at > deadlines.clock():
            job.enter(JobState.DELAYED)
            job.start_deadline = deadlines.call_at(job.timing.due_at, self._start_now, job)
            return None
        return self._start_now(job)

    def _start_now(self, job: Job) -> Request:
        job.enter(JobState.STARTED)
        self._context.memory.hold_started(job)
        remaining_ms = job.timing.remaining_ms
        return self._context.core.accept(job, job.class_index, remaining_ms, size=job.size, policy=job.policy)

    def resume(self, job: Job, remaining_ms: float, delivered_at: float, deliveries: int) -> None:
        """Hands a job to the core that an earlier process delivered to a worker, so that the job may have run.

        The core counts the earlier deliveries as attempts, so a later delivery is allowed only as for any further
        attempt: within the repeat window, counted from the first delivery, and up to the maximum number of attempts.

        Args:
            job: the job.
            remaining_ms: time in ms until the final answer.
            delivered_at: time in ms of the first delivery.
            deliveries: number of deliveries.
        """
        job.enter(JobState.STARTED)
        self._context.memory.hold_started(job)
        now = self._context.deadlines.clock()
        request = Request(job, job.class_index, job.policy, now + remaining_ms, now)
        earlier_delivery = AttemptSnapshot(
            server=0,
            sent_at=delivered_at,
            in_flight=False,
            unstarted=False,
            may_have_run=True,
            last_progress_at=delivered_at,
        )
        self._context.core.handover.adopt(request, [(EARLIER_WORKER, earlier_delivery)] * deliveries)

    def may_start(self, job: Job) -> bool:
        """Records the dependencies of a job and returns whether the job may start.

        A job with open parents waits until its parents have ended. A job that needs a parent to be served fails
        immediately if this parent has ended without being served.
        """
        parents, job.parents = job.parents, []
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
            job.enter(JobState.DEPENDENT)
        elif chain_state is ChainState.FAILED:
            # Operators' pages quote this cause; it must not change.
            self._context.log("job_chain_failed", jid=job.jid, cause="a parent had failed")
            self._finish(job, FinalAnswer.FAILED)
        return chain_state is ChainState.READY

    def known_parents(self, edges: list[Edge]) -> list[Parent]:
        """Returns the parents of a recovered job.

        A parent whose jid has been forgotten ended long ago and released the job at that time.
        """
        return [Parent(edge, self._jobs[edge.parent]) for edge in edges if edge.parent in self._jobs]

    def parents_of_push(self, custom: JsonObject) -> list[Parent]:
        """Returns the parents of a pushed job, each of which must be known.

        Raises:
            InvalidArgumentError: if ``after`` or ``on_failure`` is malformed.
            UnknownParentError: if the jid of a parent is not known.
        """
        try:
            edges = parse_edges(custom.get("after"), custom.get("on_failure"))
        except ValueError as error:
            raise InvalidArgumentError(str(error)) from error
        for edge in edges:
            if edge.parent not in self._jobs:
                raise UnknownParentError(edge.parent)
        return [Parent(edge, self._jobs[edge.parent]) for edge in edges]

    def job_ended(self, jid: str, served: bool) -> None:
        """Starts the jobs whose last open parent has ended.

        If the ended job was not served, the jobs that need it to be served fail, and in turn the jobs that need these.
        A job that ends while this end is handled is handled afterwards, so that a long chain takes no recursion.
        """
        self._ended_jobs.append((jid, served))
        if self._handling_ends:
            return
        self._handling_ends = True
        try:
            while self._ended_jobs:
                self._handle_end(*self._ended_jobs.popleft())
        finally:
            self._handling_ends = False

    def _handle_end(self, jid: str, served: bool) -> None:
        chain_end = self._chains.request_ended(jid, served)
        for child in chain_end.failed:
            self._context.log("job_chain_failed", jid=child, cause=jid)
            self._finish(self._jobs.open[child], FinalAnswer.FAILED)
        for child in chain_end.released:
            self._context.store.release(child, self._context.deadlines.clock())
            self.start(self._jobs.open[child])

    def stop(self) -> None:
        """Ends the jobs that have not started, because the process stops.

        The jobs are rejected, or stay in a durable store for the next process.
        """
        for job in self._jobs_in(JobState.DELAYED):
            self._context.deadlines.cancel(job.start_deadline)
            self._end_without_start(job)
        if not self._context.store.is_durable:  # otherwise dependent jobs still fail if a parent fails
            for job in self._jobs_in(JobState.DEPENDENT):
                if job.state is JobState.DEPENDENT:  # the end of another job may have ended this one
                    self._finish(job, FinalAnswer.REFUSED)

    def keep_dependent_jobs(self) -> None:
        """Leaves the jobs that still wait for their parents to the next process."""
        for job in self._jobs_in(JobState.DEPENDENT):
            self.keep(job)

    def keep(self, job: Job) -> None:
        """Leaves a job that never ran in the durable store for the next process."""
        job.enter(JobState.KEPT)
        self._context.log("job_kept", jid=job.jid)

    def _jobs_in(self, state: JobState) -> list[Job]:
        return [job for job in self._jobs.open.values() if job.state is state]

    def _end_without_start(self, job: Job) -> None:
        if self._context.store.is_durable:
            self.keep(job)
        else:
            self._finish(job, FinalAnswer.REFUSED)

"""Connects the Faktory work protocol, version 2, to a core of its own.

Each job is a request whose jobtype names the request class. Each connected worker is a server of this core, and the
core selects the worker for each job.
"""

from collections.abc import Callable

from heronlug.frontends.faktory.config import FaktoryConfig
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.delivery import JobDelivery
from heronlug.frontends.faktory.frontend_state import FrontendEvent, next_state
from heronlug.frontends.faktory.info import server_info
from heronlug.frontends.faktory.job_memory import JobMemory
from heronlug.frontends.faktory.job_recovery import JobRecovery
from heronlug.frontends.faktory.jobs import JobTable
from heronlug.frontends.faktory.reservations import Reservations
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.frontends.faktory.session import FaktorySession
from heronlug.frontends.faktory.session_memory import SessionMemory
from heronlug.frontends.faktory.stored_jobs import StoredJobs, read_stored_jobs
from heronlug.frontends.faktory.workers import WorkerTable
from heronlug.memory.account import MemoryAccount
from heronlug.net.close_watch import CloseWatch
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Attempt, FinalAnswer, Request
from heronlug.requests.slots import SlotTable
from heronlug.storage.model import Store


class FaktoryFrontend:
    """Owns the sessions, jobs and workers and serves as the transport of their core.

    Attributes:
        context: the configuration and services.
        jobs: the known jobs.
        workers: the workers by wid.
        delivery: delivers jobs to workers.
        sessions: the open connections.
        session_memory: counts what the open connections hold.
        close_watch: notices that the clients of connections that are not read have left.
        run_due: runs the deadlines that are due; called after each input from the network.
    """

    def __init__(
        self,
        config: FaktoryConfig,
        deadlines: Deadlines,
        log: EventLog,
        run_due: Callable[[], None],
        store: Store,
        memory: MemoryAccount,
    ) -> None:
        """Creates a frontend that is turned off, and reads its store; the caller must set ``core`` before use."""
        self.context = FaktoryContext(config, deadlines, log, store, JobMemory(memory, log))
        self._stored = read_stored_jobs(store.load())
        self._reservations = Reservations(self.context)
        self.jobs = JobTable(self.context)
        self.workers = WorkerTable(self.context, self._reservations)
        self.delivery = JobDelivery(self.context, self.workers, self._reservations)
        self.sessions: SlotTable[FaktorySession] = SlotTable()
        self.session_memory = SessionMemory(memory)
        self.close_watch = CloseWatch(deadlines, FaktorySession.abort)
        self.run_due = run_due

    @property
    def core(self) -> Core:
        """Returns the core that assigns jobs to workers."""
        return self.context.core

    @core.setter
    def core(self, core: Core) -> None:
        """Sets the core, which is created after this frontend because the frontend is its transport."""
        self.context.core = core

    @property
    def config(self) -> FaktoryConfig:
        """Returns the current configuration."""
        return self.context.config

    @config.setter
    def config(self, config: FaktoryConfig) -> None:
        """Replaces the configuration."""
        self.context.config = config

    # -- lifecycle

    def protocol(self) -> FaktorySession:
        """Returns a session for a new connection."""
        return FaktorySession(self)

    def recover(self) -> None:
        """Resumes the jobs that were in the store when it was opened."""
        stored, self._stored = self._stored, StoredJobs()
        JobRecovery(self.context, self.jobs).recover(stored)

    def turn_on(self) -> None:
        """Starts to accept new jobs; has no effect once the process stops."""
        self._apply_event(FrontendEvent.TURNED_ON)

    def turn_off(self) -> None:
        """Stops accepting new jobs; accepted jobs continue."""
        self._apply_event(FrontendEvent.TURNED_OFF)

    def begin_stop(self) -> None:
        """Stops accepting and starting jobs because the process stops; jobs that have started still finish."""
        self._apply_event(FrontendEvent.STOP_BEGAN)
        self.jobs.scheduler.stop()

    def give_up_jobs(self) -> None:
        """Ends all open jobs because the process ends.

        With a durable store, a job that never ran stays in the store for the next process instead.
        """
        self._apply_event(FrontendEvent.TIME_TO_ANSWER_ENDED)
        self.workers.drain_all()
        self.core.give_up_all()
        self.workers.reset_reservations("shutdown")
        self.jobs.scheduler.keep_dependent_jobs()

    def _apply_event(self, event: FrontendEvent) -> None:
        """Changes the state and logs a change with the open jobs by what they wait for."""
        before = self.context.state
        self.context.state = next_state(before, event)
        if self.context.state is not before:
            self.context.log("faktory_state", state=self.context.state.value, **self.jobs.open_counts())

    def close(self) -> None:
        """Closes all sessions and the store."""
        for session in self.sessions:
            session.close()
        self.context.store.close()

    # -- the transport of the core

    def send(self, attempt: Attempt) -> None:
        """Assigns a job to a worker."""
        self.delivery.assign(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt."""
        self.delivery.cancel(attempt)

    def client_waits(self, request: Request) -> bool:
        """Returns True: a job stays known by its jid even if its producer has disconnected."""
        return True

    def may_hide_disconnect(self, request: Request) -> bool:
        """Returns False, for the same reason."""
        return False

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """Ends a job; the protocol has no message for that, so the end is recorded under the jid and logged."""
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        self.jobs.answer(request.payload, final, may_have_run)

    # -- sessions

    def session_opened(self, session: FaktorySession) -> bool:
        """Adds a session; returns whether the number of connections is still within the limit."""
        session.handle = self.sessions.add(session)
        return len(self.sessions) <= self.config.max_connections

    def session_closed(self, session: FaktorySession) -> None:
        """Removes a closed session and resets the reservations of the jobs that were fetched on the session."""
        self.sessions.remove(session.handle)
        if session.worker is not None:
            self.workers.disconnect(session.worker, session)

    def info(self) -> JsonObject:
        """Returns the state of the frontend for the reply to INFO."""
        return server_info(
            self.context.deadlines.clock(),
            self.jobs.by_jid.open.values(),
            self.workers.by_wid.values(),
            self.core.counts,
            len(self.sessions),
            self._reservations.reset_count,
        )

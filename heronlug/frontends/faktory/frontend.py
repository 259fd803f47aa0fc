"""The frontend for the Faktory work protocol, version 2.

A job is a request, and its jobtype names the class. A connected worker is a server of the frontend's own core, which
decides which worker gets a job.
"""

from collections.abc import Callable

from heronlug.frontends.faktory.config import FaktoryConfig
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.delivery import JobDelivery
from heronlug.frontends.faktory.info import server_info
from heronlug.frontends.faktory.jobs import JobTable
from heronlug.frontends.faktory.reservations import Reservations
from heronlug.frontends.faktory.resp import JsonObject
from heronlug.frontends.faktory.session import FaktorySession
from heronlug.frontends.faktory.workers import WorkerTable
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog
from heronlug.requests.model import Attempt, FinalAnswer, Request
from heronlug.requests.slots import SlotTable
from heronlug.storage.model import Store


class FaktoryFrontend:
    """The sessions, jobs and workers, and the transport of their core.

    Attributes:
        context: the configuration and services.
        jobs: the known jobs.
        workers: the workers.
        delivery: brings jobs to workers.
        sessions: the open connections.
        run_due: runs the deadlines that are due; called after input from outside.
    """

    def __init__(
        self,
        config: FaktoryConfig,
        deadlines: Deadlines,
        log: EventLog,
        run_due: Callable[[], None],
        store: Store,
    ) -> None:
        """Make a frontend that accepts jobs; its core is still to be set."""
        self.context = FaktoryContext(config, deadlines, log, store)
        self._reservations = Reservations(self.context)
        self.jobs = JobTable(self.context)
        self.workers = WorkerTable(self.context, self._reservations)
        self.delivery = JobDelivery(self.context, self.workers, self._reservations)
        self.sessions: SlotTable[FaktorySession] = SlotTable()
        self.run_due = run_due

    @property
    def core(self) -> Core:
        """Decides about the jobs."""
        return self.context.core

    @core.setter
    def core(self, core: Core) -> None:
        """Set the core, once it is made with this frontend as its transport."""
        self.context.core = core

    @property
    def config(self) -> FaktoryConfig:
        """The configuration in force."""
        return self.context.config

    @config.setter
    def config(self, config: FaktoryConfig) -> None:
        """Use another configuration from now on."""
        self.context.config = config

    # -- lifecycle

    def protocol(self) -> FaktorySession:
        """A protocol for a new connection."""
        return FaktorySession(self)

    def recover(self) -> None:
        """Go on with the jobs that the store holds."""
        self.jobs.recover()

    def accept_jobs(self) -> None:
        """Accept jobs from now on."""
        self.jobs.scheduler.stopping = False

    def stop_accepting_jobs(self) -> None:
        """Only finish the jobs that have started."""
        self.jobs.scheduler.stop()

    def close(self) -> None:
        """Close all sessions and the store."""
        for session in self.sessions:
            session.close()
        self.context.store.close()

    # -- the transport of the core

    def send(self, attempt: Attempt) -> None:
        """Assign a job to a worker."""
        self.delivery.assign(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Drop an attempt."""
        self.delivery.cancel(attempt)

    def client_waits(self, request: Request) -> bool:
        """Always true: a job is kept under its jid, whether or not its producer is connected."""
        return True

    def answer(self, request: Request, final: FinalAnswer, body: bytes, retry_after: float) -> None:
        """End a job; the protocol has no message for that, so it is kept under its jid and logged."""
        self.jobs.answer(request.payload, final)

    # -- sessions

    def session_opened(self, session: FaktorySession) -> bool:
        """Enter a session; returns whether there is room for it."""
        session.handle = self.sessions.add(session)
        return len(self.sessions) <= self.config.max_connections

    def session_closed(self, session: FaktorySession) -> None:
        """A session has ended, and with it the reservations of jobs that were fetched on it."""
        self.sessions.remove(session.handle)
        if session.worker is not None:
            self.workers.disconnect(session.worker, session)

    def info(self) -> JsonObject:
        """The state for INFO."""
        return server_info(
            self.context.deadlines.clock(),
            self.jobs.by_jid.values(),
            self.workers.by_wid.values(),
            self.core.counts,
            len(self.sessions),
            self._reservations.reset_count,
        )

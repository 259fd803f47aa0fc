"""Holds the configuration and services that the components of the Faktory frontend share."""

from dataclasses import dataclass, field

from heronlug.frontends.faktory.config import FaktoryConfig
from heronlug.frontends.faktory.frontend_state import FrontendState
from heronlug.frontends.faktory.job_memory import JobMemory
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog
from heronlug.storage.model import Store


@dataclass(slots=True, eq=False)
class FaktoryContext:
    """The current configuration and the shared services.

    Attributes:
        config: the current configuration; a reload replaces this object.
        deadlines: the clock and the pending time-outs.
        log: the event log.
        store: the store of accepted jobs.
        memory: counts what the known jobs hold.
        core: assigns jobs to workers. The core needs the frontend as its transport, so this attribute is set after
            both have been created.
        state: whether new jobs are accepted and accepted jobs start.
    """

    config: FaktoryConfig
    deadlines: Deadlines
    log: EventLog
    store: Store
    memory: JobMemory
    core: Core = field(init=False)
    state: FrontendState = FrontendState.OFF

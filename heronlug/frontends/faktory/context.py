"""What the parts of the Faktory frontend share."""

from dataclasses import dataclass, field

from heronlug.frontends.faktory.config import FaktoryConfig
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog
from heronlug.storage.model import Store


@dataclass(slots=True, eq=False)
class FaktoryContext:
    """The configuration in force and the services that the parts use.

    Attributes:
        config: the configuration; a reload replaces it.
        deadlines: where time-outs are kept, and the clock.
        log: where events are logged.
        store: where accepted jobs are stored.
        core: decides about the jobs; set once it is made, since it needs the frontend as its transport.
    """

    config: FaktoryConfig
    deadlines: Deadlines
    log: EventLog
    store: Store
    core: Core = field(init=False)

"""The four rules as a checker of any run's events, emulated or from sockets: no I/O, nothing of the module's own."""

from heronlug.rules.checker import Checker, Violation
from heronlug.rules.events import (
    Answered,
    Began,
    Called,
    Changed,
    Dialled,
    Ended,
    Event,
    Listed,
    Load,
    Reachable,
    Sent,
    Started,
    Stopped,
    Taken,
    Watching,
    WatchOver,
    read,
    write,
)

__all__ = ["Answered", "Began", "Called", "Changed", "Checker", "Dialled", "Ended", "Event", "Listed", "Load",
           "Reachable", "Sent", "Started", "Stopped", "Taken", "Violation", "WatchOver", "Watching", "read",
           "write"]  # fmt: skip

"""The four rules as a checker of any run's events, emulated or from sockets: no I/O, nothing of the module's own."""

from heronlug.rules.checker import Checker, Violation
from heronlug.rules.events import (
    Answered,
    Began,
    Called,
    Dialled,
    Ended,
    Event,
    Listed,
    Load,
    Sent,
    Started,
    Stopped,
    Taken,
    read,
    write,
)

__all__ = ["Answered", "Began", "Called", "Checker", "Dialled", "Ended", "Event", "Listed", "Load", "Sent", "Started",
           "Stopped", "Taken", "Violation", "read", "write"]  # fmt: skip

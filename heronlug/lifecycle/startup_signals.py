"""SIGHUP before the loop runs: it must not end the process, as it does by default, and is not to be lost.

An operator may write a new configuration and send the signal at any moment, also right after a restart, when the old
file may have been read already.  So it is noted from the first line of the program on, and the files are read once more
when the process serves.  What comes before that line is for whoever starts the process to hold off, as
``deploy/balancer.toml`` does: the files are read later than that in any case.
"""

import signal
from types import FrameType


class StartupSignals:
    """Whether the signal has come; one for a process."""

    def __init__(self) -> None:
        self.came = False

    def listen(self) -> None:
        """Note it from now on, until the loop has a handler of its own."""
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, number: int, frame: FrameType | None) -> None:
        self.came = True


early = StartupSignals()

"""SIGHUP before the event loop runs: by default it would end the process, and the reload would be lost.

An operator may write a new configuration and send the signal at any moment, also right after a restart, when the old
file may have been read already. The signal is therefore noted from the first line of the program on, and the files are
read once more when the process serves. Whoever starts the process holds a signal back that comes even earlier, as
``deploy/balancer.toml`` does; the files are read later than that.
"""

import signal
from types import FrameType


class StartupSignals:
    """Notes the signals of a start.

    Attributes:
        reload_requested: SIGHUP has come.
    """

    def __init__(self) -> None:
        """Note nothing yet."""
        self.reload_requested = False

    def listen(self) -> None:
        """Note SIGHUP from now on, until the event loop has a handler of its own."""
        signal.signal(signal.SIGHUP, self._record_reload)

    def _record_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True


startup_signals = StartupSignals()
"""The signals of this process."""

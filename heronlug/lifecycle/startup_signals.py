"""Records SIGHUP before the event loop runs, when the signal would end the process by default and lose the reload.

An operator may write a new configuration and send the signal at any time, including right after a restart, when the
process may already have read the old file. The program therefore records the signal from its first line on and reads
the files again once the process accepts clients. A signal that arrives even earlier must be ignored by the command that
starts the process, as in ``deploy/balancer.toml``; the process reads the files after that.
"""

import asyncio
import signal
from types import FrameType


class StartupSignals:
    """Records the signals received during the start.

    Attributes:
        reload_requested: Whether SIGHUP has been received.
    """

    def __init__(self) -> None:
        """Creates a record without signals."""
        self.reload_requested = False

    def listen(self) -> None:
        """Records SIGHUP until the event loop installs its own handler."""
        signal.signal(signal.SIGHUP, self._record_reload)

    def _record_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True


HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
"""Signals that the event loop handles while it runs."""


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores further signals, since the loop restores their default action when it closes, which ends the process.

    They are blocked meanwhile, because removing a handler restores the default action too.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


startup_signals = StartupSignals()
"""The recorded signals of this process."""

"""Handles the signals of a process at its start, while it runs and at its end.

An operator may write a new configuration and send SIGHUP at any time, including right after a restart, when the
process may already have read the old file. The program therefore records SIGHUP from its first line on, when the signal
would end the process by default, and reads the files again once the process accepts clients. A SIGHUP that arrives even
earlier must be ignored by the command that starts the process, as in ``deploy/balancer.toml``; the process reads the
files after that.
"""

import asyncio
import signal
from collections.abc import Callable
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


class StopSignals:
    """Notices SIGTERM and SIGINT at the time of their arrival.

    The event loop handles signals only after all events of its current iteration, which takes long while many clients
    send. The time to stop has begun by then.
    """

    def __init__(self, clock: Callable[[], float], on_stop: Callable[[float], None]) -> None:
        """Creates a record without signals.

        Args:
            clock: Returns the current time in ms.
            on_stop: Called once with the time of the first signal, in ms.
        """
        self._clock = clock
        self._on_stop = on_stop
        self._received_at: float | None = None
        self._delivered = False

    def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Records the signals from now on; must be called in the main thread."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.deliver)  # wakes the loop
            signal.signal(number, self._record)

    def deliver(self) -> None:
        """Begins the stop if a signal has arrived; called after each event."""
        if self._received_at is not None and not self._delivered:
            self._delivered = True
            self._on_stop(self._received_at)

    def _record(self, number: int, frame: FrameType | None) -> None:
        if self._received_at is None:
            self._received_at = self._clock()


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

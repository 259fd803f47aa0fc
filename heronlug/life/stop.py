"""The planned stop: go on serving, answer all that is taken, leave once it is quiet."""

from collections.abc import Callable

from heronlug.memory.deadlines import Deadlines

COMING = 700.0  # connections keep coming for 0.2 to 0.4 s after the signal, and then none may have come for as long
AT_MOST = 2000.0  # who goes on dialling longer than this has not come by way of the front, and holds up no stop
LOOK = 50.0  # between two looks


class Stop:
    """From the signal to the exit."""

    def __init__(
        self,
        deadlines: Deadlines,
        busy: Callable[[], int],
        came_at: Callable[[], float],
        close_idle: Callable[[], None],
        leave: Callable[[], None],
    ) -> None:
        self._deadlines, self._busy, self._came_at = deadlines, busy, came_at
        self._close_idle, self._leave = close_idle, leave
        self._since = 0.0

    def begin(self) -> None:
        """The signal has come; a second one changes nothing."""
        if not self._since:
            self._since = self._deadlines.clock()
            self._look()

    def _look(self) -> None:
        now = self._deadlines.clock()
        # clients use the connections they have for as long as those stay open: once no new ones come, the front
        # has let go of us, and what is closed between requests is opened elsewhere
        quiet = now - max(self._since, self._came_at()) >= COMING or now - self._since >= AT_MOST
        if quiet:
            self._close_idle()
        if quiet and not self._busy():
            self._leave()
        else:
            self._deadlines.after(LOOK, self._look)

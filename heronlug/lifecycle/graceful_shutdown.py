"""Parting with the clients: for a drain, which can be taken back, an upgrade, and a planned stop, which cannot."""

from collections.abc import Callable

from heronlug.requests.deadlines import Deadlines

COMING = 700.0  # connections keep coming for 0.2 to 0.4 s after the signal, and then none may have come for as long
AT_MOST = 2000.0  # who goes on dialling longer than this has not come by way of the front, and holds up no stop
GRACE, LONGEST = 700.0, 3000.0  # we are killed so long after the longest deadline, of which so much counts, or later
BEFORE = 250.0  # and have answered everything so long before that
LAST_TURN = 1000.0  # what comes later than so long before that could hardly be served: clients go elsewhere
LOOK = 50.0  # between two looks
LOOK_TO_PASS = 10.0  # the same while clients are passed on


class GracefulShutdown:
    """Whether clients are wanted, whether those that are here are sent elsewhere, and when the process may end.

    In a drain somebody has seen to it that others serve: clients' connections end with their next answer, and the
    idle ones once no new ones come.  At a stop the front brings no new clients either, but those that we have stay
    for as long as their connections do.  Where another dispatcher serves they are sent there; where none does (a
    restart in turn may overlap with the one before), we are all that they have, and keep them to the last.
    In an upgrade another process serves in our place, and clients' connections are passed on to it as they are.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        longest: float,
        busy: Callable[[], int],
        came_at: Callable[[], float],
        others: Callable[[], bool],
        leave_peers: Callable[[], None],
        stay: Callable[[], None],
        give_up: Callable[[], None],
        close_idle: Callable[[], None],
        leave: Callable[[], None],
    ) -> None:
        self._deadlines, self._busy, self._came_at, self._others = deadlines, busy, came_at, others
        self._leave_peers, self._stay, self._give_up = leave_peers, stay, give_up
        self._close_idle, self._leave = close_idle, leave
        self._whole = min(longest, LONGEST) + GRACE - BEFORE
        self._drained_at = self._stopped_at = 0.0
        self._pass_on: Callable[[], None] | None = None  # once another process serves in our place
        self._looking = False

    @property
    def wanted(self) -> bool:
        """Whether new clients are."""
        return not (self._drained_at or self._stopped_at)

    @property
    def stopping(self) -> bool:
        """Whether the process will end."""
        return self._stopped_at > 0

    @property
    def answer_by(self) -> float:
        """When the last answer must be out, once a stop has begun."""
        return self._stopped_at + self._whole

    def is_draining(self) -> bool:
        """Whether clients' connections end with their next answer."""
        if self._pass_on is not None:
            return False
        if self._drained_at:
            return True
        if not self._stopped_at:
            return False
        return self._others() or self._deadlines.clock() >= self.answer_by - LAST_TURN

    def drain(self) -> bool:
        """An operator wants no clients here; False when that is so already."""
        if not self.wanted:
            return False
        self._drained_at = self._deadlines.clock()
        self._begin()
        return True

    def undrain(self) -> bool:
        """The drain is over; False when there was none.  A stop goes on."""
        drained, self._drained_at = self._drained_at > 0, 0.0
        if drained and self.wanted:
            self._stay()
        return drained

    def hand_over(self, pass_on: Callable[[], None] | None) -> None:
        """Another process serves in our place and takes what is passed on; None when that is over."""
        self._pass_on = pass_on
        self._begin()

    def stop(self) -> bool:
        """The signal has come; a second one changes nothing."""
        if self._stopped_at:
            return False
        self._stopped_at = self._deadlines.clock()
        self._deadlines.call_at(self.answer_by, self._give_up)
        self._begin()
        return True

    def _begin(self) -> None:
        if not self._looking:
            self._looking = True
            self._look()

    def _look(self) -> None:
        pass_on = self._pass_on
        self._looking = not self.wanted or pass_on is not None
        if not self._looking:
            return
        now, since = self._deadlines.clock(), max(self._drained_at, self._stopped_at)
        if pass_on is not None:
            pass_on()
        else:
            self._leave_peers()
        # clients use the connections they have for as long as those stay open: once no new ones come, the front
        # has let go of us, and what is closed between requests is opened elsewhere
        quiet = pass_on is not None or now - max(since, self._came_at()) >= COMING or now - since >= AT_MOST
        if quiet and self.is_draining():
            self._close_idle()
        if quiet and self._stopped_at and not self._busy():
            self._leave()
        else:
            self._deadlines.call_after(LOOK if pass_on is None else LOOK_TO_PASS, self._look)

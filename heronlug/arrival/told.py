"""Until when the list that is held may be gone by: what counts as told, whether or not it has arrived.

The platform's pages hold a dispatcher to what the register had to tell it, on clocks of their own: a watch that has
fallen silent has told everything 6 s later, or 2 s after the wait of its call is over; where lists are pushed, all
that the agent has is told at once, watch or not. Past that and the grace for drains any host of the list may have
left, and none may get new work until an answer brings the list up to date.

All that moves the state is in the methods here. What they rest on:

====== ==================================================================================================
state  what may have been told and is not here
====== ==================================================================================================
HELD   nothing but what our call that is out has missed
APART  there is no watch. Asked: each change counts as told ``ask_every`` after it was made, four times as
       late while calls fail. Pushed: at once, but while the register is down its agent learns nothing
SILENT a watch fell silent: what it missed stays told, however later calls end, until one is answered
====== ==================================================================================================

Times in milliseconds on one clock; no I/O and no clock of its own.
"""

from enum import Enum
from math import inf

SILENCE = 6_000.0  # a call that fell silent has told what it missed so long after, and one that waits for news
AFTER_WAIT = 2_000.0  # so long after that wait is over, if that is later
MOVED = 4_000.0  # after a new configuration, as the page has it for lists that are pushed; the sooner for all
WHILE_FAILING = 4.0  # calls that fail put off what counts as told without a watch by this factor
MARGIN = 50.0  # ms that are kept of the grace: a turn of ours may be long
PAUSES = 6  # where a list is pushed, a watch that broke is tried again so often within the grace


class Held(Enum):
    """What is known of the list that is held."""

    HELD = "held"
    APART = "apart"
    SILENT = "silent"


class Told:
    """The clock of one register's list, from the start of a process on."""

    def __init__(self, pushed: bool, ask_every: float, grace: float) -> None:
        self.pushed, self._ask_every, self._grace = pushed, ask_every, max(0.0, grace - min(MARGIN, grace / 4))
        self.state, self.sure_until = Held.APART, inf

    @property
    def pause(self) -> float | None:
        """Until the next call where the page leaves no time to ask as the module paces it; else None."""
        return max(50.0, self._grace / PAUSES) if self.pushed else None

    @property
    def missing(self) -> bool:
        """Whether something may be told already that is not here: only an answer helps, and a watch is none."""
        return self.state is Held.SILENT or (self.state is Held.APART and self.pushed)

    def begin(self, now: float) -> None:
        """A process has started with the list that it was given."""
        self._apart(now, min(self._ask_every, SILENCE))

    def moved(self, now: float) -> None:
        """The register is elsewhere from now on."""
        self._apart(now, min(self._ask_every, MOVED), MOVED)

    def called(self, now: float, wait: float) -> None:
        """A call has gone out that waits so long for news."""
        limit = now + max(SILENCE, wait + AFTER_WAIT) + self._grace
        self.sure_until = min(self.sure_until, limit) if self.missing else limit

    def answered(self) -> None:
        """The list is up to date, as of this answer; the next call follows at once."""
        self.state = Held.HELD

    def silent(self) -> None:
        """A call was given up unanswered."""
        self.state = Held.SILENT

    def parted(self, now: float) -> None:
        """The watch is over, or cannot be gone on with at once."""
        if self.state is Held.HELD:
            self._apart(now, self._ask_every)

    def failed(self, now: float, called_at: float) -> None:
        """The register has ended or refused a call, or a dial: it hears us, and we know no more than before."""
        if self.state is Held.HELD:
            self.parted(now)
        elif self.state is Held.APART:
            self._apart(now if self.pushed else called_at, WHILE_FAILING * self._ask_every)

    def _apart(self, since: float, asked: float, pushed: float = 0.0) -> None:
        self.state = Held.APART
        self.sure_until = since + (pushed if self.pushed else asked) + self._grace

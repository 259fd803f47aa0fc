"""The states of one hall, as one table: no I/O, no clock, nothing known of hosts.

========= =============================================================== ==========
from      when                                                            to
========= =============================================================== ==========
well      it looks failed a little                                        doubtful
doubtful  it does no more                                                 well
doubtful  it looks failed for sure, and its share may be left             left
left      its wait is over, hosts have served trials, none failed since   returning
returning it looks failed a little, by the hosts that are offered         left, waiting twice as long
returning a stage has stood its time, and served                          the next stage; after the last, well
any       an operator says so                                             left or well, held so
========= =============================================================== ==========
"""

from dataclasses import dataclass
from enum import Enum

DOUBT, LEAVE = 2.0, 6.5  # ratio: e^6.5 is 665; three hosts of three that fail beside sound ones come to 8.9
FALL = 2.0  # on its return, the first two hosts that fail
LEAST = 3  # hosts that have failed: two are no hall
STAGES = (0.1, 0.3, 0.6, 1.0)  # share of its hosts that is offered
DWELL = 1500.0  # ms that a stage stands at least
WAITS = (2000.0, 60_000.0)  # ms that a hall stays left at least: the first time, and at most
CALM = 60_000.0  # ms after which a fall is forgotten
GOOD = 2  # hosts that have to have served trials


class Phase(Enum):
    """Of a hall."""

    WELL = "well"
    DOUBTFUL = "doubtful"
    LEFT = "left"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class View:
    """What is known of a hall at a look."""

    ratio: float  # how far it looks failed as one
    bad: int  # hosts that failed lately
    may_leave: bool  # the share of all hosts that would be left bears it
    served: int = 0  # hosts that have served since the phase or the stage began
    failed_at: float = 0.0  # when one of them failed last


@dataclass(slots=True)
class Hall:
    """One hall."""

    phase: Phase = Phase.WELL
    since: float = 0.0  # when the phase or the stage began
    stage: int = 0
    falls: int = 0
    held: float = 0.0  # until then an operator has it so; 0 for not at all
    cause: str = ""
    marked_at: float = 0.0  # where others decide: when they last told of it

    @property
    def offered(self) -> float:
        """The share of its hosts that work may go to."""
        if self.phase is Phase.LEFT:
            return 0.0
        return STAGES[self.stage] if self.phase is Phase.RETURNING else 1.0

    @property
    def wait(self) -> float:
        """How long it stays left at least."""
        return min(WAITS[1], WAITS[0] * 2.0**self.falls)

    def look(self, view: View, now: float) -> bool:
        """What follows from what is seen; True where that has changed."""
        if self.is_held(now):
            return False
        if self.phase is Phase.WELL:
            if self.falls and now - self.since > CALM:
                self.falls = 0
            if view.ratio >= DOUBT and view.bad >= LEAST - 1:
                return self._to(Phase.DOUBTFUL, now, f"{view.bad} hosts fail")
        elif self.phase is Phase.DOUBTFUL:
            if view.ratio >= LEAVE and view.bad >= LEAST and view.may_leave:
                return self._to(Phase.LEFT, now, f"{view.bad} hosts fail, ratio {view.ratio:.1f}")
            if view.ratio < DOUBT:
                return self._to(Phase.WELL, now, "it does no more")
        elif self.phase is Phase.LEFT:
            quiet = view.failed_at < now - DWELL or view.failed_at < self.since
            if now - self.since >= self.wait and view.served >= GOOD and quiet:
                self.stage = 0
                return self._to(Phase.RETURNING, now, f"{view.served} hosts served trials")
        elif view.ratio >= FALL and view.bad >= GOOD:
            self.falls += 1
            return self._to(Phase.LEFT, now, f"{view.bad} hosts fail on its return, time {self.falls}")
        elif now - self.since >= DWELL and view.served:
            if self.stage + 1 < len(STAGES):
                self.stage += 1
                return self._to(Phase.RETURNING, now, f"stage {self.stage}")
            return self._to(Phase.WELL, now, "it has returned")
        return False

    def is_held(self, now: float) -> bool:
        """Whether an operator has it so; when the time of that is over, what is seen decides again."""
        if self.held and now >= self.held:
            self.let_go(now)
        return self.held > 0

    def hold(self, phase: Phase, until: float, now: float) -> None:
        """An operator has it left or well, until then or until :meth:`let_go`."""
        self.held = until
        self._to(phase, now, "by hand")

    def let_go(self, now: float) -> None:
        """What is seen decides again: who was held left returns in stages."""
        self.held = 0.0
        if self.phase is Phase.LEFT:
            self.since = now - self.wait

    def _to(self, phase: Phase, now: float, cause: str) -> bool:
        self.phase, self.since, self.cause = phase, now, cause
        return True

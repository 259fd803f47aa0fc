"""Implements the state machine of a zone, without I/O, a clock or access to servers.

========= ======================================================================== ==========
from      when                                                                     to
========= ======================================================================== ==========
healthy   the evidence of a failure reaches ``DOUBT_RATIO``                        doubtful
doubtful  the evidence falls below ``DOUBT_RATIO``                                 healthy
doubtful  the evidence reaches ``FAILED_RATIO``; other zones can take the load     excluded
excluded  the least time is over, probes were served and no probe failed since     returning
returning servers that get traffic again fail                                      excluded, for twice as long
returning the stage has lasted long enough and requests were served                next stage; healthy after the last
any       an operator orders a phase                                               excluded or healthy, held
========= ======================================================================== ==========
"""

from dataclasses import dataclass
from enum import Enum
from math import inf

DOUBT_RATIO = 2.0
"""Log ratio of the evidence from which a failure is suspected."""

FAILED_RATIO = 6.5
"""Log ratio from which a zone has failed; three failing servers of three beside healthy zones give 8.9."""

RELAPSE_RATIO = 2.0
"""Log ratio from which a returning zone has failed again; the first two failing servers reach this value."""

LEAST_FAILED_SERVERS = 3
"""Least number of failing servers for which a zone counts as failed; two servers are too few to be a zone."""

STAGES = (0.1, 0.3, 0.6, 1.0)
"""Share of a zone's servers that get traffic, by stage of the return."""

STAGE_MS = 1500.0
"""Least duration of a stage."""

FIRST_EXCLUSION_MS = 2000.0
"""Least duration of a first exclusion; each relapse doubles the least duration."""

LONGEST_EXCLUSION_MS = 60_000.0
"""Upper bound of the least duration of an exclusion."""

RELAPSE_MEMORY_MS = 60_000.0
"""Time in the healthy phase after which relapses are forgotten."""

LEAST_RELAPSED_SERVERS = 2
"""Least number of servers that fail during a return for a relapse."""

LEAST_SERVED_PROBES = 2
"""Least number of servers that have served probes before traffic returns."""


class ZonePhase(Enum):
    """The phases of a zone; the values are part of snapshots and operators' views."""

    HEALTHY = "well"
    DOUBTFUL = "doubtful"
    EXCLUDED = "left"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """The evidence about a zone at a check.

    Attributes:
        log_ratio: log likelihood ratio of a failure of the whole zone.
        failed_servers: number of servers that failed recently.
        may_exclude: whether the other zones can take the load of the zone.
        served_servers: number of servers that have served since the phase or stage began.
        last_failed_at: time in ms of the last failure since the phase or stage began, 0 if none.
    """

    log_ratio: float
    failed_servers: int
    may_exclude: bool
    served_servers: int = 0
    last_failed_at: float = 0.0


@dataclass(slots=True)
class ZoneState:
    """The state of a zone.

    Attributes:
        phase: current phase.
        since: time in ms at which the phase or stage began.
        stage: index of the stage of the return, from 0.
        relapses: number of failures during a return, until they are forgotten.
        held_until: time in ms until which an operator holds the phase; 0 if not held, infinite until released.
        cause: readable reason of the last change of the phase; operators' pages quote the texts, which must not change.
        last_reported_at: where another dispatcher decides, time in ms of the last check at which the zone was not
            excluded or load summaries reported a server of the zone as excluded.
    """

    phase: ZonePhase = ZonePhase.HEALTHY
    since: float = 0.0
    stage: int = 0
    relapses: int = 0
    held_until: float = 0.0
    cause: str = ""
    last_reported_at: float = 0.0

    @property
    def offered_share(self) -> float:
        """The share of the zone's servers that get traffic."""
        if self.phase is ZonePhase.EXCLUDED:
            return 0.0
        return STAGES[self.stage] if self.phase is ZonePhase.RETURNING else 1.0

    @property
    def least_exclusion(self) -> float:
        """The least duration of the exclusion in ms."""
        return min(LONGEST_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2.0**self.relapses)

    def step(self, observed: ZoneObservation, now: float) -> bool:
        """Makes the transition that follows from an observation; returns whether the phase or stage changed."""
        if self.is_held(now):
            return False
        if self.phase is ZonePhase.HEALTHY:
            return self._step_healthy(observed, now)
        if self.phase is ZonePhase.DOUBTFUL:
            return self._step_doubtful(observed, now)
        if self.phase is ZonePhase.EXCLUDED:
            return self._step_excluded(observed, now)
        return self._step_returning(observed, now)

    def is_held(self, now: float) -> bool:
        """Returns whether an operator holds the phase; releases the phase first if the time of the order is over."""
        if self.held_until and now >= self.held_until:
            self.release(now)
        return self.held_until > 0

    def hold(self, phase: ZonePhase, until: float, now: float) -> None:
        """Enters a phase by an operator's order and holds the phase until a time in ms or until :meth:`release`."""
        self.held_until = until
        self._enter(phase, now, "by hand")

    def release(self, now: float) -> None:
        """Lets observations decide again; an excluded zone returns in stages."""
        self.held_until = 0.0
        if self.phase is ZonePhase.EXCLUDED:
            self.since = now - self.least_exclusion

    def _step_healthy(self, observed: ZoneObservation, now: float) -> bool:
        if self.relapses and now - self.since > RELAPSE_MEMORY_MS:
            self.relapses = 0
        if observed.log_ratio >= DOUBT_RATIO and observed.failed_servers >= LEAST_FAILED_SERVERS - 1:
            return self._enter(ZonePhase.DOUBTFUL, now, f"{observed.failed_servers} hosts fail")
        return False

    def _step_doubtful(self, observed: ZoneObservation, now: float) -> bool:
        failed = observed.log_ratio >= FAILED_RATIO and observed.failed_servers >= LEAST_FAILED_SERVERS
        if failed and observed.may_exclude:
            cause = f"{observed.failed_servers} hosts fail, ratio {observed.log_ratio:.1f}"
            return self._enter(ZonePhase.EXCLUDED, now, cause)
        if observed.log_ratio < DOUBT_RATIO:
            return self._enter(ZonePhase.HEALTHY, now, "it does no more")
        return False

    def _step_excluded(self, observed: ZoneObservation, now: float) -> bool:
        no_failure = observed.last_failed_at < now - STAGE_MS or observed.last_failed_at < self.since
        waited = now - self.since >= self.least_exclusion
        if waited and observed.served_servers >= LEAST_SERVED_PROBES and no_failure:
            self.stage = 0
            return self._enter(ZonePhase.RETURNING, now, f"{observed.served_servers} hosts served trials")
        return False

    def _step_returning(self, observed: ZoneObservation, now: float) -> bool:
        if observed.log_ratio >= RELAPSE_RATIO and observed.failed_servers >= LEAST_RELAPSED_SERVERS:
            self.relapses += 1
            cause = f"{observed.failed_servers} hosts fail on its return, time {self.relapses}"
            return self._enter(ZonePhase.EXCLUDED, now, cause)
        if now - self.since < STAGE_MS or not observed.served_servers:
            return False
        if self.stage + 1 < len(STAGES):
            self.stage += 1
            return self._enter(ZonePhase.RETURNING, now, f"stage {self.stage}")
        return self._enter(ZonePhase.HEALTHY, now, "it has returned")

    def _enter(self, phase: ZonePhase, now: float, cause: str) -> bool:
        self.phase, self.since, self.cause = phase, now, cause
        return True


UNTIL_RELEASED = inf
"""Value of ``held_until`` for an operator's order without an end."""

"""The states of one zone, as one table: no I/O, no clock, nothing known of servers.

========= ================================================================== ==========
from      when                                                               to
========= ================================================================== ==========
healthy   the evidence of a failure passes ``DOUBT_RATIO``                   doubtful
doubtful  it falls below that again                                          healthy
doubtful  it passes ``FAILED_RATIO``, and the other zones can take the load  excluded
excluded  its least time is over, probes were served, none failed since      returning
returning servers that get traffic again fail                                excluded, for twice as long
returning a stage has lasted long enough, and requests were served           the next stage; after the last, healthy
any       an operator orders it                                              excluded or healthy, held so
========= ================================================================== ==========
"""

from dataclasses import dataclass
from enum import Enum
from math import inf

DOUBT_RATIO = 2.0
"""Log ratio of the evidence from which a failure is suspected."""

FAILED_RATIO = 6.5
"""Log ratio from which a zone has failed: three of three servers that fail beside sound zones come to 8.9."""

RELAPSE_RATIO = 2.0
"""The same for a zone that returns: the first two servers that fail."""

LEAST_FAILED_SERVERS = 3
"""Servers that have failed at least: two are no zone."""

STAGES = (0.1, 0.3, 0.6, 1.0)
"""Share of its servers that get traffic in each stage of the return."""

STAGE_MS = 1500.0
"""The least time of a stage."""

FIRST_EXCLUSION_MS = 2000.0
"""The least time for which a zone is excluded; it doubles with each relapse."""

LONGEST_EXCLUSION_MS = 60_000.0
"""The longest that least time gets."""

RELAPSE_MEMORY_MS = 60_000.0
"""Time without a failure after which relapses are forgotten."""

LEAST_RELAPSED_SERVERS = 2
"""Servers that have to fail during a return for a relapse."""

LEAST_SERVED_PROBES = 2
"""Servers that have to have served probes before traffic returns."""


class ZonePhase(Enum):
    """The phases of a zone; the values stand in snapshots and operators' views."""

    HEALTHY = "well"
    DOUBTFUL = "doubtful"
    EXCLUDED = "left"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What is known of a zone at one check.

    Attributes:
        log_ratio: evidence that it has failed as one.
        failed_servers: servers that failed lately.
        may_exclude: the other zones can take its load.
        served_servers: servers that have served since the phase or stage began.
        last_failed_at: when one of them failed last.
    """

    log_ratio: float
    failed_servers: int
    may_exclude: bool
    served_servers: int = 0
    last_failed_at: float = 0.0


@dataclass(slots=True)
class ZoneState:
    """One zone.

    Attributes:
        phase: its phase.
        since: when the phase or stage began.
        stage: the stage of its return, from 0.
        relapses: failures during a return, until they are forgotten.
        held_until: an operator holds the phase until then; 0 for not at all, infinite for until released.
        cause: why the phase changed last, for people.
        last_reported_at: when load summaries last reported it as excluded, where others decide.
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
        """The share of its servers that get traffic."""
        if self.phase is ZonePhase.EXCLUDED:
            return 0.0
        return STAGES[self.stage] if self.phase is ZonePhase.RETURNING else 1.0

    @property
    def least_exclusion(self) -> float:
        """The least time for which it stays excluded, in ms."""
        return min(LONGEST_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2.0**self.relapses)

    def step(self, observed: ZoneObservation, now: float) -> bool:
        """Make the transition that follows from an observation; returns whether there was one."""
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
        """Whether an operator holds the phase; once that time is over, observations decide again."""
        if self.held_until and now >= self.held_until:
            self.release(now)
        return self.held_until > 0

    def hold(self, phase: ZonePhase, until: float, now: float) -> None:
        """Hold a phase by an operator's order, until a time or :meth:`release`."""
        self.held_until = until
        self._enter(phase, now, "by hand")

    def release(self, now: float) -> None:
        """Let observations decide again; an excluded zone returns in stages."""
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
"""The time of an operator's order that holds until it is released."""

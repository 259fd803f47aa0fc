"""Outlier detection: what ejects a server, and what takes it back.

A failed attempt ejects its server for ``EJECTION_DIALS`` connection time-outs, and twice as long with each failure in
a row, ``MAX_DOUBLINGS`` times at most: fast errors look like free slots, so one failure is enough. An ejected server
is half-open afterwards: it gets one idempotent request at a time until ``HALF_OPEN_TRIALS`` have been served in a
row. While more than ``PANIC_SHARE`` of the ready servers are ejected or half-open, the fault lies elsewhere, and
ejections are ignored.

An unresponsive server, which has reported nothing for some periods (:mod:`heronlug.balancer.silence`), gets one
idempotent request at a time as well.
"""

from collections.abc import Iterable
from random import Random

from heronlug.balancer.actions import LogLine
from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.events import Outcome
from heronlug.balancer.model import Request, Server
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.settings import Settings

EJECTION_DIALS = 4.0
"""The first ejection, in connection time-outs."""

MAX_DOUBLINGS = 3
"""How often an ejection may double."""

EJECTION_JITTER = (0.8, 1.2)
"""An ejection is shortened or lengthened by a random factor, so that dispatchers don't return at once."""

HALF_OPEN_TRIALS = 4
"""Successes in a row that take a server back: one that fails four in ten passes them one time in eight."""

PANIC_SHARE = 0.7
"""With more than this share of the ready servers ejected or half-open, ejections are ignored."""

EJECTING_OUTCOMES = frozenset({Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET})
"""Outcomes that eject a server: it fails, or it is full, and others may have room.

A time-out does not: a request may need longer than its client waits.
"""

REPORTED_AS_FAILURE = EJECTING_OUTCOMES - {Outcome.FULL}
"""Outcomes that other dispatchers are told of as failures: a full server is busy, which its load report shows."""


class OutlierDetection:
    """Ejects servers that fail, and says what an ejected or unresponsive server may get."""

    __slots__ = ("_can_retry", "_ejected_count", "_outbox", "_ready_count", "_rng", "_settings")

    def __init__(self, settings: Settings, derived: DerivedSettings, rng: Random, outbox: Outbox) -> None:
        self._settings, self._can_retry = settings, derived.can_retry
        self._rng, self._outbox = rng, outbox
        self._ejected_count = 0
        self._ready_count = 0

    def recount(self, ready: Iterable[Server]) -> None:
        """Count the ready servers, and those of them that are ejected or half-open."""
        trials = [server.outlier.trials_left for server in ready]
        self._ready_count = len(trials)
        self._ejected_count = sum(1 for trials_left in trials if trials_left)

    def record_outcome(self, server: Server, outcome: Outcome | int, now: float) -> None:
        """Eject the server after a failure; count a success of one that is half-open."""
        state = server.outlier
        if outcome in EJECTING_OUTCOMES:
            if now >= state.ejected_until:
                self._eject(server, Outcome(outcome), now)
            self._ejected_count += not state.trials_left
            state.trials_left = HALF_OPEN_TRIALS
        elif state.trials_left and outcome == Outcome.SERVED and now >= state.ejected_until:
            state.trials_left -= 1
            if not state.trials_left:
                state.ejections -= (
                    1  # only one is forgotten: after several in a row the next failure counts as a repeat
                )

    def allows(self, request: Request, server: Server, now: float) -> bool:
        """Whether the request may go to the server, as far as its outcomes and its silence say."""
        state, load = server.outlier, server.load
        if state.unresponsive and (request.non_idempotent or load.own_attempts > load.silent_attempts):
            return False
        if not (state.ejections and state.trials_left):
            return True
        too_risky = self._can_retry and request.non_idempotent
        closed = now < state.ejected_until or load.own_attempts or too_risky
        return not closed or self._ejected_count > PANIC_SHARE * self._ready_count

    def _eject(self, server: Server, outcome: Outcome, now: float) -> None:
        state = server.outlier
        state.ejections = min(state.ejections + 1, MAX_DOUBLINGS + 1)
        base_duration = EJECTION_DIALS * self._settings.dial_timeout * self._rng.uniform(*EJECTION_JITTER)
        state.ejected_until = now + base_duration * 2 ** (state.ejections - 1)
        if state.ejections == 1:
            self._outbox.add(LogLine(f"worker {server.id} ejected: {outcome.name.lower()}"))

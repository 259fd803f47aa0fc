"""Ejects servers whose attempts fail, and returns them to service after successful half-open trials.

A failed attempt ejects its server for ``EJECTION_DIAL_TIMEOUTS`` dial timeouts. Each further failure in a row doubles
the ejection, at most ``MAX_DOUBLINGS`` times. One failure is enough, because fast errors look like free slots. After
the ejection the server is half-open: the server gets one idempotent request at a time until ``HALF_OPEN_TRIALS``
requests in a row have been served. While more than ``PANIC_SHARE`` of the ready servers are ejected or half-open, the
cause is probably not the servers, and ejections are ignored.

An unresponsive server, which has reported nothing for several progress intervals (:mod:`heronlug.balancer.silence`),
gets one idempotent request at a time as well.
"""

from collections.abc import Iterable
from random import Random

from heronlug.balancer.actions import LogLine
from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.events import Outcome
from heronlug.balancer.model import Request, Server
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.settings import Settings

EJECTION_DIAL_TIMEOUTS = 4.0
"""Duration of the first ejection, in dial timeouts."""

MAX_DOUBLINGS = 3
"""Largest number of times that the duration of an ejection doubles."""

EJECTION_JITTER = (0.8, 1.2)
"""Range of the random factor on an ejection, so that dispatchers don't all return to the server at the same time."""

HALF_OPEN_TRIALS = 4
"""Successes in a row that end the half-open state: a server that fails 4 of 10 requests passes 1 time in 8."""

PANIC_SHARE = 0.7
"""Share of the ready servers that are ejected or half-open above which ejections are ignored."""

EJECTING_OUTCOMES = frozenset({Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET})
"""Outcomes that eject a server: the server fails, or the server is full while another server may have room.

A timeout ejects no server, because a request may take longer than its client waits.
"""

REPORTED_AS_FAILURE = EJECTING_OUTCOMES - {Outcome.FULL}
"""Outcomes reported to other dispatchers as failures; a full server is only busy, as its load report shows."""


class OutlierDetection:
    """Ejects servers that fail, and limits the requests that an ejected or unresponsive server gets."""

    __slots__ = ("_can_retry", "_ejected_count", "_outbox", "_ready_count", "_rng", "_settings")

    def __init__(self, settings: Settings, derived: DerivedSettings, rng: Random, outbox: Outbox) -> None:
        self._settings, self._can_retry = settings, derived.can_retry
        self._rng, self._outbox = rng, outbox
        self._ejected_count = 0
        self._ready_count = 0

    def recount(self, ready: Iterable[Server]) -> None:
        """Counts the ready servers, and the ready servers that are ejected or half-open."""
        trials = [server.outlier.trials_left for server in ready]
        self._ready_count = len(trials)
        self._ejected_count = sum(1 for trials_left in trials if trials_left)

    def record_outcome(self, server: Server, outcome: Outcome | int, now: float) -> None:
        """Ejects the server after a failure, and counts a success of a half-open server."""
        state = server.outlier
        if outcome in EJECTING_OUTCOMES:
            if now >= state.ejected_until:
                self._eject(server, Outcome(outcome), now)
            self._ejected_count += not state.trials_left
            state.trials_left = HALF_OPEN_TRIALS
        elif state.trials_left and outcome == Outcome.SERVED and now >= state.ejected_until:
            state.trials_left -= 1
            if not state.trials_left:
                # Only one ejection is forgotten: after several in a row, the next failure counts as a repetition.
                state.ejections -= 1

    def allows(self, request: Request, server: Server, now: float) -> bool:
        """Returns whether the server's past outcomes and its silence allow the request to be sent there."""
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
        base_duration = EJECTION_DIAL_TIMEOUTS * self._settings.dial_timeout * self._rng.uniform(*EJECTION_JITTER)
        state.ejected_until = now + base_duration * 2 ** (state.ejections - 1)
        if state.ejections == 1:
            self._outbox.add(LogLine(f"worker {server.id} ejected: {outcome.name.lower()}"))

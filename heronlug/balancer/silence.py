"""Detects silent attempts and unresponsive servers.

A server reports the progress of each running attempt once per progress period, unless the server or the network path
fails.
"""

from math import inf

from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.hedging import Hedging
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.settings import Settings

SILENT_PERIODS = 2.25
"""Progress periods without a report after which an attempt is silent."""

CHECKS_PER_SILENCE = 4
"""Checks of the attempts within the time after which an attempt is silent."""


class SilenceDetection:
    """Marks silent attempts and unresponsive servers, and hedges the requests of silent attempts."""

    __slots__ = ("_hedging", "_next_check", "_open_requests", "_silence_ms")

    def __init__(
        self, settings: Settings, derived: DerivedSettings, open_requests: OpenRequests, hedging: Hedging
    ) -> None:
        self._silence_ms = SILENT_PERIODS * settings.progress_interval
        self._next_check = 0.0 if derived.silence_is_known else inf
        self._open_requests, self._hedging = open_requests, hedging

    def check(self, now: float) -> None:
        """Checks all attempts in flight if the next check is due."""
        if now < self._next_check:
            return
        self._next_check = now + self._silence_ms / CHECKS_PER_SILENCE
        attempts = self._open_requests.attempts.values()
        silent = [a for a in attempts if not a.unstarted and now - a.last_progress_at >= self._silence_ms]
        for attempt in silent:
            server = attempt.server
            if not attempt.silent:
                attempt.silent = True
                server.load.silent_attempts += 1
            if now - server.outlier.last_progress_at >= self._silence_ms:
                server.outlier.unresponsive = True
            self._hedging.hedge_silent(attempt, now)

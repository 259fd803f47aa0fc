"""Counts silent servers as evidence of a failed zone, and cancels silent attempts in excluded zones."""

from heronlug.balancer.actions import CancelAttempt
from heronlug.balancer.model import Attempt
from heronlug.balancer.settings import Effect, Settings
from heronlug.balancer.silence import SILENT_PERIODS
from heronlug.balancer.state import BalancerState

SILENCE_REPORT_INTERVAL_MS = 1000.0
"""Least time between two failure reports of a silent server."""

SILENT_PERIODS_IN_EXCLUDED_ZONE = 1.25
"""Progress periods without a report after which an attempt in an excluded zone is cancelled."""

MAX_CANCELLED_PER_CHECK = 2
"""Attempts that a check cancels at most."""


class StrandedAttempts:
    """Finds servers that report no progress of this dispatcher's attempts."""

    __slots__ = ("_state",)

    def __init__(self, state: BalancerState) -> None:
        self._state = state

    def report_silent_servers(self, now: float) -> None:
        """Records a failed attempt for each silent server, here and in the next load report.

        A server is silent if the server is unresponsive and has an attempt of this dispatcher. Where servers report
        starts, a server is also silent if such an attempt has waited there for as long without any report.
        """
        peer_load = self._state.peer_load
        overdue = self._servers_with_overdue_start(now)
        for server in peer_load.servers_in_order:
            unresponsive = server.outlier.unresponsive and server.load.own_attempts
            silent = unresponsive or server.id in overdue
            if silent and now - server.outlier.last_ended_at >= SILENCE_REPORT_INTERVAL_MS:
                server.outlier.record_end(True, now)
                peer_load.record_outcome(server, True)
                peer_load.unreported[server.id] = server

    def cancel_stranded(self, excluded_zones: set[int], now: float) -> None:
        """Cancels a few silent attempts of idempotent requests in excluded zones, so that they can be retried."""
        settings = self._state.settings
        if not settings.may_cancel or not excluded_zones:
            return
        silent_since = now - SILENT_PERIODS_IN_EXCLUDED_ZONE * _reporting_period(settings)
        stranded = [
            attempt
            for attempt in self._state.open_requests.attempts.values()
            if attempt.server.zone in excluded_zones
            and attempt.last_progress_at <= silent_since
            and self._may_be_cancelled(attempt)
        ]
        stranded.sort(key=lambda attempt: attempt.sent_at)
        for attempt in stranded[:MAX_CANCELLED_PER_CHECK]:
            number = attempt.request.attempts.index(attempt)
            self._state.outbox.add(CancelAttempt(attempt.request.id, number))

    def _servers_with_overdue_start(self, now: float) -> set[int]:
        settings = self._state.settings
        silent_since = -1.0
        if self._state.derived.silence_is_known:
            silent_since = now - SILENT_PERIODS * settings.progress_interval
        attempts = self._state.open_requests.attempts.values()
        waiting = [attempt for attempt in attempts if attempt.in_flight and attempt.unstarted]
        return {
            attempt.server.id
            for attempt in waiting
            if max(attempt.sent_at, attempt.server.outlier.last_progress_at) <= silent_since
        }

    def _may_be_cancelled(self, attempt: Attempt) -> bool:
        """Returns whether the attempt is the only one in flight of an open idempotent request with attempts left."""
        request = attempt.request
        in_flight = sum(other.in_flight for other in request.attempts)
        return (
            attempt.in_flight
            and not attempt.server.zone_standing.probing
            and request.policy.effect is Effect.IDEMPOTENT
            and self._state.open_requests.is_open(request)
            and in_flight == 1
            and len(request.attempts) < request.max_attempts
        )


def _reporting_period(settings: Settings) -> float:
    return max(settings.progress_interval, settings.dial_timeout)

"""Sends the load reports of a dispatcher and, on aggregators, the load summaries.

In a small group, each dispatcher reports to all others directly. Where these reports would be too many to read, each
dispatcher reports to the aggregators only: the first ``AGGREGATOR_COUNT`` dispatchers by position, of which one may
fail. The aggregators take turns in sending summaries. While too few aggregators send summaries, other dispatchers
replace the missing ones.
"""

from operator import attrgetter

from heronlug.balancer.actions import SendPeerMessage
from heronlug.balancer.model import LEVEL_FAILING, Server
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.ranking import LEVELS_PER_SLOT
from heronlug.balancer.state import BalancerState

AGGREGATOR_COUNT = 2
"""Number of dispatchers that sum up reports at the same time."""

MAX_MISSED_SUMMARIES = 4
"""Missed summaries after which an aggregator counts as failed; counts not repeated for the same time expire."""

MAX_FAILING_SHARE = 0.2
"""Largest share of the servers reported as failing, unless more capacity is unused and can be spared."""

UNHEALTHY_BELOW = 0.6
"""Health below which a server is reported as failing: two failed attempts in a row."""

HEALTHY_FROM = 0.8
"""Health from which a server is no longer reported as failing."""

EVERY_PEER = -1
"""Peer number that addresses every other dispatcher."""


class LoadReports:
    """Sends this dispatcher's load reports, and load summaries while this dispatcher is an aggregator."""

    __slots__ = ("_derived", "_open_requests", "_outbox", "_peer_load", "_position", "_servers", "_timers")

    def __init__(self, state: BalancerState) -> None:
        self._derived, self._position = state.derived, state.settings.position
        self._outbox, self._timers = state.outbox, state.timers
        self._servers, self._open_requests, self._peer_load = state.servers, state.open_requests, state.peer_load

    def begin(self) -> None:
        """Schedules the first heartbeat if reports are aggregated."""
        if self._derived.aggregated:
            self._timers.call_at(0.0, self._on_heartbeat, None)

    def expire(self, now: float) -> None:
        """Discards counts that peers have not repeated within ``MAX_MISSED_SUMMARIES`` summary intervals."""
        before = now - MAX_MISSED_SUMMARIES * self._derived.summary_interval
        self._peer_load.expire(before, self._servers.by_id, self._derived.aggregated)

    def report_if_due(self, now: float) -> None:
        """Sends a load report if counts have changed and the report interval has elapsed."""
        peer_load = self._peer_load
        if not self._derived.gossips or not peer_load.unreported:
            return
        if now - peer_load.last_report_at < self._derived.report_interval:
            return
        receivers = [EVERY_PEER]
        if self._derived.aggregated:
            receivers = peer_load.aggregators_since(now - MAX_MISSED_SUMMARIES * self._derived.summary_interval)
        if receivers:
            peer_load.last_report_at = now
            report = peer_load.report(now)
            self._outbox.extend(SendPeerMessage(report, peer) for peer in receivers)

    def _on_heartbeat(self, _: None, now: float) -> None:
        """Repeats the counts, and sends a summary if this dispatcher is, or replaces, an aggregator."""
        # Messages can be lost and a new aggregator has no counts, so counts are repeated before they expire.
        self._peer_load.repeat_counts(attempt.server for attempt in self._open_requests.attempts.values())
        if not self._is_aggregator(now):
            self._peer_load.aggregating = False
        elif self._peer_load.aggregating:
            self._send_summary()
        else:
            self._outbox.add(SendPeerMessage(PeerLoad.SUMMARY))
            self._peer_load.aggregating = True
        self._timers.call_at(self._next_heartbeat(now), self._on_heartbeat, None)

    def _is_aggregator(self, now: float) -> bool:
        active_since = self._peer_load.aggregators_active_since(self._position, AGGREGATOR_COUNT, now)
        if self._position < AGGREGATOR_COUNT:
            return True
        return now - active_since > (2 * MAX_MISSED_SUMMARIES + self._position) * self._derived.summary_interval

    def _next_heartbeat(self, now: float) -> float:
        """Returns the time of the next heartbeat; the clock and the positions define the turns of the aggregators."""
        interval = self._derived.summary_interval
        round_time = AGGREGATOR_COUNT * interval
        if not self._peer_load.aggregating:
            return now + round_time
        soonest = now + interval / 2
        return soonest + round_time - (soonest - self._position % AGGREGATOR_COUNT * interval) % round_time

    def _send_summary(self) -> None:
        for content in self._peer_load.summary(self._levels()):
            self._outbox.add(SendPeerMessage(content))
            self._peer_load.read_summary(content, self._servers.by_id)

    def _levels(self) -> list[int]:
        """Returns the load level of each ready server, ``LEVEL_FAILING`` for servers to report as failing."""
        servers = self._peer_load.servers_in_order
        loads = [_load_per_slot(server) for server in servers]
        spare_share = max(MAX_FAILING_SHARE, 1 - sum(loads) / max(1, len(loads)))
        unhealthy = sorted((s for s in servers if s.outlier.health < HEALTHY_FROM), key=attrgetter("outlier.health"))
        worst = unhealthy[: int(spare_share * len(servers))]
        failing = {s for s in worst if s.load.level == LEVEL_FAILING or s.outlier.health < UNHEALTHY_BELOW}
        return [
            LEVEL_FAILING if server.zone_standing.reported_excluded or server in failing else _level(load)
            for server, load in zip(servers, loads, strict=True)
        ]


def _load_per_slot(server: Server) -> float:
    slots = server.load.peer_slots + server.load.own_slots
    return slots / server.capacity.slots if slots > 0 else 0.0


def _level(load: float) -> int:
    return min(LEVEL_FAILING - 1, round(LEVELS_PER_SLOT * load)) if load else 0

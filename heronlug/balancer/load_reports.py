"""Load reports: when a dispatcher reports its load to the others, and how aggregators sum the reports up.

A few dispatchers report to each other directly. Where that would be too much to read, each reports to the aggregators
alone: the first ``AGGREGATOR_COUNT`` by position, of which one may fail. They send summaries in turn; others take their
place while too few of them are heard.
"""

from operator import attrgetter

from heronlug.balancer.actions import SendPeerMessage
from heronlug.balancer.model import LEVEL_FAILING, Server
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.ranking import LEVELS_PER_SLOT
from heronlug.balancer.state import BalancerState

AGGREGATOR_COUNT = 2
"""Dispatchers that sum reports up at a time."""

MAX_MISSED_SUMMARIES = 4
"""An aggregator that misses so many summaries has failed; counts that were not repeated for as long are void."""

MAX_FAILING_SHARE = 0.2
"""At most this share of the servers, or what can be spared, is reported as failing."""

UNHEALTHY_BELOW = 0.6
"""Health below which a server is reported as failing: after two bad ends."""

HEALTHY_FROM = 0.8
"""Health from which it is no longer reported as failing."""

EVERY_PEER = -1


class LoadReports:
    """Sends this dispatcher's load reports, and load summaries while it is an aggregator."""

    __slots__ = ("_derived", "_open_requests", "_outbox", "_peer_load", "_position", "_servers", "_timers")

    def __init__(self, state: BalancerState) -> None:
        self._derived, self._position = state.derived, state.settings.position
        self._outbox, self._timers = state.outbox, state.timers
        self._servers, self._open_requests, self._peer_load = state.servers, state.open_requests, state.peer_load

    def begin(self) -> None:
        """Plan the first summary, where reports are aggregated."""
        if self._derived.aggregated:
            self._timers.call_at(0.0, self._on_heartbeat, None)

    def expire(self, now: float) -> None:
        """Void counts that have not been repeated for too long."""
        before = now - MAX_MISSED_SUMMARIES * self._derived.summary_interval
        self._peer_load.expire(before, self._servers.by_id, self._derived.aggregated)

    def report_if_due(self, now: float) -> None:
        """Report what has changed, if there is something and it is time."""
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
        """Send a summary if this dispatcher is an aggregator, or takes the place of one that has failed."""
        # Messages get lost, and a new aggregator knows nothing: counts are repeated until they are void.
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
        heard_at = self._peer_load.aggregators_heard_at(self._position, AGGREGATOR_COUNT, now)
        if self._position < AGGREGATOR_COUNT:
            return True
        return now - heard_at > (2 * MAX_MISSED_SUMMARIES + self._position) * self._derived.summary_interval

    def _next_heartbeat(self, now: float) -> float:
        """The next one of a round of all aggregators; their turns follow from the clock and their positions."""
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
        """The load level of each ready server, ``LEVEL_FAILING`` for those that seem to fail."""
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

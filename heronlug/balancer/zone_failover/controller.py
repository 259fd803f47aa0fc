"""Which servers of each zone get traffic: what the state of a zone means for its servers.

Who decides. Up to nine dispatchers hear of each other's ends, and each decides by them alone: the same evidence, the
same states. Of more, aggregators sum up for all; the first of them that is heard decides, reports every server
without traffic as excluded in its load summaries, and all others follow these reports. There are no further messages.
A dispatcher that starts, or becomes an aggregator, reads the states off the last summaries. A dispatcher that
receives no load summaries decides from its own observations.

What it means. A server without traffic gets nothing. While its zone is excluded, a few dispatchers in turn may send
single idempotent requests to single servers of it. A server that gets traffic again counts as warming up from then
on, so that its budget over all dispatchers holds (:mod:`heronlug.balancer.slow_start`).
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from math import ceil
from typing import Any, NamedTuple

from heronlug.balancer.actions import LogLine
from heronlug.balancer.errors import SnapshotError, ZoneOrderError
from heronlug.balancer.exploration import Exploration
from heronlug.balancer.model import LEVEL_FAILING, Server
from heronlug.balancer.state import BalancerState
from heronlug.balancer.zone_failover.evidence import (
    ServerOutcome,
    ZoneTally,
    failing_share_elsewhere,
    failure_log_ratio,
    tallies,
)
from heronlug.balancer.zone_failover.overview import overview
from heronlug.balancer.zone_failover.stranded_attempts import StrandedAttempts
from heronlug.balancer.zone_failover.zone_state import STAGES, UNTIL_RELEASED, ZoneObservation, ZonePhase, ZoneState

CHECK_INTERVAL_MS = 100.0
"""Time between two checks."""

EVIDENCE_MS = 3000.0
"""Time for which an end counts as evidence."""

LARGEST_EXCLUDED_SHARE = 0.5
"""Share of the ready servers that may be excluded: if more fail, the fault is this dispatcher's."""

PROBE_TERM_MS = 1000.0
"""Time for which a probe belongs to one dispatcher."""

PROBED_SERVERS = 4
"""Servers of an excluded zone that are probed in a term, by all dispatchers together."""

EXCLUDED_REPORT_SHARE = 0.8
"""Share of a zone's servers that are reported as excluded, from which the zone is."""

LEAST_EXCLUDED_REPORTS = 2
"""Servers that have to be reported as excluded at least for that."""

MISSING_REPORTS_GRACE_MS = 3000.0
"""Time for which a zone stays excluded after its reports have gone all at once."""

MAX_CHANGES = 64
"""Changes of zones that are remembered."""

HELD_UNTIL_RELEASED = -1.0
"""In a snapshot: the phase is held until released."""


class ZoneChange(NamedTuple):
    """A zone that has changed, as it was then."""

    zone: int
    state: ZoneState


class ZoneFailover:
    """The states of all zones, as one dispatcher has them.

    Attributes:
        zones: the state of each zone, by number.
        changes: the last changes.
    """

    __slots__ = ("_exploration", "_rerank", "_state", "_stranded", "changes", "zones")

    def __init__(self, state: BalancerState, exploration: Exploration, rerank: Callable[[float], None]) -> None:
        """Make it; ``rerank`` is called when servers have got traffic again, as they warm up from then on."""
        self._state, self._exploration, self._rerank = state, exploration, rerank
        self._stranded = StrandedAttempts(state)
        self.zones: dict[int, ZoneState] = {}
        self.changes: list[ZoneChange] = []

    def begin(self) -> None:
        """Plan the first check, if the settings want zone failover."""
        if self._state.settings.zone_failover:
            self._state.timers.call_at(0.0, self._on_timer, None)

    @property
    def zones_away(self) -> int:
        """How many zones are excluded, or have not wholly returned."""
        return sum(zone.phase in (ZonePhase.EXCLUDED, ZonePhase.RETURNING) for zone in self.zones.values())

    def check(self, now: float) -> None:
        """Decide or follow for each zone, and have each of its servers get traffic or not."""
        by_zone = self._ready_by_zone()
        if len(by_zone) < 2:
            return
        is_decider = self._is_decider(now)
        if is_decider:
            self._decide(by_zone, now)
        else:
            self._follow(by_zone, now)
        self._apply_states(by_zone, not is_decider, now)

    def _on_timer(self, _: None, now: float) -> None:
        known_changes = len(self.changes)
        self.check(now)
        self._stranded.report_silent_servers(now)
        self._stranded.cancel_stranded(self._excluded_zones(), now)
        for change in self.changes[known_changes:]:
            text = f"hall {change.zone} {change.state.phase.value}: {change.state.cause}"
            self._state.outbox.add(LogLine(text))
        del self.changes[:-MAX_CHANGES]
        self._state.timers.call_at(now + CHECK_INTERVAL_MS, self._on_timer, None)

    # -- operators

    def overview(self, now: float) -> dict[int, dict[str, Any]]:
        """Each zone that has ready servers, for people; the keys stand in operators' pages."""
        decided_by = "here" if self._is_decider(now) else "whoever sums up"
        return {
            number: overview(
                self.zones.get(number, ZoneState()),
                servers,
                tried_since=now - EVIDENCE_MS,
                decided_by=decided_by,
                now=now,
            )
            for number, servers in self._ready_by_zone().items()
        }

    def order(self, number: int, phase: ZonePhase | None, until: float, now: float) -> None:
        """Carry out an operator's order.

        Args:
            number: the zone.
            phase: excluded or healthy, held so; None to let observations decide again.
            until: when the order ends.
            now: the time.

        Raises:
            ZoneOrderError: more servers would be excluded than may be.
        """
        if phase is ZonePhase.EXCLUDED:
            self._check_share(self._excluded_zones() | {number})
        zone = self.zones.setdefault(number, ZoneState())
        if phase is None:
            zone.release(now)
        else:
            zone.hold(phase, until, now)
            self.changes.append(ZoneChange(number, replace(zone)))
        self.check(now)

    def _check_share(self, excluded_zones: set[int]) -> None:
        ready = self._state.peer_load.servers_in_order
        excluded = sum(server.zone in excluded_zones for server in ready)
        if excluded > LARGEST_EXCLUDED_SHARE * len(ready):
            message = f"{excluded} of {len(ready)} hosts would be left, more than {LARGEST_EXCLUDED_SHARE:.0%}"
            raise ZoneOrderError(message)

    # -- snapshots

    def snapshot(self) -> list[list[Any]]:
        """The states as plain figures, for another process of this dispatcher."""
        return [
            [
                number,
                zone.phase.value,
                zone.since,
                zone.stage,
                zone.relapses,
                HELD_UNTIL_RELEASED if zone.held_until == UNTIL_RELEASED else zone.held_until,
            ]
            for number, zone in self.zones.items()
        ]

    def restore(self, snapshot: list[list[Any]]) -> None:
        """Go on with the states of another process.

        Raises:
            ValueError: they make no sense.
        """
        restored = {}
        for number, phase, since, stage, relapses, held_until in snapshot:
            if not 0 <= int(stage) < len(STAGES):
                message = f"zone {number}: stage {stage} is not one of the {len(STAGES)} stages"
                raise SnapshotError(message)
            until = UNTIL_RELEASED if held_until == HELD_UNTIL_RELEASED else float(held_until)
            restored[int(number)] = ZoneState(
                ZonePhase(phase), float(since), int(stage), int(relapses), until, "taken up"
            )
        self.zones.update(restored)

    # -- the states

    def _ready_by_zone(self) -> dict[int, list[Server]]:
        found: dict[int, list[Server]] = {}
        for server in self._state.peer_load.servers_in_order:
            found.setdefault(server.zone, []).append(server)
        return found

    def _excluded_zones(self) -> set[int]:
        return {number for number, zone in self.zones.items() if zone.phase is ZonePhase.EXCLUDED}

    def _is_decider(self, now: float) -> bool:
        """Whether this dispatcher decides: no other aggregator of a lower position does."""
        peer_load = self._state.peer_load
        if not self._state.derived.aggregated:
            return True
        heard = peer_load.aggregators_since(now - 2 * EVIDENCE_MS)
        if peer_load.aggregating:
            return all(peer > self._state.settings.position for peer in heard)
        return not heard

    def _decide(self, by_zone: dict[int, list[Server]], now: float) -> None:
        """Make the transitions that follow from the evidence, the zone with most failures first."""
        evidence_since = now - EVIDENCE_MS
        found = tallies(
            ServerOutcome(number, server.outlier.last_ended_badly)
            for number, servers in by_zone.items()
            for server in servers
            if server.outlier.last_ended_at >= evidence_since
        )
        most_servers = LARGEST_EXCLUDED_SHARE * len(self._state.peer_load.servers_in_order)
        excluded = sum(len(by_zone.get(number, ())) for number in self._excluded_zones())
        for number in sorted(by_zone, key=lambda n: -found[n].failed if n in found else 0):
            zone, servers = self.zones.setdefault(number, ZoneState()), by_zone[number]
            may_exclude = excluded + len(servers) <= most_servers
            observed = _observe(zone, servers, failing_share_elsewhere(found, number), may_exclude, evidence_since)
            if self._advance_zone(number, zone, observed, now):
                excluded += len(servers)

    def _advance_zone(self, number: int, zone: ZoneState, observed: ZoneObservation, now: float) -> bool:
        """Make all transitions of a zone that one observation allows; returns whether it is excluded by them."""
        excluded = False
        while zone.step(observed, now):
            self.changes.append(ZoneChange(number, replace(zone)))
            excluded = excluded or zone.phase is ZonePhase.EXCLUDED
            if zone.phase is not ZonePhase.DOUBTFUL:
                break
        return excluded

    def _follow(self, by_zone: dict[int, list[Server]], now: float) -> None:
        """Read the states off the servers that load summaries report as excluded."""
        for number, servers in by_zone.items():
            zone = self.zones.setdefault(number, ZoneState())
            if zone.is_held(now):
                continue
            reported = sum(server.load.level == LEVEL_FAILING for server in servers)
            phase = _reported_phase(zone, reported, len(servers), now)
            if phase is zone.phase:
                continue
            zone.relapses += zone.phase is ZonePhase.RETURNING and phase is ZonePhase.EXCLUDED
            zone.phase, zone.since = phase, now
            zone.cause = f"{reported} of {len(servers)} marked"
            self.changes.append(ZoneChange(number, replace(zone)))

    # -- what they mean for the servers

    def _apply_states(self, by_zone: dict[int, list[Server]], following: bool, now: float) -> None:
        """Have each server get traffic or not, and choose those that are ours to probe."""
        excluded: set[int] = set()
        probes: list[Server] = []
        for number, servers in by_zone.items():
            zone = self.zones.get(number)
            if zone is None or zone.phase in (ZonePhase.HEALTHY, ZonePhase.DOUBTFUL):
                continue
            in_order = sorted(servers, key=lambda server: server.id)
            excluded.update(_without_traffic(zone, in_order, following))
            if zone.phase is ZonePhase.EXCLUDED and now >= zone.held_until:
                probes += self._probes(in_order, now)
        self._exploration.zone_probes = probes
        excluded -= {server.id for server in probes}
        if self._mark_servers(excluded, now):
            self._rerank(now)

    def _mark_servers(self, excluded: set[int], now: float) -> bool:
        """Mark the servers; returns whether some got traffic again."""
        excluded_zones, got_traffic = self._excluded_zones(), False
        for server in self._state.peer_load.servers_in_order:
            standing = server.zone_standing
            standing.excluded = server.id in excluded
            standing.probing = standing.probing and not standing.excluded
            report = standing.excluded or server.zone in excluded_zones
            if standing.reported_excluded and not report:
                standing.recovery_began_at, got_traffic = now, True
            standing.reported_excluded = report
        return got_traffic

    def _probes(self, servers: Sequence[Server], now: float) -> list[Server]:
        """Servers that are ours to probe in this term: each of a few belongs to one dispatcher."""
        term, instances = int(now / PROBE_TERM_MS), self._state.settings.instances
        own_probes = []
        for number in range(min(PROBED_SERVERS, len(servers))):
            turn = term * PROBED_SERVERS + number
            server = servers[turn % len(servers)]
            is_ours = (turn + servers[0].zone) % instances == self._state.settings.position
            outlier = server.outlier
            failed_lately = outlier.last_ended_at > now - PROBE_TERM_MS and outlier.last_ended_badly
            if is_ours and not failed_lately and not server.load.own_attempts:
                self._begin_probe(server, now)
                own_probes.append(server)
        return own_probes

    def _begin_probe(self, server: Server, now: float) -> None:
        """Have a server get the next idempotent request, as if it were half-open."""
        outlier = server.outlier
        outlier.trials_left = max(1, outlier.trials_left)
        outlier.ejections = max(1, outlier.ejections)
        outlier.ejected_until = min(outlier.ejected_until, now)
        server.zone_standing.probing = True
        self._exploration.set_probe_server(server)
        if server not in self._exploration.pending:
            self._exploration.visit([server])


def _observe(
    zone: ZoneState, servers: list[Server], usual: float, may_exclude: bool, evidence_since: float
) -> ZoneObservation:
    """What a zone's servers have shown since ``evidence_since``; of one that returns, those that get traffic again."""
    if zone.phase is ZonePhase.RETURNING:
        observed = [
            server.outlier
            for server in servers
            if not server.zone_standing.excluded
            and server.outlier.last_ended_at >= max(evidence_since, server.zone_standing.recovery_began_at)
        ]
    else:
        observed = [server.outlier for server in servers if server.outlier.last_ended_at >= evidence_since]
    tally = ZoneTally(len(observed), sum(outlier.last_ended_badly for outlier in observed))
    since = [server.outlier for server in servers if server.outlier.last_ended_at > zone.since]
    return ZoneObservation(
        log_ratio=failure_log_ratio(tally, usual),
        failed_servers=tally.failed,
        may_exclude=may_exclude,
        served_servers=sum(not outlier.last_ended_badly for outlier in since),
        last_failed_at=max((outlier.last_ended_at for outlier in since if outlier.last_ended_badly), default=0.0),
    )


def _reported_phase(zone: ZoneState, reported: int, servers: int, now: float) -> ZonePhase:
    """The phase of a zone of which so many servers are reported as excluded.

    A zone returns in stages: reports that go all at once are of an aggregator that knows nothing yet.
    """
    was_excluded_or_returning = zone.phase in (ZonePhase.EXCLUDED, ZonePhase.RETURNING)
    no_reports_left = zone.phase is ZonePhase.EXCLUDED and not reported
    if not no_reports_left:
        zone.last_reported_at = now
    if reported >= max(LEAST_EXCLUDED_REPORTS, EXCLUDED_REPORT_SHARE * servers):
        return ZonePhase.EXCLUDED
    if no_reports_left and now - zone.last_reported_at < MISSING_REPORTS_GRACE_MS:
        return ZonePhase.EXCLUDED
    return ZonePhase.RETURNING if was_excluded_or_returning and reported else ZonePhase.HEALTHY


def _without_traffic(zone: ZoneState, servers: Sequence[Server], following: bool) -> list[int]:
    """The servers of a zone that get no traffic, by its state or by the reports that are followed."""
    if following and zone.phase is ZonePhase.RETURNING:
        return [server.id for server in servers if server.load.level == LEVEL_FAILING]
    return [server.id for server in servers[ceil(zone.offered_share * len(servers)) :]]

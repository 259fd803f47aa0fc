"""Decides the state of each zone and applies it to the servers of the zone.

Decision: up to nine dispatchers report the outcomes of their attempts to each other, so each dispatcher decides from
the same evidence and reaches the same states. With more dispatchers, aggregators send load summaries to all; the active
aggregator of the lowest position decides and reports every server without traffic as excluded in its load summaries,
and all other dispatchers follow these reports. No further messages are sent. A dispatcher that starts or becomes an
aggregator derives the states from the last summaries. A dispatcher that receives no load summaries decides from its own
observations.

Effect: a server without traffic gets no requests. While its zone is excluded, a few dispatchers in turn may send single
idempotent probe requests to single servers of the zone. A server that gets traffic again counts as warming up from then
on, so that its budget over all dispatchers is kept (:mod:`heronlug.balancer.slow_start`).
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
"""Time for which the outcome of an attempt counts as evidence."""

LARGEST_EXCLUDED_SHARE = 0.5
"""Largest share of the ready servers that may be excluded; if more fail, the cause is probably this dispatcher."""

PROBE_TERM_MS = 1000.0
"""Time for which a server to probe is assigned to a dispatcher."""

PROBED_SERVERS = 4
"""Servers of an excluded zone that all dispatchers together probe per ``PROBE_TERM_MS``."""

EXCLUDED_REPORT_SHARE = 0.8
"""Share of a zone's servers reported as excluded from which the zone counts as excluded."""

LEAST_EXCLUDED_REPORTS = 2
"""Least number of servers reported as excluded for which a zone counts as excluded."""

MISSING_REPORTS_GRACE_MS = 3000.0
"""Time for which a zone stays excluded after the reports of all its servers have ended at once."""

MAX_CHANGES = 64
"""Number of recent zone changes that are remembered."""

HELD_UNTIL_RELEASED = -1.0
"""Value in a snapshot for a phase that is held until released."""


class ZoneChange(NamedTuple):
    """A copy of the state of a zone right after a change.

    Attributes:
        zone: number of the zone.
        state: the state after the change.
    """

    zone: int
    state: ZoneState


class ZoneFailover:
    """Holds one dispatcher's states of all zones and applies them to the servers.

    Attributes:
        zones: state of each zone, by number.
        changes: the last changes, oldest first.
    """

    __slots__ = ("_exploration", "_rerank", "_state", "_stranded", "changes", "zones")

    def __init__(self, state: BalancerState, exploration: Exploration, rerank: Callable[[float], None]) -> None:
        """Creates the controller.

        Args:
            state: shared state of the dispatcher.
            exploration: gets the servers to probe.
            rerank: called when servers get traffic again, because they warm up from then on.
        """
        self._state, self._exploration, self._rerank = state, exploration, rerank
        self._stranded = StrandedAttempts(state)
        self.zones: dict[int, ZoneState] = {}
        self.changes: list[ZoneChange] = []

    def begin(self) -> None:
        """Schedules the first check if the settings enable zone failover."""
        if self._state.settings.zone_failover:
            self._state.timers.call_at(0.0, self._on_timer, None)

    @property
    def zones_away(self) -> int:
        """The number of zones that are excluded or have not fully returned."""
        return sum(zone.phase in (ZonePhase.EXCLUDED, ZonePhase.RETURNING) for zone in self.zones.values())

    def check(self, now: float) -> None:
        """Updates the state of each zone and applies it to the servers; does nothing with fewer than two zones."""
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
        """Returns the overview of each zone with ready servers, by number; operator tools rely on the keys."""
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
        """Carries out an operator's order.

        Args:
            number: number of the zone.
            phase: phase to hold, excluded or healthy; None to let observations decide again.
            until: time in ms at which the order ends.
            now: current time in ms.

        Raises:
            ZoneOrderError: if more than ``LARGEST_EXCLUDED_SHARE`` of the ready servers would be excluded.
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
        """Returns the states as plain values for another process of this dispatcher."""
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
        """Restores the states that another process saved.

        Raises:
            SnapshotError: if a stage is out of range.
            ValueError: if a value is malformed.
        """
        restored = {}
        for number, phase, since, stage, relapses, held_until in snapshot:
            if not 0 <= int(stage) < len(STAGES):
                message = f"zone {number}: stage {stage} is out of range, expected 0 to {len(STAGES) - 1}"
                raise SnapshotError(message)
            until = UNTIL_RELEASED if held_until == HELD_UNTIL_RELEASED else float(held_until)
            restored[int(number)] = ZoneState(
                ZonePhase(phase), float(since), int(stage), int(relapses), until, "taken up"
            )
        self.zones.update(restored)

    # -- zone states

    def _ready_by_zone(self) -> dict[int, list[Server]]:
        found: dict[int, list[Server]] = {}
        for server in self._state.peer_load.servers_in_order:
            found.setdefault(server.zone, []).append(server)
        return found

    def _excluded_zones(self) -> set[int]:
        return {number for number, zone in self.zones.items() if zone.phase is ZonePhase.EXCLUDED}

    def _is_decider(self, now: float) -> bool:
        """Returns whether this dispatcher decides.

        Without aggregators every dispatcher decides. Otherwise an aggregator decides if no other active aggregator has
        a lower position, and another dispatcher decides if no aggregator is active.
        """
        peer_load = self._state.peer_load
        if not self._state.derived.aggregated:
            return True
        active_aggregators = peer_load.aggregators_since(now - 2 * EVIDENCE_MS)
        if peer_load.aggregating:
            return all(peer > self._state.settings.position for peer in active_aggregators)
        return not active_aggregators

    def _decide(self, by_zone: dict[int, list[Server]], now: float) -> None:
        """Makes the transitions that follow from the evidence, starting with the zone with the most failures."""
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
        """Makes all transitions that an observation allows; returns whether they exclude the zone."""
        excluded = False
        while zone.step(observed, now):
            self.changes.append(ZoneChange(number, replace(zone)))
            excluded = excluded or zone.phase is ZonePhase.EXCLUDED
            if zone.phase is not ZonePhase.DOUBTFUL:
                break
        return excluded

    def _follow(self, by_zone: dict[int, list[Server]], now: float) -> None:
        """Derives the states from the servers that load summaries report as excluded."""
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
            # Operators' pages quote this text; it must not change.
            zone.cause = f"{reported} of {len(servers)} marked"
            self.changes.append(ZoneChange(number, replace(zone)))

    # -- effect on the servers

    def _apply_states(self, by_zone: dict[int, list[Server]], following: bool, now: float) -> None:
        """Starts or stops the traffic of each server, and chooses the servers that this dispatcher probes."""
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
        """Marks each server as excluded or not; returns whether a server gets traffic again."""
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
        """Returns the servers that this dispatcher probes in this term; each of a few servers has one dispatcher."""
        term, instances = int(now / PROBE_TERM_MS), self._state.settings.instances
        own_probes = []
        for number in range(min(PROBED_SERVERS, len(servers))):
            turn = term * PROBED_SERVERS + number
            server = servers[turn % len(servers)]
            is_own = (turn + servers[0].zone) % instances == self._state.settings.position
            outlier = server.outlier
            failed_lately = outlier.last_ended_at > now - PROBE_TERM_MS and outlier.last_ended_badly
            if is_own and not failed_lately and not server.load.own_attempts:
                self._begin_probe(server, now)
                own_probes.append(server)
        return own_probes

    def _begin_probe(self, server: Server, now: float) -> None:
        """Makes a server half-open, so that the next idempotent request is sent there."""
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
    """Returns the evidence about a zone from outcomes since ``evidence_since``.

    In a returning zone only servers that get traffic again count, from the time of their return.
    """
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
    """Returns the phase of a zone of whose servers ``reported`` are reported as excluded.

    A zone returns in stages, so reports that end for all its servers at once come from an aggregator that has just
    started and has no evidence yet.
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
    """Returns the numbers of the servers without traffic, by the zone's state or by the reports that are followed."""
    if following and zone.phase is ZonePhase.RETURNING:
        return [server.id for server in servers if server.load.level == LEVEL_FAILING]
    return [server.id for server in servers[ceil(zone.offered_share * len(servers)) :]]

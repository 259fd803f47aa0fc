"""Tests zone failover on the emulator: exclusion, probes, the return in stages, and faults that are no zone failure."""

from pathlib import Path
from typing import Any

import pytest

from heronlug.balancer.zone_failover import controller
from heronlug.balancer.zone_failover.zone_state import ZonePhase
from heronlug.conformance import Sent
from heronlug.emulator.scenario import Scenario, load
from heronlug.emulator.world import World

SCENARIO_FILE = Path(__file__).parents[2] / "scenarios" / "halls-dead.toml"
FAILS_AT, RECOVERS_AT = 10_000.0, 22_000.0


class ZoneRun:
    """A run of a scenario with the times of the attempts at the failing zone."""

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        self.sent: list[Sent] = []
        self.world = World(scenario, seed, record=lambda e: self.sent.append(e) if isinstance(e, Sent) else None)
        zones = {server.name: server.zone for server in self.world.servers.values()}
        self.figures = self.world.run()
        self.sent_to_failed_zone = [event.at for event in self.sent if zones[event.host.partition("+")[0]] == 1]

    def between(self, begin: float, end: float) -> int:
        """Returns the number of attempts at the failing zone in a time range."""
        return sum(begin <= at < end for at in self.sent_to_failed_zone)

    def excluded_at(self, zone: int = 1) -> list[float]:
        """Returns the first time at which each dispatcher excluded a zone; -1 for never."""
        changes = [dispatcher.core.dispatcher.rules.zone_failover.changes for dispatcher in self.world.dispatchers]
        times = (
            [state.since for n, state in each if n == zone and state.phase is ZonePhase.EXCLUDED] for each in changes
        )
        return [min(each, default=-1.0) for each in times]


def scenario(count: int, **changes: Any) -> Scenario:
    """Loads the scenario file at half its size."""
    half_size = {f"pool.{n}.count": 6 for n in range(4)} | {"arrivals.0.rate": 125, "arrivals.1.rate": 30}
    return load(SCENARIO_FILE, {"dispatchers.count": count, "span_s": 36, **half_size, **changes})


@pytest.mark.parametrize("count", [4, 12])
def test_a_failed_zone_is_excluded_probed_by_few_and_returns_without_overload(count: int) -> None:
    """Fails if a failed zone keeps its traffic, is probed too often, or is overloaded by a sudden return.

    Runs with and without zone failover are compared; the number of probes is bounded.
    """
    with_failover, without_failover = ZoneRun(scenario(count)), ZoneRun(scenario(count, **{"dispatchers.halls": False}))
    assert all(FAILS_AT < at < FAILS_AT + 1000 for at in with_failover.excluded_at()), with_failover.excluded_at()
    assert with_failover.between(FAILS_AT + 1000, RECOVERS_AT) <= controller.PROBED_SERVERS * 11 + count
    assert with_failover.between(FAILS_AT + 1000, RECOVERS_AT) < without_failover.between(FAILS_AT + 1000, RECOVERS_AT)
    assert (
        with_failover.between(RECOVERS_AT, RECOVERS_AT + 1000)
        < without_failover.between(RECOVERS_AT, RECOVERS_AT + 1000) / 2
    )
    assert with_failover.between(RECOVERS_AT + 10_000, RECOVERS_AT + 12_000) > 10  # the zone gets requests again
    for zone_run in (with_failover, without_failover):
        assert sum(zone_run.figures.violations.values()) == 0
        assert all(
            server.overload_crashes == 0 for server in zone_run.figures.servers if server.name.startswith("gen1-1-")
        )
    assert with_failover.figures.service >= without_failover.figures.service - 0.01


@pytest.mark.parametrize(
    "fault",
    [
        {"what": "crash", "at_s": 10, "share": 0.24},
        {"what": "deploy", "at_s": 5, "share": 0.6, "over_s": 15, "drain_s": 1},
        {"what": "dispatcher-kill", "at_s": 10, "share": 0.7},
        {"what": "pause", "at_s": 10, "for_s": 3, "share": 0.2},
    ],
    ids=lambda fault: fault["what"],
)
def test_faults_that_are_not_zone_failures_exclude_no_zone(fault: dict[str, Any]) -> None:
    """Fails if crashes, deploys, dispatcher restarts or pauses spread over all zones exclude a zone."""
    for count in (4, 12):
        zone_run = ZoneRun(scenario(count, trouble=[fault]))
        for zone in range(4):
            assert zone_run.excluded_at(zone) == [-1.0] * count, (count, zone)


def test_at_most_half_of_the_servers_are_excluded() -> None:
    """Fails if three of four failing zones are excluded together, which leaves too few servers."""
    faults = [
        {"what": "hall-dies", "at_s": 10 + n, "for_s": 20, "zone": zone, "share": 1.0} for n, zone in enumerate("abc")
    ]
    zone_run = ZoneRun(scenario(4, trouble=faults, **{"arrivals.0.rate": 40, "arrivals.1.rate": 8}))
    for dispatcher in zone_run.world.dispatchers:
        excluded_zones: set[int] = set()
        for number, zone in dispatcher.core.dispatcher.rules.zone_failover.changes:
            (excluded_zones.add if zone.phase is ZonePhase.EXCLUDED else excluded_zones.discard)(number)
            assert len(excluded_zones) <= 2
    assert sum(zone_run.figures.violations.values()) == 0


def test_a_zone_that_fails_during_its_return_is_excluded_again() -> None:
    """Fails if a second failure during the return of a zone does not exclude the zone again."""
    faults = [{"what": "hall-dies", "at_s": at, "for_s": 6, "zone": "b", "share": 1.0} for at in (8, 18)]
    zone_run = ZoneRun(scenario(4, trouble=faults))
    for dispatcher in zone_run.world.dispatchers:
        phases = [zone.phase for number, zone in dispatcher.core.dispatcher.rules.zone_failover.changes if number == 1]
        assert phases.count(ZonePhase.EXCLUDED) >= 2
    assert sum(zone_run.figures.violations.values()) == 0


def test_a_silent_zone_is_excluded_and_idempotent_requests_are_retried() -> None:
    """Fails if a zone whose servers pause, and so report nothing, is not excluded.

    Attempts of idempotent requests that are silent there are cancelled and retried, which serves more requests.
    """
    faults = [{"what": "pause", "at_s": 10, "for_s": 12, "zone": "b", "share": 1.0}]
    with_failover, without_failover = (
        ZoneRun(scenario(4, trouble=faults, **{"dispatchers.halls": failover})) for failover in (True, False)
    )
    assert all(FAILS_AT < at < FAILS_AT + 6000 for at in with_failover.excluded_at()), with_failover.excluded_at()
    for dispatcher in with_failover.world.dispatchers:
        assert dispatcher.core.dispatcher.rules.zone_failover.zones[1].phase in (
            ZonePhase.HEALTHY,
            ZonePhase.RETURNING,
        )
    assert with_failover.between(FAILS_AT + 6000, RECOVERS_AT) < without_failover.between(FAILS_AT + 6000, RECOVERS_AT)
    assert with_failover.figures.service > without_failover.figures.service
    assert sum(with_failover.figures.violations.values()) == 0


def test_more_probes_or_a_return_without_stages_send_more_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the bounds of the first test depend on the limit of probes and on the return in stages."""
    few_probes = ZoneRun(scenario(4)).between(FAILS_AT + 1000, RECOVERS_AT)
    monkeypatch.setattr(controller, "PROBED_SERVERS", 48)
    monkeypatch.setattr(controller, "PROBE_TERM_MS", 100.0)
    assert ZoneRun(scenario(4)).between(FAILS_AT + 1000, RECOVERS_AT) > 2 * few_probes
    monkeypatch.undo()
    monkeypatch.setattr("heronlug.balancer.zone_failover.zone_state.STAGES", (1.0,))
    monkeypatch.setattr("heronlug.balancer.zone_failover.zone_state.STAGE_MS", 0.0)
    without_stages = ZoneRun(scenario(4))
    monkeypatch.undo()
    assert without_stages.between(RECOVERS_AT, RECOVERS_AT + 3000) > 1.5 * ZoneRun(scenario(4)).between(
        RECOVERS_AT, RECOVERS_AT + 3000
    )


def test_zone_states_are_restored_and_operator_orders_are_bounded() -> None:
    """Fails if a new process loses the zone states, or if an operator may exclude more than half of the servers."""
    zone_run = ZoneRun(scenario(4, span_s=14))
    dispatcher = zone_run.world.dispatchers[0].core.dispatcher
    failover, now = dispatcher.rules.zone_failover, 14_000.0
    assert failover.overview(now)[1]["state"] == "left"
    restored = controller.ZoneFailover(dispatcher.state, dispatcher.rules.exploration, dispatcher.rules.rerank)
    restored.restore(failover.snapshot())
    assert restored.zones[1].phase is ZonePhase.EXCLUDED
    assert restored.zones[1].since == failover.zones[1].since
    with pytest.raises(ValueError, match="lost"):
        restored.restore([[0, "lost", 0.0, 0, 0, 0.0]])
    failover.order(0, ZonePhase.EXCLUDED, now + 1000.0, now)
    rows = failover.overview(now)
    assert (rows[0]["offered"], rows[0]["decided"], rows[2]["offered"]) == (0, "by hand", 6)
    with pytest.raises(ValueError, match="18 of 24 hosts would be left"):
        failover.order(2, ZonePhase.EXCLUDED, now + 1000.0, now)
    failover.order(1, ZonePhase.HEALTHY, now + 1000.0, now)
    assert failover.overview(now)[1]["offered"] == 6
    failover.order(0, None, 0.0, now)
    assert failover.overview(now)[0]["decided"] == "here"

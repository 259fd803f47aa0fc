"""Replaces the process of a dispatcher under load, with real processes, and checks that no request is lost."""

from random import Random
from unittest import mock

import pytest

from heronlug.faults.upgrades import usage
from heronlug.faults.upgrades.clients import End
from heronlug.faults.upgrades.plan import ClientKind, Moment, SuccessorFault, Upgrade, UpgradePlan, series
from heronlug.faults.upgrades.run import UpgradeReport, play

SHORT_DEADLINES_S = {"safe": 4.0, "once": 5.0, "keyed": 6.0}
"""Deadlines of the request classes, in seconds, all longer than the time that a process has to stop."""


def play_and_expect_no_violation(
    seed: int,
    span_s: float,
    clients: dict[ClientKind, int],
    upgrades: tuple[Upgrade, ...],
    *,
    sockets: int = 1024,
    run_s: tuple[float, float] = (0.1, 0.6),
    clock_steps_s: tuple[int, ...] = (0,),
) -> UpgradeReport:
    """Plays upgrades under clients that hardly pause, and returns the report."""
    plan = UpgradePlan(
        seed=seed,
        span_s=span_s,
        sockets=sockets,
        clients=clients,
        pause_s=(0.0, 0.02),
        run_s=run_s,
        deadlines_s=SHORT_DEADLINES_S,
        upgrades=upgrades,
        clock_steps_s=clock_steps_s,
    )
    report = play(plan)
    assert not report.violations, report.text()
    return report


def test_upgrade_with_more_clients_than_half_of_the_limit_drops_no_request() -> None:
    """Guards against a successor that closes connections with a request because they exceed its limit of clients."""
    play_and_expect_no_violation(1, 9.0, {ClientKind.STEADY: 300}, series(4, 1.0, 2.0, Random(1)))


def test_processes_together_hold_no_more_descriptors_than_allowed() -> None:
    """Guards against copies of handed-over connections that exceed the limit, and connections closed to avoid that."""
    clients = {ClientKind.STEADY: 90, ClientKind.SILENT: 60}
    upgrades = series(3, 1.0, 2.0, Random(2))
    play_and_expect_no_violation(2, 7.0, clients, upgrades, sockets=256, run_s=(0.02, 0.5))


@pytest.mark.parametrize(("handed_over", "held"), [(True, 10), (False, 20)])
def test_descriptors_handed_over_between_two_readings_count_once(handed_over: bool, held: int) -> None:
    """Guards against descriptors that count in two processes, because these are read one after another."""
    files = {(str(number), f"socket:[{number}]") for number in range(10)}
    readings = [files, files, set() if handed_over else files, files]
    sampler = usage.UsageSampler(lambda: [1, 2])
    with mock.patch.object(usage, "open_files", side_effect=readings):
        sampler.sample()
    assert sampler.peak_descriptors == held


def test_successor_that_hangs_loses_no_request_that_it_has_not_taken() -> None:
    """Guards against requests and connections that wait in the channel to a process that does not read."""
    clients = {ClientKind.STEADY: 100, ClientKind.HALVES: 20}
    upgrades = (Upgrade(1.0, 0.0, SuccessorFault.STOPPED, Moment.SERVING), Upgrade(4.5, 0.1))
    play_and_expect_no_violation(3, 6.0, clients, upgrades)


def test_requests_keep_their_deadlines_when_the_wall_clock_steps_between_two_starts() -> None:
    """Guards against times of one process that the next one reads by another clock, an hour before or behind."""
    report = play_and_expect_no_violation(
        5,
        7.0,
        {ClientKind.STEADY: 100},
        series(3, 1.0, 2.0, Random(5)),
        clock_steps_s=(0, 3600, -7200, 3600),
    )
    assert report.count(End.FAILED) <= len(report.records) / 100, report.text()

"""Replaces the process of a dispatcher under load, with real processes, and checks that no request is lost."""

from random import Random

from heronlug.faults.upgrades.clients import End
from heronlug.faults.upgrades.plan import ClientKind, Moment, SuccessorFault, Upgrade, UpgradePlan, series
from heronlug.faults.upgrades.run import play

SHORT_DEADLINES_S = {"safe": 4.0, "once": 5.0, "keyed": 6.0}
"""Deadlines of the request classes, in seconds, all longer than the time that a process has to stop."""


def test_upgrade_with_more_clients_than_half_of_the_limit_drops_no_request() -> None:
    """Guards against a successor that closes connections with a request because they exceed its limit of clients."""
    plan = UpgradePlan(
        seed=1,
        span_s=9.0,
        clients={ClientKind.STEADY: 300},
        pause_s=(0.0, 0.02),
        run_s=(0.1, 0.6),
        deadlines_s=SHORT_DEADLINES_S,
        upgrades=series(4, 1.0, 2.0, Random(1)),
    )
    report = play(plan)
    assert not report.violations, report.text()


def test_processes_together_hold_no_more_descriptors_than_allowed() -> None:
    """Guards against copies of handed-over connections that exceed the limit, and connections closed to avoid that."""
    plan = UpgradePlan(
        seed=2,
        span_s=7.0,
        sockets=256,
        clients={ClientKind.STEADY: 90, ClientKind.SILENT: 60},
        pause_s=(0.0, 0.02),
        deadlines_s=SHORT_DEADLINES_S,
        upgrades=series(3, 1.0, 2.0, Random(2)),
    )
    report = play(plan)
    assert not report.violations, report.text()


def test_successor_that_hangs_loses_no_request_that_it_has_not_taken() -> None:
    """Guards against requests and connections that wait in the channel to a process that does not read."""
    plan = UpgradePlan(
        seed=3,
        span_s=6.0,
        clients={ClientKind.STEADY: 100, ClientKind.HALVES: 20},
        pause_s=(0.0, 0.02),
        run_s=(0.1, 0.6),
        deadlines_s=SHORT_DEADLINES_S,
        upgrades=(Upgrade(1.0, 0.0, SuccessorFault.STOPPED, Moment.SERVING), Upgrade(4.5, 0.1)),
    )
    report = play(plan)
    assert not report.violations, report.text()


def test_requests_keep_their_deadlines_when_the_wall_clock_steps_between_two_starts() -> None:
    """Guards against times of one process that the next one reads by another clock, an hour before or behind."""
    plan = UpgradePlan(
        seed=5,
        span_s=7.0,
        clients={ClientKind.STEADY: 100},
        pause_s=(0.0, 0.02),
        run_s=(0.1, 0.6),
        deadlines_s=SHORT_DEADLINES_S,
        upgrades=series(3, 1.0, 2.0, Random(5)),
        clock_steps_s=(0, 3600, -7200, 3600),
    )
    report = play(plan)
    assert not report.violations, report.text()
    assert report.count(End.FAILED) <= len(report.records) / 100, report.text()

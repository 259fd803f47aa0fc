"""Draws upgrade runs from seeds: crowds, long series of upgrades and signals, few descriptors, successors that fail."""

from random import Random

from heronlug.faults.upgrades.plan import (
    LONGEST_TERM_DELAY_S,
    ClientKind,
    Moment,
    Pause,
    SuccessorFault,
    Upgrade,
    UpgradePlan,
)

DEADLINES_S = {"safe": 4.0, "once": 5.0, "keyed": 6.0}
"""Deadlines of the request classes, in seconds, all longer than the time that a process has to stop."""
FIRST_UPGRADE_S = 1.0
"""Start of the first upgrade, in seconds."""
REST_S = 1.0
"""Length of the load after the last upgrade, in seconds."""
FAULT_SHARE = 0.2
"""Share of the upgrades whose new process fails."""
LONGEST_PAUSE_S = 0.8
"""Longest time in which a process does not run, in seconds."""
CONNECTIONS_PER_LIMIT = {256: 96, 1024: 480}
"""Client connections that a dispatcher may have, by its limit of descriptors."""


def draw(seed: int) -> UpgradePlan:
    """Returns the run that a seed determines."""
    rng = Random(seed)
    sockets = rng.choice(list(CONNECTIONS_PER_LIMIT))
    upgrades = _draw_upgrades(rng)
    return UpgradePlan(
        seed=seed,
        span_s=upgrades[-1].at_s + REST_S,
        sockets=sockets,
        clients=_draw_clients(rng, CONNECTIONS_PER_LIMIT[sockets]),
        pause_s=rng.choice([(0.0, 0.02), (0.0, 0.2), (0.2, 1.0)]),
        servers=rng.choice([4, 12]),
        run_s=rng.choice([(0.02, 0.1), (0.05, 0.5), (0.5, 2.0), (2.0, 3.5)]),
        deadlines_s=DEADLINES_S,
        upgrades=upgrades,
        reloads_s=tuple(sorted(rng.uniform(0.5, upgrades[-1].at_s) for _ in range(rng.choice([0, 0, 3, 8])))),
        single_core=rng.random() < 0.4,
        clock_steps_s=rng.choice([(0,), (0,), (0,), (3600, -3600), (-3600, 3600)]),
        pauses=_draw_pauses(rng, upgrades[-1].at_s),
    )


def _draw_clients(rng: Random, limit: int) -> dict[ClientKind, int]:
    """Returns clients that use a part of the limit, all of it, or more."""
    total = round(limit * rng.choice([0.3, 0.6, 0.95, 1.3]))
    weights = {
        ClientKind.STEADY: 6.0,
        ClientKind.HALVES: rng.choice([0.0, 1.0]),
        ClientKind.PAIRS: rng.choice([0.0, 1.0]),
        ClientKind.SILENT: rng.choice([0.0, 2.0, 6.0]),
        ClientKind.HEALTH_CHECKED: rng.choice([0.0, 1.0]),
        ClientKind.SLOW_READER: rng.choice([0.0, 0.5]),
    }
    return {kind: round(total * weight / sum(weights.values())) for kind, weight in weights.items()}


def _draw_pauses(rng: Random, until_s: float) -> tuple[Pause, ...]:
    """Returns no pauses, or a few that are shorter than the time after which a process counts as hanging."""
    starts_s = sorted(rng.uniform(0.5, until_s) for _ in range(rng.choice([0, 0, 2, 4])))
    return tuple(Pause(at_s, rng.uniform(0.1, LONGEST_PAUSE_S), rng.random() < 0.5) for at_s in starts_s)


def _draw_upgrades(rng: Random) -> tuple[Upgrade, ...]:
    interval_s = rng.choice([0.6, 1.2, 2.5])
    return tuple(
        Upgrade(
            FIRST_UPGRADE_S + number * interval_s,
            rng.uniform(0.0, LONGEST_TERM_DELAY_S),
            rng.choice([SuccessorFault.KILLED, SuccessorFault.STOPPED])
            if rng.random() < FAULT_SHARE
            else SuccessorFault.NONE,
            rng.choice(list(Moment)),
            rng.choice([1, 1, 3]),
        )
        for number in range(rng.randint(3, 7))
    )

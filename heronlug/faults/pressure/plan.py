"""Makes plans of runs with abusive clients, from a list of abuses or from a seed."""

from dataclasses import replace
from random import Random

from heronlug.faults.abuse.plan import Abuse, AbuseKind
from heronlug.faults.upgrades.plan import ClientKind, UpgradePlan, series

CALM_S = 3.0
"""Length of the load before the abuse, in seconds."""
REST_S = 6.0
"""Length of the load after the abuse, in seconds."""
ABUSE_S = 8.0
"""Length of a drawn abuse, in seconds."""
WELL_BEHAVED_CLIENTS = 20
"""Number of clients that keep the protocol."""
LIMITS = ((192.0, 1024), (64.0, 256), (32.0, 256))
"""Limits of memory in MB and of descriptors."""
FLOODS = frozenset({AbuseKind.SOUND_FLOOD, AbuseKind.UNSOUND_FLOOD, AbuseKind.HEALTH_FLOOD, AbuseKind.UNREAD_ANSWERS})
"""Kinds that a few clients play at full speed."""
DRAWN_KINDS = tuple(kind for kind in AbuseKind if kind is not AbuseKind.CLOSES_BEHIND_UNREAD)
"""Kinds that a seed draws; another kind here would change what all seeds draw."""
FLOODING_CLIENTS = (1, 4)
"""Minimum and maximum number of drawn clients that flood."""
UPGRADED_SHARE = 0.3
"""Share of the drawn plans in which the process is replaced meanwhile."""


def make_plan(seed: int, memory_mb: float, sockets: int, abuses: tuple[Abuse, ...]) -> UpgradePlan:
    """Returns a plan in which well-behaved clients have time before and after the abuses."""
    over_s = max(abuse.at_s + abuse.span_s for abuse in abuses)
    return UpgradePlan(
        seed=seed,
        span_s=over_s + REST_S,
        sockets=sockets,
        memory_mb=memory_mb,
        clients={ClientKind.STEADY: WELL_BEHAVED_CLIENTS},
        pause_s=(0.02, 0.1),
        servers=12,
        slots=64,
        run_s=(0.02, 0.05),
        deadlines_s={"safe": 4.0, "once": 5.0, "keyed": 6.0},
        abuses=abuses,
        log_level="info",
    )


def draw(seed: int) -> UpgradePlan:
    """Returns the run that a seed determines: one or two kinds of abuse, by few clients or by a crowd."""
    rng = Random(seed)
    memory_mb, sockets = rng.choice(LIMITS)
    abuses = tuple(_draw_abuse(rng, kind, sockets) for kind in rng.sample(DRAWN_KINDS, rng.choice([1, 1, 2])))
    plan = make_plan(seed, memory_mb, sockets, abuses)
    if rng.random() < UPGRADED_SHARE:
        return replace(plan, upgrades=series(2, CALM_S + 1.0, 3.0, rng), log_level="info")
    return plan


def _draw_abuse(rng: Random, kind: AbuseKind, sockets: int) -> Abuse:
    clients = rng.randint(*FLOODING_CLIENTS) if kind in FLOODS else rng.randint(WELL_BEHAVED_CLIENTS, 2 * sockets)
    hold_s = rng.choice([(0.0, 0.2), (1.0, 2.0), (2.0, 4.0), (4.0, 6.0)])
    return Abuse(kind, clients, CALM_S, ABUSE_S, hold_s)

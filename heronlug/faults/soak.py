"""Draws random test plans from a seed, to find fault combinations that the written plans do not cover.

Faults overlap: dispatchers are killed, replaced with the earliest permitted kill, paused, or down while servers are
removed; service discovery is down, slow, silent, rejects calls or truncates its answers; paths are cut, silent, slow or
reset; servers crash, drain and restart while they warm up. Clients reuse each connection until it is closed. The four
rules must hold for the events that clients, servers and service discovery observe. Most runs are configured as on the
platform, where each list change must be notified in time; the other runs use an operator's config file.
"""

from random import Random
from typing import Any, Literal

from heronlug.faults.plan import (
    ClassTable,
    DiscoveryTable,
    DispatchersTable,
    ExpectTable,
    FaultPlan,
    ServersTable,
    Step,
)

SPAN_S = 18.0
"""Length of each drawn run in seconds."""
FIRST_STEP_S, LAST_STEP_S = 1.0, 9.0
"""Earliest and latest time at which a drawn fault begins, in seconds."""
PLATFORM_SHARE = 0.8
"""Share of plans that are configured as on the platform."""
EFFECTS: tuple[Literal["repeatable", "by_key", "once"], ...] = ("repeatable", "by_key", "once")


def draw(seed: int) -> FaultPlan:
    """Returns the test plan that a seed determines."""
    rng = Random(seed)
    dispatcher_count, server_count = rng.randint(2, 4), rng.randint(3, 8)
    plan = FaultPlan(
        name=f"soak-{seed}",
        span_s=SPAN_S,
        seed=seed,
        halls=["a", "b"][: rng.randint(1, 2)],
        dispatchers=DispatchersTable(
            count=dispatcher_count, peers=rng.random() < 0.5, log_taken=True, platform=rng.random() < PLATFORM_SHARE
        ),
        register=DiscoveryTable(call_ms=rng.choice([0.0, 5.0, 150.0])),
        runners=ServersTable(
            count=server_count, slots=rng.randint(2, 6), warm_after_ms=5000.0, cold=rng.random() < 0.3
        ),
        classes=[_class(rng, number) for number in range(rng.randint(1, 3))],
        expect=ExpectTable(),
    )
    for _ in range(rng.randint(3, 7)):
        plan.step += rng.choice(FAULTS)(rng, rng.uniform(FIRST_STEP_S, LAST_STEP_S), plan)
    plan.step.sort(key=lambda step: step.at_s)
    return plan


def _class(rng: Random, number: int) -> ClassTable:
    deadline_ms = rng.choice([1500.0, 2500.0, 3000.0])
    return ClassTable(
        name=f"class{number}",
        rate=rng.uniform(4, 15),
        effect=rng.choice(EFFECTS),
        work_ms=rng.choice([30.0, 80.0, 300.0]),
        aim_ms=deadline_ms / 3,
        deadline_ms=deadline_ms,
    )


def _dispatcher(rng: Random, plan: FaultPlan) -> list[str]:
    return [f"d{rng.randrange(plan.dispatchers.count)}"]


def _some_servers(rng: Random, plan: FaultPlan) -> list[str]:
    count = rng.randint(1, max(1, plan.runners.count // 2))
    return [f"r{number}" for number in rng.sample(range(plan.runners.count), count)]


def _dispatcher_killed(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at, do="kill", who=_dispatcher(rng, plan), for_s=rng.uniform(0.1, 2))]


def _dispatchers_replaced(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    """Replaces one or two dispatchers, 2 s apart; a second SIGTERM to the same process must change nothing."""
    who = [f"d{number}" for number in range(plan.dispatchers.count)][: rng.randint(1, 2)]
    return [Step(at_s=at + 2.0 * number, do="replace", who=[name]) for number, name in enumerate(who)]


def _dispatcher_paused(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at, do="stop", who=_dispatcher(rng, plan), for_s=rng.choice([0.1, 0.15]))]


def _dispatchers_reloaded(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at + 0.3 * number, do="hup", who=["d*"]) for number in range(rng.randint(1, 3))]


def _discovery_down(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at, do="down", for_s=rng.uniform(0.5, 5))]


def _discovery_silent(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    fault, span_s = rng.choice(["silent", "cut"]), rng.uniform(1, 4)
    return [Step(at_s=at, do=fault, source=["d*"], target=["register"], for_s=span_s)]


def _discovery_slow(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at, do="delay", source=["d*"], target=["register"], ms=rng.uniform(20, 400), for_s=3.0)]


def _discovery_reset(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at, do="reset", source=["d*"], target=["register"])]


def _discovery_rejects(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    """Makes service discovery, which is up, reject calls while watches break and servers drain."""
    rejecting = Step(at_s=at, do="turn", share=rng.choice([0.7, 1.0]), for_s=rng.uniform(2, 12))
    return [rejecting, *_discovery_reset(rng, at + 0.1, plan), *_servers_drain(rng, at + 0.3, plan)]


def _discovery_hangs(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    """Makes service discovery accept calls without answering while watches break and servers drain."""
    hanging = Step(at_s=at, do="hang", for_s=rng.uniform(2, 12))
    return [hanging, *_discovery_reset(rng, at + 0.1, plan), *_servers_drain(rng, at + 0.3, plan)]


def _discovery_answers_cut(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    """Resets answers of service discovery half-way or slows them down."""
    fault, size = rng.choice([("half", 120), ("trickle", 400)])
    return [Step(at_s=at, do=fault, source=["d*"], target=["register"], bytes=size, for_s=rng.uniform(1, 5))]


def _dispatcher_misses_removal(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    """Kills a dispatcher, which is down while servers are removed and restarts with its earlier list."""
    who, since_s = _dispatcher(rng, plan), min(at, 4.0)
    removed = Step(at_s=since_s + 0.4, do="list", who=_some_servers(rng, plan), state="left")
    return [Step(at_s=since_s, do="kill", who=who, for_s=rng.uniform(7, 10)), removed]


def _servers_reset(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [
        Step(at_s=at + 0.2 * number, do="reset", source=["d*"], target=_some_servers(rng, plan))
        for number in range(rng.randint(1, 4))
    ]


def _servers_cut(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [
        Step(
            at_s=at,
            do=rng.choice(["cut", "silent", "refuse"]),
            source=["d*"],
            target=_some_servers(rng, plan),
            for_s=rng.uniform(0.5, 3),
        )
    ]


def _servers_delayed(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [
        Step(
            at_s=at,
            do="delay",
            source=["d*"],
            target=_some_servers(rng, plan),
            ms=rng.uniform(20, 700),
            for_s=rng.uniform(0.5, 3),
        )
    ]


def _servers_die(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at, do="die", who=_some_servers(rng, plan), for_s=rng.uniform(0.5, 4))]


def _servers_drain(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    """Drains servers and later removes them or makes them active again."""
    who = _some_servers(rng, plan)
    return [
        Step(at_s=at, do="list", who=who, state="leaving"),
        Step(at_s=at + rng.uniform(0.2, 4), do="list", who=who, state=rng.choice(["left", "active"])),
    ]


def _servers_slow(rng: Random, at: float, plan: FaultPlan) -> list[Step]:
    return [Step(at_s=at, do="slow", who=_some_servers(rng, plan), factor=rng.uniform(2, 20), for_s=3.0)]


FAULTS: tuple[Any, ...] = (
    _dispatcher_killed,
    _dispatchers_replaced,
    _dispatchers_replaced,
    _dispatcher_paused,
    _dispatchers_reloaded,
    _discovery_down,
    _discovery_silent,
    _discovery_slow,
    _discovery_reset,
    _discovery_rejects,
    _discovery_hangs,
    _discovery_answers_cut,
    _dispatcher_misses_removal,
    _servers_reset,
    _servers_cut,
    _servers_delayed,
    _servers_die,
    _servers_drain,
    _servers_drain,
    _servers_slow,
)

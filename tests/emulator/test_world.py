"""Runs of the model: the same seed is the same run, one host more changes no other's draws, troubles keep the rules.

Modules that break a rule on purpose are found by the checker, each with the events that led there.
"""

from collections.abc import Callable
from typing import Any

import pytest

from emulator.fleets import scenario
from heronlug.balancer.actions import Action
from heronlug.balancer.events import AttemptEnded, Outcome, RequestArrived, ServerListUpdate, ServerState
from heronlug.balancer.events import Event as DispatcherEvent
from heronlug.balancer.settings import Settings
from heronlug.conformance import Began, Event, Listed, Load, Sent, read, write
from heronlug.emulator.draws import stream
from heronlug.emulator.figures import same
from heronlug.emulator.policies import POLICIES, KnownServer, Policy, RandomChoice, ServerTruth
from heronlug.emulator.world import World

TROUBLES = {
    "crash": 'what = "crash"\nat_s = 5\nshare = 0.2\n',
    "hang": 'what = "hang"\nat_s = 5\nshare = 0.1\nfor_s = 6\n',
    "pause": 'what = "pause"\nat_s = 5\nshare = 0.2\nfor_s = 2\n',
    "deploy": 'what = "deploy"\nat_s = 4\nshare = 0.81\nover_s = 15\n',
    "dispatcher-kill": 'what = "dispatcher-kill"\nat_s = 8\nshare = 0.4\n',
    "partition": 'what = "partition"\nat_s = 6\nfor_s = 5\nzone = "b"\n',
    "slow-zone": 'what = "slow-zone"\nat_s = 6\nfor_s = 8\nzone = "a"\nfactor = 4\n',
    "register-silent": 'what = "register-silent"\nat_s = 3\nfor_s = 10\n',
}


def trouble(*names: str) -> str:
    return "".join(f"[[trouble]]\n{TROUBLES[name]}" for name in names)


@pytest.mark.parametrize("policy", ["heronlug", *POLICIES])
def test_the_same_seed_is_the_same_run(policy: str) -> None:
    one, other = (World(scenario(trouble("crash"), span_s=7, policy=policy), 4).run() for _ in range(2))
    assert same(one, other) and one.classes[0].request_count > 600
    assert not same(one, World(scenario(trouble("crash"), span_s=7, policy=policy), 5).run())


def test_one_host_more_changes_no_other_draw() -> None:
    small, large = World(scenario()), World(scenario(pool__0__count=9))
    for name in small.servers:
        assert [small.network._server_factors[name].next() for _ in range(5)] == [
            large.network._server_factors[name].next() for _ in range(5)
        ]
    assert [small.clients._work_draws[0].next() for _ in range(5)] == [
        large.clients._work_draws[0].next() for _ in range(5)
    ]
    assert stream(1, "a").random() != stream(1, "b").random()


@pytest.mark.parametrize("name", TROUBLES)
def test_the_rules_are_kept_in_every_trouble(name: str) -> None:
    world = World(scenario(trouble(name)), 2)
    figures = world.run()
    assert world.checker.violations == []
    assert figures.service > 0.6
    ended = sum(lane.request_count for lane in figures.classes)
    assert ended == world.clients.ended_requests and world.clients.open_requests == 0  # every job has had its end
    if name == "crash":
        assert (
            sum(host.overload_crashes for host in figures.servers) == 0
            and min(h.mean_load for h in figures.servers) < 0.5
        )
    if name == "deploy":
        assert sum("+" in host.name for host in figures.servers) == 13
        assert max(host.warmup_peak_load for host in figures.servers) > 0


def test_all_troubles_at_once() -> None:
    world = World(scenario(trouble(*TROUBLES), network__loss=0.2), 3)
    world.run()
    assert world.checker.violations == []


class Resender(RandomChoice):
    """Sends again whatever has broken, also what must not run twice."""

    def _ended(self, event: AttemptEnded, now: float, out: list[Action]) -> None:
        if event.outcome == Outcome.RESET:
            event = event._replace(outcome=Outcome.FULL)
        super()._ended(event, now, out)


class DrainIgnorer(RandomChoice):
    """Takes no notice of a host's state, once it has known it as ready."""

    def _listed(self, event: ServerListUpdate, out: list[Action]) -> None:
        entries = tuple(e._replace(state=ServerState.READY) for e in event.entries)
        super()._listed(event._replace(entries=entries), out)


class Flooder(RandomChoice):
    """Sends everything to the youngest host."""

    def choose(self, job: Any, among: list[KnownServer]) -> KnownServer:
        return max(among, key=lambda worker: worker.entry.started_at)


class Answerless(RandomChoice):
    """Forgets every hundredth job: the core answers it when its time is over, and that is what it is there for."""

    def handle(self, now: float, event: DispatcherEvent) -> list[Action]:
        if isinstance(event, RequestArrived) and event.request % 100 == 7:
            return []
        return super().handle(now, event)


def nothing_seen(number: int) -> ServerTruth:
    return ServerTruth(0.0, 0.0, 1.0, 1.0, 1.0, True, 0.0)


def broken(policy: type[Policy]) -> Callable[[Settings, int], Policy]:
    return lambda settings, seed: policy(settings, seed, nothing_seen)


@pytest.mark.parametrize(
    ("policy", "befalls", "rule", "kinds"),
    [(Resender, "crash", 2, (Began,)), (DrainIgnorer, "deploy", 3, (Listed, Sent)), (Flooder, "deploy", 4, (Load,))],
)
def test_a_rule_broken_on_purpose_is_found(
    policy: type[Policy], befalls: str, rule: int, kinds: tuple[type, ...]
) -> None:
    world = World(scenario(trouble(befalls)), 2, decision_module=broken(policy), checks_before_write=False)
    figures = world.run()
    assert figures.violations.get(rule, 0) > 0 and set(figures.violations) <= {rule, 4}  # none of them minds the cold
    first = next(each for each in world.checker.violations if each.rule == rule)
    assert all(any(isinstance(event, kind) for event in first.trail) for kind in kinds)


def test_the_core_keeps_the_drain_rule_and_the_time_for_a_module_that_does_not() -> None:
    """What is guarded again at the write, and answered when the time is over, holds whatever the module does."""
    assert World(scenario(trouble("deploy")), 2, decision_module=broken(DrainIgnorer)).run().violations.keys() <= {4}
    assert World(scenario(span_s=10), 2, decision_module=broken(Answerless)).run().violations == {}


def test_events_can_be_kept_and_read_again() -> None:
    events: list[Event] = []
    World(scenario(trouble("deploy", "dispatcher-kill"), span_s=12), 2, record=events.append).run()
    assert len({type(event) for event in events}) >= 6
    assert list(read(map(write, events))) == events
    with pytest.raises(ValueError, match="line 2: no event"):
        list(read([write(events[0]), b'["Sent", 1]\n']))

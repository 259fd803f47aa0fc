"""Tests runs of the emulator: reproducibility, independent random streams, and the rules under faults.

The checker must report decision modules that break a rule on purpose, with the events that led to the violation.
"""

from collections.abc import Callable

import pytest

from emulator.fleets import scenario
from heronlug.balancer.actions import Action
from heronlug.balancer.events import AttemptEnded, Outcome, RequestArrived, ServerListUpdate, ServerState
from heronlug.balancer.events import Event as DispatcherEvent
from heronlug.balancer.settings import Settings
from heronlug.conformance import Began, Event, Listed, Load, Sent, read, write
from heronlug.emulator.draws import stream
from heronlug.emulator.figures import have_same_figures
from heronlug.emulator.policies import POLICIES, KnownServer, OpenRequest, Policy, RandomChoice, ServerTruth
from heronlug.emulator.world import World

FAULTS = {
    "crash": 'what = "crash"\nat_s = 5\nshare = 0.2\n',
    "hang": 'what = "hang"\nat_s = 5\nshare = 0.1\nfor_s = 6\n',
    "pause": 'what = "pause"\nat_s = 5\nshare = 0.2\nfor_s = 2\n',
    "deploy": 'what = "deploy"\nat_s = 4\nshare = 0.81\nover_s = 15\n',
    "dispatcher-kill": 'what = "dispatcher-kill"\nat_s = 8\nshare = 0.4\n',
    "partition": 'what = "partition"\nat_s = 6\nfor_s = 5\nzone = "b"\n',
    "slow-zone": 'what = "slow-zone"\nat_s = 6\nfor_s = 8\nzone = "a"\nfactor = 4\n',
    "register-silent": 'what = "register-silent"\nat_s = 3\nfor_s = 10\n',
}


def fault_tables(*names: str) -> str:
    return "".join(f"[[trouble]]\n{FAULTS[name]}" for name in names)


@pytest.mark.parametrize("policy", ["heronlug", *POLICIES])
def test_a_run_is_reproduced_by_its_seed(policy: str) -> None:
    """A random draw outside the seeded streams would make runs with one seed differ."""
    one, other = (World(scenario(fault_tables("crash"), span_s=7, policy=policy), 4).run() for _ in range(2))
    assert have_same_figures(one, other)
    assert one.classes[0].request_count > 600
    assert not have_same_figures(one, World(scenario(fault_tables("crash"), span_s=7, policy=policy), 5).run())


def test_adding_a_server_changes_no_other_random_draw() -> None:
    """Entities that share a random stream would make scenarios with different numbers of servers incomparable."""
    small, large = World(scenario()), World(scenario(pool__0__count=9))
    for name in small.servers:
        assert [small.network._server_factors[name].next() for _ in range(5)] == [
            large.network._server_factors[name].next() for _ in range(5)
        ]
    assert [small.clients._work_draws[0].next() for _ in range(5)] == [
        large.clients._work_draws[0].next() for _ in range(5)
    ]
    assert stream(1, "a").random() != stream(1, "b").random()


@pytest.mark.parametrize("name", FAULTS)
def test_no_rule_is_violated_under_each_fault(name: str) -> None:
    """A fault must not make the balancer break a rule, and every request must end once."""
    world = World(scenario(fault_tables(name)), 2)
    figures = world.run()
    assert world.checker.violations == []
    assert figures.service > 0.6
    ended = sum(each.request_count for each in figures.classes)
    assert ended == world.clients.ended_requests
    assert world.clients.open_requests == 0
    if name == "crash":
        assert sum(server.overload_crashes for server in figures.servers) == 0
        assert min(server.mean_load for server in figures.servers) < 0.5
    if name == "deploy":
        assert sum("+" in server.name for server in figures.servers) == 13
        assert max(server.warmup_peak_load for server in figures.servers) > 0


def test_no_rule_is_violated_under_all_faults_at_once() -> None:
    """Faults that overlap, with lost datagrams, must not make the balancer break a rule."""
    world = World(scenario(fault_tables(*FAULTS), network__loss=0.2), 3)
    world.run()
    assert world.checker.violations == []


class RetriesAnything(RandomChoice):
    """Retries after any failure, even requests that must not run twice."""

    def _attempt_ended(self, event: AttemptEnded, now: float, actions: list[Action]) -> None:
        if event.outcome == Outcome.RESET:
            event = event._replace(outcome=Outcome.FULL)
        super()._attempt_ended(event, now, actions)


class IgnoresDraining(RandomChoice):
    """Treats every listed server as ready."""

    def _update_servers(self, event: ServerListUpdate, actions: list[Action]) -> None:
        entries = tuple(e._replace(state=ServerState.READY) for e in event.entries)
        super()._update_servers(event._replace(entries=entries), actions)


class PrefersTheYoungestServer(RandomChoice):
    """Sends every request to the server that started last."""

    def choose(self, request: OpenRequest, candidates: list[KnownServer]) -> KnownServer:
        return max(candidates, key=lambda server: server.entry.started_at)


class ForgetsRequests(RandomChoice):
    """Ignores every hundredth request, so that the core has to answer the request at its deadline."""

    def handle(self, now: float, event: DispatcherEvent) -> list[Action]:
        if isinstance(event, RequestArrived) and event.request % 100 == 7:
            return []
        return super().handle(now, event)


def unknown_server_truth(number: int) -> ServerTruth:
    return ServerTruth(0.0, 0.0, 1.0, 1.0, 1.0, True, 0.0)


def decision_module_of(policy: type[Policy]) -> Callable[[Settings, int], Policy]:
    return lambda settings, seed: policy(settings, seed, unknown_server_truth)


@pytest.mark.parametrize(
    ("policy", "fault", "rule", "kinds"),
    [
        (RetriesAnything, "crash", 2, (Began,)),
        (IgnoresDraining, "deploy", 3, (Listed, Sent)),
        (PrefersTheYoungestServer, "deploy", 4, (Load,)),
    ],
)
def test_the_checker_reports_a_policy_that_breaks_a_rule(
    policy: type[Policy], fault: str, rule: int, kinds: tuple[type, ...]
) -> None:
    """A checker that misses a violation on the emulator would make all other runs there meaningless."""
    world = World(
        scenario(fault_tables(fault)), 2, decision_module=decision_module_of(policy), checks_before_write=False
    )
    figures = world.run()
    assert figures.violations.get(rule, 0) > 0
    assert set(figures.violations) <= {rule, 4}
    first = next(each for each in world.checker.violations if each.rule == rule)
    assert all(any(isinstance(event, kind) for event in first.trail) for kind in kinds)


def test_the_core_enforces_the_drain_rule_and_the_deadline_for_any_decision_module() -> None:
    """A faulty decision module must not break the drain rule or leave a request without an answer at its deadline."""
    assert World(
        scenario(fault_tables("deploy")), 2, decision_module=decision_module_of(IgnoresDraining)
    ).run().violations.keys() <= {4}
    assert World(scenario(span_s=10), 2, decision_module=decision_module_of(ForgetsRequests)).run().violations == {}


def test_recorded_events_can_be_written_and_read_back() -> None:
    """Events that change on their way through a file would make ``rules check`` judge another run."""
    events: list[Event] = []
    World(scenario(fault_tables("deploy", "dispatcher-kill"), span_s=12), 2, record=events.append).run()
    assert len({type(event) for event in events}) >= 6
    assert list(read(map(write, events))) == events
    with pytest.raises(ValueError, match="line 2: invalid event"):
        list(read([write(events[0]), b'["Sent", 1]\n']))

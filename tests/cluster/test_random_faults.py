"""Checks the invariants of a cluster after each step of random fault sequences drawn by hypothesis."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cluster.virtual_network import VirtualNetwork

NAMES = "abcd"
TABLE = "register"
MERGE_TIME_MS = 9000.0  # after a cut has healed, the two sides may take this long to find each other


class Cluster(RuleBasedStateMachine):
    """Members join, leave, crash, pause and publish, and links are cut and heal, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.net = VirtualNetwork(NAMES, 0)
        self.overlap_allowed_until = -1.0
        self.published: set[bytes] = set()

    @initialize(seed=st.integers(0, 10_000), loss=st.sampled_from([0.0, 0.1, 0.3]))
    def start_cluster(self, seed: int, loss: float) -> None:
        self.net = VirtualNetwork(NAMES, seed, loss=loss, leases=[TABLE, "sweep"], topics=[TABLE])
        for name in NAMES[:3]:
            self.net.start(name)
        self.net.run(5000)

    @rule(name=st.sampled_from(NAMES))
    def join(self, name: str) -> None:
        if name not in self.net.processes:
            self.net.start(name)

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        if name in self.net.processes:
            self.net.kill(name)

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name: str) -> None:
        if name in self.net.processes:
            self.net.leave(name)
            self.net.run(1500)
            if name in self.net.processes:
                self.net.kill(name)

    @rule(name=st.sampled_from(NAMES), span=st.integers(50, 4000))
    def pause(self, name: str, span: int) -> None:
        self.net.pause(name, float(span))

    @rule(side=st.sets(st.sampled_from(NAMES), min_size=1, max_size=3), both_ways=st.booleans())
    def cut(self, side: set[str], both_ways: bool) -> None:
        other_side = set(NAMES) - side
        self.net.cut |= {(a, b) for a in side for b in other_side}
        if both_ways:
            self.net.cut |= {(b, a) for a in side for b in other_side}
        self.net.may_overlap = True

    @precondition(lambda self: bool(self.net.cut))
    @rule()
    def heal(self) -> None:
        self.net.cut.clear()
        self.overlap_allowed_until = self.net.now + MERGE_TIME_MS

    @rule(value=st.binary(min_size=1, max_size=4))
    def publish(self, value: bytes) -> None:
        for name in self.net.owners(TABLE):
            self.net.publish(name, TABLE, {b"row": value})
        self.published.add(value)

    @rule(span=st.integers(10, 4000))
    def run(self, span: int) -> None:
        self.net.run(float(span))

    @invariant()
    def no_two_members_act_on_one_lease(self) -> None:
        """Guards against two members that act on one lease outside a partition, or under the same token.

        :meth:`VirtualNetwork.check` also runs after every event that changes members or leases.
        """
        if not self.net.cut and self.net.now > self.overlap_allowed_until:
            self.net.may_overlap = False
        self.net.check()

    @invariant()
    def every_row_was_published(self) -> None:
        """Guards against a row value in any member's table that no member has published."""
        for process in self.net.processes.values():
            assert process.tables[TABLE].get(b"row") in {None, *self.published}

    def teardown(self) -> None:
        """Guards against lasting damage: healed, with all members running, leases and tables must recover.

        After 20 s each lease must have exactly one owner, and a published row must reach every member.
        """
        self.net.cut.clear()
        for name in NAMES:
            if name not in self.net.processes:
                self.net.start(name)
        self.net.run(20_000)
        assert all(len(self.net.owners(lease)) == 1 for lease in self.net.leases)
        self.net.may_overlap = False
        owner = self.net.owners(TABLE)[0]
        assert self.net.publish(owner, TABLE, {b"row": b"last"})
        self.net.run(4000)
        assert {process.tables[TABLE].get(b"row") for process in self.net.processes.values()} == {b"last"}


Cluster.TestCase.settings = settings(max_examples=25, stateful_step_count=15)
TestCluster = Cluster.TestCase

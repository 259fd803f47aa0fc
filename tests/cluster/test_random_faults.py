"""Anything that can happen to a cluster, drawn by hypothesis: what must hold does after each step."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cluster.virtual_network import VirtualNetwork

NAMES = "abcd"
TOPIC = "register"
CUT_ENDS = 9000.0  # ms after a cut has healed in which two sides may still be finding each other


class Cluster(RuleBasedStateMachine):
    """Join, leave, crash, pause, cut, heal, publish, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.net = VirtualNetwork(NAMES, 0)
        self.cut_until = -1.0
        self.published: set[bytes] = set()

    @initialize(seed=st.integers(0, 10_000), loss=st.sampled_from([0.0, 0.1, 0.3]))
    def begin(self, seed: int, loss: float) -> None:
        self.net = VirtualNetwork(NAMES, seed, loss=loss, leases=[TOPIC, "sweep"], topics=[TOPIC])
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

    @rule(side=st.sets(st.sampled_from(NAMES), min_size=1, max_size=3), both=st.booleans())
    def cut(self, side: set[str], both: bool) -> None:
        rest = set(NAMES) - side
        self.net.cut |= {(a, b) for a in side for b in rest}
        if both:
            self.net.cut |= {(b, a) for a in side for b in rest}
        self.net.may_overlap = True

    @precondition(lambda self: bool(self.net.cut))
    @rule()
    def heal(self) -> None:
        self.net.cut.clear()
        self.cut_until = self.net.now + CUT_ENDS

    @rule(value=st.binary(min_size=1, max_size=4))
    def publish(self, value: bytes) -> None:
        for name in self.net.owners(TOPIC):
            self.net.publish(name, TOPIC, {b"row": value})
        self.published.add(value)

    @rule(span=st.integers(10, 4000))
    def run(self, span: int) -> None:
        self.net.run(float(span))

    @invariant()
    def nobody_acts_twice(self) -> None:
        """:meth:`VirtualNetwork.check` runs after every event: tokens are unique, two act only in a partition."""
        if not self.net.cut and self.net.now > self.cut_until:
            self.net.may_overlap = False
        self.net.check()

    @invariant()
    def nothing_is_read_that_nobody_wrote(self) -> None:
        for process in self.net.processes.values():
            assert process.tables[TOPIC].get(b"row") in {None, *self.published}

    def teardown(self) -> None:
        """Left alone and healed, with everybody there, each lease has one owner again, and all read one table."""
        self.net.cut.clear()
        for name in NAMES:
            if name not in self.net.processes:
                self.net.start(name)
        self.net.run(20_000)
        assert all(len(self.net.owners(lease)) == 1 for lease in self.net.leases)
        self.net.may_overlap = False
        owner = self.net.owners(TOPIC)[0]
        assert self.net.publish(owner, TOPIC, {b"row": b"last"})
        self.net.run(4000)
        assert {process.tables[TOPIC].get(b"row") for process in self.net.processes.values()} == {b"last"}


Cluster.TestCase.settings = settings(max_examples=25, stateful_step_count=15)
TestCluster = Cluster.TestCase

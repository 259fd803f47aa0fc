"""Tests which members of a cluster poll service discovery, in virtual time, with message loss, crashes and outages.

The members decide without coordination. The model is minimal: a heartbeat every 400 ms that each member may receive or
lose, and a service discovery that answers a poll after ``ANSWER_MS`` or is unreachable, for all members or for some.
"""

from math import inf
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug.discovery import reader_election
from heronlug.discovery.reader_election import MemberPosition, ReaderElection, Role, SharedListStatus

STALE_AFTER_MS, HEARTBEAT_MS, STEP_MS = 1500.0, 400.0, 100.0
ANSWER_MS, RETRY_MS = 150.0, 600.0  # time until a poll ends, and pause until the next poll


class Member:
    def __init__(self, number: int, starts_at: float, rng: Random) -> None:
        self.number, self.starts_at, self.alive, self.paused = number, starts_at, True, False
        self.election = ReaderElection(STALE_AFTER_MS, 3, rng.random())
        self.watching = self.announced_watching = False
        self.poll_ends_at: float | None = None
        self.next_poll_at = -inf
        self.reader_since: float | None = None  # when this member announced itself as a reader
        self.last_message_at, self.last_message_watched = -inf, False  # last message of the newest reader
        self.last_message_reader_since = -inf
        self.list_current_at = -inf  # when the list was last up to date


class Cluster:
    """Members in the order of their ranks; the newest reader stays, and readers that receive its messages step down."""

    def __init__(self, count: int, seed: int, loss: float = 0.0, spread: float = 0.0) -> None:
        self.rng, self.loss, self.now = Random(seed), loss, 0.0
        self.members = [Member(n, self.rng.uniform(0, spread), self.rng) for n in range(count)]
        self.cut_off: set[int] = set()  # numbers of the members that cannot reach service discovery
        self.partitions: dict[int, int] = {}  # partition by member number; 0 for members not listed
        self.polls: list[tuple[float, int]] = []

    def connected(self, first: Member, second: Member) -> bool:
        return self.partitions.get(first.number, 0) == self.partitions.get(second.number, 0)

    def active_members(self) -> list[Member]:
        return [m for m in self.members if m.alive and not m.paused and m.starts_at <= self.now]

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self.now < end:
            self.now += STEP_MS
            for member in self.active_members():
                self.step(member)
            if self.now % HEARTBEAT_MS < STEP_MS / 2:
                for member in self.active_members():
                    self.announce(member)

    def announce(self, writer: Member) -> None:
        """Sends a heartbeat, or a change immediately, from a reader to the members that it reaches."""
        if writer.reader_since is not None:
            for member in self.active_members():
                if member is writer or not self.connected(member, writer) or self.rng.random() < self.loss:
                    continue
                if member.reader_since is not None and writer.reader_since < member.reader_since:
                    continue
                member.reader_since = None
                if writer.reader_since >= member.last_message_reader_since:
                    member.last_message_reader_since, member.last_message_at = writer.reader_since, self.now
                    member.last_message_watched = writer.watching
                    if writer.watching:
                        member.list_current_at = self.now

    def step(self, member: Member) -> None:
        if member.poll_ends_at is not None and member.poll_ends_at <= self.now:
            member.poll_ends_at = None
            member.watching = member.number not in self.cut_off
            member.next_poll_at = self.now + RETRY_MS
        if member.watching and member.number in self.cut_off:
            member.watching, member.next_poll_at = False, self.now + RETRY_MS
        if member.watching:
            member.list_current_at = self.now
        others = [m for m in self.active_members() if m is not member and self.connected(m, member)]
        position = MemberPosition(sum(m.number < member.number for m in others), len(others))
        shared_lists = (
            [SharedListStatus(self.now - member.last_message_at, member.last_message_watched, False)]
            if member.reader_since is None
            else []
        )
        role = member.election.decide(self.now, False, position, shared_lists, member.watching)
        if (
            role is Role.READ
            and not member.watching
            and member.poll_ends_at is None
            and self.now >= member.next_poll_at
        ):
            self.polls.append((self.now, member.number))
            member.poll_ends_at = self.now + ANSWER_MS
        if role is Role.FOLLOW:
            member.watching = False
        previously_announced = member.reader_since, member.watching
        reader_announced = member.reader_since is None and self.now - member.last_message_at <= STALE_AFTER_MS
        if role is Role.READ and member.reader_since is None and (member.watching or not reader_announced):
            member.reader_since = self.now + member.number / 1e6
        elif role is not Role.READ:
            member.reader_since = None
        if (member.reader_since, member.watching) != previously_announced or (
            member.reader_since is not None and member.watching is not member.announced_watching
        ):
            member.announced_watching = member.watching
            self.announce(member)

    def members_without_list(self, within: float = STALE_AFTER_MS) -> list[int]:
        return [m.number for m in self.active_members() if self.now - m.list_current_at > within]


@settings(max_examples=40)
@given(
    count=st.integers(1, 40),
    seed=st.integers(0, 9999),
    loss=st.sampled_from([0.0, 0.1, 0.3]),
    spread=st.sampled_from([0.0, 500.0, 4000.0]),
)
def test_starting_fleet_has_its_list_soon_after_few_polls(count: int, seed: int, loss: float, spread: float) -> None:
    """Guards against members without a list, or many pollers, when a fleet starts before it has a lease."""
    cluster = Cluster(count, seed, loss, spread)
    cluster.run(spread + 3000)
    assert not cluster.members_without_list()
    if not loss:
        assert len(cluster.polls) <= 6
    cluster.run(10_000)
    if not loss:
        assert sum(m.watching for m in cluster.active_members()) == 1


@settings(max_examples=40)
@given(seed=st.integers(0, 9999), loss=st.sampled_from([0.0, 0.3]), data=st.data())
def test_crashed_readers_are_replaced_one_after_another(seed: int, loss: float, data: st.DataObject) -> None:
    """Guards against a cluster without a reader after the current readers crash, several times in a row."""
    cluster = Cluster(12, seed, loss)
    cluster.run(6000)
    for _ in range(5):
        for member in cluster.active_members():
            if member.watching and len(cluster.active_members()) > 1:
                member.alive = False
        cluster.run(data.draw(st.sampled_from([2500.0, 5000.0])))
        assert not cluster.members_without_list(
            STALE_AFTER_MS + reader_election.MAX_EXTRA_WAIT_MS + (2 * HEARTBEAT_MS + ANSWER_MS if loss else 0.0)
        )
    assert cluster.active_members()


@pytest.mark.parametrize("count", [1, 3, 40, 100])
@pytest.mark.parametrize("outage", [3000.0, 20_000.0])
def test_few_members_poll_during_an_outage_and_one_reads_soon_after(count: int, outage: float) -> None:
    """Guards against polling by all members while service discovery is down, or by several readers afterwards."""
    cluster = Cluster(count, 7)
    cluster.run(8000)
    cluster.cut_off = set(range(count))
    cluster.run(outage)
    polls_in_outage = [at for at, _ in cluster.polls if at > 8000]
    # in this model the reader retries every 0.75 s, and one other member polls each second
    assert len(polls_in_outage) <= 2 + outage / (RETRY_MS + ANSWER_MS) + outage / reader_election.ROTATION_MS
    cluster.cut_off, recovered_at, polls_before_recovery = set(), cluster.now, len(cluster.polls)
    cluster.run(2000)
    assert not cluster.members_without_list()
    cluster.run(18_000)
    assert sum(m.watching for m in cluster.active_members()) == 1
    assert len(cluster.polls) - polls_before_recovery <= 4, cluster.polls[polls_before_recovery:]
    assert cluster.now - recovered_at == pytest.approx(20_000)


@settings(max_examples=40)
@given(seed=st.integers(0, 9999), reaching_member=st.integers(0, 11))
def test_only_member_that_reaches_discovery_becomes_the_reader(seed: int, reaching_member: int) -> None:
    """Guards against a cluster without a list when the first readers cannot reach service discovery."""
    cluster = Cluster(12, seed)
    cluster.cut_off = set(range(12)) - {reaching_member}
    cluster.run(3000 + 14 * reader_election.ROTATION_MS)
    assert not cluster.members_without_list()


@settings(max_examples=40)
@given(seed=st.integers(0, 9999), first_partition_size=st.integers(1, 11))
def test_each_partition_has_a_reader_and_one_is_left_after_healing(seed: int, first_partition_size: int) -> None:
    """Guards against a partition without a reader, and against two readers after the partitions merge."""
    cluster = Cluster(12, seed)
    cluster.partitions = {number: int(number < first_partition_size) for number in range(12)}
    cluster.run(6000)
    assert not cluster.members_without_list()
    cluster.partitions = {}
    cluster.run(8000)
    assert sum(m.watching for m in cluster.active_members()) == 1
    assert not cluster.members_without_list()


def test_paused_reader_is_replaced_and_yields_when_it_resumes() -> None:
    """Guards against two readers after a paused process resumes."""
    cluster = Cluster(8, 3)
    cluster.run(6000)
    (reader,) = [m for m in cluster.active_members() if m.watching]
    reader.paused = True
    cluster.run(3000)
    assert not cluster.members_without_list(STALE_AFTER_MS + reader_election.MAX_EXTRA_WAIT_MS)
    reader.paused = False
    cluster.run(6000)
    assert sum(m.watching for m in cluster.active_members()) == 1


def test_outdated_list_is_not_followed() -> None:
    """Guards against waiting forever for a writer whose list is older than one already seen."""
    election = ReaderElection(STALE_AFTER_MS, 3, 0.0)
    election.decide(0.0, False, MemberPosition(5, 9), [], False)
    assert (
        election.decide(100.0, False, MemberPosition(5, 9), [SharedListStatus(50.0, True, False)], False) is Role.FOLLOW
    )
    for step in range(60):
        role = election.decide(
            200.0 + step * STEP_MS, False, MemberPosition(5, 9), [SharedListStatus(50.0, True, True)], False
        )
    assert role is Role.READ


def test_lease_holder_always_reads_and_a_reader_steps_down_only_after_the_delay() -> None:
    """Guards against a lease holder that does not read, and against a reader that ends its watch too early."""
    election = ReaderElection(STALE_AFTER_MS, 3, 0.0)
    assert election.decide(0.0, True, MemberPosition(9, 9), [SharedListStatus(0.0, True, False)], False) is Role.READ
    assert election.decide(10.0, False, MemberPosition(9, 9), [SharedListStatus(0.0, True, False)], True) is Role.READ
    assert (
        election.decide(
            reader_election.STEP_DOWN_AFTER_MS - 1,
            False,
            MemberPosition(9, 9),
            [SharedListStatus(0.0, True, False)],
            True,
        )
        is Role.READ
    )
    assert (
        election.decide(
            reader_election.STEP_DOWN_AFTER_MS, False, MemberPosition(9, 9), [SharedListStatus(0.0, True, False)], True
        )
        is Role.FOLLOW
    )

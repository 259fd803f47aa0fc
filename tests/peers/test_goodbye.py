"""Tests that goodbyes stay within their bound and reach the peers that regard the dispatcher as serving."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug.lifecycle.graceful_shutdown import GracefulShutdown, ShutdownHooks
from heronlug.peers import ALL_PEERS, Gossip
from heronlug.peers.goodbye import MAX_GOODBYES, SERVING_TIMEOUT_MS
from heronlug.peers.gossip import LEAVING, MAX_DATAGRAM_BYTES
from heronlug.requests.deadlines import Deadlines

INTERVAL_MS = 250.0  # interval between the load summaries of an aggregator


class Fleet:
    """Simulates the gossip between dispatchers with a virtual clock and datagram loss.

    In fleets of ten or more dispatchers, two aggregators send summaries to all peers, and the other dispatchers send
    their counts to the aggregators. In smaller fleets, each dispatcher sends to all peers.
    """

    def __init__(self, count: int, loss: float = 0.0, seed: int = 1) -> None:
        self.now, self.loss, self.rng = 1000.0, loss, Random(seed)
        self.aggregators = range(min(2, count)) if count > 9 else range(0)
        self.gossips = [Gossip(count) for _ in range(count)]
        self.deadlines = Deadlines(lambda: self.now)
        self.stopped: set[int] = set()
        for number in range(count):
            self.deadlines.call_at(self.now + self.rng.uniform(0, INTERVAL_MS), self.send_periodically, number)

    def run(self, duration_ms: float) -> None:
        end = self.now + duration_ms
        while (next_due := self.deadlines.next_due()) is not None and next_due <= end:
            self.now = max(self.now, next_due)
            self.deadlines.run_due()
        self.now = end

    def send_periodically(self, number: int) -> None:
        """Sends a message every ``INTERVAL_MS``."""
        if number in self.stopped:
            return
        recipients = [ALL_PEERS] if number in self.aggregators or not self.aggregators else list(self.aggregators)
        for peer in recipients:
            self.send(number, self.gossips[number].datagram(b"c" * 20, peer, self.now), peer)
        self.deadlines.call_after(INTERVAL_MS, self.send_periodically, number)

    def send(self, number: int, data: bytes, peer: int) -> None:
        for other in range(len(self.gossips)) if peer == ALL_PEERS else [peer]:
            if other != number and other not in self.stopped and self.rng.random() >= self.loss:
                self.gossips[other].receive(number, data, self.now)

    def stop(self, number: int) -> None:
        """Stops a dispatcher that has a request open until the latest time for answers."""
        gossip = self.gossips[number]
        hooks = ShutdownHooks(
            open_work=lambda: int(self.deadlines.clock() < shutdown.answer_by),
            last_client_at=lambda: 0.0,
            others_serve=lambda: gossip.others_serve(self.now),
            leave_peers=lambda: self.leave(number),
            rejoin_peers=gossip.rejoin,
            give_up_requests=lambda: None,
            close_idle=lambda: None,
            stopped=lambda: self.stopped.add(number),
        )
        shutdown = GracefulShutdown(self.deadlines, 20_000.0, hooks)
        shutdown.stop(self.deadlines.clock())

    def leave(self, number: int) -> None:
        for peer in self.gossips[number].leave(self.now):
            self.send(number, LEAVING, peer)

    def sent_goodbyes(self) -> int:
        return sum(gossip.sent.goodbyes for gossip in self.gossips)


@pytest.mark.parametrize("count", [4, 50, 200, 1000])
def test_goodbyes_of_a_stop_are_bounded_for_any_fleet_size(count: int) -> None:
    """Failure: the cost of a stop grows with the number of peers and checks.

    When goodbyes were sent to all peers at each check, a rolling restart of 184 dispatchers cost 27% of the payoff.
    """
    fleet = Fleet(count)
    fleet.run(1000)
    fleet.stop(count - 1)
    fleet.run(5000)
    recipients = 2 if fleet.aggregators else count - 1
    assert fleet.stopped == {count - 1}
    assert 0 < fleet.sent_goodbyes() <= recipients * MAX_GOODBYES
    fleet.stop(0)
    fleet.run(5000)
    assert fleet.sent_goodbyes() <= (recipients + count - 1) * MAX_GOODBYES


@given(
    count=st.sampled_from([3, 9, 10, 40, 120]),
    loss=st.sampled_from([0.0, 0.3]),
    seed=st.integers(0, 2**32),
    batch_size=st.integers(1, 12),
    interval_ms=st.floats(0, 3000),
)
@settings(max_examples=25, deadline=None, derandomize=True)
def test_rolling_restart_stays_within_the_goodbye_bound_and_every_dispatcher_stops(
    count: int, loss: float, seed: int, batch_size: int, interval_ms: float
) -> None:
    """Failure: lost goodbyes raise the number of datagrams, or a dispatcher waits for a peer that has stopped."""
    fleet = Fleet(count, loss, seed)
    fleet.run(1000)
    order = [*range(count)]
    fleet.rng.shuffle(order)
    for first in range(0, count, batch_size):
        for number in order[first : first + batch_size]:
            fleet.stop(number)
        fleet.run(interval_ms)
    fleet.run(6000)
    assert fleet.stopped == set(order)  # no dispatcher waits for a peer that has stopped
    recipients = len(fleet.aggregators) or count
    assert fleet.sent_goodbyes() <= MAX_GOODBYES * (count * recipients + len(fleet.aggregators) * count)


def test_goodbyes_go_only_to_peers_that_received_messages_and_arrive_at_once() -> None:
    """Failure: peers count a leaving aggregator as serving, or goodbyes go to peers that need none."""
    fleet = Fleet(40)
    fleet.run(1000)
    assert all(gossip.others_serve(fleet.now) for gossip in fleet.gossips)
    for aggregator in fleet.aggregators:
        fleet.stop(aggregator)
    assert not any(
        fleet.gossips[number].others_serve(fleet.now) for number in range(2, 40)
    )  # their only senders are leaving
    before = fleet.sent_goodbyes()
    for number in range(2, 40):
        fleet.stop(number)
    assert fleet.sent_goodbyes() - before == 2 * 38


def test_messages_of_a_leaving_dispatcher_carry_the_mark_until_it_rejoins() -> None:
    """Failure: a message without the mark makes a leaving dispatcher count as serving, or a rejoin goes unnoticed."""
    leaving, peer = Gossip(2), Gossip(2)
    peer.receive(0, leaving.datagram(b"c1", ALL_PEERS, 0.0), 0.0)
    assert leaving.leave(10.0) == [ALL_PEERS]
    assert leaving.leave(30.0) == []
    assert leaving.leave(60.0) == [ALL_PEERS]
    marked = leaving.datagram(b"c2", ALL_PEERS, 100.0)
    assert marked == LEAVING + b"c2"
    assert peer.receive(0, marked, 100.0) == b"c2"
    assert not peer.others_serve(100.0)
    longest = b"c" * MAX_DATAGRAM_BYTES  # no room for the mark
    assert leaving.datagram(longest, ALL_PEERS, 110.0) == longest
    assert leaving.datagram(b"c" * (MAX_DATAGRAM_BYTES + 1), ALL_PEERS, 110.0) == b""
    leaving.rejoin()
    assert leaving.datagram(b"c3", ALL_PEERS, 700.0) == b"c3"
    assert peer.receive(0, b"c3", 700.0) == b"c3"
    assert peer.others_serve(700.0)
    assert not peer.others_serve(700.0 + SERVING_TIMEOUT_MS)


def test_dispatcher_without_recent_messages_sends_no_goodbye() -> None:
    """Failure: a goodbye goes to a peer that counts the dispatcher as down already."""
    gossip = Gossip(200)
    gossip.datagram(b"c", 0, 0.0)
    assert gossip.leave(SERVING_TIMEOUT_MS) == []
    assert not gossip.sent.goodbyes

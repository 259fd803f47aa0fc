"""Tests that shares and loans keep all dispatchers within the budget of a warming server despite message faults."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug.balancer import slow_start
from heronlug.balancer.actions import SendPeerMessage
from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import ListKind, PeerMessage, RequestArrived, ServerEntry, ServerListUpdate
from heronlug.balancer.model import Request, Server
from heronlug.balancer.servers import ServerTable
from heronlug.balancer.settings import RequestClass, Settings
from heronlug.balancer.slow_start import ASK_AGAIN_MS, BUDGET_MARGIN, GRANT, LOAN_MESSAGE, LOAN_MS, CapacityShares

WINDOW_MS, OVERLOAD_MULTIPLE, SLOTS, CAPACITY_FRACTION, USUAL_WORK = 3000.0, 3.0, 4.0, 0.2, 100.0
BUDGET = BUDGET_MARGIN * OVERLOAD_MULTIPLE * CAPACITY_FRACTION * SLOTS * WINDOW_MS


@dataclass
class SimulatedDispatcher:
    """The shares, the server table and the received loans of a dispatcher."""

    position: int
    count: int
    restarted: bool = False
    table: ServerTable = field(default_factory=ServerTable)
    loans: list[Server] = field(default_factory=list)

    def __post_init__(self) -> None:
        request_class = RequestClass(latency_objective=USUAL_WORK, deadline=10_000.0)
        dispatcher_settings = Settings(
            (request_class,),
            instances=self.count,
            position=self.position,
            lends_capacity=True,
            gossip=True,
            warmup_capacity=0.15,
            warmup_time=20_000.0,
            overload_multiple=OVERLOAD_MULTIPLE,
            overload_window=WINDOW_MS,
        )
        self.shares, self.request_class = CapacityShares(dispatcher_settings), request_class
        self.shares.on_loan = self.loans.append
        kind = ListKind.CACHED if self.restarted else ListKind.FULL
        self.table.capacities[0] = CapacityEstimate(SLOTS)
        self.table.apply_list(ServerListUpdate(kind, tuple(ServerEntry(n, started_at=1.0) for n in (7, 8, 9))), 0.0)
        for server in self.servers:
            server.slow_start.work_budget = self.shares.share(server, CAPACITY_FRACTION, USUAL_WORK, 10.0)

    @property
    def servers(self) -> list[Server]:
        return list(self.table.by_id.values())

    def request(self, work: float) -> Request:
        request = Request(RequestArrived(1, 0, 10_000.0), self.request_class)
        request.work = work
        return request


def make_dispatchers(count: int, restarted: bool = False) -> list[SimulatedDispatcher]:
    return [SimulatedDispatcher(position, count, restarted) for position in range(count)]


def share_holder(dispatchers: list[SimulatedDispatcher], server: int) -> SimulatedDispatcher:
    return next(dispatcher for dispatcher in dispatchers if dispatcher.table.by_id[server].slow_start.work_budget)


def dispatcher_without_share(dispatchers: list[SimulatedDispatcher]) -> SimulatedDispatcher:
    return next(
        dispatcher
        for dispatcher in dispatchers
        if not any(server.slow_start.work_budget for server in dispatcher.servers)
    )


def lend_share(
    dispatchers: list[SimulatedDispatcher], now: float, work: float
) -> tuple[SimulatedDispatcher, SimulatedDispatcher, bytes, Server]:
    """Requests and grants a loan; returns the borrower, the lender, the granting message and the server."""
    borrower = dispatcher_without_share(dispatchers)
    (outgoing,) = borrower.shares.request_loans([borrower.request(work)], borrower.servers, now)
    lender = dispatchers[outgoing.peer]
    (answer,) = lender.shares.receive(PeerMessage(borrower.position, outgoing.content), lender.table.by_id, now + 5)
    assert answer.peer == borrower.position
    server = borrower.table.by_id[LOAN_MESSAGE.unpack(answer.content)[1]]
    return borrower, lender, answer.content, server


def test_a_dispatcher_without_a_share_gets_a_loan_and_uses_it_once() -> None:
    """Fails if a loan can be used twice, for example because the granting message arrives twice."""
    dispatchers = make_dispatchers(40)
    borrower, lender, grant, server = lend_share(dispatchers, 100.0, 250.0)
    assert not borrower.shares.may_send(server, 250.0, 110.0)
    assert not borrower.loans
    assert borrower.shares.receive(PeerMessage(lender.position, grant), borrower.table.by_id, 110.0) == []
    assert borrower.loans == [server]  # makes the dispatcher check queued requests again
    assert borrower.shares.may_send(server, 250.0, 110.0)
    borrower.shares.record_send(server, 250.0, 110.0)
    assert not borrower.shares.may_send(server, 1.0, 110.0)
    borrower.shares.receive(PeerMessage(lender.position, grant), borrower.table.by_id, 111.0)  # the same message again
    assert not borrower.shares.may_send(server, 1.0, 111.0)
    assert (borrower.shares.loans_requested, lender.shares.loans_given, borrower.shares.loans_used) == (1, 1, 1)


def test_a_loan_reduces_the_lenders_share_until_loan_and_window_are_over() -> None:
    """Fails if the lender regains lent work too early.

    The borrower may send until the loan ends, and that work counts for one more window.
    """
    dispatchers = make_dispatchers(40)
    _, lender, _, server = lend_share(dispatchers, 100.0, 250.0)
    lender_server = lender.table.by_id[server.id]
    whole_budget = lender_server.slow_start.work_budget
    assert not lender.shares.may_send(lender_server, whole_budget - 249.0, 105.0 + LOAN_MS + WINDOW_MS)
    assert lender.shares.may_send(lender_server, whole_budget, 106.0 + LOAN_MS + WINDOW_MS)


def test_a_loan_expires_and_is_invalid_after_a_server_restart() -> None:
    """Fails if a loan can be used after its end, or at a new process of the server, whose budget is smaller."""
    dispatchers = make_dispatchers(40)
    borrower, lender, grant, server = lend_share(dispatchers, 100.0, 250.0)
    borrower.shares.receive(PeerMessage(lender.position, grant), borrower.table.by_id, 101.0 + LOAN_MS)
    # The granting message arrived after the end of the loan.
    assert not borrower.shares.may_send(server, 250.0, 101.0 + LOAN_MS)
    dispatchers = make_dispatchers(40)
    borrower, lender, grant, server = lend_share(dispatchers, 100.0, 250.0)
    borrower.shares.receive(PeerMessage(lender.position, grant), borrower.table.by_id, 110.0)
    assert not borrower.shares.may_send(server, 250.0, 101.0 + LOAN_MS)
    dispatchers = make_dispatchers(40)
    borrower, lender, grant, server = lend_share(dispatchers, 100.0, 250.0)
    borrower.shares.receive(PeerMessage(lender.position, grant), borrower.table.by_id, 110.0)
    server.process_restarted(120.0)
    assert not borrower.shares.may_send(server, 250.0, 121.0)


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"g",
        LOAN_MESSAGE.pack(GRANT, 7, 100.0, 50.0),
        LOAN_MESSAGE.pack(GRANT, 7, float("nan"), 100.0),
        LOAN_MESSAGE.pack(GRANT, 7, float("inf"), 100.0),
        LOAN_MESSAGE.pack(GRANT, 99, 1.0, 100.0),
        LOAN_MESSAGE.pack(b"a", 7, -5.0, 1.0),
        LOAN_MESSAGE.pack(b"a", 7, 1e9, 1.0),
    ],
)
def test_unrequested_or_malformed_messages_change_nothing(content: bytes) -> None:
    """Fails if a malformed, unrequested or too large message changes what a dispatcher may send."""
    dispatchers = make_dispatchers(40)
    for dispatcher in dispatchers:
        assert dispatcher.shares.receive(PeerMessage(1, content), dispatcher.table.by_id, 100.0) == []
        for server in dispatcher.servers:
            assert dispatcher.shares.may_send(server, server.slow_start.work_budget, 100.0)
            assert not dispatcher.shares.may_send(server, server.slow_start.work_budget + 1, 100.0)


def test_few_dispatchers_request_no_loans_and_a_server_is_requested_once_per_interval() -> None:
    """Fails if few dispatchers, whose shares suffice, request loans, or if requests for a server repeat too soon."""
    few = make_dispatchers(4)[0]
    assert few.shares.request_loans([few.request(10.0)], few.servers, 100.0) == []
    borrower = dispatcher_without_share(make_dispatchers(40))
    requests = [borrower.request(10.0)] * 4
    # A loan request for each of the three servers.
    assert len(borrower.shares.request_loans(requests, borrower.servers, 100.0)) == 3
    assert borrower.shares.request_loans(requests, borrower.servers, 100.0 + ASK_AGAIN_MS - 1) == []
    assert len(borrower.shares.request_loans(requests, borrower.servers, 100.0 + ASK_AGAIN_MS)) == 3


def test_the_share_of_a_restarted_dispatcher_grows_over_one_window() -> None:
    """Fails if a restarted dispatcher uses its whole share at once.

    Its earlier process may have used the share within the same window, so the server would be overloaded.
    """
    restarted_holder, new_holder = (
        share_holder(make_dispatchers(40, restarted=True), 7),
        share_holder(make_dispatchers(40), 7),
    )
    server = restarted_holder.table.by_id[7]
    assert new_holder.shares.may_send(new_holder.table.by_id[7], server.slow_start.work_budget, 11.0)
    assert not restarted_holder.shares.may_send(server, server.slow_start.work_budget / 2 + 1, 10.0 + WINDOW_MS / 2)
    assert restarted_holder.shares.may_send(server, server.slow_start.work_budget / 2 - 1, 10.0 + WINDOW_MS / 2)
    assert restarted_holder.shares.may_send(server, server.slow_start.work_budget, 10.0 + WINDOW_MS)


def largest_window_work(seed: int, loss: float, mean_delay: float, loan_ms: float = LOAN_MS) -> float:
    """Returns the most work that any window of a server gets from 40 dispatchers that send all they may for 9 s.

    Messages are lost with probability ``loss``, arrive after ``mean_delay`` ms on average, and some arrive twice.
    """
    rng, dispatchers, now = Random(seed), make_dispatchers(40), 10.0
    network: list[tuple[float, int, int, PeerMessage]] = []
    sends: dict[int, list[tuple[float, float]]] = {7: [], 8: [], 9: []}
    sequence = 0
    while now < 9000.0:
        now += rng.expovariate(1 / 4)
        while network and network[0][0] <= now:
            at, _, to, message = heappop(network)
            for outgoing in dispatchers[to].shares.receive(message, dispatchers[to].table.by_id, at):
                sequence += 1
                if rng.random() >= loss:
                    heappush(
                        network,
                        (
                            at + rng.expovariate(1 / mean_delay),
                            sequence,
                            outgoing.peer,
                            PeerMessage(to, outgoing.content),
                        ),
                    )
        dispatcher, work = rng.choice(dispatchers), rng.uniform(20.0, 400.0)
        for outgoing in dispatcher.shares.request_loans([dispatcher.request(work)], dispatcher.servers, now):
            for _ in range(rng.choice((1, 1, 2))):  # some messages arrive twice
                sequence += 1
                if rng.random() >= loss:
                    message = PeerMessage(dispatcher.position, outgoing.content)
                    heappush(network, (now + rng.expovariate(1 / mean_delay), sequence, outgoing.peer, message))
        for server in dispatcher.servers:
            if dispatcher.shares.may_send(server, work, now):
                dispatcher.shares.record_send(server, work, now)
                sends[server.id].append((now, work))
    assert sum(dispatcher.shares.loans_used for dispatcher in dispatchers)
    return max(
        sum(work for at, work in server_sends if begin - WINDOW_MS < at <= begin)
        for server_sends in sends.values()
        for begin, _ in server_sends
    )


@settings(deadline=None, max_examples=12)
@given(st.integers(0, 2**32), st.floats(0.0, 0.6), st.floats(1.0, 300.0))
def test_all_dispatchers_stay_within_the_budget_with_lost_late_and_repeated_messages(
    seed: int, loss: float, mean_delay: float
) -> None:
    """Fails if lost, late or repeated loan messages let all dispatchers together exceed the budget of a server."""
    assert largest_window_work(seed, loss, mean_delay) <= BUDGET + 1e-6


def test_the_budget_check_detects_a_lender_that_records_no_loan(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the budget check fails if lenders don't record the work that they lend."""
    real_receive = CapacityShares.receive

    def receive_without_recording(
        self: CapacityShares, event: PeerMessage, servers: Mapping[int, Server], now: float
    ) -> list[SendPeerMessage]:
        server = servers.get(LOAN_MESSAGE.unpack(event.content)[1])
        before = server.slow_start.recent_work.items() if server is not None else []
        messages = real_receive(self, event, servers, now)
        if server is not None and messages:
            server.slow_start.recent_work = type(server.slow_start.recent_work)()
            for at, amount in before:
                server.slow_start.recent_work.add(at, amount)
        return messages

    monkeypatch.setattr(slow_start.CapacityShares, "receive", receive_without_recording)
    assert max(largest_window_work(seed, 0.0, 5.0) for seed in range(3)) > BUDGET

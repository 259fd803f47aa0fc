"""Parts of cold workers and loans: whatever is lost, late or told twice, all together keep to what a worker stands."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug.balancer import slow_start as lending
from heronlug.balancer.actions import SendPeerMessage
from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import ListKind, PeerMessage, RequestArrived, ServerEntry, ServerListUpdate
from heronlug.balancer.model import Request, Server
from heronlug.balancer.servers import ServerTable
from heronlug.balancer.settings import RequestClass, Settings
from heronlug.balancer.slow_start import ASK_AGAIN_MS, BUDGET_MARGIN, GRANT, LOAN_MESSAGE, LOAN_MS, CapacityShares

SPAN, TIP, SLOTS, WARMTH, USUAL = 3000.0, 3.0, 4.0, 0.2, 100.0
BUDGET = BUDGET_MARGIN * TIP * WARMTH * SLOTS * SPAN


@dataclass
class Member:
    """A dispatcher, as far as it has to do with parts."""

    position: int
    count: int
    known: bool = False
    table: ServerTable = field(default_factory=ServerTable)
    loans: list[Server] = field(default_factory=list)

    def __post_init__(self) -> None:
        lane = RequestClass(latency_objective=USUAL, deadline=10_000.0)
        told = Settings(
            (lane,),
            instances=self.count,
            position=self.position,
            lends_capacity=True,
            gossip=True,
            warmup_capacity=0.15,
            warmup_time=20_000.0,
            overload_multiple=TIP,
            overload_window=SPAN,
        )
        self.parts, self.lane = CapacityShares(told), lane
        self.parts.on_loan = self.loans.append
        kind = ListKind.CACHED if self.known else ListKind.FULL
        self.table.capacities[0] = CapacityEstimate(SLOTS)
        self.table.apply_list(ServerListUpdate(kind, tuple(ServerEntry(n, started_at=1.0) for n in (7, 8, 9))), 0.0)
        for worker in self.workers:
            worker.slow_start.work_budget = self.parts.share(worker, WARMTH, USUAL, 10.0)

    @property
    def workers(self) -> list[Server]:
        return list(self.table.by_id.values())

    def job(self, work: float) -> Request:
        job = Request(RequestArrived(1, 0, 10_000.0), self.lane)
        job.work = work
        return job


def members(count: int, known: bool = False) -> list[Member]:
    return [Member(position, count, known) for position in range(count)]


def holder(fleet: list[Member], worker: int) -> Member:
    return next(member for member in fleet if member.table.by_id[worker].slow_start.work_budget)


def stranger(fleet: list[Member]) -> Member:
    return next(member for member in fleet if not any(worker.slow_start.work_budget for worker in member.workers))


def lend(fleet: list[Member], now: float, work: float) -> tuple[Member, Member, bytes, Server]:
    """A stranger asks, its holder answers: both, the grant and the worker."""
    asker = stranger(fleet)
    (tell,) = asker.parts.request_loans([asker.job(work)], asker.workers, now)
    lender = fleet[tell.peer]
    (answer,) = lender.parts.receive(PeerMessage(asker.position, tell.content), lender.table.by_id, now + 5)
    assert answer.peer == asker.position
    worker = asker.table.by_id[LOAN_MESSAGE.unpack(answer.content)[1]]
    return asker, lender, answer.content, worker


def test_who_has_no_part_is_lent_one_and_uses_it_once() -> None:
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    assert not asker.parts.may_send(worker, 250.0, 110.0)
    assert not asker.loans
    assert asker.parts.receive(PeerMessage(lender.position, grant), asker.table.by_id, 110.0) == []
    assert asker.loans == [worker]  # queued requests are looked at again
    assert asker.parts.may_send(worker, 250.0, 110.0)
    asker.parts.record_send(worker, 250.0, 110.0)
    assert not asker.parts.may_send(worker, 1.0, 110.0)
    asker.parts.receive(PeerMessage(lender.position, grant), asker.table.by_id, 111.0)  # told twice
    assert not asker.parts.may_send(worker, 1.0, 111.0)
    assert (asker.parts.loans_requested, lender.parts.loans_given, asker.parts.loans_used) == (1, 1, 1)


def test_a_lender_has_less_for_itself_until_the_grant_and_the_span_are_over() -> None:
    fleet = members(40)
    _, lender, _, worker = lend(fleet, 100.0, 250.0)
    there = lender.table.by_id[worker.id]
    whole = there.slow_start.work_budget
    assert not lender.parts.may_send(there, whole - 249.0, 105.0 + LOAN_MS + SPAN)
    assert lender.parts.may_send(there, whole, 106.0 + LOAN_MS + SPAN)


def test_a_grant_ends_and_one_for_a_process_that_has_ended_is_void() -> None:
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    asker.parts.receive(PeerMessage(lender.position, grant), asker.table.by_id, 101.0 + LOAN_MS)
    assert not asker.parts.may_send(worker, 250.0, 101.0 + LOAN_MS)  # too late
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    asker.parts.receive(PeerMessage(lender.position, grant), asker.table.by_id, 110.0)
    assert not asker.parts.may_send(worker, 250.0, 101.0 + LOAN_MS)
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    asker.parts.receive(PeerMessage(lender.position, grant), asker.table.by_id, 110.0)
    worker.process_restarted(120.0)
    assert not asker.parts.may_send(worker, 250.0, 121.0)


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
def test_what_nobody_asked_for_or_makes_no_sense_changes_nothing(content: bytes) -> None:
    fleet = members(40)
    for member in fleet:
        assert member.parts.receive(PeerMessage(1, content), member.table.by_id, 100.0) == []
        for worker in member.workers:
            assert member.parts.may_send(worker, worker.slow_start.work_budget, 100.0)
            assert not member.parts.may_send(worker, worker.slow_start.work_budget + 1, 100.0)


def test_few_dispatchers_do_not_lend_and_the_same_worker_is_not_asked_for_at_once() -> None:
    few = members(4)[0]
    assert few.parts.request_loans([few.job(10.0)], few.workers, 100.0) == []
    asker = stranger(members(40))
    jobs = [asker.job(10.0)] * 4
    assert len(asker.parts.request_loans(jobs, asker.workers, 100.0)) == 3  # three workers, each once
    assert asker.parts.request_loans(jobs, asker.workers, 100.0 + ASK_AGAIN_MS - 1) == []
    assert len(asker.parts.request_loans(jobs, asker.workers, 100.0 + ASK_AGAIN_MS)) == 3


def test_who_comes_back_has_its_part_little_by_little_for_its_life_before_may_have_used_it() -> None:
    back, new = holder(members(40, known=True), 7), holder(members(40), 7)
    worker = back.table.by_id[7]
    assert new.parts.may_send(new.table.by_id[7], worker.slow_start.work_budget, 11.0)
    assert not back.parts.may_send(worker, worker.slow_start.work_budget / 2 + 1, 10.0 + SPAN / 2)
    assert back.parts.may_send(worker, worker.slow_start.work_budget / 2 - 1, 10.0 + SPAN / 2)
    assert back.parts.may_send(worker, worker.slow_start.work_budget, 10.0 + SPAN)


def trouble(seed: int, loss: float, late: float, holds: float = LOAN_MS) -> float:
    """Forty dispatchers want all they can get for 9 s: the most that any span saw of a worker's whole budget."""
    rng, fleet, now = Random(seed), members(40), 10.0
    net: list[tuple[float, int, int, PeerMessage]] = []
    sends: dict[int, list[tuple[float, float]]] = {7: [], 8: [], 9: []}
    seq = 0
    while now < 9000.0:
        now += rng.expovariate(1 / 4)
        while net and net[0][0] <= now:
            at, _, to, message = heappop(net)
            for tell in fleet[to].parts.receive(message, fleet[to].table.by_id, at):
                seq += 1
                if rng.random() >= loss:
                    heappush(net, (at + rng.expovariate(1 / late), seq, tell.peer, PeerMessage(to, tell.content)))
        member, work = rng.choice(fleet), rng.uniform(20.0, 400.0)
        for tell in member.parts.request_loans([member.job(work)], member.workers, now):
            for _ in range(rng.choice((1, 1, 2))):  # some come twice
                seq += 1
                if rng.random() >= loss:
                    message = PeerMessage(member.position, tell.content)
                    heappush(net, (now + rng.expovariate(1 / late), seq, tell.peer, message))
        for worker in member.workers:
            if member.parts.may_send(worker, work, now):
                member.parts.record_send(worker, work, now)
                sends[worker.id].append((now, work))
    assert sum(member.parts.loans_used for member in fleet)
    return max(
        sum(work for at, work in each if begin - SPAN < at <= begin) for each in sends.values() for begin, _ in each
    )


@settings(deadline=None, max_examples=12)
@given(st.integers(0, 2**32), st.floats(0.0, 0.6), st.floats(1.0, 300.0))
def test_all_together_never_pass_the_budget_whatever_is_lost_late_or_told_twice(
    seed: int, loss: float, late: float
) -> None:
    assert trouble(seed, loss, late) <= BUDGET + 1e-6


def test_a_lender_that_books_no_grant_or_books_it_too_early_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    booked = CapacityShares.receive

    def unbooked(
        self: CapacityShares, event: PeerMessage, servers: Mapping[int, Server], now: float
    ) -> list[SendPeerMessage]:
        worker = servers.get(LOAN_MESSAGE.unpack(event.content)[1])
        before = worker.slow_start.recent_work.items() if worker is not None else []
        out = booked(self, event, servers, now)
        if worker is not None and out:
            worker.slow_start.recent_work = type(worker.slow_start.recent_work)()
            for at, amount in before:
                worker.slow_start.recent_work.add(at, amount)
        return out

    monkeypatch.setattr(lending.CapacityShares, "receive", unbooked)
    assert max(trouble(seed, 0.0, 5.0) for seed in range(3)) > BUDGET

"""Parts of cold workers and loans: whatever is lost, late or told twice, all together keep to what a worker stands."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heronlug import interface as pk
from heronlug.arrival import parts as lending
from heronlug.arrival.parts import AGAIN, FORM, GRANT, HOLDS, MARGIN, Parts
from heronlug.decisions.model import Job, Kind, Worker
from heronlug.decisions.state import State

SPAN, TIP, SLOTS, WARMTH, USUAL = 3000.0, 3.0, 4.0, 0.2, 100.0
BUDGET = MARGIN * TIP * WARMTH * SLOTS * SPAN


@dataclass
class Member:
    """A dispatcher, as far as it has to do with parts."""

    position: int
    count: int
    known: bool = False
    state: State = field(default_factory=State)

    def __post_init__(self) -> None:
        lane = pk.JobClass(aim=USUAL, deadline=10_000.0)
        told = pk.Settings(
            (lane,),
            instances=self.count,
            position=self.position,
            lends=True,
            may_tell=True,
            cold_from=0.15,
            warm_after=20_000.0,
            tip_multiple=TIP,
            overload_for=SPAN,
        )
        self.parts, self.lane = Parts(told), lane
        kind = pk.ListKind.CACHED if self.known else pk.ListKind.FULL
        self.state.kinds[0] = Kind(SLOTS)
        self.state.listed(pk.WorkerList(kind, tuple(pk.WorkerEntry(n, started_at=1.0) for n in (7, 8, 9))))
        for worker in self.workers:
            worker.budget = self.parts.share(worker, WARMTH, USUAL, 10.0)

    @property
    def workers(self) -> list[Worker]:
        return list(self.state.workers.values())

    def job(self, work: float) -> tuple[float, int, Job]:
        job = Job(pk.JobArrived(1, 0, 10_000.0), self.lane)
        job.work = work
        return 0.0, 0, job


def members(count: int, known: bool = False) -> list[Member]:
    return [Member(position, count, known) for position in range(count)]


def holder(fleet: list[Member], worker: int) -> Member:
    return next(member for member in fleet if member.state.workers[worker].budget)


def stranger(fleet: list[Member]) -> Member:
    return next(member for member in fleet if not any(worker.budget for worker in member.workers))


def lend(fleet: list[Member], now: float, work: float) -> tuple[Member, Member, bytes, Worker]:
    """A stranger asks, its holder answers: both, the grant and the worker."""
    asker = stranger(fleet)
    (tell,) = asker.parts.ask([asker.job(work)], asker.workers, now)
    lender = fleet[tell.peer]
    (answer,) = lender.parts.heard(pk.PeerMessage(asker.position, tell.content), lender.state, now + 5)
    assert answer.peer == asker.position
    worker = asker.state.workers[FORM.unpack(answer.content)[1]]
    return asker, lender, answer.content, worker


def test_who_has_no_part_is_lent_one_and_uses_it_once() -> None:
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    assert not asker.parts.may(worker, 250.0, 110.0)
    asker.state.seen = 5
    assert asker.parts.heard(pk.PeerMessage(lender.position, grant), asker.state, 110.0) == []
    assert asker.state.seen == -1  # held jobs are looked at again
    assert asker.parts.may(worker, 250.0, 110.0)
    asker.parts.sent(worker, 250.0, 110.0)
    assert not asker.parts.may(worker, 1.0, 110.0)
    asker.parts.heard(pk.PeerMessage(lender.position, grant), asker.state, 111.0)  # told twice
    assert not asker.parts.may(worker, 1.0, 111.0)
    assert (asker.parts.asked, lender.parts.lent, asker.parts.used) == (1, 1, 1)


def test_a_lender_has_less_for_itself_until_the_grant_and_the_span_are_over() -> None:
    fleet = members(40)
    _, lender, _, worker = lend(fleet, 100.0, 250.0)
    there = lender.state.workers[worker.id]
    whole = there.budget
    assert not lender.parts.may(there, whole - 249.0, 105.0 + HOLDS + SPAN)
    assert lender.parts.may(there, whole, 106.0 + HOLDS + SPAN)


def test_a_grant_ends_and_one_for_a_process_that_has_ended_is_void() -> None:
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    asker.parts.heard(pk.PeerMessage(lender.position, grant), asker.state, 101.0 + HOLDS)
    assert not asker.parts.may(worker, 250.0, 101.0 + HOLDS)  # too late
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    asker.parts.heard(pk.PeerMessage(lender.position, grant), asker.state, 110.0)
    assert not asker.parts.may(worker, 250.0, 101.0 + HOLDS)
    fleet = members(40)
    asker, lender, grant, worker = lend(fleet, 100.0, 250.0)
    asker.parts.heard(pk.PeerMessage(lender.position, grant), asker.state, 110.0)
    worker.fresh(120.0)
    assert not asker.parts.may(worker, 250.0, 121.0)


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"g",
        FORM.pack(GRANT, 7, 100.0, 50.0),
        FORM.pack(GRANT, 7, float("nan"), 100.0),
        FORM.pack(GRANT, 7, float("inf"), 100.0),
        FORM.pack(GRANT, 99, 1.0, 100.0),
        FORM.pack(b"a", 7, -5.0, 1.0),
        FORM.pack(b"a", 7, 1e9, 1.0),
    ],
)
def test_what_nobody_asked_for_or_makes_no_sense_changes_nothing(content: bytes) -> None:
    fleet = members(40)
    for member in fleet:
        assert member.parts.heard(pk.PeerMessage(1, content), member.state, 100.0) == []
        for worker in member.workers:
            assert member.parts.may(worker, worker.budget, 100.0)
            assert not member.parts.may(worker, worker.budget + 1, 100.0)


def test_few_dispatchers_do_not_lend_and_the_same_worker_is_not_asked_for_at_once() -> None:
    few = members(4)[0]
    assert few.parts.ask([few.job(10.0)], few.workers, 100.0) == []
    asker = stranger(members(40))
    jobs = [asker.job(10.0)] * 4
    assert len(asker.parts.ask(jobs, asker.workers, 100.0)) == 3  # three workers, each once
    assert asker.parts.ask(jobs, asker.workers, 100.0 + AGAIN - 1) == []
    assert len(asker.parts.ask(jobs, asker.workers, 100.0 + AGAIN)) == 3


def test_who_comes_back_has_its_part_little_by_little_for_its_life_before_may_have_used_it() -> None:
    back, new = holder(members(40, known=True), 7), holder(members(40), 7)
    worker = back.state.workers[7]
    assert new.parts.may(new.state.workers[7], worker.budget, 11.0)
    assert not back.parts.may(worker, worker.budget / 2 + 1, 10.0 + SPAN / 2)
    assert back.parts.may(worker, worker.budget / 2 - 1, 10.0 + SPAN / 2)
    assert back.parts.may(worker, worker.budget, 10.0 + SPAN)


def trouble(seed: int, loss: float, late: float, holds: float = HOLDS) -> float:
    """Forty dispatchers want all they can get for 9 s: the most that any span saw of a worker's whole budget."""
    rng, fleet, now = Random(seed), members(40), 10.0
    net: list[tuple[float, int, int, pk.PeerMessage]] = []
    sends: dict[int, list[tuple[float, float]]] = {7: [], 8: [], 9: []}
    seq = 0
    while now < 9000.0:
        now += rng.expovariate(1 / 4)
        while net and net[0][0] <= now:
            at, _, to, message = heappop(net)
            for tell in fleet[to].parts.heard(message, fleet[to].state, at):
                seq += 1
                if rng.random() >= loss:
                    heappush(net, (at + rng.expovariate(1 / late), seq, tell.peer, pk.PeerMessage(to, tell.content)))
        member, work = rng.choice(fleet), rng.uniform(20.0, 400.0)
        for tell in member.parts.ask([member.job(work)], member.workers, now):
            for _ in range(rng.choice((1, 1, 2))):  # some come twice
                seq += 1
                if rng.random() >= loss:
                    message = pk.PeerMessage(member.position, tell.content)
                    heappush(net, (now + rng.expovariate(1 / late), seq, tell.peer, message))
        for worker in member.workers:
            if member.parts.may(worker, work, now):
                member.parts.sent(worker, work, now)
                sends[worker.id].append((now, work))
    assert sum(member.parts.used for member in fleet)
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
    booked = Parts.heard

    def unbooked(self: Parts, event: pk.PeerMessage, state: State, now: float) -> list[pk.Tell]:
        worker = state.workers.get(FORM.unpack(event.content)[1])
        before = worker.recent.items() if worker is not None else []
        out = booked(self, event, state, now)
        if worker is not None and out:
            worker.recent = type(worker.recent)()
            for at, amount in before:
                worker.recent.add(at, amount)
        return out

    monkeypatch.setattr(lending.Parts, "heard", unbooked)
    assert max(trouble(seed, 0.0, 5.0) for seed in range(3)) > BUDGET

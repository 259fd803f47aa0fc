"""Relays: where too many dispatchers would have to read each other, two sum up and tell the sums."""

from dataclasses import replace
from typing import Any

from drive import KEYED, ONCE, SAFE, Host, entries, with_settings

from heronlug import ClientGone, Dispatcher, ListKind, Outcome, PeerMessage, SendPeerMessage
from heronlug.balancer.derived_settings import SCORES_PER_CPU_US
from heronlug.balancer.load_reports import MAX_MISSED_SUMMARIES, UNHEALTHY_BELOW
from heronlug.balancer.model import Request, Server
from heronlug.balancer.outlier_detection import EJECTION_DIALS
from heronlug.balancer.peer_load import COUNTS_IN_MESSAGE, ENDED_BADLY, ENDED_WELL, PeerLoad
from heronlug.balancer.ranking import Ranking
from heronlug.balancer.selection import Selection


def crowd(position: int, workers: int = 4, **changes: Any) -> Host:
    """One of forty dispatchers."""
    return Host(with_settings(instances=40, position=position, gossip=True, **changes), workers=workers)


def told(host: Host) -> list[SendPeerMessage]:
    return [action for action in host.actions if isinstance(action, SendPeerMessage)]


def sums(host: Host, digits: list[int]) -> list[bytes]:
    """What a relay with the same list would tell."""
    return host.dispatcher.state.peer_load.summary(digits)


def test_counts_go_to_the_relays_alone_and_their_sums_count_as_queue() -> None:
    """Risk: with all telling all, 200 dispatchers are cut off for CPU and pay a tenth in messages."""
    host = crowd(9)
    host.job(0)
    assert not told(host)  # nobody to tell yet
    for relay in (0, 1):
        host.give(PeerMessage(relay, PeerLoad.SUMMARY))
    assert [tell.peer for tell in told(host)] == [0]  # the first relay
    host.until(host.now + 3 * host.dispatcher.state.derived.summary_interval)
    assert [tell.peer for tell in told(host)] == [0, 0, 1]  # who begins hears of what runs at the next beat
    host.dispatcher.rules.exploration.pending = []
    free = host.dispatcher.rules.ranking.servers[2]
    for content in sums(host, [0 if w is free else 8 for w in host.dispatcher.state.peer_load.servers_in_order]):
        host.give(PeerMessage(0, content))
    assert host.sent[host.job(0)] == [free.id]


def test_first_relays_sum_up_from_the_start_and_faster_than_the_most_patient_class() -> None:
    """Risk: after a start of all at once, or a restart of the relays, jobs were sent blind for four seconds."""
    classes = (
        replace(SAFE, latency_objective=500),
        replace(KEYED, latency_objective=4000),
        replace(ONCE, latency_objective=1000),
    )
    for position in (0, 1):
        host = crowd(position, classes=classes)
        host.until(host.now + 600)
        first, second, *_ = [tell.content for tell in told(host)]
        assert first == PeerLoad.SUMMARY
        assert len(second) == 6 + 2
    host = crowd(2, classes=classes)
    host.until(host.now + 600)
    assert not told(host)


def test_sums_under_another_list_are_not_misread() -> None:
    host = crowd(9)
    before = sums(host, [8, 8, 8, 0])
    host.listed(ListKind.FULL, entries(3))
    other = Host(with_settings(instances=40, gossip=True), workers=6)
    for content in (*sums(other, [8] * 6), b"s", b"s\x00", b"x", b""):
        host.give(PeerMessage(0, content))
    assert host.job(0) in host.sent
    assert host.job(0) in host.sent
    host.give(PeerMessage(0, before[0]))  # a relay behind with its list is understood
    assert host.job(0) not in host.sent


def test_first_by_position_relay_and_others_step_in_when_they_are_silent() -> None:
    host = crowd(1)
    gap = host.dispatcher.state.derived.summary_interval
    host.until(host.now + (2 * MAX_MISSED_SUMMARIES + 4) * gap)
    first, *rest = [tell.content for tell in told(host)]
    assert first == PeerLoad.SUMMARY
    assert rest
    assert all(len(content) == 6 + 2 for content in rest)
    host = crowd(2)
    for _ in range(30):
        host.until(host.now + gap)
        for relay in (0, 1):
            host.give(PeerMessage(relay, PeerLoad.SUMMARY))
    assert not told(host)
    host.until(host.now + (2 * MAX_MISSED_SUMMARIES + 4) * gap)  # both died
    assert told(host)
    for _ in range(2 * MAX_MISSED_SUMMARIES):
        host.until(host.now + gap)
        for relay in (0, 1):
            host.give(PeerMessage(relay, PeerLoad.SUMMARY))
    assert not host.dispatcher.state.peer_load.aggregating


def test_cost_of_an_outcome_does_not_grow_with_the_fleet() -> None:
    """Risk: ranking 200 workers at every outcome needs more CPU than a dispatcher has."""
    scored = 0

    class Counting(Ranking):
        __slots__ = ()

        def _score_all(self, now: float) -> None:
            nonlocal scored
            scored += len(self.servers)
            super()._score_all(now)

    host = Host(with_settings(cpu_per_request=10.0), workers=0)
    host.dispatcher = Dispatcher(host.settings, 1)
    host.dispatcher.rules.ranking.__class__ = Counting
    host.listed(ListKind.CACHED, entries(200))
    scored = 0
    for _ in range(100):
        job = host.job(0)
        host.until(host.now + 50)
        host.end(job, 0, Outcome.SERVED, (4.0,))
    assert 100 < scored <= 100 * 10 * SCORES_PER_CPU_US


def count(worker: int, code: int, at: float = 0.0) -> bytes:
    return PeerLoad.STAMP.pack(PeerLoad.COUNTS, at) + PeerLoad.PAIR.pack(worker, code)


def test_relay_marks_a_worker_that_fails_for_several_and_takes_it_back() -> None:
    """Risk: each of 150 dispatchers pays for its own first failure at each bad worker (28% of attempts)."""
    host = crowd(0, workers=10)
    gap = host.dispatcher.state.derived.summary_interval
    host.until(host.now + (2 * MAX_MISSED_SUMMARIES + 4) * gap)
    assert host.dispatcher.state.peer_load.aggregating
    bad = host.dispatcher.state.peer_load.servers_in_order[3]
    host.give(PeerMessage(7, count(bad.id, ENDED_BADLY)))
    assert bad.outlier.health > UNHEALTHY_BELOW  # one failure may be chance
    host.give(PeerMessage(8, count(bad.id, ENDED_BADLY)))
    host.until(host.now + 2 * gap)
    assert told(host)[-1].content[PeerLoad.HEAD.size :].hex() == "000f000000"
    for peer in range(10, 20):
        host.give(PeerMessage(peer, count(bad.id, ENDED_WELL)))
    host.until(host.now + 2 * gap)
    assert told(host)[-1].content[PeerLoad.HEAD.size :].hex() == "0" * 10


def test_marked_worker_is_tried_by_one_dispatcher_at_a_time_and_with_nothing_that_must_not_repeat() -> None:
    """Risk: tried by lot, marked workers were never seen well again: 64 of 280 stood idle to the end."""
    hosts = [crowd(position) for position in range(2, 40)]
    bad = hosts[0].dispatcher.state.peer_load.servers_in_order[1]
    span = EJECTION_DIALS * hosts[0].settings.dial_timeout
    tried = []
    for window in range(20):
        senders = set()
        for position, host in enumerate(hosts):
            host.until((host.now // span + 1) * span + 1)
            for content in sums(host, [0, 15, 0, 0]):
                host.give(PeerMessage(0, content))
                host.give(PeerMessage(1, PeerLoad.SUMMARY))
            jobs = [host.job(cls) for cls in (2, 0, 0, 2)]
            there = [job for job in jobs if host.sent.get(job) == [bad.id]]
            assert not set(there) & {jobs[0], jobs[3]}, window  # what fails there must not repeat
            senders |= {position} if there else set()
            for job in jobs:
                host.end(job, 0, Outcome.SERVED)
        tried.append(len(senders))
    assert max(tried) == 1
    assert sum(tried) >= 18


def test_relay_marks_no_more_than_the_others_can_do_without() -> None:
    """Risk: with a third failing and a release, marks took what capacity was left (G 0.858 to 0.806)."""
    marks = []
    for used in (0, 1):
        host = crowd(0, workers=10)
        host.until(host.now + (2 * MAX_MISSED_SUMMARIES + 4) * host.dispatcher.state.derived.summary_interval)
        for at, worker in enumerate(host.dispatcher.state.peer_load.servers_in_order):
            for peer in (7, 8, 9):
                code = ENDED_BADLY if at < 6 else 0
                host.give(PeerMessage(peer, count(worker.id, code + used, host.now)))
        host.until(host.now + 2 * host.dispatcher.state.derived.summary_interval)
        marks.append(told(host)[-1].content[PeerLoad.HEAD.size :].hex().count("f"))
    assert marks == [6, 2]


def test_overtaken_count_leaves_no_ghost() -> None:
    """Risk: a job told to run and at once told 'full' arrives the other way round, and stays for ever.

    At 459 dispatchers relays believed 6 slots a worker that were not there."""
    host = crowd(0)
    worker = host.dispatcher.state.peer_load.servers_in_order[0]
    host.give(PeerMessage(7, count(worker.id, 0, at=12.0)))
    host.give(PeerMessage(7, count(worker.id, 1, at=10.0)))
    assert worker.load.peer_slots == 0
    host.give(PeerMessage(7, count(worker.id, 2, at=14.0)))
    assert worker.load.peer_slots == 2


def test_counts_that_hold_are_told_again_and_others_are_void() -> None:
    """Risk: a lost message makes a worker look busy, or free, until its sender happens to go there again."""
    host = crowd(9)
    for relay in (0, 1):
        host.give(PeerMessage(relay, PeerLoad.SUMMARY))
    job = host.job(0)
    worker = host.sent[job][0]
    for _ in range(8):
        before = len(told(host))
        for _ in range(MAX_MISSED_SUMMARIES):
            host.give(PeerMessage(0, PeerLoad.SUMMARY))
            host.until(host.now + host.dispatcher.state.derived.summary_interval)
        pairs = [tell.content[PeerLoad.STAMP.size :] for tell in told(host)[before:]]
        assert PeerLoad.PAIR.pack(worker, 1) in pairs


def test_what_fits_into_no_message_is_told_in_the_next() -> None:
    host = Host(with_settings(instances=2, gossip=True), workers=COUNTS_IN_MESSAGE + 20)
    for _ in range(COUNTS_IN_MESSAGE + 20):
        host.job(0)
    for _ in range(3):
        host.until(host.now + 1000)
        host.give(ClientGone(0))
    tells = [tell.content[PeerLoad.STAMP.size :] for tell in told(host)]
    ids = {worker for pairs in tells for worker, _ in PeerLoad.PAIR.iter_unpack(pairs)}
    assert len(ids) == COUNTS_IN_MESSAGE + 20
    assert all(len(tell.content) <= 256 for tell in told(host))


def test_own_sends_and_ends_since_the_sums_are_known_first() -> None:
    """Risk: whose job ends leaves the slot to a crowd that hears of it together, and waits (51% 'full')."""
    host = crowd(9, workers=1)
    host.give(PeerMessage(0, sums(host, [0])[0]))
    job = host.job(0)
    assert job in host.sent
    host.give(PeerMessage(0, sums(host, [8])[0]))  # told full, ours among them
    waiting = host.job(0)
    assert waiting not in host.sent
    host.end(job, 0, Outcome.SERVED, (0.0,))
    assert waiting in host.sent
    assert host.job(0) not in host.sent  # and it is taken again


def test_full_fleet_is_not_looked_through_at_every_event() -> None:
    """Risk: with jobs held, each of 40 events a second went through 370 workers: cut off for CPU."""
    host = crowd(9, workers=200)
    content = sums(host, [8] * 200)[0]
    host.give(PeerMessage(0, content))
    looks = seen = 0

    class Counting(Selection):
        __slots__ = ()

        def choose(self, request: Request, now: float, *, overdue: bool = False) -> Server | None:
            nonlocal looks
            looks += 1
            return super().choose(request, now, overdue=overdue)

        def _may_send(self, request: Request, server: Server, now: float) -> bool:
            nonlocal seen
            seen += 1
            return super()._may_send(request, server, now)

    host.dispatcher.rules.selection.__class__ = Counting
    job = host.job(0)
    host.give(PeerMessage(0, content))
    assert job not in host.sent
    looked = looks
    for _ in range(100):
        host.give(PeerMessage(7, count(1, 1, host.now)))
    assert looks == looked  # nothing has freed
    host.give(PeerMessage(0, content))
    assert looks == looked + 1
    assert seen == 0
    host.give(PeerMessage(0, sums(host, [8] * 199 + [0])[0]))
    assert job in host.sent

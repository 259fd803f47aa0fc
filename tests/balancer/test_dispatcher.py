"""How workers are chosen, and one test for each failure that the bench has shown."""

from dataclasses import replace

from drive import KEYED, ONCE, SAFE, SETTINGS, Host, entries, with_settings

from heronlug import (
    AttemptProgress,
    CancelAttempt,
    ClientGone,
    Dispatcher,
    Effect,
    ListKind,
    Outcome,
    PeerMessage,
    ProgressKind,
    RequestClass,
    SendPeerMessage,
    ServerEntry,
    SetTimer,
    StartAttempt,
    TimerFired,
)
from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.peer_load import PeerLoad


def warm_up(host: Host, slots: float = 4.0, rounds: int = 3, latency: float = 100.0) -> None:
    """Serve a few jobs on every worker, so that slots and payoffs are known."""
    for _ in range(rounds):
        jobs = []
        for worker in host.dispatcher.rules.ranking.servers:
            worker.load.own_slots += 99  # looks busy, so that the next job goes to another
        for worker in list(host.dispatcher.rules.ranking.servers):
            worker.load.own_slots -= 99
            jobs.append(host.job(0))
            worker.load.own_slots += 99
        for worker in host.dispatcher.rules.ranking.servers:
            worker.load.own_slots -= 99
        host.until(host.now + latency)
        for job in jobs:
            host.end(job, 0, Outcome.SERVED, (slots,))


def test_first_in_rank_is_filled_to_k_then_the_next() -> None:
    host = Host(workers=3)
    warm_up(host)
    host.dispatcher.rules.exploration.pending = []
    order = [w.id for w in host.dispatcher.rules.ranking.servers]
    sent = [host.sent[host.job(0)][0] for _ in range(12)]
    assert sent == [order[0]] * 4 + [order[1]] * 4 + [order[2]] * 4
    assert host.job(0) not in host.sent  # all are K full: held, not queued


def test_slow_worker_falls_in_rank_and_a_reorder_starts_one_sweep() -> None:
    host = Host(workers=3)
    warm_up(host)
    host.dispatcher.rules.exploration.pending = []
    first = host.dispatcher.rules.ranking.servers[0]
    jobs = [host.job(0) for _ in range(4)]
    assert {host.sent[job][0] for job in jobs} == {first.id}
    host.until(host.now + 1500)
    for job in jobs:
        host.until(host.now + 20)
        host.end(job, 0, Outcome.SERVED, (4.0,))
    host.dispatcher.rules.exploration.pending = []
    host.dispatcher.rules.rerank(host.now + 50)
    assert host.dispatcher.rules.ranking.servers[-1] is first
    host.dispatcher.rules.exploration.pending = host.dispatcher.rules.ranking.servers[::-1]
    visited = [host.sent[host.job(0)][0] for _ in range(3)]
    assert sorted(visited) == [1, 2, 3]  # one job each, best first
    assert host.dispatcher.rules.exploration.pending == []


def test_reorder_during_a_sweep_shows_after_it() -> None:
    """Algorithm 2 looks at the order again once the sweep has ended; its news must not be lost."""
    host = Host(workers=3)
    warm_up(host)
    dispatcher = host.dispatcher
    before = dispatcher.rules.ranking.servers[:]
    dispatcher.rules.exploration.pending = dispatcher.rules.ranking.servers[::-1]
    dispatcher.rules.ranking.servers[0].payoff.mean, dispatcher.rules.ranking.servers[0].payoff.count = (
        0.0,
        50.0,
    )  # as after a run of failures
    dispatcher.rules.rerank(host.now + 1)
    assert dispatcher.rules.ranking.servers == before
    dispatcher.rules.exploration.pending = []
    dispatcher.rules.rerank(host.now + 2)
    assert dispatcher.rules.ranking.servers[-1] is before[0]
    assert (
        dispatcher.rules.exploration.pending == dispatcher.rules.ranking.servers[::-1]
    )  # and a reorder starts a sweep


def test_sweeps_leave_alone_what_may_not_repeat_where_copies_repair_the_rest() -> None:
    """Risk: a large job tried on a slow worker in a sweep cannot be taken back, and is stuck there."""
    for second_copies in (False, True):
        host = Host(with_settings(reports_start=True, hedging=second_copies), workers=3)
        warm_up(host)
        host.now += 2000  # what was seen while warming up has faded
        host.dispatcher.rules.ranking.ranked_at = host.now + 1e6  # the order stands
        first, last = host.dispatcher.rules.ranking.servers[0], host.dispatcher.rules.ranking.servers[-1]
        host.dispatcher.rules.exploration.pending = [last]
        assert host.sent[host.job(2)] == [first.id if second_copies else last.id]
        host.dispatcher.rules.exploration.pending = [host.dispatcher.rules.ranking.servers[1]]
        assert host.sent[host.job(0)] == [host.dispatcher.rules.ranking.servers[1].id]


def test_job_that_may_not_repeat_waits_for_a_slot_seen_to_free() -> None:
    """Risk: sent blind it stands behind others' jobs, and no copy helps (`burn-in` 0.90, `preview` 0.99)."""
    host = Host(with_settings(reports_start=True), workers=6)
    runs = host.job(0)
    once = host.job(2)
    assert once not in host.sent
    where = host.sent[runs][0]
    host.until(host.now + 5)
    host.end(runs, 0, Outcome.SERVED, (4.0,))
    assert host.sent[once] == [where]
    lonely = host.job(2)  # nothing of ours ends: it goes by rank before its slack is gone
    host.until(host.now + 400)
    assert lonely in host.sent


def test_held_job_goes_out_when_a_slot_frees() -> None:
    host = Host(workers=1)
    warm_up(host)
    running = [host.job(0) for _ in range(4)]
    held = host.job(2)
    assert held not in host.sent
    host.until(host.now + 20)
    actions = host.end(running[0], 0, Outcome.SERVED, (0.0,))
    assert StartAttempt(held, 1) in actions


def test_overload_serves_the_newest_of_the_least_patient_class_first() -> None:
    host = Host(workers=1)
    warm_up(host)
    running = [host.job(0) for _ in range(4)]
    patient, older, newer = host.job(2), host.job(0), host.job(0)
    host.until(host.now + 5)
    host.end(running[0], 0, Outcome.SERVED, (0.0,))
    assert newer in host.sent
    assert older not in host.sent
    assert patient not in host.sent


def test_once_work_is_late_the_rest_goes_by_worth() -> None:
    """Risk: under overload the least patient class takes every slot, and dearer work dies waiting."""
    cheap, dear = replace(SAFE, late_value=0.5), replace(SAFE, latency_objective=900.0, priority_weight=5.0)
    host = Host(with_settings(classes=(cheap, dear)), workers=1)
    warm_up(host)
    running = [host.job(0) for _ in range(4)]
    first = host.job(1), host.job(0)
    host.end(running[0], 0, Outcome.SERVED, (0.0,))
    assert first[1] in host.sent
    assert first[0] not in host.sent
    late = host.job(0)
    host.until(host.now + 600)
    newer = host.job(0)
    assert late not in host.sent  # it is late now: there is not enough for all
    host.end(running[1], 0, Outcome.SERVED, (0.0,))
    assert first[0] in host.sent
    assert newer not in host.sent
    assert late not in host.sent


def test_worst_class_counts_for_what_it_weighs_in_the_goal() -> None:
    """Risk: by worth alone the cheapest class starves for as long as there is not enough for all."""
    cheap = replace(SAFE, latency_objective=900.0, late_value=0.5)
    dear = replace(SAFE, late_value=0.5, priority_weight=5.0)
    for weight in (0.0, 0.9):
        host = Host(with_settings(classes=(dear, cheap), worst_class_weight=weight), workers=1)
        warm_up(host)
        running = [host.job(0) for _ in range(4)]
        host.job(0)
        host.until(host.now + 600)  # it is late now: there is not enough for all
        starved, dearer = host.job(1), host.job(0)
        host.end(running[0], 0, Outcome.SERVED, (0.0,))
        assert (starved in host.sent) is (weight > 0)
        assert (dearer in host.sent) is (weight == 0)


def test_worthless_class_does_no_harm() -> None:
    host = Host(
        with_settings(
            classes=(replace(SAFE, priority_weight=0.0), replace(SAFE, late_value=0.5)), worst_class_weight=0.5
        )
    )
    for _ in range(40):
        host.job(0), host.job(1)
    host.until(host.now + 600)
    host.job(0), host.job(1)
    host.finish()
    assert len(host.answered) == 82


def test_hopeless_late_job_is_refused_before_it_is_sent_to_die() -> None:
    host = Host(with_settings(classes=(SAFE, KEYED, ONCE)), workers=1)
    warm_up(host, latency=800.0)
    for _ in range(4):
        host.job(2)
    job = host.job(0, give_up_at=host.now + 900)
    host.until(host.now + 500)
    assert host.answered[job] == "refused"
    assert job not in host.sent


def test_wide_job_needs_one_free_slot_to_be_sent() -> None:
    """Risk: asking for all its slots at once, a wide job is starved by narrow ones."""
    host = Host(workers=1)
    warm_up(host)
    for _ in range(3):
        host.job(0)
    wide, wide_in_memory = host.job(2, slots=4.0), host.job(2, memory=4.0)
    assert wide in host.sent
    assert wide_in_memory not in host.sent


def test_unstarted_job_gets_a_copy_and_the_loser_is_cancelled() -> None:
    """Risk: short jobs wait unseen behind other dispatchers' work."""
    host = Host(with_settings(reports_start=True, report_fields=("x0",)), workers=2)
    job = host.job(0)
    host.until(host.now + SETTINGS.dial_timeout + 60)
    assert len(host.sent[job]) == 2
    assert host.sent[job][0] != host.sent[job][1]
    actions = host.give(AttemptProgress(job, 1, host.sent[job][1], ProgressKind.STARTED))
    assert CancelAttempt(job, 0) in actions


def test_copy_waits_for_the_way_and_the_handshake_of_its_zone_as_others_have_shown_them() -> None:
    """Risk: told of a start 135 to 173 ms after the write on a new connection, 40 of 100 jobs got a copy at 62 ms."""
    waits = {}
    for zone, way in ((0, 2.0), (1, 150.0)):
        host = Host(with_settings(reports_start=True), workers=0)
        host.listed(ListKind.CACHED, tuple(ServerEntry(i, zone=zone) for i in (1, 2, 3)))
        for turn in range(12):
            job, began = host.job(0), host.now
            while turn == 11 and len(host.sent[job]) == 1 and host.now < began + 1000:
                host.until(host.now + 2)
            if turn == 11:
                waits[zone] = host.now - began
                break
            host.until(host.now + way)  # as long as the way takes, and no copy meanwhile
            assert len(host.sent[job]) == 1
            host.give(AttemptProgress(job, 0, host.sent[job][0], ProgressKind.STARTED))
            host.end(job, 0, Outcome.SERVED)
            host.until(host.now + 1500)
    assert waits[0] < 60 < 150 < waits[1] < SETTINGS.dial_timeout + 60


def test_near_workers_come_first_as_long_as_they_have_room() -> None:
    """Risk: each attempt in another zone costs a fiftieth of a job, and nine in twelve went there."""
    for seed in range(4):
        host = Host(with_settings(reports_start=True, cross_zone_price=0.02, zone=1), seed=seed, workers=0)
        host.listed(ListKind.CACHED, tuple(ServerEntry(i, zone=i % 4) for i in range(40)))
        jobs = [host.job(0) for _ in range(10)]
        assert {host.entry[host.sent[job][0]].zone for job in jobs} == {1}


def test_job_that_must_not_repeat_gets_no_copy() -> None:
    host = Host(with_settings(reports_start=True), workers=2)
    job = host.job(2)
    host.until(host.now + 3000)
    assert len(host.sent[job]) == 1


def test_error_ejects_at_once_and_trials_bring_back() -> None:
    """Risk: fast errors look like free slots and attract the traffic."""
    host = Host(workers=4)
    warm_up(host)
    job = host.job(2)
    bad = host.sent[job][0]
    host.end(job, 0, Outcome.ERROR)
    for _ in range(12):
        job = host.job(0)
        assert job not in host.sent or host.sent[job][0] != bad
    for key in host.open_attempts():
        host.end(*key)
    host.until(host.now + 1300)
    trials = 0
    for _ in range(60):
        jobs = [host.job(2), host.job(0), host.job(0)]
        to_bad = [job for job in jobs if job in host.sent and host.sent[job][0] == bad]
        worker = host.dispatcher.state.servers.by_id[bad]
        if worker.outlier.trials_left:
            assert len(to_bad) <= 1
            assert jobs[0] not in to_bad
            trials += len(to_bad)
        host.until(host.now + 100)
        for key in host.open_attempts():
            host.end(*key)
    assert trials == 4
    assert not host.dispatcher.state.servers.by_id[bad].outlier.trials_left


def test_panic_when_nearly_all_are_ejected() -> None:
    host = Host(workers=4)
    warm_up(host)
    for _ in range(4):
        job = host.job(2)
        host.end(job, 0, Outcome.ERROR)
    assert (
        sum(w.outlier.trials_left > 0 for w in host.dispatcher.rules.ranking.servers) >= 3
    )  # above the panic threshold
    running = [host.job(2) for _ in range(9)]
    assert all(job in host.sent for job in running)


def test_one_timer_out_however_much_is_held() -> None:
    """Risk: every hold and every fired timer started another chain of timers."""
    host = Host(workers=1)
    warm_up(host)
    for _ in range(60):
        host.job(2)
    host.actions.clear()
    host.until(host.now + 1000)
    assert (
        sum(isinstance(a, SetTimer) for a in host.actions) <= 1000 / host.dispatcher.state.derived.check_interval + 70
    )


def test_timer_rounded_to_just_before_its_time_is_no_loss() -> None:
    """Risk: a timer thought to be still out hides all later ones, and jobs are lost."""
    host = Host(workers=1)
    job = host.job(2)
    for early in (0.0004, 0.0, 0.0, 0.0):
        if job not in host.answered:
            host.now = min(host.timers) - early
            host.timers.remove(min(host.timers))
            host.give(TimerFired(0))
    assert job in host.answered
    assert host.now < host.jobs[job].give_up_at


def test_tenant_over_its_share_of_our_jobs_goes_last() -> None:
    host = Host(with_settings(quotas=(9.0, 1.0)), workers=1)
    warm_up(host)
    for _ in range(10):
        host.job(0, tenant=1)
    running = list(host.sent)[-4:]
    greedy, modest = [host.job(0, tenant=1) for _ in range(3)], host.job(0)
    newest = host.job(0, tenant=1)
    host.end(running[0], 0, Outcome.SERVED, (0.0,))
    assert modest in host.sent
    assert newest not in host.sent
    assert not set(greedy) & set(host.sent)


def test_peers_tell_counts_and_count_as_queue() -> None:
    settings = with_settings(instances=2, gossip=True)
    host = Host(settings, workers=2)
    warm_up(host)
    assert any(isinstance(a, SendPeerMessage) for a in host.actions)
    first = host.dispatcher.rules.ranking.servers[0]
    host.dispatcher.rules.exploration.pending = []
    told = PeerLoad.STAMP.pack(PeerLoad.COUNTS, 1.0) + PeerLoad.PAIR.pack(first.id, 4)
    host.give(PeerMessage(1, told + b"odd"))
    assert host.sent[host.job(0)][0] != first.id
    host.give(PeerMessage(1, PeerLoad.STAMP.pack(PeerLoad.COUNTS, 2.0) + PeerLoad.PAIR.pack(first.id, 0)))
    assert first.load.peer_slots == 0


def test_dead_peer_is_forgotten() -> None:
    """Risk: what a killed dispatcher told last keeps workers 'full' for everyone else for ever."""
    host = Host(with_settings(instances=2, gossip=True), workers=1)
    warm_up(host)
    worker = host.dispatcher.rules.ranking.servers[0]
    host.give(PeerMessage(1, PeerLoad.STAMP.pack(PeerLoad.COUNTS, 1.0) + PeerLoad.PAIR.pack(worker.id, 4)))
    job = host.job(2)
    host.until(host.now + 200)
    assert job not in host.sent
    assert worker.load.peer_slots == 4
    host.until(host.now + 400)
    host.listed(ListKind.CHANGES, ())
    assert worker.load.peer_slots == 0
    host.until(host.now + 50)
    assert job in host.sent


def test_cold_worker_is_no_bargain() -> None:
    """Risk: a fresh worker takes the others' mean score and draws the traffic while it is slow."""
    host = Host(workers=3)
    warm_up(host)
    host.dispatcher.rules.exploration.pending = []
    host.listed(ListKind.CHANGES, (ServerEntry(9, started_at=host.now),))
    assert host.dispatcher.rules.ranking.servers[-1].id == 9


def test_cold_worker_is_slower_and_not_smaller() -> None:
    """Risk: in a release half the slots stand idle, each cold worker holding a job or two."""
    host = Host(with_settings(warmup_capacity=0.25, warmup_time=10_000.0), workers=1)
    warm_up(host)
    host.listed(ListKind.CHANGES, (ServerEntry(2, started_at=host.now),))
    sent = [host.sent.get(host.job(0)) for _ in range(8)]
    assert sent.count([2]) == 4  # as many as it has slots, well inside the cold budget


def test_slots_of_a_worker_that_is_never_idle() -> None:
    """Risk: two slots, one always taken, are reported as one free for ever; half the fleet stands idle."""
    tight, loose = CapacityEstimate(), CapacityEstimate()
    for _ in range(12):
        tight.record_free_slots(1.0)
    assert tight.slots == 2
    assert loose.slots == 1
    for _ in range(20):
        loose.record_free_slots(2.1)
    assert loose.slots == 3
    loose.record_free_slots(0.9)  # takes the guess back, not what was seen free
    assert loose.slots == 2


def test_never_idle_workers_are_filled() -> None:
    host = Host(workers=1)
    host.job(0)
    for _ in range(12):
        job, host.now = host.job(0), host.now + 100
        host.end(min(host.open_attempts())[0], 0, Outcome.SERVED, (1.0,))
        assert job in host.sent
    assert host.job(0) in host.sent


def test_instances_differ_by_seed_only() -> None:
    orders = set()
    for seed in range(8):
        dispatcher = Dispatcher(with_settings(), seed)
        host = Host(seed=seed, workers=6)
        assert len(dispatcher.rules.ranking.servers) == 0
        orders.add(tuple(w.id for w in host.dispatcher.rules.ranking.servers))
    assert len(orders) > 1


def test_site_without_reports_hints_tenants() -> None:
    lane = RequestClass(latency_objective=100, deadline=1000, effect=Effect.NON_IDEMPOTENT)
    host = Host(with_settings(classes=(lane,), report_fields=(), may_cancel=False), workers=1)
    job = host.job(0)
    host.until(host.now + 30)
    host.end(job, 0)
    assert host.answered[job] == "served"
    assert entries(1)[0].server == 1


def test_retry_budget_ends_a_storm() -> None:
    host = Host(with_settings(max_attempts=9), workers=20)
    for _ in range(60):
        job = host.job(0)
        while job in host.sent and (job, len(host.sent[job]) - 1) not in host.outcome:
            host.end(job, len(host.sent[job]) - 1, Outcome.CONNECT_FAILED)
    retries = sum(len(sent) - 1 for sent in host.sent.values())
    assert 10 < retries <= 20 + 0.2 * len(host.sent)


def test_worker_where_a_job_did_not_start_is_full_for_a_while() -> None:
    """Risk: once its copy runs elsewhere, the next job waits at the same full worker."""
    host = Host(with_settings(reports_start=True), workers=2)
    warm_up(host)
    host.until(host.now + 500)
    stuck = host.job(0)
    worker = host.sent[stuck][0]
    host.until(host.now + SETTINGS.dial_timeout + 30)
    assert len(host.sent[stuck]) == 2  # a copy
    host.give(AttemptProgress(stuck, 1, host.sent[stuck][1], ProgressKind.STARTED))
    host.end(stuck, 0, Outcome.CANCELLED)
    assert host.sent[host.job(0)][0] != worker


def test_held_retry_without_budget_holds_up_no_other() -> None:
    """Risk: a job whose retry the budget does not allow stood first among the held, and all behind it waited."""
    host = Host(with_settings(retry_burst=0.0, retry_share=0.0, classes=(SAFE, KEYED, ONCE)), workers=1)
    warm_up(host)
    running = [host.job(0) for _ in range(4)]
    behind = host.job(2)
    host.end(running[0], 0, Outcome.ERROR)  # held from here on: it may not be tried again
    host.until(host.now + 100)
    for job in running[1:]:
        host.end(job, 0, Outcome.SERVED, (4.0,))
    assert len(host.sent[running[0]]) == 1
    assert behind in host.sent


def test_slots_are_learned_from_starts_and_waits_where_none_are_reported() -> None:
    """Seen on alvstad-inbjudan: with no reports a worker of five cores was held to have one slot for ever."""
    kind = CapacityEstimate(4.0)
    for _ in range(40):
        kind.record_start(6.0)
    assert 5.9 < kind.slots <= 6.0
    for _ in range(40):
        kind.record_wait(5.0)
    assert 5.0 <= kind.slots < 5.1
    kind.record_wait(1.0)  # it stands still: that tells nothing of its slots
    assert kind.slots >= 5.0
    host = Host(with_settings(reports_start=True, report_fields=(), hedging=False), workers=1)
    jobs = [host.job(0)]
    for _ in range(3):
        host.until(host.now + 5)
        host.give(AttemptProgress(jobs[-1], 0, 1, ProgressKind.STARTED))
        jobs.append(host.job(0))
    assert all(job in host.sent for job in jobs)


def test_fault_of_the_job_ejects_no_worker_and_ends_the_job_at_the_second_opinion() -> None:
    """A client with unusable requests had all workers ejected, each request six of them."""
    host = Host()
    warm_up(host)
    job = host.job(0)
    host.end(job, 0, Outcome.REJECTED_BY_SERVER)
    assert job not in host.answered
    assert host.sent[job][1] != host.sent[job][0]
    host.end(job, 1, Outcome.REJECTED_BY_SERVER)
    assert host.answered[job] == "failed"
    assert len(host.sent[job]) == 2
    assert not any(w.outlier.ejections for w in host.dispatcher.rules.ranking.servers)
    once = host.job(2)
    host.end(once, 0, Outcome.REJECTED_BY_SERVER)
    assert host.answered[once] == "failed"


def test_worker_that_alone_finds_fault_is_the_one_that_fails() -> None:
    host = Host()
    warm_up(host)
    job = host.job(0)
    host.end(job, 0, Outcome.REJECTED_BY_SERVER)
    host.end(job, 1, Outcome.SERVED, (4.0,))
    assert [w.id for w in host.dispatcher.rules.ranking.servers if w.outlier.ejections] == [host.sent[job][0]]


def test_job_found_unusable_does_not_wait_for_a_second_opinion() -> None:
    """The client is owed its error soon; held for room, it would have it at its deadline."""
    host = Host(workers=2)
    warm_up(host)
    job = host.job(0)
    for worker in host.dispatcher.rules.ranking.servers:
        worker.load.own_slots += 99
    host.end(job, 0, Outcome.REJECTED_BY_SERVER)
    assert host.answered[job] == "failed"


def tell(host: Host, job: int, attempt: int, kind: ProgressKind = ProgressKind.PROGRESS) -> None:
    host.give(AttemptProgress(job, attempt, host.sent[job][attempt], kind, 0.5))


def test_job_that_started_and_fell_silent_gets_a_copy() -> None:
    """Connections went silent under running jobs, which then waited for their deadlines, 10 to 25 s."""
    host = Host(with_settings(reports_start=True, progress_interval=500.0, report_fields=()), workers=3)
    job, well, once = host.job(0), host.job(0), host.job(2)
    for each in (job, well, once):
        tell(host, each, 0, ProgressKind.STARTED)
    for _ in range(4):  # 3.2 periods: after longer a short job is late whatever is done
        host.until(host.now + 400)
        tell(host, well, 0)
    assert [len(host.sent[each]) for each in (job, well, once)] == [2, 1, 1]
    assert host.sent[job][1] != host.sent[job][0]
    host.until(host.now + 200)
    assert len(host.sent[job]) >= 2
    host.end(job, 1, Outcome.SERVED)
    assert host.answered[job] == "served"
    assert CancelAttempt(job, 0) in host.actions


def test_worker_that_stands_still_gets_nothing_that_must_not_repeat() -> None:
    host = Host(with_settings(reports_start=True, progress_interval=500.0, report_fields=()), workers=1)
    stuck = host.job(2)
    tell(host, stuck, 0, ProgressKind.STARTED)
    host.until(host.now + 2000)
    host.give(PeerMessage(1, b""))  # any event will do
    held = host.job(2)
    assert held not in host.sent
    trial, second = host.job(0), host.job(0)
    assert trial in host.sent
    assert second not in host.sent
    for job in (trial, second):
        tell(host, job, 0, ProgressKind.STARTED)
    host.until(host.now + 100)
    assert held in host.sent  # it moves again


def test_progress_of_one_job_keeps_its_worker_trusted() -> None:
    """One silent connection is not yet a worker that stands still."""
    host = Host(with_settings(reports_start=True, progress_interval=500.0, report_fields=()), workers=1)
    stuck, well = host.job(2), host.job(0)
    for job in (stuck, well):
        tell(host, job, 0, ProgressKind.STARTED)
    for _ in range(6):
        host.until(host.now + 400)
        tell(host, well, 0)
    assert host.job(2) in host.sent


def test_attempt_that_its_client_did_not_wait_for_tells_of_a_slow_worker() -> None:
    """Clients left jobs on workers at a quarter of the usual speed, so that nothing was ever learned of those."""
    host = Host(with_settings(reports_start=True, progress_interval=500.0, report_fields=()), workers=2)
    for wait, learned in ((50, 0), (400, 1)):  # sooner than usual it tells nothing
        first = host.job(0)
        tell(host, first, 0, ProgressKind.STARTED)
        host.until(host.now + 100)
        host.end(first, 0, Outcome.SERVED)
        left = host.job(0)
        worker = host.dispatcher.state.servers.by_id[host.sent[left][0]]
        tell(host, left, 0, ProgressKind.STARTED)
        host.until(host.now + wait)
        n, mean = worker.payoff.count, worker.payoff.mean
        host.give(ClientGone(left))
        host.answered[left] = "gone"
        host.end(left, 0, Outcome.CANCELLED)
        assert (worker.payoff.count > n + 0.3) == bool(learned)
        assert not learned or worker.payoff.mean < mean or not n


def test_a_fleet_that_has_served_nothing_yet_uses_its_cold_workers_and_pushes_none_over() -> None:
    """Risk: in a black start each one's part of a cold worker's budget holds no job, and nobody ever sends one."""
    for count in (4, 16, 100):
        settings = with_settings(instances=count, warmup_capacity=0.15, report_fields=(), reports_start=True)
        work: dict[int, float] = {}
        for position in range(count):
            host = Host(replace(settings, position=position), workers=0)
            host.listed(ListKind.FULL, entries(12, started_at=host.now - 1.0))
            for lane in (0, 2) * 8:
                job = host.job(lane)
                for worker in host.sent.get(job, ()):
                    work[worker] = work.get(worker, 0.0) + settings.classes[lane].latency_objective
        stands = settings.overload_multiple * 0.16 * 4.0 * settings.overload_window
        assert len(work) >= 6, (count, work)  # of 12 workers
        assert max(work.values()) <= stands, (count, work, stands)

"""Explores what can happen to Faktory jobs by random sequences of events, and checks their promise after each.

What got ``+OK`` is given to a worker or ends before its time is over, and never runs beyond what its class allows,
whatever operators, signals, workers and the disk do in between.
"""

import os
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import pytest
from exchange import SETTINGS
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test

from frontends.virtual_faktory import DurableStore, VirtualConnection, VirtualFaktory
from heronlug.balancer.events import Outcome
from heronlug.frontends.faktory.frontend_state import FrontendState

SEQUENCES = int(os.environ.get("FAKTORY_SEQUENCES", "0"))
"""Number of sequences of a run by hand, with ``--hypothesis-seed``; 0 in CI."""
CI_SEQUENCES = 500
"""Number of sequences in CI, the same in every run."""
STEPS = 30
"""Number of events in a sequence."""
WINDOW_MS = 6000.0
DEADLINES_MS = {"safe": 5000.0, "once": 5000.0, "keyed": 20_000.0}
WINDOWS = {"keyed": {"repeat_window": WINDOW_MS}}
CLASSES = [
    {**each, "deadline": DEADLINES_MS[each["name"]], **WINDOWS.get(each["name"], {})} for each in SETTINGS["lanes"]
]
WIDS = ("w1", "w2")
TIMES_MS = st.sampled_from([100.0, 900.0, 2600.0, 6100.0])
DOWN_MS = st.sampled_from([100.0, 900.0])
JOBTYPES = st.sampled_from(["safe", "once", "keyed", "keyed"])


@dataclass
class PushedJob:
    """What the producer knows of a job.

    Attributes:
        payload: the pushed job.
        due_at: earliest start in ms; 0 if it has none.
        parents: jids of the parents.
        accepted_at: time of ``+OK`` in ms; None without it.
        final: the durable final state; empty if there is none.
    """

    payload: dict[str, Any]
    due_at: float
    parents: list[str] = field(default_factory=list)
    accepted_at: float | None = None
    final: str = ""

    @property
    def jobtype(self) -> str:
        return str(self.payload["jobtype"])


class FaktoryMachine(RuleBasedStateMachine):
    """Plays events in any order; ``durable`` chooses the store."""

    durable = True

    def __init__(self) -> None:
        super().__init__()
        self.faktory = VirtualFaktory(durable=self.durable, lanes=CLASSES)
        self.jobs: dict[str, PushedJob] = {}
        self.connections: dict[str, VirtualConnection] = {}
        self.pushed_count = 0
        self.started_at = self.faktory.now
        self.events_checked = 0
        self.deliveries: dict[str, list[float]] = {}

    # -- events

    @rule(jobtype=JOBTYPES, due_in_ms=st.sampled_from([0.0, 0.0, 2000.0]), data=st.data())
    def push(self, jobtype: str, due_in_ms: float, data: st.DataObject) -> None:
        jid = self._new_jid()
        known = [jid for jid in self.jobs if jid in self.faktory.frontend.jobs.by_jid]
        parents = data.draw(st.lists(st.sampled_from(known), max_size=2, unique=True)) if known else []
        on_failure = data.draw(st.sampled_from(["fail", "release"]))
        custom = {"after": parents, "on_failure": on_failure} if parents else {}
        payload = self.faktory.job(jid, jobtype, due_in_ms, **custom)
        self.jobs[jid] = PushedJob(payload, self.faktory.now + due_in_ms if due_in_ms else 0.0, parents)
        self._push(jid)

    @rule(parent_type=JOBTYPES, child_type=JOBTYPES, on_failure=st.sampled_from(["fail", "release"]))
    def push_both(self, parent_type: str, child_type: str, on_failure: str) -> None:
        """Pushes a parent and its child by one command, so that both are stored at once."""
        parent, child = self._new_jid(), self._new_jid()
        self.jobs[parent] = PushedJob(self.faktory.job(parent, parent_type), 0.0)
        payload = self.faktory.job(child, child_type, after=[parent], on_failure=on_failure)
        self.jobs[child] = PushedJob(payload, 0.0, [parent])
        for jid in (parent, child):
            self.faktory.frontend.jobs.push(self.jobs[jid].payload, partial(self._on_pushed, jid))
        self.faktory.turn()

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def push_again(self, data: st.DataObject) -> None:
        jid = data.draw(st.sampled_from(list(self.jobs)))
        if jid in self.faktory.frontend.jobs.by_jid:
            self._push(jid)

    def _push(self, jid: str) -> None:
        self.faktory.frontend.jobs.push(self.jobs[jid].payload, partial(self._on_pushed, jid))
        self.faktory.turn()

    def _on_pushed(self, jid: str, error: Exception | None) -> None:
        if error is None and self.jobs[jid].accepted_at is None:
            self.jobs[jid].accepted_at = self.faktory.now

    def _new_jid(self) -> str:
        self.pushed_count += 1
        return f"job-{self.pushed_count:05}"

    @rule(wids=st.sampled_from([WIDS, WIDS[:1]]))
    def connect_and_fetch(self, wids: tuple[str, ...]) -> None:
        for wid in wids:
            self._fetch(wid)

    def _fetch(self, wid: str) -> None:
        if wid not in self.connections:
            self.connections[wid] = self.faktory.worker(wid)
        self.connections[wid].fetching = True
        self.faktory.frontend.delivery.match(self.faktory.frontend.workers.by_wid[wid])
        self.faktory.turn()

    @precondition(lambda self: self.connections)
    @rule(data=st.data())
    def lose_worker(self, data: st.DataObject) -> None:
        wid = data.draw(st.sampled_from(sorted(self.connections)))
        connection = self.connections.pop(wid)
        connection.peer_connected = False
        self.faktory.frontend.workers.disconnect(self.faktory.frontend.workers.by_wid[wid], connection)
        self.faktory.turn()

    @precondition(lambda self: self._held())
    @rule(outcome=st.sampled_from([Outcome.SERVED, Outcome.SERVED, Outcome.ERROR]), data=st.data())
    def end_held_job(self, outcome: Outcome, data: st.DataObject) -> None:
        self.faktory.end_job(*data.draw(st.sampled_from(self._held())), outcome)

    def _held(self) -> list[tuple[str, str]]:
        workers = self.faktory.frontend.workers.by_wid
        return [(wid, jid) for wid in sorted(self.connections) for jid in sorted(workers[wid].reservations)]

    @rule(duration_ms=TIMES_MS)
    def pass_time(self, duration_ms: float) -> None:
        self.faktory.pass_time(duration_ms)

    @rule(on=st.booleans())
    def turn(self, on: bool) -> None:
        if on:
            self.faktory.frontend.turn_on()
        else:
            self.faktory.service.use(None)

    @rule(rejected=st.sampled_from([(), (0,), (1, 2)]))
    def apply_plugin(self, rejected: tuple[int, ...]) -> None:
        self.faktory.reject_classes(*rejected)

    @precondition(lambda self: self.durable)
    @rule(stalled=st.booleans())
    def stall_disk(self, stalled: bool) -> None:
        self.faktory.disk_stalled = stalled
        self.faktory.turn()

    @rule(down_ms=DOWN_MS, written=st.integers(0, 3))
    def kill(self, down_ms: float, written: int) -> None:
        self._check_events()
        if isinstance(self.faktory.store, DurableStore):
            self.faktory.store.write(written)  # the process may end before it learns of a commit
        self.faktory.disk_stalled = False
        self.connections.clear()
        if not self.durable:
            self.jobs.clear()  # nothing is promised beyond the kill
        self.faktory.kill_and_start(down_ms)
        self.started_at = self.faktory.now

    @rule(stop_ms=st.sampled_from([0.0, 1000.0, 3450.0]), down_ms=TIMES_MS)
    def stop(self, stop_ms: float, down_ms: float) -> None:
        self.faktory.disk_stalled = False
        self.faktory.turn()
        self.faktory.frontend.begin_stop()
        self.faktory.pass_time(stop_ms)
        self.faktory.frontend.give_up_jobs()
        self.faktory.turn()
        assert not len(self.faktory.frontend.core.requests), "the process waits for a job"
        kept = {fields["jid"] for fields in self.faktory.logged("job_kept")}
        for jid, job in self.faktory.frontend.jobs.by_jid.open.items():
            assert job.final_answer is not None or (self.durable and jid in kept), f"{jid} has no end"
            assert job.final_answer is not None or not self._known_deliveries(jid), f"{jid} may have run and is kept"
            ends_by = self._ends_by(jid, self.jobs[jid])
            is_overdue = job.final_answer is None and ends_by is not None and ends_by < self.faktory.now
            assert not is_overdue, f"{jid} is kept beyond its time"
        self._check_events()
        self.connections.clear()
        if not self.durable:
            self.jobs.clear()
        self.faktory.kill_and_start(down_ms)
        self.started_at = self.faktory.now

    def _known_deliveries(self, jid: str) -> list[float]:
        """Returns the times of the deliveries that this process knows; those of class ``safe`` are not stored."""
        stored = self.jobs[jid].jobtype != "safe"
        return [at for at in self.deliveries.get(jid, []) if stored or at >= self.started_at]

    # -- the promise

    @invariant()
    def keeps_the_promise(self) -> None:
        self._check_events()
        self._check_places()
        for jid, job in self.jobs.items():
            if job.accepted_at is not None:
                self._check_job(jid, job)

    def _check_events(self) -> None:
        for name, fields in self.faktory.events[self.events_checked :]:
            if name == "job_delivered":
                self._check_delivery(fields["jid"], fields["at_ms"])
            assert name not in ("overdue", "exception"), fields
        self.events_checked = len(self.faktory.events)

    def _check_delivery(self, jid: str, now: float) -> None:
        job, earlier = self.jobs[jid], self.deliveries.setdefault(jid, [])
        assert now >= job.due_at, f"{jid} was delivered before its time"
        assert not job.final, f"{jid} was delivered after its end"
        if earlier:
            assert job.jobtype != "once", f"{jid} was delivered twice"
            assert job.jobtype != "keyed" or now <= earlier[0] + WINDOW_MS, f"{jid} was repeated after its window"
        for parent in job.parents:
            assert self._end_of(parent) is not None, f"{jid} was delivered before {parent} had ended"
            if job.payload["custom"]["on_failure"] == "fail":
                assert self._end_of(parent)[0] == "served", f"{jid} was delivered though {parent} was not served"  # type: ignore[index]
        earlier.append(now)

    def _check_places(self) -> None:
        counts = self.faktory.frontend.jobs.open_counts()
        places = ("being_stored", "delayed", "dependent", "started", "kept")
        assert counts["open"] == sum(counts[place] for place in places), counts
        assert self.faktory.frontend.context.state in (FrontendState.ON, FrontendState.OFF)

    def _check_job(self, jid: str, job: PushedJob) -> None:
        known = self.faktory.frontend.jobs.by_jid.get(jid)
        assert known is not None, f"{jid} was accepted and is not known"
        final = "" if known.final_answer is None else known.final_answer.value
        if self.durable:
            stored = self.faktory.rows[jid].final_state
            assert not job.final or job.final == stored, f"{jid} has had another end"
            assert not stored or stored == final, f"{jid} has ended, and the process does not know it"
            job.final = stored
        else:
            assert not job.final or job.final == final, f"{jid} has had another end"
            job.final = final
        ends_by = self._ends_by(jid, job)
        if ends_by is not None:
            end = self._end_of(jid)
            ended_at = self.faktory.now if end is None else end[1]
            # while the process is down nothing ends
            assert ended_at <= max(ends_by, self.started_at), f"{jid} was open beyond its time"

    def _ends_by(self, jid: str, job: PushedJob) -> float | None:
        """Returns the latest time of the end of an accepted job; None while a parent is open."""
        ends = [self._end_of(parent) for parent in job.parents]
        if None in ends or job.accepted_at is None:
            return None
        released_at = max([job.accepted_at, job.due_at, *(end[1] for end in ends if end is not None)])
        return released_at + DEADLINES_MS[job.jobtype]

    def _end_of(self, jid: str) -> tuple[str, float] | None:
        """Returns the last final answer of a job and its time; None while the job is open."""
        known = self.faktory.frontend.jobs.by_jid.get(jid)
        if known is not None and known.final_answer is None:
            return None
        answers = [fields for fields in self.faktory.logged("job_answered") if fields["jid"] == jid]
        if not answers:  # its push could not be accepted
            return "refused", self.faktory.now
        return answers[-1]["final"], answers[-1]["at_ms"]


class MemoryFaktoryMachine(FaktoryMachine):
    """Plays the same events without a durable store."""

    durable = False


@pytest.mark.parametrize("machine", [FaktoryMachine, MemoryFaktoryMachine])
def test_accepted_jobs_have_one_end_in_any_order_of_events(machine: type[FaktoryMachine]) -> None:
    """Guards against an order of events in which an accepted job is lost, repeated, early or late."""
    chosen = settings(
        max_examples=SEQUENCES or CI_SEQUENCES,
        derandomize=not SEQUENCES,
        stateful_step_count=STEPS,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )
    run_state_machine_as_test(machine, settings=chosen)  # type: ignore[no-untyped-call]

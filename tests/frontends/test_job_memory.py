"""Tests what Faktory jobs reserve in the account of memory, and what happens when it is full."""

import gc
import tracemalloc
from typing import Any, cast

import pytest

from frontends.virtual_faktory import DurableStore, VirtualFaktory
from heronlug.frontends.faktory.errors import JobMemoryError
from heronlug.memory.holders import Holder

REMEMBER_MS = 60_000.0
LIMIT = 4 * 1024 * 1024
PAYLOAD_BYTES = 2_000


@pytest.mark.parametrize("durable", [False, True])
def test_ended_and_forgotten_jobs_hold_nothing(durable: bool) -> None:
    """Guards against an account that fills up although no job is known any more."""
    faktory = VirtualFaktory(durable=durable, config={"remember_ms": REMEMBER_MS})
    held = faktory.memory.by_holder
    worker = faktory.worker("w1")
    for number in range(10):
        assert faktory.push(f"timed-{number:03}", "safe", due_in_ms=1000 * number) == "OK"
    assert faktory.push("parent-01") == "OK"
    assert faktory.push("child-001", after=["parent-01"]) == "OK"
    assert held[Holder.FAKTORY_JOBS] > 0
    faktory.fetch("w1", worker)
    faktory.pass_time(30_000)
    assert held[Holder.FAKTORY_PAYLOADS] == 0
    assert held[Holder.FAKTORY_JOBS] > 0  # the jids stay known
    faktory.pass_time(REMEMBER_MS)
    assert held[Holder.FAKTORY_JOBS] == 0


def large_job(faktory: VirtualFaktory, jid: str, due_in_ms: float = 0) -> dict[str, Any]:
    return {**faktory.job(jid, "once", due_in_ms), "args": ["r" * PAYLOAD_BYTES, {"n": [1, 2.5, None]}], "queue": "q"}


@pytest.mark.parametrize("durable", [False, True])
@pytest.mark.parametrize("due_in_ms", [0, 3000])
def test_jobs_beyond_their_share_of_memory_are_refused_until_others_end(durable: bool, due_in_ms: int) -> None:
    """Guards against accepted jobs that take the process over its memory, and a refusal that stays."""
    faktory = VirtualFaktory(durable=durable, memory_limit=LIMIT, config={"remember_ms": REMEMBER_MS})
    replies = [faktory.push_job(large_job(faktory, f"job-{n:05}", due_in_ms)) for n in range(3000)]
    refused = replies.count(str(JobMemoryError()))
    assert replies.count("OK") + refused == len(replies)
    assert refused > 100
    assert faktory.memory.used <= LIMIT / 2
    assert faktory.memory.refusals[Holder.FAKTORY_JOBS] == refused
    assert [fields["state"] for fields in faktory.logged("job_memory")] == ["short"]
    faktory.pass_time(20_000)
    answered = faktory.logged("job_answered")
    assert len(answered) == replies.count("OK")
    assert faktory.push_job(large_job(faktory, "job-later", due_in_ms)) == "OK"
    assert faktory.logged("job_memory")[-1]["state"] == "free"


def test_stored_jobs_that_wait_hold_no_payload_and_are_delivered_unchanged() -> None:
    """Guards against payloads of stored jobs in memory, before and after a restart, and against losing one."""
    faktory = VirtualFaktory(memory_limit=LIMIT)
    jids = [f"job-{number:05}" for number in range(100)]
    jobs = {jid: large_job(faktory, jid, due_in_ms=3000) for jid in jids}
    assert {faktory.push_job(job) for job in jobs.values()} == {"OK"}
    for _ in range(2):
        assert faktory.memory.by_holder[Holder.FAKTORY_PAYLOADS] == 0
        assert faktory.memory.by_holder[Holder.FAKTORY_JOBS] > 0
        faktory.kill_and_start()
    faktory.pass_time(3000)
    worker = faktory.worker("w1")
    worker.queues = ["q"]
    while jid := faktory.fetch("w1", worker):
        faktory.end_job("w1", jid)
    assert [fields["final"] for fields in faktory.logged("job_answered")] == ["served"] * len(jids)
    assert {job["jid"]: job for job in worker.jobs} == {jid: {**job, "retry": 0} for jid, job in jobs.items()}
    assert faktory.memory.by_holder[Holder.FAKTORY_PAYLOADS] == 0


def test_delivery_whose_payload_cannot_be_read_is_tried_again() -> None:
    """Guards against a worker that gets no reply, or a job without an end, if the store cannot be read."""
    faktory = VirtualFaktory()
    assert faktory.push_job(large_job(faktory, "job-00001", due_in_ms=1000)) == "OK"
    faktory.pass_time(1000)
    row = faktory.rows.pop("job-00001")
    worker = faktory.worker("w1")
    worker.queues = ["q"]
    assert faktory.fetch("w1", worker) == ""
    assert [fields["jid"] for fields in faktory.logged("job_not_read")] == ["job-00001"]
    assert faktory.memory.by_holder[Holder.FAKTORY_PAYLOADS] == 0
    faktory.rows["job-00001"] = row
    faktory.pass_time(1000)
    assert faktory.fetch("w1", worker) == "job-00001"


@pytest.mark.parametrize("kind", ["timed", "dependent", "ready", "ended"])
def test_known_jobs_hold_no_more_than_is_counted(kind: str) -> None:
    """Guards against a cost that is far below what a job takes in the process."""
    faktory = VirtualFaktory(durable=False, memory_limit=1 << 30)
    faktory.push("parent-01", due_in_ms=100_000)
    count = 3000

    def push_jobs(prefix: str) -> None:
        for number in range(count):
            after = {"after": ["parent-01"]} if kind == "dependent" else {}
            faktory.push(f"{prefix}-{number:05}", "safe", due_in_ms=60_000 if kind == "timed" else 0, **after)
        if kind == "ended":
            faktory.pass_time(30_000)
            faktory.push(f"{prefix}-last")
        faktory.events.clear()
        gc.collect()

    tracemalloc.start()
    try:
        if kind == "ended":  # the tables of open jobs keep their size
            push_jobs("earlier")
        held, counted = -tracemalloc.get_traced_memory()[0], -faktory.memory.used
        push_jobs("measured")
        held += tracemalloc.get_traced_memory()[0]
        counted += faktory.memory.used
    finally:
        tracemalloc.stop()
    assert held <= counted, f"{held / count:.0f} bytes a job are held, {counted / count:.0f} are counted"


@pytest.mark.parametrize("ending", ["read late", "stored late", "not stored"])
def test_payload_that_was_read_in_vain_is_not_counted(ending: str) -> None:
    """Guards against an account that counts the payload of a job whose worker left before it was written."""
    faktory = VirtualFaktory()
    assert faktory.push_job(large_job(faktory, "job-00001", due_in_ms=1000)) == "OK"
    faktory.pass_time(1000)
    worker = faktory.worker("w1")
    worker.queues = ["q"]
    faktory.disk_stalled = True
    assert faktory.fetch("w1", worker) == ""
    store = cast(DurableStore, faktory.store)
    if ending != "read late":
        store.commit_next()  # the job is read, and its delivery waits for the store
    worker.peer_connected = False
    if ending != "not stored":
        faktory.frontend.workers.disconnect(faktory.frontend.workers.by_wid["w1"], worker)
    faktory.disk_stalled = False
    faktory.turn()
    assert worker.received == []
    assert faktory.finals("job-00001") == []
    assert faktory.memory.by_holder[Holder.FAKTORY_PAYLOADS] == 0

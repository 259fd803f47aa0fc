"""Tests what Faktory jobs reserve in the account of memory, and what happens when it is full."""

import pytest

from frontends.virtual_faktory import VirtualFaktory
from heronlug.memory.holders import Holder

REMEMBER_MS = 60_000.0


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

"""Tests chains of jobs whose first job ends unserved at an unusual moment, in virtual time."""

import pytest

from frontends.virtual_faktory import VirtualFaktory
from heronlug.balancer.events import Outcome

SAFE_CLASS, ONCE_CLASS = 0, 1
LONG_CHAIN = 10_000


@pytest.mark.parametrize(("on_failure", "fetched"), [("fail", ""), ("release", "child-001")])
def test_child_of_a_parent_that_its_push_refuses_ends_by_its_edge(on_failure: str, fetched: str) -> None:
    """Guards against a child that runs although its parent was refused while the child was being stored."""
    faktory = VirtualFaktory()
    faktory.reject_classes(ONCE_CLASS)
    parent = faktory.job("parent-01", "once")
    child = faktory.job("child-001", after=["parent-01"], on_failure=on_failure)
    errors = faktory.push_all(parent, child)
    assert errors == {"parent-01": "refused, come back later"}
    assert faktory.fetch("w1", faktory.worker("w1")) == fetched
    assert faktory.finals("child-001") == ([] if fetched else ["failed"])


@pytest.mark.parametrize("on_failure", ["fail", "release"])
def test_long_chain_ends_without_recursion(on_failure: str) -> None:
    """Guards against a chain whose jobs end within each other's end until the stack is full."""
    faktory = VirtualFaktory(durable=False)
    assert faktory.push("jid-00000", "once") == "OK"
    for number in range(1, LONG_CHAIN):
        assert faktory.push(f"jid-{number:05}", after=[f"jid-{number - 1:05}"], on_failure=on_failure) == "OK"
    faktory.reject_classes(SAFE_CLASS)
    faktory.fetch("w1", faktory.worker("w1"))
    faktory.end_job("w1", "jid-00000", Outcome.ERROR)
    ends = {fields["jid"]: fields["final"] for fields in faktory.logged("job_answered")}
    assert len(ends) == len(faktory.logged("job_answered")) == LONG_CHAIN
    assert set(ends.values()) == ({"failed"} if on_failure == "fail" else {"failed", "refused"})

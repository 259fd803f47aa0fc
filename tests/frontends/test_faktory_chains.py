"""Tests chains of jobs whose first job ends unserved at an unusual moment, in virtual time."""

import pytest

from frontends.virtual_faktory import VirtualFaktory

SAFE_CLASS, ONCE_CLASS = 0, 1


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

"""Tests that no value of a job, of a command or of a stored row stops the answers of others or a start."""

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from frontends.virtual_faktory import VirtualFaktory
from heronlug.frontends.faktory.errors import CommandError
from heronlug.storage.model import StoredRequest

JOBS = ("safe", "once", "keyed")
NUMBERS = st.sampled_from([0, -1, 1e20, 1e308, 2.0**70, -1e308, 1e-300, 2**63, -(2**63)]) | st.floats()
SCALARS = st.none() | st.booleans() | NUMBERS | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=200)
VALUES = st.recursive(SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=10)
TIMES = st.sampled_from(["9999-12-31T23:59:59-14:00", "0001-01-01T00:00:00+14:00", "9999-12-31T23:59:59Z", "", "now"])
JOB_FIELDS = st.sampled_from(["jid", "jobtype", "args", "queue", "at", "reserve_for", "retry", "custom", "other"])
CUSTOM_FIELDS = st.sampled_from(["remaining_ms", "after", "on_failure", "other"])
ROW_VALUES = SCALARS | st.binary(max_size=50) | st.just(float("nan")) | st.just(float("inf"))


def nested(depth: int) -> Any:
    value: Any = 1
    for _ in range(depth):
        value = [value]
    return value


def push_others(faktory: VirtualFaktory) -> None:
    for jobtype in JOBS:
        assert faktory.push(f"other-{jobtype}", jobtype) == "OK"


def check_others(faktory: VirtualFaktory) -> None:
    """Checks that the other jobs get their ends, and that no exception was logged."""
    worker = faktory.worker("w-other")
    while jid := faktory.fetch("w-other", worker):
        faktory.end_job("w-other", jid)
    assert {f"other-{jobtype}" for jobtype in JOBS} <= {*worker.received}
    faktory.pass_time(10_000)
    assert faktory.logged("exception") == []
    assert faktory.logged("overdue") == []


@given(st.dictionaries(JOB_FIELDS, VALUES | TIMES, max_size=3), st.dictionaries(CUSTOM_FIELDS, VALUES, max_size=2))
def test_no_value_of_a_pushed_job_stops_others_or_the_next_start(
    fields: dict[str, Any], custom: dict[str, Any]
) -> None:
    """Guards against a job whose values end a command, a callback or a start."""
    faktory = VirtualFaktory()
    sent = orjson.dumps({**faktory.job("odd-00001", "keyed"), "custom": custom, **fields})
    results: list[CommandError | None] = []
    faktory.frontend.jobs.push(orjson.loads(sent), results.append)
    faktory.turn()
    push_others(faktory)
    assert len(results) == 1
    worker = faktory.worker("w1")
    worker.queues = [str(fields.get("queue", "default"))]
    faktory.fetch("w1", worker)
    faktory.kill_and_start()
    check_others(faktory)


@pytest.mark.parametrize(
    ("fields", "error"),
    [
        ({"at": "9999-12-31T23:59:59-14:00"}, "at is no time"),
        ({"at": "0001-01-01T00:00:00+14:00"}, "at is no time"),
        ({"custom": {"deep": nested(900)}}, "nested more than 254 deep"),
        ({"args": nested(900)}, "nested more than 254 deep"),
        ({"reserve_for": 1e9}, "reserve_for is over 31622400 s"),
        ({"reserve_for": 31_622_401}, "reserve_for is over 31622400 s"),
        ({"reserve_for": 31_622_400}, "OK"),
    ],
)
def test_value_out_of_its_range_is_refused_by_name(fields: dict[str, Any], error: str) -> None:
    """Guards against an internal error, and a closed connection, for a value that is out of range."""
    faktory = VirtualFaktory()
    assert error in faktory.push_job({**faktory.job("odd-00001"), **fields})


@given(
    st.dictionaries(st.sampled_from(StoredRequest._fields[1:]), ROW_VALUES, min_size=1, max_size=3),
    st.sampled_from(JOBS),
)
def test_no_value_of_a_stored_row_stops_a_start(fields: dict[str, Any], jobtype: str) -> None:
    """Guards against a start that ends because of one row."""
    faktory = VirtualFaktory()
    push_others(faktory)
    assert faktory.push("odd-00001", jobtype, due_in_ms=2000) == "OK"
    faktory.rows["odd-00001"] = faktory.rows["odd-00001"]._replace(**fields)
    faktory.kill_and_start()
    check_others(faktory)


@pytest.mark.parametrize("jobtype", JOBS)
def test_stored_time_beyond_any_job_is_limited_to_that_of_its_class(jobtype: str) -> None:
    """Guards against a job without an end that an older program stored."""
    faktory = VirtualFaktory()
    assert faktory.push("odd-00001", jobtype) == "OK"
    faktory.rows["odd-00001"] = faktory.rows["odd-00001"]._replace(time_allowed_ms=1e20)
    faktory.kill_and_start()
    assert [fields["jid"] for fields in faktory.logged("job_time_limited")] == ["odd-00001"]
    faktory.pass_time(5000)
    assert faktory.finals("odd-00001") == ["refused"]

"""Tests that a request whose id may have run does not run again, also at the other process of an upgrade."""

import asyncio
from pathlib import Path

import pytest
from compatibility.samples import RestartProcess
from compatibility.test_recorded_forms import wait_until

from end_to_end.harness import DispatcherHarness, StandInConnection, done, request_id_of, run_async, served
from heronlug.balancer.settings import Effect, RequestClass
from heronlug.memory.account import MemoryAccount
from heronlug.memory.holders import Holder
from heronlug.requests.model import Request
from heronlug.requests.past_requests import KEEP_MARGIN_MS, RECORD_BYTES, PastRequest, PastRequests

RECORD_T1_BYTES = RECORD_BYTES + len("t1")
REPEAT_WINDOW_MS = 9000.0


async def next_request(harness: DispatcherHarness) -> tuple[StandInConnection, bytes] | None:
    """Returns the next request at any server; None if none comes."""
    await harness.pass_time(20)
    for server in harness.servers.values():
        for connection in server.connections:
            if data := connection.take_request():
                return connection, data
    return None


async def leave_while_running(harness: DispatcherHarness, class_name: str) -> None:
    client = await harness.post("t1", class_name)
    assert await next_request(harness) is not None
    client.close()
    await harness.settle()
    assert not harness.application.core.requests.has_id("t1")


def failed(client: StandInConnection) -> bool:
    return client.received.startswith(b"HTTP/1.1 500 ")


def test_id_whose_client_left_while_it_ran_fails() -> None:
    """Guards against a second run of a non-idempotent request that its client sends again after a disconnect."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            await leave_while_running(harness, "once")
            client = await harness.post("t1", "once")
            assert await next_request(harness) is None
            assert failed(client)
            await harness.post("t2", "once", client=client)
            assert await next_request(harness) is not None

    run_async(test)


def test_id_that_was_answered_fails_until_its_time_is_over() -> None:
    """Guards against a second run of an answered request, and against ids that are remembered forever."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = await harness.post("t1", "once")
            found = await next_request(harness)
            assert found is not None
            found[0].send(done(request_id_of(found[1])))
            await harness.settle()
            assert served(client)
            assert failed(await harness.post("t1", "once"))
            assert harness.application.memory.by_holder[Holder.PAST_REQUESTS] == RECORD_T1_BYTES
            harness.stall(5000.0 + 2 * KEEP_MARGIN_MS)
            assert harness.application.core.requests.past.find("t1") is None

    run_async(test)


def test_id_of_which_no_attempt_can_have_run_runs() -> None:
    """Guards against a failure of a request whose earlier attempt was turned away."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = await harness.post("t1", "once", remaining=300)
            found = await next_request(harness)
            assert found is not None
            found[0].send(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            client.close()
            await harness.settle()
            again = await harness.post("t1", "once")
            await harness.pass_time(1000)
            assert await next_request(harness) is not None
            assert not failed(again)

    run_async(test)


def test_id_of_a_repeatable_request_runs_again() -> None:
    """Guards against a failure of a request that may be repeated at any time."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            await leave_while_running(harness, "safe")
            await harness.post("t1", "safe")
            assert await next_request(harness) is not None
            assert not harness.application.memory.by_holder[Holder.PAST_REQUESTS]

    run_async(test)


@pytest.mark.parametrize(("waited_ms", "runs"), [(REPEAT_WINDOW_MS - 1000, True), (REPEAT_WINDOW_MS + 100, False)])
def test_keyed_id_runs_again_only_inside_the_window_of_its_first_transmission(waited_ms: float, runs: bool) -> None:
    """Guards against a repeat that servers no longer recognize, as its window was counted from the second client."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            await leave_while_running(harness, "keyed")
            harness.stall(waited_ms)
            call, _ = await harness.discovery.request()
            call.send(harness.list_response(3))
            await harness.settle()
            client = await harness.post("t1", "keyed")
            assert (await next_request(harness) is not None) == runs
            assert failed(client) != runs

    run_async(test)


def test_keyed_id_is_not_sent_again_once_its_window_has_passed_while_it_waits() -> None:
    """Guards against a retry by the window of the second client's transmission."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            await leave_while_running(harness, "keyed")
            harness.stall(REPEAT_WINDOW_MS - 1000)
            call, _ = await harness.discovery.request()
            call.send(harness.list_response(3))
            await harness.settle()
            client = await harness.post("t1", "keyed")
            found = await next_request(harness)
            assert found is not None
            harness.stall(1100)
            found[0].reset()
            assert await next_request(harness) is None
            await harness.pass_time(3000)
            assert client.received.startswith((b"HTTP/1.1 500 ", b"HTTP/1.1 503 "))

    run_async(test)


def test_request_is_refused_when_its_id_could_not_be_remembered() -> None:
    """Guards against a record that is forgotten early, or an id that runs without one."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            await leave_while_running(harness, "once")
            harness.application.core.requests.past.max_bytes = RECORD_T1_BYTES
            client = await harness.post("t2", "once")
            assert client.received.startswith(b"HTTP/1.1 503 ")
            assert await next_request(harness) is None
            assert harness.application.core.requests.past.find("t1") is not None

    run_async(test)


def test_record_is_kept_while_its_memory_is_counted_and_released_with_it() -> None:
    """Guards against records that stay in the account after they are forgotten, or that leave it early."""
    time_ms = 0.0
    memory = MemoryAccount(1_000_000)
    past = PastRequests(memory, lambda: time_ms)
    policy = RequestClass(latency_objective=100.0, deadline=5000.0, name="once", effect=Effect.NON_IDEMPOTENT)
    for _ in range(100):
        past.add(PastRequest("t1", Effect.NON_IDEMPOTENT, 0.0, "h1", 1000.0))
        past.add(PastRequest("t1", Effect.NON_IDEMPOTENT, 0.0, "h1", 5000.0))
    assert memory.by_holder[Holder.PAST_REQUESTS] == RECORD_T1_BYTES
    time_ms = 4999.0
    assert past.reserve(Request(None, 0, policy, 9000.0, 0.0, "t2"))
    assert past.find("t1") is not None
    time_ms = 7000.0
    assert past.find("t1") is None
    assert past.reserve(Request(None, 0, policy, 9000.0, 0.0, "t3"))
    assert memory.by_holder[Holder.PAST_REQUESTS] == 2 * RECORD_T1_BYTES


RECORDS = [
    PastRequest("t1", Effect.NON_IDEMPOTENT, 1.5e12, "h1", 9e15),
    PastRequest("t2", Effect.IDEMPOTENT_BY_KEY, 1.5e12, "h2", 9e15),
    PastRequest("t3", None, None, "", 9e15),
]


def test_records_pass_between_the_processes_in_both_directions(tmp_path: Path) -> None:
    """Guards against a second run at the successor, or at a process that serves again after its successor has ended."""

    async def test() -> None:
        old, new = RestartProcess(str(tmp_path)), RestartProcess(str(tmp_path))
        for process in (old, new):
            process.core.requests.past.on_recorded = process.takeover.request_recorded
        old.core.requests.past.add(RECORDS[0])
        old.takeover.session.listen()
        await new.takeover.join()
        await wait_until(lambda: new.core.requests.past.find("t1") == RECORDS[0])
        old.core.requests.past.add(RECORDS[1])
        new.core.requests.past.add(RECORDS[2])
        await wait_until(lambda: new.core.requests.past.find("t2") == RECORDS[1])
        await wait_until(lambda: old.core.requests.past.find("t3") == RECORDS[2])
        old.close()
        new.close()

    asyncio.run(test())


def test_ids_that_a_killed_process_had_are_remembered(tmp_path: Path) -> None:
    """Guards against a second run of a request that was open in the other process when it was killed."""

    async def test() -> None:
        old, new = RestartProcess(str(tmp_path)), RestartProcess(str(tmp_path))
        old.core.requests.ids.add("t1")
        old.takeover.session.listen()
        await new.takeover.join()
        old.close()
        await wait_until(lambda: new.core.requests.past.find("t1") is not None)
        assert new.core.requests.past.find("t1") is not None
        assert not new.core.requests.has_id("t1")
        new.close()

    asyncio.run(test())

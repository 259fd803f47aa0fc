"""Tests that one of many dispatchers without gossip queues requests while its earlier attempts wait at servers.

A queued request that cannot start in time is rejected from the queue. Servers report the start of an attempt only when
a test sends the report.
"""

import pytest

from end_to_end.harness import (
    LAST_CHUNK,
    RESPONSE_HEAD,
    DispatcherHarness,
    StandInConnection,
    done,
    progress_chunk,
    request_bytes,
    request_id_of,
    run_async,
)

RUN_TIME_MS = 100.0  # the latency objective is 400 ms, so a request has to start within 300 ms


def overloaded_harness(servers: int = 8) -> DispatcherHarness:
    return DispatcherHarness(servers, settings={"instances": 40}, limits={"may_tell": False})


async def received_requests(harness: DispatcherHarness) -> dict[str, StandInConnection]:
    """Takes the requests that have arrived at servers; returns their connections by request id."""
    await harness.settle()
    found = {}
    for server in harness.servers.values():
        for server_connection in server.connections:
            while request := server_connection.take_request():
                found[request_id_of(request)] = server_connection
    return found


async def learn_run_times(harness: DispatcherHarness) -> None:
    """Serves four requests, so that the dispatcher has an estimate of the run time."""
    for number in range(4):
        client = await harness.post(f"warm{number}")
        ((request_id, server_connection),) = (await received_requests(harness)).items()
        server_connection.send(RESPONSE_HEAD + progress_chunk(request_id, "started"))
        await harness.pass_time(RUN_TIME_MS)
        server_connection.send(progress_chunk(request_id, "done", "ok") + LAST_CHUNK)
        await harness.settle()
        assert client.received.startswith(b"HTTP/1.1 200 ")


async def send_two_unstarted_requests(harness: DispatcherHarness) -> dict[str, StandInConnection]:
    """Sends two requests that servers receive and do not start; returns their connections by request id."""
    await learn_run_times(harness)
    for number in range(2):
        await harness.post(f"w{number}")
    waiting = await received_requests(harness)
    assert sorted(waiting) == ["w0", "w1"]
    return waiting


async def queue_third_request(harness: DispatcherHarness) -> tuple[StandInConnection, dict[str, StandInConnection]]:
    """Queues a third request behind two that wait at servers; returns its client and the connections of the two."""
    waiting = await send_two_unstarted_requests(harness)
    client = await harness.post("t")
    assert not await received_requests(harness)
    return client, waiting


def test_request_queued_until_it_is_overdue_is_rejected_at_once() -> None:
    """Guards against a queued request that waits until its deadline, or is sent, though its start is overdue."""

    async def test() -> None:
        async with overloaded_harness().open() as harness:
            client, _ = await queue_third_request(harness)
            await harness.pass_time(300 - RUN_TIME_MS / 2)
            assert not client.received
            assert not await received_requests(harness)
            await harness.pass_time(RUN_TIME_MS)
            assert client.received.startswith(b"HTTP/1.1 503 "), client.received
            assert b"retry-after" in client.received.lower(), client.received
            await harness.pass_time(5000)
            assert not await received_requests(harness)

    run_async(test)


def test_queued_request_is_sent_when_an_attempt_starts() -> None:
    """Guards against a request that stays queued after a server reports the start of a waiting attempt."""

    async def test() -> None:
        async with overloaded_harness().open() as harness:
            client, waiting = await queue_third_request(harness)
            waiting["w0"].send(RESPONSE_HEAD + progress_chunk("w0", "started"))
            received = await received_requests(harness)
            assert list(received) == ["t"]
            received["t"].send(done("t"))
            await harness.settle()
            assert client.received.startswith(b"HTTP/1.1 200 ")

    run_async(test)


def test_unresponsive_servers_do_not_count_as_overload() -> None:
    """Guards against queueing requests because two servers hang, while the other servers are free."""

    async def test() -> None:
        async with overloaded_harness().open() as harness:
            await queue_third_request(harness)
            await harness.pass_time(500)  # the two attempts are overdue at their servers
            await harness.post("next")
            assert list(await received_requests(harness)) == ["next"]

    run_async(test)


@pytest.mark.parametrize("ending", ["fin", "half", "reset", "behind"])
def test_queued_request_whose_client_has_left_is_not_sent(ending: str) -> None:
    """Guards against sending a queued request when the start of an attempt is read before the disconnect."""

    async def test() -> None:
        async with overloaded_harness().open() as harness:
            waiting = await send_two_unstarted_requests(harness)
            client = harness.blocking_client()
            client.send(request_bytes("t", "safe", 4000))
            assert not await received_requests(harness)
            # The loop reads this start before the disconnect.
            waiting["w0"].send_now(RESPONSE_HEAD + progress_chunk("w0", "started"))
            client.leave(ending)
            harness.stall(200.0)
            assert not await received_requests(harness)

    run_async(test)


def test_few_dispatchers_with_most_of_the_load_queue_nothing() -> None:
    """Guards against queueing at one of few dispatchers, where the rule for many dispatchers does not apply."""

    async def test() -> None:
        async with DispatcherHarness(8, settings={"instances": 3}, limits={"may_tell": False}).open() as harness:
            await learn_run_times(harness)
            for number in range(3):
                await harness.post(f"w{number}")
            assert len(await received_requests(harness)) == 3

    run_async(test)

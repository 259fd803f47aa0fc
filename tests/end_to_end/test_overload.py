"""Many dispatchers without gossip: a request is queued while others wait at servers, and ends where it is queued.

The servers hold back the word of a start, or say it, when a test says so.
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

RUN_TIME_MS = 100.0  # ms that requests run; their aim is 400, so they have to start within 300


def overloaded_harness(servers: int = 8) -> DispatcherHarness:
    return DispatcherHarness(servers, settings={"instances": 40}, limits={"may_tell": False})


async def received_requests(harness: DispatcherHarness) -> dict[str, StandInConnection]:
    """The requests that have come, by their names."""
    await harness.settle()
    found = {}
    for server in harness.servers.values():
        for server_connection in server.connections:
            while request := server_connection.take_request():
                found[request_id_of(request)] = server_connection
    return found


async def learn_run_times(harness: DispatcherHarness) -> None:
    """Some have run, and how long is known."""
    for number in range(4):
        client = await harness.post(f"warm{number}")
        ((request_id, server_connection),) = (await received_requests(harness)).items()
        server_connection.send(RESPONSE_HEAD + progress_chunk(request_id, "started"))
        await harness.pass_time(RUN_TIME_MS)
        server_connection.send(progress_chunk(request_id, "done", "ok") + LAST_CHUNK)
        await harness.settle()
        assert client.received.startswith(b"HTTP/1.1 200 ")


async def start_two_waiting_requests(harness: DispatcherHarness) -> dict[str, StandInConnection]:
    """At servers that have not started them: where they are."""
    await learn_run_times(harness)
    for number in range(2):
        await harness.post(f"w{number}")
    waiting = await received_requests(harness)
    assert sorted(waiting) == ["w0", "w1"]
    return waiting


async def queue_third_request(harness: DispatcherHarness) -> tuple[StandInConnection, dict[str, StandInConnection]]:
    """Two wait at servers, and a third one is here: its client, and where the two are."""
    waiting = await start_two_waiting_requests(harness)
    client = await harness.post("t")
    assert not await received_requests(harness)
    return client, waiting


def test_request_queued_until_it_is_overdue_is_rejected_at_once() -> None:
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
    async def test() -> None:
        async with overloaded_harness().open() as harness:
            await queue_third_request(harness)
            await harness.pass_time(500)  # the two are late where they wait
            await harness.post("next")
            assert list(await received_requests(harness)) == ["next"]

    run_async(test)


@pytest.mark.parametrize("ending", ["fin", "half", "reset", "behind"])
def test_queued_request_whose_client_has_left_is_not_sent(ending: str) -> None:
    async def test() -> None:
        async with overloaded_harness().open() as harness:
            waiting = await start_two_waiting_requests(harness)
            client = harness.blocking_client()
            client.send(request_bytes("t", "safe", 4000))
            assert not await received_requests(harness)
            waiting["w0"].send_now(
                RESPONSE_HEAD + progress_chunk("w0", "started")
            )  # first in the queue of what is to be read
            client.leave(ending)
            harness.stall(200.0)
            assert not await received_requests(harness)

    run_async(test)


def test_few_dispatchers_with_most_of_the_load_queue_nothing() -> None:
    async def test() -> None:
        async with DispatcherHarness(8, settings={"instances": 3}, limits={"may_tell": False}).open() as harness:
            await learn_run_times(harness)
            for number in range(3):
                await harness.post(f"w{number}")
            assert len(await received_requests(harness)) == 3

    run_async(test)

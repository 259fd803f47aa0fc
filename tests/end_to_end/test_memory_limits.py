"""Tests whom a shortage of memory meets, and that a client with small whole requests is served meanwhile."""

from end_to_end.harness import (
    DispatcherHarness,
    StandInConnection,
    done,
    request_bytes,
    request_id_of,
    run_async,
    served,
)
from heronlug.memory.holders import Holder

KB = 1024


async def send_half(harness: DispatcherHarness, size: int) -> StandInConnection:
    """Sends a request of which ``size`` bytes of the body come."""
    client = await harness.client()
    head = request_bytes("half", "safe", 4000).replace(b"Length: 2", b"Length: 65000")[:-2]
    client.send(head + b"b" * size)
    await harness.settle()
    return client


async def serve(harness: DispatcherHarness, request_id: str) -> StandInConnection:
    client = await harness.post(request_id)
    for server in harness.servers.values():
        for connection in server.connections:
            if request := connection.take_request():
                connection.send(done(request_id_of(request)))
    await harness.settle()
    return client


def test_shortage_meets_the_client_that_holds_most_without_a_whole_request() -> None:
    """Guards against a refusal of whoever sends next, while others hold all memory with halves of requests."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            small, large, middle = [await send_half(harness, size * KB) for size in (10, 60, 30)]
            memory = harness.application.memory
            memory.limit = int((memory.used + 8 * KB) / 0.75)
            late = await send_half(harness, 20 * KB)
            assert large.received.startswith(b"HTTP/1.1 503 ")
            assert [client.received for client in (small, middle, late)] == [b""] * 3
            assert memory.by_holder[Holder.CLIENT_INPUT] >= 60 * KB

    run_async(test)


def test_request_that_itself_holds_most_is_refused() -> None:
    """Guards against a large request that pushes all smaller ones out."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            small = await send_half(harness, 10 * KB)
            memory = harness.application.memory
            memory.limit = int((memory.used + 20 * KB) / 0.75)
            large = await send_half(harness, 60 * KB)
            assert large.received.startswith(b"HTTP/1.1 503 ")
            assert not small.received
            assert memory.refusals[Holder.CLIENT_INPUT] == 1

    run_async(test)


def test_small_requests_are_served_while_waiting_bodies_take_their_share() -> None:
    """Guards against memory that large requests take to the last byte."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            await send_half(harness, 40 * KB)
            memory = harness.application.memory
            memory.limit = int(memory.used / 0.8)
            refused = await send_half(harness, 50 * KB)
            assert refused.received.startswith(b"HTTP/1.1 503 ")
            assert served(await serve(harness, "t1"))

    run_async(test)


def test_ended_requests_and_connections_release_what_they_held() -> None:
    """Guards against an account that fills up although nothing is held any more."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            memory = harness.application.memory
            client = await serve(harness, "t1")
            assert served(client)
            assert memory.by_holder[Holder.CLIENT_REQUESTS] == memory.by_holder[Holder.CLIENT_INPUT] == 0
            half = await send_half(harness, 50 * KB)
            assert memory.by_holder[Holder.CLIENT_INPUT] >= 50 * KB
            for each in (client, half):
                each.close()
            leaving = await harness.post("t2")
            assert memory.by_holder[Holder.CLIENT_REQUESTS] > 0
            leaving.reset()
            await harness.settle()
            assert memory.used == 0

    run_async(test)

"""Tests that no attempt begins after a client has left, also if its close stands behind bytes that were not read."""

import asyncio
import contextlib
import socket

import pytest

from end_to_end.harness import (
    REJECTED_RESPONSE,
    BlockingClient,
    DispatcherHarness,
    done,
    request_bytes,
    request_id_of,
    run_async,
)
from heronlug.balancer.events import Outcome

KB = 1024
NOTICED_WITHIN_MS = 100.0
BODY_BYTES = 60_000


def request_with_body(number: int, size: int) -> bytes:
    head = request_bytes(f"t{number}", "safe", 4000)
    return head.replace(b": 2\r\n", b": %d\r\n" % size)[:-2] + b"b" * size


def requests_with_bodies(count: int, size: int) -> bytes:
    return b"".join(request_with_body(number, size) for number in range(count))


def client_with_large_buffer(harness: DispatcherHarness) -> BlockingClient:
    client = harness.blocking_client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * 1024 * KB)
    return client


async def leave_behind(harness: DispatcherHarness, data: bytes, ending: str) -> BlockingClient:
    """Gives all bytes to the client's kernel while the dispatcher reads what it wants, and closes."""
    client = client_with_large_buffer(harness)
    client.sock.setblocking(False)
    sent = 0
    while sent < len(data):
        with contextlib.suppress(BlockingIOError):
            sent += client.sock.send(data[sent:])
        await harness.settle()
    client.sock.setblocking(True)
    client.leave(ending)
    return client


def leave_before_accept(harness: DispatcherHarness, data: bytes, ending: str) -> BlockingClient:
    """Gives all bytes to the client's kernel, and closes, before the dispatcher accepts the connection."""
    client = client_with_large_buffer(harness)
    client.send(data)
    client.leave(ending)
    return client


async def pass_both_times(harness: DispatcherHarness, step_ms: float) -> None:
    """Advances the harness's clock in 20 steps, and lets the kernel act after each."""
    for _ in range(20):
        await harness.pass_time(step_ms)
        await asyncio.sleep(0.002)


async def expect_no_attempt(harness: DispatcherHarness) -> None:
    """Expects that no attempt begins within a second, and that all requests are given up."""
    await pass_both_times(harness, 50)
    assert not any(server.requests for server in harness.servers.values())
    assert not len(harness.application.core.requests)


async def end_attempts(harness: DispatcherHarness, outcome: Outcome) -> None:
    """Ends all attempts that have begun."""
    for server in harness.servers.values():
        for connection in server.connections:
            while request := connection.take_request():
                connection.send(done(request_id_of(request)) if outcome is Outcome.SERVED else REJECTED_RESPONSE)
    await harness.settle()


@pytest.mark.parametrize("outcome", [Outcome.SERVED, Outcome.FULL])
@pytest.mark.parametrize("ending", ["fin", "half", "reset"])
@pytest.mark.parametrize(("count", "size"), [(5, BODY_BYTES), (15, BODY_BYTES), (300, 2000), (40, 2)])
def test_no_attempt_begins_after_a_close_behind_unread_requests(
    count: int, size: int, ending: str, outcome: Outcome
) -> None:
    """Guards against attempts for a client whose close its own kernel still holds behind a shut window."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client = await leave_behind(harness, requests_with_bodies(count, size), ending)
            await pass_both_times(harness, NOTICED_WITHIN_MS / 20)
            await end_attempts(harness, outcome)
            await expect_no_attempt(harness)
            client.sock.close()

    run_async(test)


@pytest.mark.parametrize(("count", "size"), [(15, BODY_BYTES), (300, 2000)])
def test_no_attempt_begins_for_a_connection_that_was_closed_before_it_was_accepted(count: int, size: int) -> None:
    """Guards against attempts for a client that has left while its connection waited for room in the accept queue."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            harness.input_age_ms = NOTICED_WITHIN_MS
            client = leave_before_accept(harness, requests_with_bodies(count, size), "fin")
            await expect_no_attempt(harness)
            client.sock.close()

    run_async(test)

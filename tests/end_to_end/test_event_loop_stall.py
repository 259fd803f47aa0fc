"""Tests that a list that arrived while the event loop was stalled is read before any attempt begins.

The loop stalls for seconds because the process is suspended or gets no CPU time. The tests put the bytes into the
kernel in the least favourable order.
"""

from functools import partial
from typing import Any

import pytest

from end_to_end.harness import DispatcherHarness, done, request_bytes, request_id_of, run_async, served

STALL_MS = 3_000.0  # longer than the drain grace of 2.5 s
LONG_IDLE_LIMIT = {"conn_idle": 60_000.0}
LIST_EXPIRY_MS = 22_000.0 + 2_500.0  # time after the start at which the list of a silent watch expires


async def open_connections(harness: DispatcherHarness, *names: str) -> None:
    """Leaves an idle connection to each of these servers."""
    clients = [await harness.post(f"warm{number}") for number in range(len(names))]
    for name in names:
        server_connection, request = await harness.servers[name].request()
        server_connection.send(done(request_id_of(request)))
    await harness.settle()
    assert all(served(client) for client in clients)


async def send_drain_unread(harness: DispatcherHarness) -> None:
    """Sends a list in which h1 drains, and stalls the loop before the list is read.

    A list counts as notified once its bytes are in the socket of the dispatcher, even if unread.
    """
    watch, _ = await harness.discovery.request()
    watch.send_now(harness.list_response(4, "h1:leaving", "h2"))
    harness.stall(STALL_MS)


@pytest.mark.parametrize("list_first", [True, False])
def test_request_read_before_an_unread_list_uses_that_list(list_first: bool) -> None:
    """Guards against sending a request to a draining server because the request is read before the list.

    The kernel decides which of the two connections is read first, so both orders are tested, with each effect.
    """

    async def test(class_name: str) -> None:
        async with DispatcherHarness(2, listed=["h1"], limits=LONG_IDLE_LIMIT).open() as harness:
            await open_connections(harness, "h1")
            client = harness.blocking_client()
            await harness.settle()
            if list_first:
                await send_drain_unread(harness)
                client.send(request_bytes("t1", class_name, 4000))
            else:
                client.send(request_bytes("t1", class_name, 4000))
                await send_drain_unread(harness)
            await harness.settle()
            await harness.pass_time(50)
            assert not harness.servers["h1"].requests
            server_connection, _ = await harness.servers["h2"].request()
            server_connection.send(done("t1"))
            await harness.settle()
            assert client.received().endswith(b"ok")

    for class_name in ("safe", "once", "keyed"):
        run_async(partial(test, class_name))


def test_retry_uses_the_unread_list() -> None:
    """Guards against a retry at a draining server when the first rejection is read before the list."""

    async def test() -> None:
        async with DispatcherHarness(2, limits=LONG_IDLE_LIMIT).open() as harness:
            await open_connections(harness, "h1", "h2")
            client = await harness.post("t1")
            first = next(server for server in harness.servers.values() if server.requests)
            other = next(server for server in harness.servers.values() if server is not first)
            server_connection, _ = await first.request()
            server_connection.send_now(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            watch, _ = await harness.discovery.request()
            watch.send_now(harness.list_response(4, f"{other.name}:leaving"))
            harness.stall(STALL_MS)
            await harness.settle()
            await harness.pass_time(1000)
            assert not other.requests
            assert not served(client)

    run_async(test)


def test_opened_connection_uses_the_unread_list() -> None:
    """Guards against writing to a draining server when its connection opens before the list is read."""

    async def test() -> None:
        async with DispatcherHarness(1, limits=LONG_IDLE_LIMIT).open() as harness:
            client = harness.blocking_client()
            watch, _ = await harness.discovery.request()
            client.send(request_bytes("t1", "safe", 4000))
            while not harness.application.backend.dials:
                await harness.turn_once()
            watch.send_now(harness.list_response(4, "h1:leaving"))
            # The kernel has opened the connection, and the loop has not read that event.
            harness.clock.time_ms += 2600.0
            await harness.settle()
            await harness.pass_time(50)
            assert not harness.servers["h1"].requests

    run_async(test)


def test_expired_list_is_not_used_after_a_stall() -> None:
    """Guards against using an expired list when a stall delays both the expiry timer and the request."""

    async def test() -> None:
        async with DispatcherHarness(1, limits=LONG_IDLE_LIMIT).open() as harness:
            await open_connections(harness, "h1")
            await harness.until_time(LIST_EXPIRY_MS - 100)
            client: Any = harness.blocking_client()
            await harness.settle()
            client.send(request_bytes("t1", "safe", 300))
            harness.stall(STALL_MS)
            await harness.settle()
            await harness.pass_time(400)
            assert not harness.servers["h1"].requests
            assert client.received().startswith(b"HTTP/1.1 503 ")

    run_async(test)


def test_connection_past_its_idle_time_is_not_written_to() -> None:
    """Guards against losing a non-idempotent request on a connection that the server has already closed as idle.

    The stall delays the timer that would have closed the connection.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            await open_connections(harness, "h1")
            client = harness.blocking_client()
            await harness.settle()
            client.send(request_bytes("t1", "once", 4000))
            harness.stall(STALL_MS)  # the server closes after 4 s; the dispatcher may reuse the connection for 2.8 s
            await harness.settle()
            await harness.pass_time(50)
            server_connection, _ = await harness.servers["h1"].request()
            assert server_connection is not harness.servers["h1"].connections[0]

    run_async(test)

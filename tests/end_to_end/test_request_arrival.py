"""Tests that the time left of a request counts from the arrival of its last byte, not from when it is read."""

import asyncio
import re
import socket
import time
from typing import Any, cast

from end_to_end.harness import DispatcherHarness, done, request_bytes, run_async
from heronlug.net.connection_state import input_age_ms


def remaining_ms(request: bytes) -> int:
    """Returns the time left that a server is told."""
    match = re.search(rb"x-remaining-ms: (\d+)", request)
    assert match is not None
    return int(match[1])


def test_request_that_waited_unread_is_not_given_more_time() -> None:
    """Guards against an answer after the client's deadline to a request that waited in the kernel."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            harness.input_age_ms = 3000.0
            await harness.post("t1", remaining=4000)
            _, request = await harness.servers["h1"].request()
            assert remaining_ms(request) <= 1000
            harness.input_age_ms = 4000.0
            late = await harness.post("t2", remaining=4000)
            assert late.received.startswith(b"HTTP/1.1 503 ")

    run_async(test)


def test_stated_time_of_a_request_never_lengthens_that_of_its_class() -> None:
    """Guards against a request that waits, and occupies a server, for longer than its class allows."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            for request_id, stated_ms in (("t1", 5001), ("t2", 10**30)):
                await harness.post(request_id, remaining=stated_ms)
                server_connection, request = await harness.servers["h1"].request()
                assert 4500 < remaining_ms(request) <= 5000
                server_connection.send(done(request_id))
                await harness.settle()

    run_async(test)


def test_pipelined_request_is_not_given_more_time() -> None:
    """Guards against an answer after the client's deadline to a request that waited behind another one."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = harness.blocking_client()
            client.send(request_bytes("t1", "safe", 4000) + request_bytes("t2", "safe", 4000))
            server_connection, _ = await harness.servers["h1"].request()
            harness.stall(2500)
            server_connection.send(done("t1"))
            _, request = await harness.servers["h1"].request()
            assert remaining_ms(request) <= 1500

    run_async(test)


def test_input_age_is_the_time_since_the_last_bytes_arrived() -> None:
    """Guards against a wrong field of the kernel's connection state."""
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_connection(listener.getsockname()) as client:
        accepted, _ = listener.accept()
        with accepted:
            transport = cast(Any, asyncio.Transport({"socket": accepted}))
            time.sleep(0.3)
            before = time.monotonic()
            client.sendall(b"x")
            accepted.recv(1)
            time.sleep(0.1)
            age_ms = input_age_ms(transport)
            assert 90 <= age_ms <= (time.monotonic() - before) * 1000 + 10

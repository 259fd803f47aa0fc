"""Tests that a connection that has ended holds no memory, without the help of the garbage collector."""

import asyncio
import gc
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from unittest.mock import MagicMock

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
from heronlug.backends.connection import ServerConnection
from heronlug.backends.response import ResponseReader
from heronlug.frontends.faktory.session import FaktorySession
from heronlug.frontends.http.connection import ClientConnection
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_reader import RequestReader
from heronlug.lifecycle.admin import AdminConnection, AdminEndpoint, Answer, CallKey
from heronlug.lifecycle.control import ControlConnection
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import log_nothing
from heronlug.requests.model import Attempt, Request
from heronlug.standins.ports import free_port

COUNT = 200
"""Number of connections that end in each way."""
HELD = (
    ClientConnection,
    RequestReader,
    HttpRequest,
    ServerConnection,
    ResponseReader,
    Attempt,
    Request,
    FaktorySession,
    AdminConnection,
    ControlConnection,
)
"""Types of which no object may be left."""
MAX_IDLE_CONNECTIONS = 4
"""Number of connections to servers that may rest, each with its objects."""

Ending = Callable[[DispatcherHarness, int], Awaitable[None]]


@contextmanager
def without_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def held_objects() -> Counter[str]:
    counts = Counter(type(each).__name__ for each in gc.get_objects() if isinstance(each, HELD))
    return Counter({name: count for name, count in counts.items() if count})


async def silent_client_leaves(harness: DispatcherHarness, number: int) -> None:
    (await harness.client()).close()


async def half_a_head(harness: DispatcherHarness, number: int) -> None:
    client = await harness.client()
    client.send(b"POST /safe HTTP/1.1\r\nX-Labels: a=1\r\n1a:\r\n")
    await harness.settle()
    client.close()


async def half_a_body(harness: DispatcherHarness, number: int) -> None:
    client = await harness.client()
    client.send(request_bytes(f"b{number}", "safe", 4000)[:-1])
    await harness.settle()
    client.reset()


async def incomplete_in_time(harness: DispatcherHarness, number: int) -> None:
    client = await harness.client()
    client.send(request_bytes(f"i{number}", "safe", 4000)[:-1])
    await harness.pass_time(3100)
    assert client.received.startswith(b"HTTP/1.1 408 ")


async def bad_request(harness: DispatcherHarness, number: int) -> None:
    client = await harness.client()
    client.send(b"POST /none HTTP/1.1\r\nX-Txn: a\r\n\r\n")
    await harness.settle()
    client.close()


async def bad_request_of_a_client_that_stays(harness: DispatcherHarness, number: int) -> None:
    client = await harness.client()
    client.send(b"nonsense\r\n\r\n")
    await harness.pass_time(600)
    assert client.ended


async def health_check(harness: DispatcherHarness, number: int) -> None:
    client = await harness.client()
    client.send(b"GET /health/live HTTP/1.1\r\n\r\n")
    await harness.settle()
    client.close()


async def answered(harness: DispatcherHarness, number: int) -> None:
    client = await harness.post(f"a{number}")
    server, request = await next_request(harness)
    server.send(done(request_id_of(request)))
    await harness.settle()
    client.close()


async def answered_and_closed(harness: DispatcherHarness, number: int) -> None:
    client = await harness.post(f"c{number}", client=await harness.client())
    server, request = await next_request(harness)
    head = RESPONSE_HEAD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    server.send(head + progress_chunk(request_id_of(request), "done", "ok") + LAST_CHUNK)
    await harness.settle()
    server.close()
    client.close()


async def leaves_while_served(harness: DispatcherHarness, number: int) -> None:
    client = await harness.client()
    for each in range(3):
        client.send(request_bytes(f"l{number}-{each}", "safe", 4000))
    await harness.settle()
    await next_request(harness)
    client.close()


async def server_resets(harness: DispatcherHarness, number: int) -> None:
    client = await harness.post(f"r{number}", "once")
    await harness.pass_time(20)
    server, _ = await next_request(harness)
    server.reset()
    await harness.settle()
    assert client.received.startswith(b"HTTP/1.1 500 ")
    client.close()


async def server_breaks_the_protocol(harness: DispatcherHarness, number: int) -> None:
    client = await harness.post(f"p{number}", "once")
    await harness.pass_time(20)
    server, _ = await next_request(harness)
    server.send(b"nonsense")
    await harness.settle()
    client.close()


async def overdue(harness: DispatcherHarness, number: int) -> None:
    client = await harness.post(f"o{number}", remaining=200)
    await next_request(harness)
    await harness.pass_time(600)
    client.close()


ENDINGS: list[Ending] = [
    silent_client_leaves,
    half_a_head,
    half_a_body,
    incomplete_in_time,
    bad_request,
    bad_request_of_a_client_that_stays,
    health_check,
    answered,
    answered_and_closed,
    leaves_while_served,
    server_resets,
    server_breaks_the_protocol,
    overdue,
]


def answer_poll(harness: DispatcherHarness) -> None:
    """Lets service discovery confirm the list, so that it does not become stale while time passes."""
    for connection in harness.discovery.connections:
        if connection.take_request():
            connection.send(harness.list_response(3))


async def next_request(harness: DispatcherHarness) -> tuple[StandInConnection, bytes]:
    """Waits for a request at any server, and forgets connections of stand-ins that have ended."""
    for _ in range(1000):
        for server in harness.servers.values():
            server.connections = [connection for connection in server.connections if not connection.ended]
            for connection in server.connections:
                if data := connection.take_request():
                    return connection, data
        await asyncio.sleep(0.001)
    msg = "no request came to a server"
    raise AssertionError(msg)


@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.__name__)
def test_ended_connection_holds_nothing_after_a_turn_without_the_collector(ending: Ending) -> None:
    """Guards against memory of ended connections that only a full garbage collection would release."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            await ending(harness, 0)
            with without_collector():
                before = held_objects()
                for number in range(1, COUNT + 1):
                    answer_poll(harness)
                    await ending(harness, number)
                    await harness.settle()
                more = held_objects() - before
                assert all(count <= MAX_IDLE_CONNECTIONS for count in more.values()), more

    run_async(test)


FAKTORY_INPUT = (
    b"",
    b'HELLO {"v":2',
    b'HELLO {"v":2}\r\nPUSH {"jid":"',
    b'HELLO {"v":2,"wid":"worker"}\r\nFETCH default\r\n',
    b"nonsense\r\n",
)
OPERATOR_INPUT = (
    b"",
    b"GET /sta",
    b"GET /stats HTTP/1.1\r\n\r\n",
    b"nonsense\r\n\r\n",
    b'{"ask":"',
    b'{"ask":"none"}\n',
)


async def send_and_leave(port: int, data: bytes) -> None:
    _, client = await asyncio.get_running_loop().create_connection(StandInConnection, "127.0.0.1", port)
    client.send(data)
    for _ in range(20):
        await asyncio.sleep(0)
    client.close()
    for _ in range(20):
        await asyncio.sleep(0)


async def hold_nothing_after(port: int, inputs: tuple[bytes, ...]) -> None:
    """Asserts that connections with these inputs, which their clients leave, hold nothing afterwards."""
    for data in inputs:
        await send_and_leave(port, data)
    with without_collector():
        before = held_objects()
        for _ in range(COUNT // len(inputs)):
            for data in inputs:
                await send_and_leave(port, data)
        assert held_objects() <= before


def test_ended_connection_of_a_producer_or_worker_holds_nothing() -> None:
    """Guards against sessions of the Faktory frontend that stay with their commands after they have ended."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            port = free_port()
            table = dict.fromkeys(
                ("beat_timeout_s", "reserve_for_s", "remember_s", "max_known", "max_connections"), 1000
            )
            faktory = harness.application.faktory
            faktory.use(await faktory.open({**table, "listen": f"127.0.0.1:{port}", "password": "", "store": ""}))
            await hold_nothing_after(port, FAKTORY_INPUT)

    run_async(test)


def test_ended_connection_of_an_operator_holds_nothing() -> None:
    """Guards against connections of the admin endpoint and the control socket that stay after they have ended."""

    async def test() -> None:
        calls = {CallKey(b"GET", b"/stats"): lambda: Answer(200, b"x")}
        endpoint = AdminEndpoint(calls, Deadlines(lambda: 0.0), log_nothing, lambda: None)
        for protocol in (endpoint.protocol, lambda: ControlConnection(MagicMock())):
            server = await asyncio.get_running_loop().create_server(protocol, "127.0.0.1", 0)
            await hold_nothing_after(server.sockets[0].getsockname()[1], OPERATOR_INPUT)
            server.close()

    run_async(test)

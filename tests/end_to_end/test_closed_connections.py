"""Tests that the dispatcher closes no connection on which a client has already sent a request.

In each test the client's bytes are unread in the socket when the dispatcher is about to close the connection.
"""

import os
import signal
from unittest import mock

import pytest

from end_to_end.harness import BlockingClient, DispatcherHarness, done, request_bytes, request_id_of, run_async, until
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.eviction import NEW_CONNECTION_GRACE_MS
from heronlug.frontends.http.frontend import MAX_ROOM_WAIT_MS

HEALTH_CHECK = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"


async def idle_client(harness: DispatcherHarness) -> BlockingClient:
    """Returns a client that has received the answer to a health check and is idle."""
    client = harness.blocking_client()
    client.send(HEALTH_CHECK)
    await harness.settle()
    assert client.received().startswith(b"HTTP/1.1 200")
    return client


async def expect_served(harness: DispatcherHarness, client: BlockingClient, *request_ids: str) -> None:
    """Checks that each request is forwarded and answered exactly once, in the given order."""
    for request_id in request_ids:
        server_connection, request = await harness.servers["h1"].request()
        assert f"x-txn: {request_id}\r".encode() in request
        server_connection.send(done(request_id, f"{request_id}-ok"))
        await harness.settle()
    received = client.received()
    assert [received.count(f"{request_id}-ok".encode()) for request_id in request_ids] == [1] * len(
        request_ids
    ), received


def test_request_that_arrives_as_a_drain_closes_idle_connections_is_served() -> None:
    """Guards against losing a request that arrives during a drain.

    The check that closes idle connections runs before the request is read.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = await idle_client(harness)
            harness.application.shutdown.drain()
            await harness.pass_time(670)
            client.send(request_bytes("t1", "safe", 4000))
            harness.stall(80)
            harness.application.turn()
            await expect_served(harness, client, "t1")

    run_async(test)


def test_connection_stays_in_a_drain_for_a_request_that_is_unread() -> None:
    """Guards against closing a connection in a drain while a further request is unread in the socket.

    The connection must stay open for the unread request and close after its answer. A reset must not discard an answer.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = await idle_client(harness)
            client.send(request_bytes("t1", "safe", 4000))
            server_connection, _ = await harness.servers["h1"].request()
            harness.application.shutdown.drain()
            server_connection.send_now(done("t1", "t1-ok"))
            client.send(request_bytes("t2", "safe", 4000))
            server_connection, request = await harness.servers["h1"].request()
            assert b"x-txn: t2\r" in request
            server_connection.send(done("t2", "t2-ok"))
            await harness.settle()
            received = client.received()
            assert received.count(b"-ok") == 2
            assert received.count(b"Connection: close") == 1
            assert client.received() == b""

    run_async(test)


def test_connection_stays_in_a_drain_for_a_pipelined_request() -> None:
    """Guards against closing a connection after an answer in a drain while a pipelined request still waits."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = await idle_client(harness)
            client.send(request_bytes("t1", "safe", 4000) + request_bytes("t2", "safe", 4000))
            await harness.settle()
            harness.application.shutdown.drain()
            await expect_served(harness, client, "t1", "t2")

    run_async(test)


def test_connection_with_an_unread_request_is_not_evicted() -> None:
    """Guards against evicting the longest-idle connection when its client has just sent a request.

    A new client connects at the limit of connections, and the request is still unread when the eviction runs.
    """

    async def test() -> None:
        async with DispatcherHarness(1, sockets=96).open() as harness:
            clients = [await idle_client(harness) for _ in range(16)]
            make_room = harness.application.frontend.make_room

            def send_request_then_make_room(opening: int) -> bool:
                clients[0].send(request_bytes("t1", "safe", 4000))
                harness.application.frontend.make_room = make_room  # type: ignore[method-assign]
                return make_room(opening)

            harness.application.frontend.make_room = send_request_then_make_room  # type: ignore[method-assign]
            newcomer = harness.blocking_client()
            await expect_served(harness, clients[0], "t1")
            newcomer.send(HEALTH_CHECK)
            await harness.settle()
            assert newcomer.received().startswith(b"HTTP/1.1 200")
            assert harness.logged("too_many_clients")

    run_async(test)


def test_new_connection_waits_while_all_connections_are_busy() -> None:
    """Guards against closing a new connection, whose request may have arrived, at the limit of connections."""

    async def test() -> None:
        async with DispatcherHarness(1, sockets=96).open() as harness:
            clients = [harness.blocking_client() for _ in range(16)]
            for number, client in enumerate(clients):
                client.send(request_bytes(f"t{number}", "safe", 4000))
            await harness.settle()
            newcomer = harness.blocking_client()
            newcomer.send(request_bytes("t16", "safe", 4000))
            await harness.settle()
            assert newcomer.received() == b""
            answers = list[bytes]()
            for _ in range(17):
                server_connection, request = await harness.servers["h1"].request()
                server_connection.send(done(request_id_of(request), f"{request_id_of(request)}-ok"))
                await harness.settle()
                answers.append(newcomer.received())
            assert b"".join(answers).endswith(b"t16-ok")
            received = [client.received() for client in clients]
            assert [f"t{number}-ok".encode() in data for number, data in enumerate(received)] == [True] * 16
            assert b"Connection: close" in received[0]  # the new connection takes its place

    run_async(test)


@pytest.mark.parametrize("being_closed", [False, True])
def test_connection_stays_while_silent_ones_are_about_to_make_room(being_closed: bool) -> None:
    """Guards against the close of a served connection because all silent ones are new, or are just being closed."""

    async def test() -> None:
        async with DispatcherHarness(1, sockets=96).open() as harness:
            client = harness.blocking_client()
            client.send(request_bytes("t1", "safe", 4000))
            await harness.settle()
            silent = [harness.blocking_client() for _ in range(20)]
            await until(lambda: bool(harness.logged("too_many_clients")), "no room")
            if being_closed:
                harness.stall(NEW_CONNECTION_GRACE_MS)
                frontend = harness.application.frontend
                while frontend._evict(CloseReason.CONNECTION_LIMIT):
                    pass
            server_connection, _ = await harness.servers["h1"].request()
            server_connection.send_now(done("t1"))
            await harness.settle()
            received = client.received()
            assert received.endswith(b"ok")
            assert b"Connection: close" not in received
            del silent

    run_async(test)


@pytest.mark.parametrize(("waited_ms", "closes"), [(0.0, False), (MAX_ROOM_WAIT_MS, True)])
def test_clients_with_queued_requests_make_room_before_those_with_one(waited_ms: float, closes: bool) -> None:
    """Guards against the close of polite clients' connections while one that queues requests keeps its own."""

    async def test() -> None:
        async with DispatcherHarness(1, sockets=96).open() as harness:
            clients = [harness.blocking_client() for _ in range(16)]
            for number, client in enumerate(clients):
                client.send(request_bytes(f"t{number}", "safe", 4000))
            clients[-1].send(request_bytes("queued1", "safe", 4000) + request_bytes("queued2", "safe", 4000))
            await harness.settle()
            harness.blocking_client()
            await until(lambda: bool(harness.logged("too_many_clients")), "no room")
            harness.stall(waited_ms)
            server_connection, request = await harness.servers["h1"].request()
            server_connection.send(done(request_id_of(request)))
            await harness.settle()
            received = clients[int(request_id_of(request)[1:])].received()
            assert received
            assert (b"Connection: close" in received) == closes

    run_async(test)


def test_request_that_arrives_as_the_idle_timeout_ends_is_served() -> None:
    """Guards against losing a request that has arrived but is unread when the idle time-out expires."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            watch, _ = await harness.discovery.request()
            client = await idle_client(harness)
            for number in range(6):
                await harness.pass_time(19_900)
                watch.send(harness.list_response(4 + number))
                watch, _ = await harness.discovery.request()
            client.send(request_bytes("t1", "safe", 4000))
            harness.stall(1_000)
            harness.application.turn()
            await expect_served(harness, client, "t1")

    run_async(test)


def test_request_in_the_accept_queue_at_a_stop_is_served() -> None:
    """Guards against losing a connection in the accept queue during a graceful shutdown.

    The check that ends the process runs before the connection is accepted.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            os.kill(os.getpid(), signal.SIGTERM)
            await harness.settle()
            await harness.pass_time(660)
            assert not harness.ended
            client = harness.blocking_client()
            client.send(request_bytes("t1", "safe", 900))
            harness.stall(80)
            harness.application.turn()
            assert not harness.ended
            await expect_served(harness, client, "t1")

    run_async(test)


@pytest.mark.parametrize("transferring", [False, True])
def test_pipelined_request_waits_no_longer_than_the_offer_of_its_connection(transferring: bool) -> None:
    """Guards against a request that nobody serves after another process has not taken over its connection."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = await harness.client()
            client.send(request_bytes("first", "safe", 4000) + request_bytes("second", "safe", 4000))
            await harness.settle()
            frontend = harness.application.frontend
            connection = next(iter(frontend.connections))
            if transferring:
                frontend.begin_transfer()
            with mock.patch.object(frontend.turn_queue, "add"):
                for server in harness.servers.values():
                    for server_connection in server.connections:
                        if server_connection.take_request():
                            server_connection.send(done("first"))
                await until(lambda: client.received.endswith(b"ok"), "the first response")
            connection.pause_for_handover()
            await harness.settle()
            connection.reclaim()
            frontend.end_transfer()
            await harness.settle()
            assert sum(server.requests for server in harness.servers.values()) == 1

    run_async(test)

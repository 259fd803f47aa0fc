"""Tests that no byte of a request is sent to a server after its client has disconnected.

In each test the disconnect is in the kernel, the loop is stalled, and the event that the request waits for happens
before the loop reads the disconnect.
"""

import socket
from dataclasses import replace

import pytest

from end_to_end.harness import (
    REJECTED_RESPONSE,
    RESPONSE_HEAD,
    TIMEOUT_S,
    BlockingClient,
    DispatcherHarness,
    StandInConnection,
    done,
    progress_chunk,
    request_bytes,
    request_id_of,
    run_async,
    served,
)
from heronlug.discovery.endpoint_list import write_list
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_table import write_request
from heronlug.lifecycle.hot_restart.channel import ReceivedMessage
from heronlug.lifecycle.hot_restart.messages import MessageKind
from heronlug.requests.model import Workload

ENDINGS = ["fin", "half", "reset", "behind"]
STALL_MS = 400.0  # longer than the 300 ms after a disconnect within which bytes may still be sent


async def open_connections(harness: DispatcherHarness) -> None:
    """Leaves an idle connection to every server, so that the next request is written in the same turn of the loop."""
    clients = [await harness.post(f"warm{number}") for number in range(2 * len(harness.servers))]
    while any(server.requests for server in harness.servers.values()):
        for server in harness.servers.values():
            for server_connection in server.connections:
                if request := server_connection.take_request():
                    server_connection.send(done(request_id_of(request)))
        await harness.settle()
    assert all(map(served, clients))
    assert all(server.connections for server in harness.servers.values())


def no_request_pending(harness: DispatcherHarness) -> bool:
    """Returns whether no server has received bytes that were not taken, and no request is pending."""
    return not any(server.requests for server in harness.servers.values()) and not len(
        harness.application.core.requests
    )


async def fill_servers(harness: DispatcherHarness) -> list[tuple[StandInConnection, str]]:
    """Sends requests until one is queued; returns the connections and the ids of the running requests."""
    for number in range(100):
        await harness.post(f"fill{number}")
        attempts_sent = sum(len(request.attempts) for request in harness.application.core.requests)
        if attempts_sent < len(harness.application.core.requests):
            break
    running = []
    for server in harness.servers.values():
        while server.requests:
            server_connection, request = await server.request()
            running.append((server_connection, request_id_of(request)))
    return running


@pytest.mark.parametrize("ending", ENDINGS)
def test_client_leaves_while_its_request_is_queued(ending: str) -> None:
    """Guards against sending a queued request when a slot at a connected server frees before the disconnect is read."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            running = await fill_servers(harness)
            client = harness.blocking_client()
            client.send(request_bytes("t1", "safe", 4000))
            await harness.settle()
            queued = len(harness.application.core.requests) - len(running)
            assert queued >= 1
            assert not harness.servers["h1"].requests
            for server_connection, request_id in running:
                server_connection.send_now(done(request_id))  # the loop reads these bytes before the disconnect
            client.leave(ending)
            harness.stall(STALL_MS)
            await harness.settle()
            received = b"".join(server_connection.received for server_connection in harness.servers["h1"].connections)
            assert received.count(b"POST ") == queued - 1
            assert b"x-txn: t1\r" not in received

    run_async(test)


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("class_name", ["safe", "once"])
def test_client_leaves_while_its_request_waits_for_a_retry(ending: str, class_name: str) -> None:
    """Guards against a retry whose backoff ends before the disconnect is read, since deadlines run before reads."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            await open_connections(harness)
            classes = harness.application.core.settings.classes
            harness.application.core.use_classes(tuple(replace(c, retry_backoff=(500.0,)) for c in classes))
            client = harness.blocking_client()
            client.send(request_bytes("t1", class_name, 4000))
            await harness.settle()
            await harness.pass_time(20)  # the last byte of a non-idempotent request is sent after a delay
            [server] = [server for server in harness.servers.values() if server.requests]
            server_connection, _ = await server.request()
            server_connection.send(REJECTED_RESPONSE)
            await harness.settle()
            client.leave(ending)
            harness.stall(600)
            harness.application.turn()
            await harness.settle()
            assert no_request_pending(harness)
            assert await other_client_is_served(harness)

    run_async(test)


@pytest.mark.parametrize("ending", ENDINGS)
def test_client_leaves_while_its_request_is_pipelined_after_another(ending: str) -> None:
    """Guards against sending a pipelined request when the previous one ends in the turn that reads the disconnect."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = harness.blocking_client()
            client.send(request_bytes("t1", "safe", 4000) + request_bytes("t2", "safe", 4000))
            server_connection, _ = await harness.servers["h1"].request()
            server_connection.send(RESPONSE_HEAD + progress_chunk("t1", "started"))
            await harness.settle()
            server_connection.send_now(done("t1")[len(RESPONSE_HEAD) :])
            client.leave(ending)
            harness.stall(STALL_MS)
            await harness.settle()
            assert no_request_pending(harness)
            assert await other_client_is_served(harness)

    run_async(test)


@pytest.mark.parametrize("ending", ENDINGS)
def test_client_leaves_before_its_request_is_read(ending: str) -> None:
    """Guards against sending a request that is in the accept queue together with the disconnect of its client."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            await open_connections(harness)
            client = harness.blocking_client()
            client.send(request_bytes("t1", "safe", 4000))
            client.leave(ending)
            harness.stall(STALL_MS)
            await harness.settle()
            assert no_request_pending(harness)
            assert await other_client_is_served(harness)

    run_async(test)


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("class_name", ["safe", "once"])
def test_client_leaves_while_a_connection_to_the_server_is_opened(ending: str, class_name: str) -> None:
    """Guards against writing to a new server connection that opens before the disconnect is read."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = harness.blocking_client()
            client.send(request_bytes("t1", class_name, 4000))
            on_connected = harness.application.backend.on_connected

            def leave_then_report_connected(connection: object) -> None:
                client.leave(ending)
                harness.stall(STALL_MS)
                on_connected(connection)  # type: ignore[arg-type]

            harness.application.backend.on_connected = leave_then_report_connected  # type: ignore[method-assign]
            await harness.settle()
            harness.application.backend.on_connected = on_connected  # type: ignore[method-assign]
            assert harness.application.backend.dials == 1
            assert no_request_pending(harness)
            assert await other_client_is_served(harness)

    run_async(test)


@pytest.mark.parametrize("ending", ENDINGS)
def test_client_leaves_before_the_last_byte_of_a_non_idempotent_request(ending: str) -> None:
    """Guards against sending the delayed last byte after the disconnect; without that byte the request never runs."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = harness.blocking_client()
            client.send(request_bytes("t1", "once", 4000))
            await harness.settle()
            [server_connection] = harness.servers["h1"].connections
            assert server_connection.received
            assert not server_connection.take_request()
            client.leave(ending)
            harness.stall(STALL_MS)
            harness.application.turn()
            await harness.settle()
            assert not server_connection.take_request()
            assert not len(harness.application.core.requests)

    run_async(test)


@pytest.mark.parametrize("ending", ENDINGS)
def test_client_leaves_before_its_request_is_hedged(ending: str) -> None:
    """Guards against a hedged request that is due before the disconnect is read; the first attempt has not started."""

    async def test() -> None:
        async with DispatcherHarness(2, limits={"second_copies": True}).open() as harness:
            await open_connections(harness)
            client = harness.blocking_client()
            client.send(request_bytes("t1", "safe", 4000))
            await harness.settle()
            [server] = [server for server in harness.servers.values() if server.requests]
            await server.request()
            client.leave(ending)
            harness.stall(2_000)
            harness.application.turn()
            await harness.settle()
            assert no_request_pending(harness)

    run_async(test)


def test_many_clients_leave_as_servers_become_free() -> None:
    """Guards against serving departed clients, or losing the other ones, when many queued requests become sendable."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            running = await fill_servers(harness)
            clients = [harness.blocking_client() for _ in range(24)]
            for number, client in enumerate(clients):
                client.send(request_bytes(f"t{number}", "safe", 4000))
            await harness.settle()
            for server_connection, request_id in running:
                server_connection.send_now(done(request_id))
            for number, client in enumerate(clients):
                if number % 2:
                    client.leave(ENDINGS[number // 2 % 4])
            harness.stall(STALL_MS)
            left = {f"t{number}" for number in range(1, 24, 2)}
            for _ in range(30):
                await harness.settle()
                for server in harness.servers.values():
                    for server_connection in server.connections:
                        if request := server_connection.take_request():
                            request_id = request_id_of(request)
                            assert request_id not in left
                            server_connection.send(done(request_id))
            assert all(client.received().endswith(b"ok") for client in clients[::2])

    run_async(test)


@pytest.mark.parametrize("ending", [*ENDINGS, ""])
def test_client_leaves_while_its_request_is_handed_over(ending: str) -> None:
    """Guards against sending a request that was handed over queued, and whose client left unnoticed by the old process.

    The new process has a free server immediately. With no ``ending`` the client stays and must be served.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            await open_connections(harness)
            with socket.create_server(("127.0.0.1", 0)) as old_listener:
                client = BlockingClient(f"127.0.0.1:{old_listener.getsockname()[1]}")
                accepted, _ = old_listener.accept()
            request = HttpRequest()
            request.method, request.target, request.body, request.request_id = b"POST", b"/safe", b"hi", "t1"
            request.headers = {b"x-txn": b"t1", b"x-lane": b"safe"}
            request.class_index = next(
                n for n, c in enumerate(harness.application.core.settings.classes) if c.name == "safe"
            )
            request.workload = Workload()
            if ending:
                client.leave(ending)
            message = {
                "kind": MessageKind.REQUEST,
                "request": write_request(request),
                "give_up_at": harness.clock.time_ms + 4_000,
                "taken_at": harness.clock.time_ms,
                "hosts": write_list(0, [], [], []),
                "attempts": [],
                "wires": [],
            }
            harness.application.state_transfer.receive_handover(ReceivedMessage(message, [accepted.detach()]))
            harness.stall(STALL_MS)
            await harness.settle()
            assert no_request_pending(harness) is bool(ending)
            if not ending:
                harness.application.frontend.close_idle()  # the connection is not idle: its answer is still pending
                server_connection, _ = await harness.servers["h1"].request()
                server_connection.send(done("t1"))
                await harness.settle()
                assert client.received().endswith(b"ok")
            assert await other_client_is_served(harness)

    run_async(test)


def test_adopted_request_that_ends_at_once_closes_its_server_connection() -> None:
    """Guards against an exception, and a descriptor that stays open, when the last attempt ends with the adoption."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            (accepted, client), (connected, server) = socket.socketpair(), socket.socketpair()
            request = HttpRequest()
            request.method, request.target, request.body, request.request_id = b"POST", b"/safe", b"hi", "t1"
            request.headers = {b"x-txn": b"t1", b"x-lane": b"safe"}
            request.class_index = 0
            request.workload = Workload()
            now = harness.clock.time_ms
            entry = harness.application.core.directory.listed()[0].entry
            message = {
                "kind": MessageKind.REQUEST,
                "request": write_request(request),
                "give_up_at": now - 10,
                "taken_at": now - 4_000,
                "hosts": write_list(0, [entry], ["a", "b"], ["m1"], True),
                "attempts": [[0, now - 100, True, True, True, now - 100]],
                "wires": [{"answered": False, "last": False}],
            }
            server.settimeout(TIMEOUT_S)
            descriptors = [accepted.detach(), connected.detach()]
            harness.application.state_transfer.receive_handover(ReceivedMessage(message, descriptors))
            await harness.pass_time(100)
            assert not len(harness.application.core.requests)
            assert server.recv(1) == b""
            client.close()
            server.close()

    run_async(test)


async def other_client_is_served(harness: DispatcherHarness) -> bool:
    """Returns whether a request of another client is answered."""
    client = await harness.post("later")
    server = next(server for server in harness.servers.values() if server.requests)
    server_connection, _ = await server.request()
    server_connection.send(done("later"))
    await harness.settle()
    return served(client)

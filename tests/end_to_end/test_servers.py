"""Tests the retries of requests whose server connection breaks, or receives stray bytes, at a critical moment.

A non-idempotent request that may have run is not sent again; a request that never ran is sent again.
"""

from dataclasses import replace
from unittest import mock

import pytest

from end_to_end.harness import (
    REJECTED_RESPONSE,
    RESPONSE_HEAD,
    DispatcherHarness,
    StandIn,
    StandInConnection,
    done,
    progress_chunk,
    request_id_of,
    run_async,
    served,
    until,
)
from end_to_end.test_client_leaves import open_connections
from heronlug.backends.connection import ServerConnection
from heronlug.balancer.events import ListKind, ServerState
from heronlug.net.connection_state import peer_has_closed
from heronlug.requests.model import Attempt

FAILED = b"HTTP/1.1 500 "
REJECTED = b"HTTP/1.1 503 "
LAST_BYTE_DELAY_MS = 20.0  # after this time the last byte of a non-idempotent request has been sent


async def send_first(
    harness: DispatcherHarness, request_id: str, class_name: str
) -> tuple[StandInConnection, StandIn, StandInConnection]:
    """Sends a request, without the last byte if it is non-idempotent; returns client, server and server connection."""
    client = await harness.post(request_id, class_name)
    server = next(server for server in harness.servers.values() if server.requests)
    connection = next(connection for connection in server.connections if connection.received)
    return client, server, connection


async def serve_one(
    harness: DispatcherHarness, request_id: str, class_name: str = "safe"
) -> tuple[StandIn, StandInConnection]:
    """Serves a request; returns the server and its connection, which is idle now."""
    client, server, connection = await send_first(harness, request_id, class_name)
    await harness.pass_time(LAST_BYTE_DELAY_MS)
    assert connection.take_request()
    connection.send(done(request_id))
    await harness.settle()
    assert served(client)
    return server, connection


@pytest.mark.parametrize("ending", ["close", "reset"])
def test_connection_broken_before_the_last_byte_is_retried(ending: str) -> None:
    """Guards against failing a request that never ran because its last byte was not sent, with any effect."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client, server, connection = await send_first(harness, "t1", "once")
            assert not connection.take_request()
            getattr(connection, ending)()
            await harness.settle()
            await harness.pass_time(3_000)
            second_connection, _ = await server.request()
            second_connection.send(done("t1"))
            await harness.settle()
            assert second_connection is not connection
            assert served(client)

    run_async(test)


@pytest.mark.parametrize("ending", ["close", "reset", "half_close"])
@pytest.mark.parametrize("response_start", [b"", RESPONSE_HEAD, RESPONSE_HEAD + progress_chunk("t1", "started")])
def test_connection_broken_after_the_last_byte_fails_a_non_idempotent_request(
    ending: str, response_start: bytes
) -> None:
    """Guards against a second run of a non-idempotent request that may have run: it must fail at once."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client, _, connection = await send_first(harness, "t1", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection.take_request()
            if response_start:
                connection.send(response_start)
                await harness.settle()
            getattr(connection, ending)()
            await harness.settle()
            assert client.received.startswith(FAILED)
            await harness.pass_time(3_000)
            assert not any(server.requests for server in harness.servers.values())

    run_async(test)


@pytest.mark.parametrize("ending", ["close", "reset"])
def test_connection_broken_between_selection_and_write_is_replaced(ending: str) -> None:
    """Guards against writing a non-idempotent request to an idle connection whose end has not been read."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, first_connection = await serve_one(harness, "t1")
            send = harness.application.backend.send

            def end_then_send(attempt: Attempt) -> None:
                first_connection.end_now(ending)
                send(attempt)

            harness.application.backend.send = end_then_send  # type: ignore[method-assign]
            client = await harness.post("t2", "once")
            harness.application.backend.send = send  # type: ignore[method-assign]
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            connection, _ = await server.request()
            connection.send(done("t2"))
            await harness.settle()
            assert connection is not first_connection
            assert served(client)

    run_async(test)


def test_connection_broken_between_the_last_line_and_the_last_chunk_is_not_reused() -> None:
    """Guards against discarding a complete result, or reusing its connection, when the last chunk never arrives."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client, server, connection = await send_first(harness, "t1", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection.take_request()
            connection.send(RESPONSE_HEAD + progress_chunk("t1", "done", "ok"))
            await harness.settle()
            assert served(client)
            connection.reset()
            await harness.settle()
            _, other = await serve_one(harness, "t2", "once")
            assert other is not connection

    run_async(test)


@pytest.mark.parametrize("further_data", [progress_chunk("t1", "running"), b"5\r\n.....\r\n", b""])
def test_response_that_never_ends_is_cut_off(further_data: bytes) -> None:
    """Guards against a server that occupies a connection and a slot after its result.

    The connection must be closed within about a second of the last progress line.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client, server, connection = await send_first(harness, "t1", "safe")
            assert connection.take_request()
            connection.send(RESPONSE_HEAD + progress_chunk("t1", "done", "ok"))
            await harness.settle()
            assert served(client)
            for _ in range(12):
                if further_data and not connection.ended:
                    connection.send(further_data)
                await harness.pass_time(100)
            assert connection.ended
            assert len(harness.application.backend.connections) == 0

    run_async(test)


def test_progress_lines_without_end_fail_at_the_deadline() -> None:
    """Guards against progress lines that extend a non-idempotent request past its deadline, or cause a second run."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client, _, connection = await send_first(harness, "t1", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection.take_request()
            connection.send(RESPONSE_HEAD + progress_chunk("t1", "started"))
            for _ in range(45):
                if not connection.ended:
                    connection.send(progress_chunk("t1", "running"))
                await harness.pass_time(100)
            assert client.received.startswith(FAILED)
            assert connection.ended
            assert not any(server.requests for server in harness.servers.values())
            assert not len(harness.application.core.requests)
            assert not len(harness.application.core.attempts)

    run_async(test)


@pytest.mark.parametrize("duplicate", [done("t1"), b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", b"rubbish\r\n\r\n"])
def test_duplicate_response_before_the_last_byte_of_the_next_request(duplicate: bytes) -> None:
    """Guards against taking a late duplicate response as the answer to a request whose last byte is still delayed.

    The request must be sent on another connection.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, first_connection = await serve_one(harness, "t1")
            client, _, connection = await send_first(harness, "t2", "once")
            assert connection is first_connection
            first_connection.send(duplicate)
            await harness.settle()
            await harness.pass_time(3_000)
            second_connection, _ = await server.request()
            second_connection.send(done("t2"))
            await harness.settle()
            assert second_connection is not first_connection
            assert served(client)

    run_async(test)


@pytest.mark.parametrize("cut", [0, 1, 30, len(RESPONSE_HEAD) + 9, len(done("t1")) - 3, len(done("t1"))])
def test_duplicate_response_after_the_last_byte_of_the_next_request(cut: int) -> None:
    """Guards against taking a duplicate response with the id of the previous request as the answer to the next one.

    The answer to the next request follows on the same connection.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, first_connection = await serve_one(harness, "t1", "once")
            client, _, connection = await send_first(harness, "t2", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection is first_connection
            assert connection.take_request()
            responses = done("t1", "stale") + done("t2")
            for part in (responses[:cut], responses[cut:]):
                connection.send(part)
                await harness.settle()
            assert served(client)
            assert b"stale" not in client.received
            assert (await serve_one(harness, "t3"))[1] is first_connection
            assert not server.requests

    run_async(test)


def test_duplicate_response_before_the_server_resets_the_connection() -> None:
    """Guards against a second run of a non-idempotent request whose server resets the connection without an answer."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, first_connection = await serve_one(harness, "t1", "once")
            client, _, connection = await send_first(harness, "t2", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection.take_request()
            connection.send(done("t1"))
            await harness.settle()
            assert not client.received
            connection.reset()
            await harness.settle()
            await harness.pass_time(1_000)
            assert client.received.startswith(FAILED)
            assert not server.requests

    run_async(test)


ERROR_RESPONSE = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("class_name", ["safe", "once"])
@pytest.mark.parametrize("answer", [REJECTED_RESPONSE, ERROR_RESPONSE])
def test_duplicate_response_without_an_id_does_not_end_the_next_request(class_name: str, answer: bytes) -> None:
    """Guards against ending the next request by a duplicate response that contains no request id.

    The next request may be running, so it must be sent on another connection.
    """

    async def test() -> None:
        async with DispatcherHarness(1, limits={"attempts_cap": 1}).open() as harness:
            client, _, connection = await send_first(harness, "t1", "safe")
            assert connection.take_request()
            connection.send(answer)
            await harness.settle()
            assert client.received.startswith(REJECTED)
            harness.application.core.dispatcher.state.servers.by_id[
                next(iter(harness.application.core.directory.by_number))
            ].outlier.trials_left = 0  # the server is not avoided after its error
            next_client, server, other = await send_first(harness, "t2", class_name)
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert other is not connection
            assert other.take_request()
            if not connection.ended:
                connection.send(answer)
            await harness.settle()
            other.send(done("t2"))
            await harness.settle()
            assert served(next_client)
            assert not server.requests

    run_async(test)


@pytest.mark.parametrize("lifecycle", ["leaving", "left", "elsewhere"])
def test_connection_opened_after_its_server_changed_is_not_used(lifecycle: str) -> None:
    """Guards against writing to a server that drained, was removed or moved while its connection opened."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            watch, _ = await harness.discovery.request()
            watch.send(harness.list_response(4, "h2:leaving"))
            watch, _ = await harness.discovery.request()
            opened_connections = list[ServerConnection]()
            with mock.patch.object(harness.application.backend, "on_connected", opened_connections.append):
                client = await harness.post("t1")
            assert len(opened_connections) == 1
            if lifecycle == "elsewhere":
                harness.servers["h1"].address, old_server = harness.servers["h2"].address, harness.servers["h1"]
                watch.send(harness.list_response(5, "h1"))
            else:
                old_server = harness.servers["h1"]
                watch.send(harness.list_response(5, f"h1:{lifecycle}", "h2"))
            await harness.settle()
            harness.application.backend.on_connected(opened_connections[0])
            await harness.settle()
            assert not old_server.requests
            await harness.pass_time(1_500)
            connection, _ = await harness.servers["h2"].request()
            connection.send(done("t1"))
            await harness.settle()
            assert served(client)
            assert not old_server.requests

    run_async(test)


KEYED_CLASS = {
    "name": "keyed",
    "deadline": 9000.0,
    "effect": "by_key",
    "goal_time": 400.0,
    "repeat_window": 2000.0,
}


@pytest.mark.parametrize(("broken_after", "repeated"), [(1_300, True), (1_500, False), (1_900, False)])
def test_retry_opens_a_connection_only_within_the_deduplication_window(broken_after: float, repeated: bool) -> None:
    """Guards against a retry that arrives after the servers' deduplication window of 2 s.

    Opening a connection and sending the request may take 0.6 s of the window.
    """

    async def test() -> None:
        async with DispatcherHarness(2, settings={"lanes": [KEYED_CLASS]}).open() as harness:
            client, _, connection = await send_first(harness, "t1", "keyed")
            assert connection.take_request()
            await harness.pass_time(broken_after)
            connection.end_now("reset")
            await harness.settle()
            await harness.pass_time(100)
            servers = [server for server in harness.servers.values() if server.requests]
            assert bool(servers) is repeated
            # An immediate rejection is harmless where all servers deduplicate.
            assert client.received.startswith(REJECTED) is not repeated

    run_async(test)


def test_connection_opened_after_the_deduplication_window_is_not_used() -> None:
    """Guards against writing a retry after the deduplication window when a stall delays the opened connection."""

    async def test() -> None:
        async with DispatcherHarness(2, settings={"lanes": [KEYED_CLASS]}).open() as harness:
            client, _, connection = await send_first(harness, "t1", "keyed")
            assert connection.take_request()
            await harness.pass_time(1_300)
            opened_connections = list[ServerConnection]()
            with mock.patch.object(harness.application.backend, "on_connected", opened_connections.append):
                connection.end_now("reset")
                await harness.settle()
            assert len(opened_connections) == 1
            harness.stall(750)
            harness.application.backend.on_connected(opened_connections[0])
            await harness.settle()
            assert not any(server.requests for server in harness.servers.values())
            assert client.received.startswith(REJECTED)

    run_async(test)


def test_connection_that_never_opens_ends_the_attempt_in_time() -> None:
    """Guards against an attempt that hangs while its connection opens.

    The attempt must end at its dial timeout, and a connection that opens later must be closed without a byte written.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            opened_connections = list[ServerConnection]()
            with mock.patch.object(harness.application.backend, "on_connected", opened_connections.append):
                client = await harness.post("t1", remaining=900)
                await harness.pass_time(310)
                assert harness.servers["h1"].connections[0].ended
                await harness.pass_time(900)
            assert client.received.startswith(REJECTED)
            assert not harness.servers["h1"].requests
            for connection in opened_connections:
                harness.application.backend.on_connected(connection)
            await harness.settle()
            assert not harness.servers["h1"].requests

    run_async(test)


def test_attempt_is_cancelled_before_the_next_one_begins() -> None:
    """Guards against two attempts at once where hedging is off and an attempt timeout starts the retry.

    The connection of the first attempt must be closed before the first byte of the next attempt is written.
    """

    async def test() -> None:
        write, watched_connections, peer_closed = ServerConnection.write, list[StandInConnection](), list[bool]()

        def write_and_check(connection: ServerConnection, attempt: Attempt) -> None:
            peer_closed.extend(
                peer_has_closed(watched.transport) for watched in watched_connections if watched.transport is not None
            )
            write(connection, attempt)

        with mock.patch.object(ServerConnection, "write", write_and_check):
            async with DispatcherHarness(2).open() as harness:
                await open_connections(harness)  # so that the next attempt is written in the same turn of the loop
                classes = harness.application.core.settings.classes
                harness.application.core.use_classes(tuple(replace(c, attempt_timeout=500.0) for c in classes))
                client, server, connection = await send_first(harness, "t1", "safe")
                assert connection.take_request()
                watched_connections.append(connection)
                await harness.pass_time(510)
                [other] = [each for each in harness.servers.values() if each is not server]
                second_connection, _ = await other.request()
                assert second_connection.ended is False
                assert peer_closed == [True]
                second_connection.send(done("t1"))
                await harness.settle()
                assert served(client)

    run_async(test)


def test_idle_server_connection_is_closed_at_the_limit_of_descriptors() -> None:
    """Guards against closing a busy connection at the limit of connections.

    A request that finds no free connection never runs, and an idle connection is closed to make room.
    """

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            harness.application.backend.max_connections = 1
            running_client, server, connection = await send_first(harness, "t1", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection.take_request()
            [other] = [each for each in harness.servers.values() if each is not server]
            rejected_client = await harness.post("t2", "safe", 300)
            await harness.pass_time(400)
            assert rejected_client.received.startswith(REJECTED)
            assert harness.logged("too_many_connections")
            assert not connection.ended
            connection.send(done("t1"))
            await harness.settle()
            assert served(running_client)
            assert not connection.ended
            server.sock.close()
            harness.application.core.update_servers(
                ListKind.CHANGES,
                [
                    each.entry._replace(state=ServerState.DRAINING)
                    for each in harness.application.core.directory.by_number.values()
                    if each.entry.address == server.address
                ],
            )
            await harness.pass_time(2_000)
            next_client = await harness.post("t3")
            assert connection.ended
            connection, _ = await other.request()
            connection.send(done("t3"))
            await harness.settle()
            assert served(next_client)
            assert len(harness.application.backend.connections) == 1

    run_async(test)


def test_connection_that_is_being_closed_counts_until_its_descriptor_is_free() -> None:
    """Guards against more descriptors than the limit in an iteration of the loop that closes many connections."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            backend = harness.application.backend
            backend.max_connections = 1
            _, _, connection = await send_first(harness, "t1", "safe")
            connection.send(done("t1"))
            await harness.settle()
            assert not backend.is_available()
            assert len(backend.connections) == 0
            await harness.settle()
            assert connection.ended
            assert backend.is_available()

    run_async(test)


def test_attempt_waits_for_a_connection_at_the_limit() -> None:
    """Guards against attempts that fail at once, one after another, until a request is given up."""

    async def test() -> None:
        async with DispatcherHarness(3).open() as harness:
            harness.application.backend.max_connections = 1
            _, _, connection = await send_first(harness, "t1", "safe")
            assert connection.take_request()
            waiting_clients = [await harness.post(f"t{number}") for number in (2, 3)]
            leaving_client = await harness.post("t4")
            leaving_client.close()
            await harness.pass_time(100)
            assert not [ended for ended in harness.logged("relay_ended") if ended["id"] != "t4"]
            connection.send(done("t1"))
            sent = []
            for _ in waiting_clients:
                await until(lambda: any(server.requests for server in harness.servers.values()), "a request")
                [server] = [each for each in harness.servers.values() if each.requests]
                connection, request = await server.request()
                sent.append(request_id_of(request))
                connection.send(done(sent[-1]))
                await harness.settle()
                await harness.pass_time(0)
            assert all(served(client) for client in waiting_clients)
            assert sent == ["t2", "t3"]
            assert len(harness.application.backend.connections) == 1

    run_async(test)


def test_attempt_that_waits_in_vain_for_a_connection_ends() -> None:
    """Guards against an attempt that waits for a connection for longer than a dial may take."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            harness.application.backend.max_connections = 1
            await send_first(harness, "t1", "safe")
            await harness.post("t2")
            dial_timeout = harness.application.config.settings.dial_timeout
            await harness.pass_time(dial_timeout - 1)
            assert not harness.logged("relay_ended")
            await harness.pass_time(2)
            assert [ended["outcome"] for ended in harness.logged("relay_ended")][:1] == ["connect_failed"]

    run_async(test)


def test_attempt_at_a_hanging_server_fails_before_sigkill() -> None:
    """Guards against a request at a hanging server that is unanswered at SIGKILL, or is run a second time."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client, _, connection = await send_first(harness, "t1", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection.take_request()
            harness.application._stop(harness.clock.now())
            await harness.pass_time(3_440)
            assert not client.received
            await harness.pass_time(20)
            assert client.received.startswith(FAILED)
            assert b"Connection: close" in client.received
            client.close()
            await harness.pass_time(100)
            assert harness.ended
            assert not any(server.requests for server in harness.servers.values())

    run_async(test)

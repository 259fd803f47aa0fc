"""A server's connection at the wrong instant: what may have run once is not sent again, and what never ran is."""

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
    run_async,
    served,
)
from end_to_end.test_client_leaves import open_connections
from heronlug.backends.connection import ServerConnection
from heronlug.balancer.events import ListKind, ServerState
from heronlug.net.connection_state import peer_has_closed
from heronlug.requests.model import Attempt

FAILED = b"HTTP/1.1 500 "
REJECTED = b"HTTP/1.1 503 "
LAST_BYTE_DELAY_MS = 20.0  # ms; the last byte of a non-idempotent request has gone out after that


async def send_first(
    harness: DispatcherHarness, request_id: str, class_name: str
) -> tuple[StandInConnection, StandIn, StandInConnection]:
    """Send a request up to its last byte: the client, the server that it is at, and the connection."""
    client = await harness.post(request_id, class_name)
    server = next(server for server in harness.servers.values() if server.requests)
    connection = next(connection for connection in server.connections if connection.received)
    return client, server, connection


async def serve_one(
    harness: DispatcherHarness, request_id: str, class_name: str = "safe"
) -> tuple[StandIn, StandInConnection]:
    """Serve a request; returns the connection that is idle now."""
    client, server, connection = await send_first(harness, request_id, class_name)
    await harness.pass_time(LAST_BYTE_DELAY_MS)
    assert connection.take_request()
    connection.send(done(request_id))
    await harness.settle()
    assert served(client)
    return server, connection


@pytest.mark.parametrize("ending", ["close", "reset"])
def test_connection_broken_before_the_last_byte_is_retried(ending: str) -> None:
    """It never ran, and goes out again, a non-idempotent request too."""

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
    """A non-idempotent request may have run: it fails at once, and goes nowhere else."""

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
    """An idle connection has ended, which is not read yet: a non-idempotent request goes out on another."""

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
    """The line counts, and the connection is not used again."""

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
    """After the last line it is cut off in a second; its connection and its slot are free then."""

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
    """The non-idempotent request fails at its deadline and is not sent again; the connection is closed."""

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
    """It comes while the last byte is held back: that is no answer to it, and it goes out on another connection."""

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
    """It names another request: this one waits for its own answer, which follows on the same connection."""

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
    """A non-idempotent request may have run; it fails, and is not sent again."""

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
    """It would end the next request, which has begun and runs on: that one gets another connection."""

    async def test() -> None:
        async with DispatcherHarness(1, limits={"attempts_cap": 1}).open() as harness:
            client, _, connection = await send_first(harness, "t1", "safe")
            assert connection.take_request()
            connection.send(answer)
            await harness.settle()
            assert client.received.startswith(REJECTED)
            harness.application.core.dispatcher.state.servers.by_id[
                next(iter(harness.application.core.directory.by_number))
            ].outlier.trials_left = 0  # not avoided for it
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
    """Meanwhile its server drains, is gone, or is at another address: nothing is written on it."""

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
    """Servers drop repeats for 2 s, and a dial with the way there may take 0.6 s of that."""

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
            assert client.received.startswith(REJECTED) is not repeated  # at once; harmless, where all drop repeats

    run_async(test)


def test_connection_opened_after_the_deduplication_window_is_not_used() -> None:
    """The choice was right and the loop was late: nothing is written."""

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
    """Its attempt ends in time, and what comes of it later is closed unwritten."""

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
    """Operators' time-out, where no two attempts may be out at once: its end is there before the next one's byte."""

    async def test() -> None:
        write, watched_connections, peer_closed = ServerConnection.write, list[StandInConnection](), list[bool]()

        def write_and_check(connection: ServerConnection, attempt: Attempt) -> None:
            peer_closed.extend(
                peer_has_closed(watched.transport) for watched in watched_connections if watched.transport is not None
            )
            write(connection, attempt)

        with mock.patch.object(ServerConnection, "write", write_and_check):
            async with DispatcherHarness(2).open() as harness:
                await open_connections(harness)  # so that the next attempt goes out in the same turn
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
    """Busy connections stay, and the request that finds none never runs; an idle one is closed to make room."""

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


def test_attempt_at_a_hanging_server_fails_before_sigkill() -> None:
    """Its requests fail before SIGKILL, a non-idempotent one is not sent again, and the process exits."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client, _, connection = await send_first(harness, "t1", "once")
            await harness.pass_time(LAST_BYTE_DELAY_MS)
            assert connection.take_request()
            harness.application._stop()
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

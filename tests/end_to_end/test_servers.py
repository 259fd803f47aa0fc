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
REFUSED = b"HTTP/1.1 503 "
HOLD_BACK_MS = 20.0  # ms; the last byte of a non-idempotent request has gone out after that


async def send_first(
    harness: DispatcherHarness, request_id: str, class_name: str
) -> tuple[StandInConnection, StandIn, StandInConnection]:
    """Send a request up to its last byte: the client, the server that it is at, and the connection."""
    client = await harness.post(request_id, class_name)
    server = next(server for server in harness.servers.values() if server.requests)
    end = next(end for end in server.connections if end.received)
    return client, server, end


async def serve_one(
    harness: DispatcherHarness, request_id: str, class_name: str = "safe"
) -> tuple[StandIn, StandInConnection]:
    """Serve a request; returns the connection that is idle now."""
    client, server, end = await send_first(harness, request_id, class_name)
    await harness.pass_time(HOLD_BACK_MS)
    assert end.take_request()
    end.send(done(request_id))
    await harness.settle()
    assert served(client)
    return server, end


@pytest.mark.parametrize("ending", ["close", "reset"])
def test_connection_broken_before_the_last_byte_is_retried(ending: str) -> None:
    """It never ran, and goes out again, a non-idempotent request too."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client, server, end = await send_first(harness, "t1", "once")
            assert not end.take_request()
            getattr(end, ending)()
            await harness.settle()
            await harness.pass_time(3_000)
            again, _ = await server.request()
            again.send(done("t1"))
            await harness.settle()
            assert again is not end
            assert served(client)

    run_async(test)


@pytest.mark.parametrize("ending", ["close", "reset", "half_close"])
@pytest.mark.parametrize("reported", [b"", RESPONSE_HEAD, RESPONSE_HEAD + progress_chunk("t1", "started")])
def test_connection_broken_after_the_last_byte_fails_a_non_idempotent_request(ending: str, reported: bytes) -> None:
    """A non-idempotent request may have run: it fails at once, and goes nowhere else."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client, _, end = await send_first(harness, "t1", "once")
            await harness.pass_time(HOLD_BACK_MS)
            assert end.take_request()
            if reported:
                end.send(reported)
                await harness.settle()
            getattr(end, ending)()
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
            server, warm = await serve_one(harness, "t1")
            send = harness.application.backend.send

            def crossed(attempt: Attempt) -> None:
                warm.end_now(ending)
                send(attempt)

            harness.application.backend.send = crossed  # type: ignore[method-assign]
            client = await harness.post("t2", "once")
            harness.application.backend.send = send  # type: ignore[method-assign]
            await harness.pass_time(HOLD_BACK_MS)
            end, _ = await server.request()
            end.send(done("t2"))
            await harness.settle()
            assert end is not warm
            assert served(client)

    run_async(test)


def test_connection_broken_between_the_last_line_and_the_last_chunk_is_not_reused() -> None:
    """The line counts, and the connection is not used again."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client, server, end = await send_first(harness, "t1", "once")
            await harness.pass_time(HOLD_BACK_MS)
            assert end.take_request()
            end.send(RESPONSE_HEAD + progress_chunk("t1", "done", "ok"))
            await harness.settle()
            assert served(client)
            end.reset()
            await harness.settle()
            _, other = await serve_one(harness, "t2", "once")
            assert other is not end

    run_async(test)


@pytest.mark.parametrize("more", [progress_chunk("t1", "running"), b"5\r\n.....\r\n", b""])
def test_response_that_never_ends_is_cut_off(more: bytes) -> None:
    """After the last line it is cut off in a second; its connection and its slot are free then."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client, server, end = await send_first(harness, "t1", "safe")
            assert end.take_request()
            end.send(RESPONSE_HEAD + progress_chunk("t1", "done", "ok"))
            await harness.settle()
            assert served(client)
            for _ in range(12):
                if more and not end.ended:
                    end.send(more)
                await harness.pass_time(100)
            assert end.ended
            assert len(harness.application.backend.connections) == 0

    run_async(test)


def test_progress_lines_without_end_fail_at_the_deadline() -> None:
    """The non-idempotent request fails at its deadline and is not sent again; the connection is closed."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client, _, end = await send_first(harness, "t1", "once")
            await harness.pass_time(HOLD_BACK_MS)
            assert end.take_request()
            end.send(RESPONSE_HEAD + progress_chunk("t1", "started"))
            for _ in range(45):
                if not end.ended:
                    end.send(progress_chunk("t1", "running"))
                await harness.pass_time(100)
            assert client.received.startswith(FAILED)
            assert end.ended
            assert not any(server.requests for server in harness.servers.values())
            assert not len(harness.application.core.requests)
            assert not len(harness.application.core.attempts)

    run_async(test)


@pytest.mark.parametrize("stray", [done("t1"), b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", b"rubbish\r\n\r\n"])
def test_duplicate_response_before_the_last_byte_of_the_next_request(stray: bytes) -> None:
    """It comes while the last byte is held back: that is no answer to it, and it goes out on another connection."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, warm = await serve_one(harness, "t1")
            client, _, end = await send_first(harness, "t2", "once")
            assert end is warm
            warm.send(stray)
            await harness.settle()
            await harness.pass_time(3_000)
            again, _ = await server.request()
            again.send(done("t2"))
            await harness.settle()
            assert again is not warm
            assert served(client)

    run_async(test)


@pytest.mark.parametrize("cut", [0, 1, 30, len(RESPONSE_HEAD) + 9, len(done("t1")) - 3, len(done("t1"))])
def test_duplicate_response_after_the_last_byte_of_the_next_request(cut: int) -> None:
    """It names another request: this one waits for its own answer, which follows on the same connection."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, warm = await serve_one(harness, "t1", "once")
            client, _, end = await send_first(harness, "t2", "once")
            await harness.pass_time(HOLD_BACK_MS)
            assert end is warm
            assert end.take_request()
            both = done("t1", "stale") + done("t2")
            for part in (both[:cut], both[cut:]):
                end.send(part)
                await harness.settle()
            assert served(client)
            assert b"stale" not in client.received
            assert (await serve_one(harness, "t3"))[1] is warm
            assert not server.requests

    run_async(test)


def test_duplicate_response_after_which_the_server_dies() -> None:
    """A non-idempotent request may have run; it fails, and is not sent again."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            server, warm = await serve_one(harness, "t1", "once")
            client, _, end = await send_first(harness, "t2", "once")
            await harness.pass_time(HOLD_BACK_MS)
            assert end.take_request()
            end.send(done("t1"))
            await harness.settle()
            assert not client.received
            end.reset()
            await harness.settle()
            await harness.pass_time(1_000)
            assert client.received.startswith(FAILED)
            assert not server.requests

    run_async(test)


ERROR = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("class_name", ["safe", "once"])
@pytest.mark.parametrize("answer", [REJECTED_RESPONSE, ERROR])
def test_duplicate_response_without_an_id_does_not_end_the_next_request(class_name: str, answer: bytes) -> None:
    """It would end the next request, which has begun and runs on: that one gets another connection."""

    async def test() -> None:
        async with DispatcherHarness(1, limits={"attempts_cap": 1}).open() as harness:
            client, _, end = await send_first(harness, "t1", "safe")
            assert end.take_request()
            end.send(answer)
            await harness.settle()
            assert client.received.startswith(REFUSED)
            harness.application.core.dispatcher.state.servers.by_id[
                next(iter(harness.application.core.directory.by_number))
            ].outlier.trials_left = 0  # not avoided for it
            following, server, other = await send_first(harness, "t2", class_name)
            await harness.pass_time(HOLD_BACK_MS)
            assert other is not end
            assert other.take_request()
            if not end.ended:
                end.send(answer)
            await harness.settle()
            other.send(done("t2"))
            await harness.settle()
            assert served(following)
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
            late = list[ServerConnection]()
            with mock.patch.object(harness.application.backend, "on_connected", late.append):
                client = await harness.post("t1")
            assert len(late) == 1
            if lifecycle == "elsewhere":
                harness.servers["h1"].address, before = harness.servers["h2"].address, harness.servers["h1"]
                watch.send(harness.list_response(5, "h1"))
            else:
                before = harness.servers["h1"]
                watch.send(harness.list_response(5, f"h1:{lifecycle}", "h2"))
            await harness.settle()
            harness.application.backend.on_connected(late[0])
            await harness.settle()
            assert not before.requests
            await harness.pass_time(1_500)
            end, _ = await harness.servers["h2"].request()
            end.send(done("t1"))
            await harness.settle()
            assert served(client)
            assert not before.requests

    run_async(test)


KEYED = {
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
        async with DispatcherHarness(2, settings={"lanes": [KEYED]}).open() as harness:
            client, _, end = await send_first(harness, "t1", "keyed")
            assert end.take_request()
            await harness.pass_time(broken_after)
            end.end_now("reset")
            await harness.settle()
            await harness.pass_time(100)
            servers = [server for server in harness.servers.values() if server.requests]
            assert bool(servers) is repeated
            assert client.received.startswith(REFUSED) is not repeated  # at once; harmless, where all drop repeats

    run_async(test)


def test_connection_opened_after_the_deduplication_window_is_not_used() -> None:
    """The choice was right and the loop was late: nothing is written."""

    async def test() -> None:
        async with DispatcherHarness(2, settings={"lanes": [KEYED]}).open() as harness:
            client, _, end = await send_first(harness, "t1", "keyed")
            assert end.take_request()
            await harness.pass_time(1_300)
            late = list[ServerConnection]()
            with mock.patch.object(harness.application.backend, "on_connected", late.append):
                end.end_now("reset")
                await harness.settle()
            assert len(late) == 1
            harness.stall(750)
            harness.application.backend.on_connected(late[0])
            await harness.settle()
            assert not any(server.requests for server in harness.servers.values())
            assert client.received.startswith(REFUSED)

    run_async(test)


def test_connection_that_never_opens_ends_the_attempt_in_time() -> None:
    """Its attempt ends in time, and what comes of it later is closed unwritten."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            late = list[ServerConnection]()
            with mock.patch.object(harness.application.backend, "on_connected", late.append):
                client = await harness.post("t1", remaining=900)
                await harness.pass_time(310)
                assert harness.servers["h1"].connections[0].ended
                await harness.pass_time(900)
            assert client.received.startswith(REFUSED)
            assert not harness.servers["h1"].requests
            for connection in late:
                harness.application.backend.on_connected(connection)
            await harness.settle()
            assert not harness.servers["h1"].requests

    run_async(test)


def test_attempt_is_cancelled_before_the_next_one_begins() -> None:
    """Operators' time-out, where no two attempts may be out at once: its end is there before the next one's byte."""

    async def test() -> None:
        write, watched, ended = ServerConnection.write, list[StandInConnection](), list[bool]()

        def written(connection: ServerConnection, attempt: Attempt) -> None:
            ended.extend(peer_has_closed(end.transport) for end in watched if end.transport is not None)
            write(connection, attempt)

        with mock.patch.object(ServerConnection, "write", written):
            async with DispatcherHarness(2).open() as harness:
                await open_connections(harness)  # so that the next attempt goes out in the same turn
                classes = harness.application.core.settings.classes
                harness.application.core.use_classes(tuple(replace(c, attempt_timeout=500.0) for c in classes))
                client, server, end = await send_first(harness, "t1", "safe")
                assert end.take_request()
                watched.append(end)
                await harness.pass_time(510)
                [other] = [each for each in harness.servers.values() if each is not server]
                again, _ = await other.request()
                assert again.ended is False
                assert ended == [True]
                again.send(done("t1"))
                await harness.settle()
                assert served(client)

    run_async(test)


def test_idle_server_connection_is_closed_at_the_limit_of_descriptors() -> None:
    """Busy connections stay, and the request that finds none never runs; an idle one is closed to make room."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            harness.application.backend.max_connections = 1
            running, server, end = await send_first(harness, "t1", "once")
            await harness.pass_time(HOLD_BACK_MS)
            assert end.take_request()
            [other] = [each for each in harness.servers.values() if each is not server]
            refused = await harness.post("t2", "safe", 300)
            await harness.pass_time(400)
            assert refused.received.startswith(REFUSED)
            assert harness.logged("too_many_connections")
            assert not end.ended
            end.send(done("t1"))
            await harness.settle()
            assert served(running)
            assert not end.ended
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
            following = await harness.post("t3")
            assert end.ended
            end, _ = await other.request()
            end.send(done("t3"))
            await harness.settle()
            assert served(following)
            assert len(harness.application.backend.connections) == 1

    run_async(test)


def test_attempt_at_a_hanging_server_fails_before_sigkill() -> None:
    """Its requests fail before SIGKILL, a non-idempotent one is not sent again, and the process exits."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            client, _, end = await send_first(harness, "t1", "once")
            await harness.pass_time(HOLD_BACK_MS)
            assert end.take_request()
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

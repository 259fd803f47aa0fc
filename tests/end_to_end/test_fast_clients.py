"""Tests that a client which sends faster than it is served is slowed down, and gets an answer to each request."""

import contextlib
import socket
import time
from collections.abc import Callable
from unittest import mock

import pytest

from end_to_end.harness import (
    BlockingClient,
    DispatcherHarness,
    StandInConnection,
    done,
    request_bytes,
    request_id_of,
    run_async,
)
from end_to_end.test_request_arrival import remaining_ms
from heronlug.frontends.http.client_input import PARSER_CALLS_PER_TURN
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.connection import (
    EXCESS_TIMEOUT_MS,
    LARGE_READ_BYTES,
    MAX_UNREAD_BYTES,
    READ_TIMEOUT_MS,
    ClientConnection,
)
from heronlug.frontends.http.ending_connection import UNREAD_TIMEOUT_MS
from heronlug.frontends.http.pipeline import MAX_WAITING_BYTES, MAX_WAITING_REQUESTS
from heronlug.memory.holders import Holder
from heronlug.net.close_watch import CLOSE_CHECK_INTERVAL_MS
from heronlug.net.paced_protocol import RECEIVE_BUFFER_BYTES

HEALTH_CHECK = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"

KERNEL_BUFFER_BYTES = 16 * 1024
"""Size of the kernel's buffers for the answers of a client that reads none, at either end of the connection."""

WINDOW_PROBE_S = 0.5
"""Time in which the kernel probes a closed window and may deliver some more, in seconds; its first probe: 0.2 s."""

MAX_OVERSHOOT = 7
"""Requests that a piece of input may hold beyond the limit of waiting requests."""


def many_requests(count: int, class_name: str = "safe", remaining: int = 4000) -> bytes:
    return b"".join(request_bytes(f"t{number}", class_name, remaining) for number in range(count))


def connection_of(harness: DispatcherHarness) -> ClientConnection:
    (connection,) = harness.application.frontend.connections
    return connection


async def next_request(harness: DispatcherHarness) -> tuple[StandInConnection, bytes]:
    for _ in range(1000):
        await harness.turn_once()
        for server in harness.servers.values():
            for connection in server.connections:
                if data := connection.take_request():
                    return connection, data
    msg = "no request came to a server"
    raise AssertionError(msg)


async def answer_all(harness: DispatcherHarness, count: int) -> list[str]:
    """Answers the next requests one after another, and returns their ids."""
    ids = []
    for _ in range(count):
        server, request = await next_request(harness)
        ids.append(request_id_of(request))
        server.send(done(ids[-1]))
    await harness.settle()
    return ids


def statuses(received: bytes) -> list[bytes]:
    return [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]


def test_requests_beyond_those_that_may_wait_are_read_later_and_answered_in_order() -> None:
    """Guards against a client whose sound requests are refused, or all held, because it sent them at once."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = await harness.client()
            client.send(many_requests(100))
            await harness.settle()
            waiting = len(connection_of(harness)._pipeline)
            assert MAX_WAITING_REQUESTS <= waiting <= MAX_WAITING_REQUESTS + MAX_OVERSHOOT
            assert connection_of(harness).is_reading_paused
            assert await answer_all(harness, 100) == [f"t{number}" for number in range(100)]
            assert statuses(client.received) == [b"200"] * 100
            assert not connection_of(harness).is_reading_paused

    run_async(test)


def test_waiting_bodies_are_bounded_by_their_size() -> None:
    """Guards against waiting requests that are few, but hold many large bodies."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = await harness.client()
            body = b"b" * 60_000
            for number in range(8):
                client.send(request_bytes(f"t{number}", "safe", 4000).replace(b": 2\r\n", b": 60000\r\n")[:-2] + body)
            await harness.settle()
            assert 0 < len(connection_of(harness)._pipeline) * len(body) < MAX_WAITING_BYTES + len(body)
            assert len(await answer_all(harness, 8)) == 8
            assert statuses(client.received) == [b"200"] * 8

    run_async(test)


def test_excess_of_requests_gets_an_error_in_time_and_the_rest_its_answers() -> None:
    """Guards against a client with hundreds of requests that gets no error for 3 s, or no answer to some of them."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = await harness.client()
            client.send(many_requests(40, "once"))
            await harness.settle()
            connection = connection_of(harness)
            refused = len(connection._pipeline)
            await harness.pass_time(20)
            await next_request(harness)
            await harness.pass_time(EXCESS_TIMEOUT_MS)
            assert statuses(client.received) == [b"500"] + [b"429"] * refused
            for _ in range(40 - 1 - refused):
                await harness.pass_time(20)
                await answer_all(harness, 1)
            assert statuses(client.received)[1 + refused :] == [b"200"] * (40 - 1 - refused)

    run_async(test)


def test_client_that_leaves_unread_input_behind_is_noticed() -> None:
    """Guards against requests of a client that has left, whose connection is not read."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = BlockingClient(harness.listen)
            client.send(many_requests(200))
            await harness.settle()
            server, request = await next_request(harness)
            client.leave("fin")
            await harness.pass_time(2 * CLOSE_CHECK_INTERVAL_MS)
            assert not len(harness.application.core.requests)
            assert not len(harness.application.frontend.connections)
            server.send(done(request_id_of(request)))
            await harness.settle()
            assert not any(standin.requests for standin in harness.servers.values())

    run_async(test)


def test_request_that_waited_while_the_connection_was_not_read_is_not_given_more_time() -> None:
    """Guards against the time of a request that counts from its late reading, or from an earlier pause."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = await harness.client()
            client.send(many_requests(30, remaining=4000))
            await harness.settle()
            server, request = await next_request(harness)
            harness.stall(1500)
            server.send(done(request_id_of(request)))
            for _ in range(29):
                server, request = await next_request(harness)
                assert remaining_ms(request) <= 2500
                server.send(done(request_id_of(request)))
            await harness.settle()
            await harness.pass_time(1000)
            client.send(request_bytes("late", "safe", 4000))
            _, request = await next_request(harness)
            assert remaining_ms(request) > 3500

    run_async(test)


def test_costly_input_is_parsed_in_parts() -> None:
    """Guards against a body of tiny chunks that keeps the loop busy while others wait."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = await harness.client()
            head = b"POST /safe HTTP/1.1\r\nX-Txn: t\r\nTransfer-Encoding: chunked\r\n\r\n"
            client.send(head + b"1\r\nx\r\n" * 8000 + b"0\r\n\r\n")
            calls, steps = 0, []
            for _ in range(200):
                await harness.turn_once()
                for connection in harness.application.frontend.connections:
                    steps.append(connection._reader.calls - calls)
                    calls = connection._reader.calls
            assert calls > 8000
            assert max(steps) <= 4 * (PARSER_CALLS_PER_TURN + 1024 // 6)

    run_async(test)


def test_adopted_client_with_enough_waiting_is_not_read_on() -> None:
    """Guards against input without end after an upgrade: a new transport reads although the gate has paused it."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            own, client = socket.socketpair()
            own.setblocking(False)
            client.setblocking(False)
            state = ClientState(served=True, has_sent_request=True, partial_request=many_requests(100))
            harness.application.frontend.adopt(own, state)
            for _ in range(100):
                with contextlib.suppress(BlockingIOError):
                    client.send(b"POST /safe HTTP/1.1\r\n" * 1000)
                await harness.turn_once()
            assert connection_of(harness).is_reading_paused
            held = harness.application.memory.by_holder[Holder.CLIENT_INPUT]
            assert held <= 2 * RECEIVE_BUFFER_BYTES + len(many_requests(100))
            client.close()
            await harness.settle()

    run_async(test)


def test_large_input_of_an_adopted_client_is_parsed_in_its_turn() -> None:
    """Guards against an upgrade that parses the input of all its connections before it serves the next request."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            own, client = socket.socketpair()
            frontend = harness.application.frontend
            with mock.patch.object(frontend.turn_queue, "add"):
                frontend.adopt(own, ClientState(served=True, partial_request=many_requests(100)))
                await harness.settle()
                connection = connection_of(harness)
                assert not connection._reader.calls
            connection.parse_more()
            await next_request(harness)
            client.close()
            await harness.settle()

    run_async(test)


@pytest.mark.parametrize("size", [100, LARGE_READ_BYTES + 1])
def test_read_timeout_of_a_request_runs_on_in_the_process_that_adopts_its_client(size: int) -> None:
    """Guards against a client that gets the whole read time-out again with each upgrade."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            own, client = socket.socketpair()
            client.setblocking(False)
            partial = b"POST /safe HTTP/1.1\r\nX-Txn: t\r\nContent-Length: 60000\r\n\r\n" + bytes(size)
            state = ClientState(served=True, partial_request=partial, reading_ms=READ_TIMEOUT_MS - 500)
            harness.application.frontend.adopt(own, state)
            await harness.pass_time(490)
            with pytest.raises(BlockingIOError):
                client.recv(1)
            await harness.pass_time(20)
            assert client.recv(1000).startswith(b"HTTP/1.1 408 ")
            client.close()
            await harness.settle()

    run_async(test)


class UnreadingClient:
    """A client that sends health checks as fast as the dispatcher reads them."""

    def __init__(self, harness: DispatcherHarness) -> None:
        self.connection = harness.blocking_client(KERNEL_BUFFER_BYTES)
        self.connection.sock.setblocking(False)
        self._cut = 0  # bytes of the last health check that have been sent

    def send(self) -> None:
        with contextlib.suppress(BlockingIOError):
            sent = self.connection.sock.send((HEALTH_CHECK * 1000)[self._cut :])
            self._cut = (self._cut + sent) % len(HEALTH_CHECK)


async def send_until_unread(harness: DispatcherHarness, client: UnreadingClient) -> ClientConnection:
    """Sends health checks until the answers wait in the process, and returns the connection."""
    await harness.settle()
    connection = connection_of(harness)
    assert connection.transport is not None
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    unread_since = time.monotonic()
    while time.monotonic() < unread_since + WINDOW_PROBE_S:
        client.send()
        await harness.turn_once()
        if not connection.has_unread_answers:
            unread_since = time.monotonic()
    return connection


def test_client_that_reads_no_answers_is_not_served_until_it_reads() -> None:
    """Guards against answers that pile up in the process as long as a client sends and does not read."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = UnreadingClient(harness)
            connection = await send_until_unread(harness, client)
            held = harness.application.memory.by_holder[Holder.CLIENT_ANSWERS]
            assert MAX_UNREAD_BYTES <= held <= 2 * MAX_UNREAD_BYTES
            for _ in range(20):
                client.send()
                await harness.settle()
            assert harness.application.memory.by_holder[Holder.CLIENT_ANSWERS] <= 2 * MAX_UNREAD_BYTES
            assert connection.is_reading_paused
            while connection.has_unread_answers:
                client.connection.received()
                await harness.turn_once()
            assert harness.application.memory.by_holder[Holder.CLIENT_ANSWERS] == 0

    run_async(test)


@pytest.mark.parametrize("leaves", [False, True])
def test_client_that_reads_no_answers_is_closed_and_its_leave_noticed(leaves: bool) -> None:
    """Guards against a connection that stays for ever, or after its client has left, because it is not read."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = UnreadingClient(harness)
            await send_until_unread(harness, client)
            if leaves:
                client.connection.leave("reset")
            await harness.pass_time(2 * CLOSE_CHECK_INTERVAL_MS if leaves else 2 * UNREAD_TIMEOUT_MS)
            assert not len(harness.application.frontend.connections)
            reason = CloseReason.CLIENT_CLOSED if leaves else CloseReason.UNREAD_ANSWERS
            assert harness.application.frontend.closes[reason] == 1
            assert harness.application.memory.by_holder[Holder.CLIENT_ANSWERS] == 0

    run_async(test)


async def send_in_halves(
    harness: DispatcherHarness,
    request: bytes,
    begin_wait: Callable[[ClientConnection], None],
    end_wait: Callable[[ClientConnection], None],
) -> StandInConnection:
    """Sends a request whose second half waits unread until its read time-out is due, and returns the client."""
    client = await harness.client()
    client.send(request[:20])
    await harness.settle()
    connection = connection_of(harness)
    begin_wait(connection)
    client.send(request[20:])
    await harness.settle()
    assert connection.is_reading_request
    harness.stall(READ_TIMEOUT_MS)
    end_wait(connection)
    harness.application.turn()
    return client


def test_request_that_waited_behind_unread_answers_is_not_incomplete_when_they_are_read() -> None:
    """Guards against a client whose sent request fails as incomplete because its read time-out ran while it waited."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            waits = ClientConnection.pause_writing, ClientConnection.resume_writing
            client = await send_in_halves(harness, HEALTH_CHECK, *waits)
            await harness.settle()
            assert statuses(client.received) == [b"200"]

    run_async(test)


def test_request_that_waited_for_an_upgrade_is_not_incomplete_when_the_upgrade_ends() -> None:
    """Guards against a client whose sent request fails as incomplete because no other process took its connection."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            waits = ClientConnection.hold_for_transfer, ClientConnection.end_hold
            await send_in_halves(harness, request_bytes("t1", "safe", 4000), *waits)
            assert await answer_all(harness, 1) == ["t1"]

    run_async(test)


def test_request_that_waited_is_not_incomplete_in_the_process_that_adopts_its_client() -> None:
    """Guards against a handover that counts the time for which a request waited in the previous process."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client, request = await harness.client(), request_bytes("t1", "safe", 4000)
            for part in (HEALTH_CHECK, request[:-1]):
                client.send(part)
                await harness.settle()
            connection = connection_of(harness)
            connection.pause_writing()
            harness.stall(READ_TIMEOUT_MS)
            connection.resume_writing()
            own, adopted_client = socket.socketpair()
            harness.application.frontend.adopt(own, connection.client_state())
            await harness.pass_time(READ_TIMEOUT_MS - 10)
            adopted_client.send(request[-1:])
            assert request_id_of((await next_request(harness))[1]) == "t1"
            adopted_client.close()
            await harness.settle()

    run_async(test)


def test_unread_answers_are_dropped_when_memory_is_short() -> None:
    """Guards against whole requests that are refused while answers that nobody reads keep their memory."""

    async def test() -> None:
        async with DispatcherHarness().open() as harness:
            client = UnreadingClient(harness)
            await send_until_unread(harness, client)
            memory = harness.application.memory
            memory.reserve(Holder.CLIENT_INPUT, memory.limit - memory.used + 1)
            await harness.settle()
            assert harness.application.frontend.closes[CloseReason.UNREAD_ANSWERS] == 1
            memory.release(Holder.CLIENT_INPUT, memory.by_holder[Holder.CLIENT_INPUT])

    run_async(test)

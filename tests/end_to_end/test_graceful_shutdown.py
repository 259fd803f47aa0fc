"""Tests that after SIGTERM each accepted request, in any stage, is answered before SIGKILL."""

import asyncio
import os
import signal
from typing import Any
from unittest import mock

import pytest

from end_to_end.harness import (
    RESPONSE_HEAD,
    BlockingClient,
    DispatcherHarness,
    StandInConnection,
    done,
    progress_chunk,
    request_bytes,
    run_async,
    served,
    until,
)
from heronlug.lifecycle.hot_restart.state_transfer import StateTransfer

REJECTED = b"HTTP/1.1 503 "
FAILED = b"HTTP/1.1 500 "
SIGKILL_DELAY_MS = 3_000 + 700  # time from SIGTERM to SIGKILL if the longest deadline is over 3 s


async def send_sigterm(harness: DispatcherHarness) -> None:
    os.kill(os.getpid(), signal.SIGTERM)
    await harness.settle()
    assert harness.application.shutdown.stopping


async def expect_served_and_stopped(
    harness: DispatcherHarness, client: StandInConnection, server_connection: StandInConnection
) -> None:
    """Checks that the request in progress is served, and that the process exits after its client has disconnected."""
    server_connection.send(done("t1"))
    await harness.settle()
    assert served(client)
    client.close()
    await harness.pass_time(800)
    assert harness.ended


def settings_with_deadline(deadline: float) -> dict[str, Any]:
    """Returns settings with one class of this deadline in ms."""
    return {"settings": {"lanes": [{"name": "safe", "deadline": deadline, "effect": "repeatable", "goal_time": 100.0}]}}


def test_partly_read_and_unread_requests_are_served_after_sigterm() -> None:
    """Guards against closing connections at SIGTERM whose request is partly read or still to come."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            partial_client, request_data = await harness.client(), request_bytes("t1", "safe", 2_000)
            partial_client.send(request_data[:40])
            idle_client = await harness.client()
            idle_client.send(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
            await harness.settle()
            idle_client.received = b""
            await send_sigterm(harness)
            await harness.pass_time(900)
            partial_client.send(request_data[40:])
            idle_client.send(request_bytes("t2", "safe", 2_000))
            await harness.settle()
            for _ in range(2):
                server_connection, request = await harness.servers["h1"].request()
                server_connection.send(done("t1" if b"x-txn: t1\r" in request else "t2"))
                await harness.settle()
            assert served(partial_client)
            assert served(idle_client)

    run_async(test)


@pytest.mark.parametrize(
    ("settings", "sigkill_delay_ms"),
    [
        ({}, SIGKILL_DELAY_MS),
        (settings_with_deadline(60_000.0), SIGKILL_DELAY_MS),
        (settings_with_deadline(1_200.0), 1_900),
    ],
)
def test_queued_and_hanging_requests_are_answered_before_sigkill(
    settings: dict[str, Any], sigkill_delay_ms: float
) -> None:
    """Guards against requests that are unanswered at SIGKILL, with deadlines over and under 3 s.

    A request that arrives on an open connection shortly before SIGKILL must be answered immediately.
    """

    async def test() -> None:
        async with DispatcherHarness(1, **settings).open() as harness:
            await harness.discovery.request()
            hanging_client = await harness.post("t1", "safe", 60_000)
            [server_connection] = [
                server_connection
                for server_connection in harness.servers["h1"].connections
                if server_connection.take_request()
            ]
            server_connection.send(RESPONSE_HEAD + progress_chunk("t1", "started"))
            late_client = await harness.client()
            late_client.send(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
            await harness.settle()
            late_client.received = b""
            await send_sigterm(harness)
            sigterm_at = harness.clock.time_ms
            os.kill(os.getpid(), signal.SIGTERM)  # a second SIGTERM has no effect
            await harness.pass_time(sigkill_delay_ms - 200)
            assert hanging_client.received.startswith(REJECTED)
            assert b"Connection: close" in hanging_client.received
            late_client.send(request_bytes("t2", "safe", 60_000))
            await harness.settle()
            assert late_client.received.startswith((REJECTED, FAILED)) or late_client.ended
            hanging_client.close()
            late_client.close()
            await harness.settle()
            await harness.pass_time(100)
            assert harness.ended
            assert harness.clock.time_ms - sigterm_at < sigkill_delay_ms

    run_async(test)


def test_partly_written_response_is_completed_before_exit() -> None:
    """Guards against an exit that truncates the response to a client that reads slowly."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = BlockingClient(harness.listen)
            client.send(request_bytes("t1", "safe", 3_000))
            server_connection, _ = await harness.servers["h1"].request()
            await send_sigterm(harness)
            result = "x" * 200_000
            server_connection.send(RESPONSE_HEAD + b"".join([progress_chunk("t1", "done", result)]) + b"0\r\n\r\n")
            await harness.settle()
            await harness.pass_time(2_600)
            received = b""
            for _ in range(400):
                received += client.received()
                await harness.settle()
                if received.endswith(b"x") and len(received) > len(result):
                    break
            assert received.startswith(b"HTTP/1.1 200 ")
            assert received.endswith(result.encode())

    run_async(test)


def test_requests_are_served_when_sigterm_arrives_during_a_reload() -> None:
    """Guards against a reload that blocks the shutdown or loses the request in progress."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = await harness.post("t1")
            server_connection, _ = await harness.servers["h1"].request()
            harness.raw["discovery"] = harness.other_discovery.address
            os.kill(os.getpid(), signal.SIGHUP)
            await send_sigterm(harness)
            await harness.other_discovery.request()
            await expect_served_and_stopped(harness, client, server_connection)

    run_async(test)


def test_requests_are_served_when_sigterm_arrives_during_the_start() -> None:
    """Guards against losing clients that connect when SIGTERM arrives while the listener opens.

    The process must serve them, and exit when the traffic has ended.
    """

    async def test() -> None:
        open_listener = StateTransfer.open_listener

        def open_then_send_sigterm(takeover: StateTransfer) -> None:
            open_listener(takeover)
            os.kill(os.getpid(), signal.SIGTERM)

        with mock.patch.object(StateTransfer, "open_listener", open_then_send_sigterm):
            async with DispatcherHarness(1).open() as harness:
                assert harness.application.shutdown.stopping
                client = await harness.post("t1", remaining=900)
                server_connection, _ = await harness.servers["h1"].request()
                await expect_served_and_stopped(harness, client, server_connection)

    run_async(test)


def test_time_to_stop_runs_from_the_signal_and_not_from_its_handling() -> None:
    """Guards against answers that are planned for after SIGKILL, because a busy loop handles SIGTERM late."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            signalled_at = harness.clock.time_ms
            os.kill(os.getpid(), signal.SIGTERM)
            harness.stall(500)
            harness.application.turn()
            assert harness.application.shutdown.stopping
            assert harness.application.shutdown.answer_by < signalled_at + SIGKILL_DELAY_MS

    run_async(test)


def test_client_that_connects_during_the_last_tasks_of_a_stop_is_served() -> None:
    """Guards against an exit that drops requests accepted while the cached list was written or the cluster left."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            last_task_done = asyncio.Event()
            with mock.patch.object(harness.application.discovery, "close_cache", last_task_done.wait):
                await send_sigterm(harness)
                await harness.pass_time(2_500)
                assert harness.ended
                client = await harness.post("t1", remaining=1_000)
                server_connection = await harness.servers["h1"].unanswered_connection()
                last_task_done.set()
                await asyncio.sleep(0.05)
                assert not harness.logged("stopped")
                server_connection.send(done("t1"))
                await until(lambda: served(client), "the late client is served")

    run_async(test)

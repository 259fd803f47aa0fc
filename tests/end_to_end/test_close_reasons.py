"""Tests that the end of each connection is logged once, with its reason, its state and the side that closed it."""

from typing import Any

from end_to_end.harness import DispatcherHarness, done, request_bytes, run_async
from end_to_end.test_closed_connections import idle_client
from heronlug.frontends.http.close_reason import CloseReason
from heronlug.frontends.http.connection import IDLE_TIMEOUT_MS


def closed_clients(harness: DispatcherHarness) -> list[tuple[Any, ...]]:
    """Returns reason, state and closing side of each logged end of a client connection, and the id of its request."""
    return [
        (event, fields["why"], fields["state"], fields["by"], fields["id"])
        for event, fields in harness.lines
        if event in ("client_closed", "client_dropped")
    ]


def test_each_end_of_a_client_connection_is_logged_once() -> None:
    """Guards against a connection that ends without a log line, or with the wrong reason or side."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            (await idle_client(harness)).leave("fin")
            await harness.settle()
            client = harness.blocking_client()
            client.send(b"no request\r\n\r\n")
            await harness.settle()
            client.leave("fin")
            leaving = await harness.post("t1")
            await harness.servers["h1"].request()
            assert leaving.transport is not None
            leaving.transport.abort()
            await harness.settle()
            _idle = await idle_client(harness)
            await harness.pass_time(IDLE_TIMEOUT_MS + 1)
            assert closed_clients(harness) == [
                ("client_closed", "client_closed", "idle", "client", ""),
                ("client_closed", "rejected", "idle", "dispatcher", ""),
                ("client_closed", "client_closed", "serving", "client", "t1"),
                ("client_closed", "idle", "idle", "dispatcher", ""),
            ]
            assert harness.application.frontend.closes == {
                CloseReason.CLIENT_CLOSED: 2,
                CloseReason.REJECTED: 1,
                CloseReason.IDLE: 1,
            }

    run_async(test)


def test_connection_that_is_closed_before_its_answer_is_logged_as_dropped() -> None:
    """Guards against a lost request that the log does not name."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            await harness.post("t1")
            connection = next(iter(harness.application.frontend.connections))
            connection.abort(CloseReason.CONNECTION_LIMIT)
            await harness.settle()
            assert closed_clients(harness) == [("client_dropped", "connection_limit", "serving", "dispatcher", "t1")]

    run_async(test)


def test_each_end_of_a_server_connection_is_logged_with_its_last_request() -> None:
    """Guards against an end of a server connection that cannot be related to a request."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            client = await harness.post("t1")
            connection, _ = await harness.servers["h1"].request()
            connection.send(done("t1"))
            await harness.settle()
            client.send(request_bytes("t2", "safe", 4000))
            connection, _ = await harness.servers["h1"].request()
            assert connection.transport is not None
            connection.transport.abort()
            await harness.settle()
            (closed,) = harness.logged("host_closed")
            assert (closed["host"], closed["why"], closed["by"], closed["state"], closed["id"]) == (
                "h1",
                "server_closed",
                "host",
                "active",
                "t2",
            )
            assert [fields["id"] for fields in harness.logged("relay_served")] == ["t1"]

    run_async(test)

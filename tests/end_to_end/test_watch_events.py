"""Tests that no request is sent by a list that may lack a notified change when the watch is silent, broken or late.

Each test produces one critical order of events with real connections and a manual clock.
"""

import os
import signal
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from end_to_end.harness import START_TIME, DispatcherHarness, StandInConnection, done, run_async, served

DRAIN_GRACE_MS = 2500.0  # as in the settings
PUSHED: dict[str, Any] = {"settings": {"discovery": "pushed"}}


async def expect_sent(harness: DispatcherHarness, request_id: str, *allowed_servers: str) -> None:
    """Checks that a request is sent to a server, or to one of ``allowed_servers``, and is served."""
    client = await harness.post(request_id)
    server = next(server for server in harness.servers.values() if server.requests)
    assert server.name in (allowed_servers or harness.servers)
    connection, _ = await server.request()
    connection.send(done(request_id))
    await harness.settle()
    assert served(client)


async def expect_not_sent(harness: DispatcherHarness, request_id: str) -> None:
    """Checks that no server receives a byte of a request, and that the request is rejected at its deadline."""
    client = await harness.post(request_id, remaining=300)
    await harness.pass_time(320)
    assert not any(server.requests for server in harness.servers.values())
    assert client.received.startswith(b"HTTP/1.1 503 ")


def test_silent_watch_and_silent_poll_expire_the_list() -> None:
    """Guards against using a list past its expiry when the watch and the polls after it are silent.

    With polled lists, missed changes count as notified 2 s after the wait of the first poll, whatever the result of
    later polls, and the list expires when the grace has passed as well.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            first, call = await harness.discovery.request()
            assert b"?after=3&wait_ms=20000 " in call
            await expect_sent(harness, "t1", "h1")
            await harness.until_time(20_600)
            second, call = await harness.discovery.request()
            assert second is not first
            assert first.ended
            assert b"?after=3&wait_ms=0 " in call  # missed changes are polled for without a pause
            await harness.until_time(22_000 + DRAIN_GRACE_MS - 200)
            await expect_sent(harness, "t2", "h1")  # allowed until the grace ends
            await harness.until_time(22_000 + DRAIN_GRACE_MS)
            await expect_not_sent(harness, "t3")
            third, call = await harness.discovery.request()
            assert b"?after=3&wait_ms=0 " in call
            first.send(harness.list_response(4, "h1"))  # on a connection that the dispatcher has abandoned
            second.send(harness.list_response(4, "h1"))
            await harness.settle()
            await expect_not_sent(harness, "t4")
            third.send(harness.list_response(3))  # an answer without changes confirms the list as well
            await harness.settle()
            await expect_sent(harness, "t5", "h1")

    run_async(test)


def test_change_missed_by_a_silent_watch_is_polled_in_time() -> None:
    """Guards against new requests to a server whose drain was missed by a silent watch; the other server is used."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            await harness.discovery.request()
            await harness.until_time(20_600)
            second_poll, _ = await harness.discovery.request()
            second_poll.send(harness.list_response(4, "h1:leaving", indent=2))
            await harness.settle()
            for number in range(8):
                await expect_sent(harness, f"t{number}", "h2")
            _, call = await harness.discovery.request()
            assert b"?after=4&wait_ms=20000 " in call

    run_async(test)


def test_list_that_arrives_a_byte_at_a_time_is_awaited() -> None:
    """Guards against abandoning a list whose bytes still arrive after the wait of its poll has ended."""

    async def test() -> None:
        async with DispatcherHarness(2).open() as harness:
            watch, _ = await harness.discovery.request()
            await harness.until_time(20_400)
            answer = harness.list_response(4, "h1:leaving", indent=1)
            for at in range(len(answer)):
                watch.send(answer[at : at + 1])
                await harness.pass_time(3)
            await harness.settle()
            # The first of the two events confirmed the list.
            assert [fields["entries"] for fields in harness.logged("inventory")] == [0, 1]
            assert not harness.logged("inventory_failed")
            await expect_sent(harness, "t1", "h2")

    run_async(test)


@pytest.mark.parametrize("grace", [300.0, 2500.0])
def test_pushed_changes_count_as_notified_from_the_process_start(grace: float) -> None:
    """Guards against using a list of unknown age at the start when lists are pushed.

    Changes made while the process was down count as notified when they were made.
    """

    async def test() -> None:
        async with DispatcherHarness(1, safety={"drain_grace": grace}, **PUSHED).open(confirmed=False) as harness:
            call, poll = await harness.discovery.request()
            assert b"?after=3&wait_ms=0 " in poll
            await expect_not_sent(harness, "t1")
            await harness.until_time(grace)
            await expect_not_sent(harness, "t2")
            call.send(harness.list_response(3))
            await harness.settle()
            await expect_sent(harness, "t3", "h1")

    run_async(test)


def test_discovery_is_polled_within_the_grace_after_a_reset_of_a_pushed_watch() -> None:
    """Guards against polling too late after a reset when lists are pushed.

    Changes made after the reset count as notified immediately, so the next poll must be sent within the grace.
    """

    async def test() -> None:
        async with DispatcherHarness(2, safety={"drain_grace": 600.0}, **PUSHED).open() as harness:
            watch, poll = await harness.discovery.request()
            assert b"&wait_ms=20000 " in poll
            await harness.until_time(5_000)
            watch.reset()
            await harness.pass_time(300)
            second_poll, poll = await harness.discovery.request()
            assert b"&wait_ms=0 " in poll
            await expect_sent(harness, "t1")
            await harness.until_time(5_600)
            await expect_not_sent(harness, "t2")
            second_poll.send(harness.list_response(4, "h1:leaving"))
            await harness.settle()
            await expect_sent(harness, "t3", "h2")

    run_async(test)


def test_pushed_list_stays_in_use_while_discovery_refuses_connections() -> None:
    """Guards against an outage while discovery refuses connections.

    Each refused connection shows that discovery notifies no dispatcher of changes, so the list stays usable until
    discovery is silent instead.
    """

    async def test() -> None:
        async with DispatcherHarness(1, **PUSHED).open() as harness:
            watch, _ = await harness.discovery.request()
            await harness.discovery.refuse()
            watch.reset()
            for number in range(6):
                await harness.pass_time(1_000)
                await expect_sent(harness, f"t{number}", "h1")
            assert len(harness.logged("inventory_failed")) > 6

    run_async(test)


@pytest.mark.parametrize("changes", [{}, PUSHED])
def test_list_expires_when_the_new_discovery_is_silent_after_a_reload(changes: dict[str, Any]) -> None:
    """Guards against using a list past its expiry after a reload to a silent discovery address.

    Changes count as notified 4 s after SIGHUP, whether lists are pushed or polled.
    """

    async def test() -> None:
        async with DispatcherHarness(1, **changes).open() as harness:
            await harness.discovery.request()
            await harness.until_time(3_000)
            harness.raw["discovery"] = harness.other_discovery.address
            os.kill(os.getpid(), signal.SIGHUP)
            poll_after_reload, poll = await harness.other_discovery.request()
            assert poll.startswith(b"GET /registry/instances HTTP/1.1")
            expiry = 3_000 + 4_000 + DRAIN_GRACE_MS
            await harness.until_time(expiry - 200)
            await expect_sent(harness, "t1", "h1")
            await harness.until_time(expiry)
            await expect_not_sent(harness, "t2")
            # The answer is late, on a connection that the dispatcher has abandoned.
            poll_after_reload.send(harness.list_response(1, "h1", whole=True))
            await harness.settle()
            await expect_not_sent(harness, "t3")
            await harness.pass_time(5_000)
            for _ in range(20):  # there may be a pause between two polls
                if not any(
                    connection.received and not connection.ended for connection in harness.other_discovery.connections
                ):
                    await harness.pass_time(100)
            (await harness.other_discovery.unanswered_connection()).send(harness.list_response(1, "h1", whole=True))
            await harness.settle()
            await expect_sent(harness, "t4", "h1")

    run_async(test)


def test_polled_list_stays_in_use_in_an_outage_after_a_reset_watch() -> None:
    """Guards against an outage of the dispatcher while discovery refuses connections and lists are polled.

    Without a watch, a change counts as notified 6 s after it was made. Each refused connection shows that discovery is
    down and notifies no dispatcher, and extends the time for which the list may be used.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            watch, _ = await harness.discovery.request()
            await harness.discovery.refuse()
            watch.reset()
            for number in range(30):
                await harness.pass_time(1_000)
                await expect_sent(harness, f"t{number}", "h1")
            assert harness.clock.time_ms - START_TIME >= 30_000
            # The list was stale only before the first answer.
            assert [fields["state"] for fields in harness.logged("list_stale")] == ["unconfirmed"]

    run_async(test)


REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
POLL_FAILURES: dict[str, Callable[[StandInConnection], None]] = {
    "refused": lambda call: call.send(REJECTED_RESPONSE),
    "reset": StandInConnection.reset,
    "half answered": lambda call: call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"),
    "no list": lambda call: call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
    "silent": lambda call: None,
}


async def fail_polls(harness: DispatcherHarness, ending: str, until_ms: float) -> int:
    """Lets each poll fail in the given way until a time after the start; returns the number of polls."""
    calls = 0
    while harness.clock.time_ms < START_TIME + until_ms:
        await harness.pass_time(50)
        for call in harness.discovery.connections:
            if not call.ended and call.take_request():
                POLL_FAILURES[ending](call)
                calls += 1
    return calls


def test_change_counts_as_notified_though_each_poll_fails() -> None:
    """Guards against postponing the expiry of a list with each failed poll.

    A change counts as notified 6 s after discovery had it, if discovery is reachable. With the fault, each failed poll
    extended the use of the list to four poll intervals, and each sent poll extended it to the end of its wait.
    """
    # With the fault, one process at 25 requests per second sent 74 to 172 requests, depending on how the polls ended,
    # to servers that had drained for over 8.5 s.

    async def test(ending: str) -> None:
        async with DispatcherHarness(1).open() as harness:
            watch, _ = await harness.discovery.request()
            await harness.until_time(1_000)
            watch.reset()  # changes from here on may be missed
            limit = 1_000 + 6_000 + DRAIN_GRACE_MS
            assert await fail_polls(harness, ending, limit - 300)
            if ending not in ("half answered", "no list"):  # changes count as notified once an answer begins
                await expect_sent(harness, "t1", "h1")  # allowed until the grace ends
            await fail_polls(harness, ending, limit + 50)
            await expect_not_sent(harness, "t2")
            await fail_polls(harness, ending, limit + 8_000)
            await expect_not_sent(harness, "t3")

    for ending in POLL_FAILURES:
        run_async(partial(test, ending))


def test_only_an_answer_renews_a_list() -> None:
    """Guards against postponing the expiry of a list by reloads.

    Changes that a watch missed before its reset count as notified 2 s after its wait, whatever the number of reloads.
    """

    async def test(reloads: int) -> None:
        async with DispatcherHarness(1).open() as harness:
            watch, _ = await harness.discovery.request()
            await harness.until_time(20_000)
            watch.reset()  # the watch may have missed any change since it was sent
            expiry = 22_000 + DRAIN_GRACE_MS
            for number in range(reloads):
                await fail_polls(harness, "refused", 20_400 + 1_000 * number)
                harness.raw["discovery"] = (harness.other_discovery, harness.discovery)[number % 2].address
                os.kill(os.getpid(), signal.SIGHUP)
                await harness.settle()
            await fail_polls(harness, "refused", expiry + 50)
            await expect_not_sent(harness, "t1")

    for reloads in (0, 1, 3):
        run_async(partial(test, reloads))

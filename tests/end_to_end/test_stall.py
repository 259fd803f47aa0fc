"""The loop stands still for seconds, and what discovery has told meanwhile waits unread behind other bytes.

Whether the process was held up or had no processor time: what has been written to it counts as told, so it is read
before any attempt begins.  The bytes are in the daemon's kernel, in the order to be feared, when the loop turns again.
"""

from functools import partial
from typing import Any

import pytest

from end_to_end.house import House, done, message, name_of, play, served

LONG = 3_000.0  # ms that the loop stands still, past the grace of 2.5 s
RESTING = {"conn_idle": 60_000.0}
SILENT_WATCH = 22_000.0 + 2_500.0  # ms after the start, from which on the list may not be gone by any more


async def warm(house: House, *names: str) -> None:
    """A connection to each of these servers rests."""
    clients = [await house.post(f"warm{number}") for number in range(len(names))]
    for name in names:
        end, request = await house.hosts[name].request()
        end.send(done(name_of(request)))
    await house.settle()
    assert all(served(client) for client in clients)


async def drains_unread(house: House) -> None:
    """Discovery tells that h1 drains, and nobody reads it."""
    watch, _ = await house.register.request()
    watch.send_now(house.news(4, "h1:leaving", "h2"))
    house.stall(LONG)


@pytest.mark.parametrize("list_first", [True, False])
def test_a_request_that_is_read_before_the_list_goes_by_the_list(list_first: bool) -> None:
    """Which of two connections is read first is the kernel's choice, so both orders are played, with each effect."""

    async def test(lane: str) -> None:
        async with House(2, listed=["h1"], limits=RESTING).open() as house:
            await warm(house, "h1")
            client = house.kernel()
            await house.settle()
            if list_first:
                await drains_unread(house)
                client.send(message("t1", lane, 4000))
            else:
                client.send(message("t1", lane, 4000))
                await drains_unread(house)
            await house.settle()
            await house.pass_time(50)
            assert not house.hosts["h1"].requests
            end, _ = await house.hosts["h2"].request()
            end.send(done("t1"))
            await house.settle()
            assert client.got().endswith(b"ok")

    for lane in ("safe", "once", "keyed"):
        play(partial(test, lane))


def test_a_retry_goes_by_the_list_that_waits() -> None:
    """The answer that fails the first attempt is read before the list that has its next server drain."""

    async def test() -> None:
        async with House(2, limits=RESTING).open() as house:
            await warm(house, "h1", "h2")
            client = await house.post("t1")
            first = next(host for host in house.hosts.values() if host.requests)
            other = next(host for host in house.hosts.values() if host is not first)
            end, _ = await first.request()
            end.send_now(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            watch, _ = await house.register.request()
            watch.send_now(house.news(4, f"{other.name}:leaving"))
            house.stall(LONG)
            await house.settle()
            await house.pass_time(1000)
            assert not other.requests
            assert not served(client)

    play(test)


def test_a_dial_that_comes_up_goes_by_the_list_that_waits() -> None:
    async def test() -> None:
        async with House(1, limits=RESTING).open() as house:
            client = house.kernel()
            watch, _ = await house.register.request()
            client.send(message("t1", "safe", 4000))
            while not house.daemon.backend.dials:
                await house.turn_once()
            watch.send_now(house.news(4, "h1:leaving"))
            house.clock.at += 2600.0  # the connection is up in the kernel by now, and its dial has not been read
            await house.settle()
            await house.pass_time(50)
            assert not house.hosts["h1"].requests

    play(test)


def test_a_list_that_may_not_be_gone_by_any_more_is_not() -> None:
    """The timer that ends its time is as late as the request is."""

    async def test() -> None:
        async with House(1, limits=RESTING).open() as house:
            await warm(house, "h1")
            await house.until_time(SILENT_WATCH - 100)
            client: Any = house.kernel()
            await house.settle()
            client.send(message("t1", "safe", 300))
            house.stall(LONG)
            await house.settle()
            await house.pass_time(400)
            assert not house.hosts["h1"].requests
            assert client.got().startswith(b"HTTP/1.1 503 ")

    play(test)


def test_a_connection_past_its_rest_is_not_written_to() -> None:
    """Risk: the server has forgotten it, so what must not run twice is lost; the timer that closes it is late."""

    async def test() -> None:
        async with House(1).open() as house:
            await warm(house, "h1")
            client = house.kernel()
            await house.settle()
            client.send(message("t1", "once", 4000))
            house.stall(LONG)  # of the 4 s that the server keeps a connection, ours may rest for 2.8 s
            await house.settle()
            await house.pass_time(50)
            end, _ = await house.hosts["h1"].request()
            assert end is not house.hosts["h1"].ends[0]

    play(test)

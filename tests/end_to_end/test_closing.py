"""Connections that we close ourselves: none of them owes anything that its client has written already.

In each test the client's bytes are in our machine's kernel, unread, when the moment to close comes.
"""

import os
import signal

from end_to_end.house import House, Kernel, done, message, play
from heronlug.frontends.http.connection import ClientConnection

HEALTH = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"


async def known(house: House) -> Kernel:
    """A client that has been answered once, and rests."""
    client = house.kernel()
    client.send(HEALTH)
    await house.settle()
    assert client.got().startswith(b"HTTP/1.1 200")
    return client


async def gets(house: House, client: Kernel, *txns: str) -> None:
    """All of these are relayed and answered, in order."""
    for txn in txns:
        end, request = await house.hosts["h1"].request()
        assert f"x-txn: {txn}\r".encode() in request
        end.send(done(txn, f"{txn}-ok"))
        await house.settle()
    got = client.got()
    assert [got.count(f"{txn}-ok".encode()) for txn in txns] == [1] * len(txns), got


def test_a_drain_that_crosses_a_request() -> None:
    """The look that closes what rests comes before the request is read."""

    async def test() -> None:
        async with House(1).open() as house:
            client = await known(house)
            house.daemon.shutdown.drain()
            await house.pass_time(670)
            client.send(message("t1", "safe", 4000))
            house.stall(80)
            house.daemon.turn()
            await gets(house, client, "t1")

    play(test)


def test_a_parting_answer_with_the_next_request_unread() -> None:
    """Its connection stays for that one, and ends with its answer; none is overtaken by a reset."""

    async def test() -> None:
        async with House(1).open() as house:
            client = await known(house)
            client.send(message("t1", "safe", 4000))
            end, _ = await house.hosts["h1"].request()
            house.daemon.shutdown.drain()
            end.send_now(done("t1", "t1-ok"))
            client.send(message("t2", "safe", 4000))
            end, request = await house.hosts["h1"].request()
            assert b"x-txn: t2\r" in request
            end.send(done("t2", "t2-ok"))
            await house.settle()
            got = client.got()
            assert got.count(b"-ok") == 2 and got.count(b"Connection: close") == 1 and client.got() == b""

    play(test)


def test_a_parting_answer_with_the_next_request_read_already() -> None:
    """What waits behind it on its connection was taken too."""

    async def test() -> None:
        async with House(1).open() as house:
            client = await known(house)
            client.send(message("t1", "safe", 4000) + message("t2", "safe", 4000))
            await house.settle()
            house.daemon.shutdown.drain()
            await gets(house, client, "t1", "t2")

    play(test)


def test_who_makes_room_owes_nothing() -> None:
    """A newcomer at the limit of descriptors, and the one that has rested longest has just sent a request."""

    async def test() -> None:
        async with House(1, sockets=96).open() as house:
            clients = [await known(house) for _ in range(16)]
            opened = house.daemon.frontend.connection_opened

            def crossed(connection: ClientConnection) -> None:
                clients[0].send(message("t1", "safe", 4000))
                opened(connection)

            house.daemon.frontend.connection_opened = crossed  # type: ignore[method-assign]
            newcomer = house.kernel()
            await gets(house, clients[0], "t1")
            newcomer.send(HEALTH)
            await house.settle()
            assert newcomer.got().startswith(b"HTTP/1.1 200")
            assert house.logged("too_many_clients")

    play(test)


def test_a_rest_that_ends_as_a_request_comes() -> None:
    """The idle time is over before the request is read."""

    async def test() -> None:
        async with House(1).open() as house:
            watch, _ = await house.register.request()
            client = await known(house)
            for number in range(6):
                await house.pass_time(19_900)
                watch.send(house.news(4 + number))
                watch, _ = await house.register.request()
            client.send(message("t1", "safe", 4000))
            house.stall(1_000)
            house.daemon.turn()
            await gets(house, client, "t1")

    play(test)


def test_a_stop_with_a_request_in_the_accept_queue() -> None:
    """The look that ends the process comes before the connection is accepted."""

    async def test() -> None:
        async with House(1).open() as house:
            os.kill(os.getpid(), signal.SIGTERM)
            await house.settle()
            await house.pass_time(660)
            assert not house.ended
            client = house.kernel()
            client.send(message("t1", "safe", 900))
            house.stall(80)
            house.daemon.turn()
            assert not house.ended
            await gets(house, client, "t1")

    play(test)

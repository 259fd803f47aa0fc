"""A client that leaves while its request waits: not a byte of it goes to a host from then on.

Each test has the client leave in the kernel, lets time pass in which the loop does not turn, and makes what the request
waits for come true before the loop can have read that the client has left: that is the order to be feared.
"""

import socket
from dataclasses import replace

import pytest

from end_to_end.house import HEAD, TURNED_AWAY, End, House, Kernel, done, line, message, name_of, play, served
from heronlug.discovery.endpoint_list import write_list
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_table import write_request
from heronlug.requests.model import Workload

WAYS = ["fin", "half", "reset", "behind"]
LONG = 400.0  # ms; the rule gives 300


async def warm(house: House) -> None:
    """Every host has a connection that is kept warm, so that what is sent goes out in the same turn."""
    clients = [await house.post(f"warm{number}") for number in range(2 * len(house.hosts))]
    while any(host.requests for host in house.hosts.values()):
        for host in house.hosts.values():
            for end in host.ends:
                if request := end.take():
                    end.send(done(name_of(request)))
        await house.settle()
    assert all(map(served, clients)) and all(host.ends for host in house.hosts.values())


def nothing_sent(house: House) -> bool:
    """No host has a byte that was not taken, and nothing is held for anybody."""
    return not any(host.requests for host in house.hosts.values()) and not len(house.daemon.core.requests)


async def fill(house: House) -> list[tuple[End, str]]:
    """All hosts have as much as they get: what comes now is held.  Returns what runs."""
    for number in range(100):
        await house.post(f"fill{number}")
        out = sum(len(message.attempts) for message in house.daemon.core.requests)
        if out < len(house.daemon.core.requests):
            break
    running = []
    for host in house.hosts.values():
        while host.requests:
            end, request = await host.request()
            running.append((end, name_of(request)))
    return running


@pytest.mark.parametrize("way", WAYS)
def test_while_it_is_held(way: str) -> None:
    """A slot comes free, on a connection that is warm, before the end is read."""

    async def test() -> None:
        async with House(1).open() as house:
            running = await fill(house)
            client = house.kernel()
            client.send(message("t1", "safe", 4000))
            await house.settle()
            held = len(house.daemon.core.requests) - len(running)
            assert held >= 1 and not house.hosts["h1"].requests
            for end, txn in running:
                end.send_now(done(txn))  # first in the queue of what is to be read
            client.leave(way)
            house.stall(LONG)
            await house.settle()
            got = b"".join(end.got for end in house.hosts["h1"].ends)
            assert got.count(b"POST ") == held - 1 and b"x-txn: t1\r" not in got

    play(test)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("lane", ["safe", "once"])
def test_while_it_waits_for_a_retry(way: str, lane: str) -> None:
    """The wait is over before the loop reads: the deadline is swept first."""

    async def test() -> None:
        async with House(2).open() as house:
            await warm(house)
            classes = house.daemon.core.settings.classes
            house.daemon.core.use_classes(tuple(replace(c, retry_backoff=(500.0,)) for c in classes))
            client = house.kernel()
            client.send(message("t1", lane, 4000))
            await house.settle()
            await house.pass_time(20)  # the last byte of what runs once is held back
            [host] = [host for host in house.hosts.values() if host.requests]
            end, _ = await host.request()
            end.send(TURNED_AWAY)
            await house.settle()
            client.leave(way)
            house.stall(600)
            house.daemon.turn()
            await house.settle()
            assert nothing_sent(house)
            assert await still_serves(house)

    play(test)


@pytest.mark.parametrize("way", WAYS)
def test_behind_another_on_its_connection(way: str) -> None:
    """The one before ends in the turn in which the end is read."""

    async def test() -> None:
        async with House(1).open() as house:
            client = house.kernel()
            client.send(message("t1", "safe", 4000) + message("t2", "safe", 4000))
            end, _ = await house.hosts["h1"].request()
            end.send(HEAD + line("t1", "started"))
            await house.settle()
            end.send_now(done("t1")[len(HEAD) :])
            client.leave(way)
            house.stall(LONG)
            await house.settle()
            assert nothing_sent(house)
            assert await still_serves(house)

    play(test)


@pytest.mark.parametrize("way", WAYS)
def test_before_anything_of_it_was_read(way: str) -> None:
    """It waits in the accept queue, and so does its end."""

    async def test() -> None:
        async with House(1).open() as house:
            await warm(house)
            client = house.kernel()
            client.send(message("t1", "safe", 4000))
            client.leave(way)
            house.stall(LONG)
            await house.settle()
            assert nothing_sent(house)
            assert await still_serves(house)

    play(test)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("lane", ["safe", "once"])
def test_behind_a_dial(way: str, lane: str) -> None:
    """The dial comes up before the end is read: nothing goes out on it."""

    async def test() -> None:
        async with House(1).open() as house:
            client = house.kernel()
            client.send(message("t1", lane, 4000))
            dialled = house.daemon.backend.dialled

            def late(connection: object) -> None:
                client.leave(way)
                house.stall(LONG)
                dialled(connection)  # type: ignore[arg-type]

            house.daemon.backend.dialled = late  # type: ignore[method-assign]
            await house.settle()
            house.daemon.backend.dialled = dialled  # type: ignore[method-assign]
            assert house.daemon.backend.dials == 1 and nothing_sent(house)
            assert await still_serves(house)

    play(test)


@pytest.mark.parametrize("way", WAYS)
def test_what_runs_once_and_lacks_its_last_byte(way: str) -> None:
    """Its last byte is not sent: it never ran."""

    async def test() -> None:
        async with House(1).open() as house:
            client = house.kernel()
            client.send(message("t1", "once", 4000))
            await house.settle()
            [end] = house.hosts["h1"].ends
            assert end.got and not end.take()
            client.leave(way)
            house.stall(LONG)
            house.daemon.turn()
            await house.settle()
            assert not end.take() and not len(house.daemon.core.requests)

    play(test)


@pytest.mark.parametrize("way", WAYS)
def test_no_second_copy(way: str) -> None:
    """The first has not started; its copy is due before the end is read."""

    async def test() -> None:
        async with House(2, limits={"second_copies": True}).open() as house:
            await warm(house)
            client = house.kernel()
            client.send(message("t1", "safe", 4000))
            await house.settle()
            [host] = [host for host in house.hosts.values() if host.requests]
            await host.request()
            client.leave(way)
            house.stall(2_000)
            house.daemon.turn()
            await house.settle()
            assert nothing_sent(house)

    play(test)


def test_a_burst_of_ends_as_hosts_come_free() -> None:
    """Of many that wait, those that have left get nothing; those that have not are all served."""

    async def test() -> None:
        async with House(2).open() as house:
            running = await fill(house)
            clients = [house.kernel() for _ in range(24)]
            for number, client in enumerate(clients):
                client.send(message(f"t{number}", "safe", 4000))
            await house.settle()
            for end, txn in running:
                end.send_now(done(txn))
            for number, client in enumerate(clients):
                if number % 2:
                    client.leave(WAYS[number // 2 % 4])
            house.stall(LONG)
            left = {f"t{number}" for number in range(1, 24, 2)}
            for _ in range(30):
                await house.settle()
                for host in house.hosts.values():
                    for end in host.ends:
                        if request := end.take():
                            txn = name_of(request)
                            assert txn not in left
                            end.send(done(txn))
            assert all(client.got().endswith(b"ok") for client in clients[::2])

    play(test)


@pytest.mark.parametrize("way", [*WAYS, ""])
def test_while_its_message_passes_to_the_next_process(way: str) -> None:
    """It was held in the process before, which read no more of it; here a host is free at once."""

    async def test() -> None:
        async with House(1).open() as house:
            await warm(house)
            with socket.create_server(("127.0.0.1", 0)) as before:
                client = Kernel(f"127.0.0.1:{before.getsockname()[1]}")
                passed, _ = before.accept()
            request = HttpRequest()
            request.method, request.target, request.body, request.request_id = b"POST", b"/safe", b"hi", "t1"
            request.headers = {b"x-txn": b"t1", b"x-lane": b"safe"}
            request.class_index = next(n for n, c in enumerate(house.daemon.core.settings.classes) if c.name == "safe")
            request.workload = Workload()
            if way:
                client.leave(way)
            house.daemon.state_transfer.adopt_request(
                {
                    "request": write_request(request),
                    "give_up_at": house.clock.at + 4_000,
                    "taken_at": house.clock.at,
                    "hosts": write_list(0, [], [], []),
                    "attempts": [],
                    "wires": [],
                },
                [passed.detach()],
            )
            house.stall(LONG)
            await house.settle()
            assert nothing_sent(house) is bool(way)
            if not way:
                house.daemon.frontend.close_idle()  # its answer is owed on it still
                end, _ = await house.hosts["h1"].request()
                end.send(done("t1"))
                await house.settle()
                assert client.got().endswith(b"ok")
            assert await still_serves(house)

    play(test)


async def still_serves(house: House) -> bool:
    """Another client gets its answer."""
    client = await house.post("later")
    host = next(host for host in house.hosts.values() if host.requests)
    end, _ = await host.request()
    end.send(done("later"))
    await house.settle()
    return served(client)

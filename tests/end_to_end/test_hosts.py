"""A host's connection at the wrong instant: what may have run once is not sent again, and what never ran is."""

from dataclasses import replace
from unittest import mock

import pytest

from end_to_end.house import HEAD, TURNED_AWAY, End, House, StandIn, done, line, play, served
from end_to_end.test_leaving import warm
from heronlug.backends.pool import ServerConnection
from heronlug.balancer.events import ListKind, ServerState
from heronlug.net.connection_state import peer_has_closed
from heronlug.requests.model import Attempt

FAILED, REFUSED = b"HTTP/1.1 500 ", b"HTTP/1.1 503 "
HELD = 20.0  # ms; the last byte of what runs once has gone out after that


async def first(house: House, txn: str, lane: str) -> tuple[End, StandIn, End]:
    """A job up to its last byte: the client, the host that it is at, and the connection."""
    client = await house.post(txn, lane)
    host = next(host for host in house.hosts.values() if host.requests)
    end = next(end for end in host.ends if end.got)
    return client, host, end


async def use(house: House, txn: str, lane: str = "safe") -> tuple[StandIn, End]:
    """A job is served; returns the connection that is warm now."""
    client, host, end = await first(house, txn, lane)
    await house.pass_time(HELD)
    assert end.take()
    end.send(done(txn))
    await house.settle()
    assert served(client)
    return host, end


@pytest.mark.parametrize("way", ["close", "reset"])
def test_broken_before_the_last_byte(way: str) -> None:
    """It never ran, and goes out again, what runs once too."""

    async def test() -> None:
        async with House(1).open() as house:
            client, host, end = await first(house, "t1", "once")
            assert not end.take()
            getattr(end, way)()
            await house.settle()
            await house.pass_time(3_000)
            again, _ = await host.request()
            again.send(done("t1"))
            await house.settle()
            assert again is not end and served(client)

    play(test)


@pytest.mark.parametrize("way", ["close", "reset", "half_close"])
@pytest.mark.parametrize("told", [b"", HEAD, HEAD + line("t1", "started")])
def test_broken_after_the_last_byte(way: str, told: bytes) -> None:
    """What runs once may have run: it fails at once, and goes nowhere else."""

    async def test() -> None:
        async with House(2).open() as house:
            client, _, end = await first(house, "t1", "once")
            await house.pass_time(HELD)
            assert end.take()
            if told:
                end.send(told)
                await house.settle()
            getattr(end, way)()
            await house.settle()
            assert client.got.startswith(FAILED)
            await house.pass_time(3_000)
            assert not any(host.requests for host in house.hosts.values())

    play(test)


@pytest.mark.parametrize("way", ["close", "reset"])
def test_broken_between_choice_and_write(way: str) -> None:
    """A warm connection has ended and nobody has read it: what runs once goes out on another."""

    async def test() -> None:
        async with House(1).open() as house:
            host, warm = await use(house, "t1")
            send = house.daemon.backend.send

            def crossed(relay: object) -> None:
                warm.end_now(way)
                send(relay)  # type: ignore[arg-type]

            house.daemon.backend.send = crossed  # type: ignore[method-assign]
            client = await house.post("t2", "once")
            house.daemon.backend.send = send  # type: ignore[method-assign]
            await house.pass_time(HELD)
            end, _ = await host.request()
            end.send(done("t2"))
            await house.settle()
            assert end is not warm and served(client)

    play(test)


def test_broken_between_the_last_line_and_the_last_chunk() -> None:
    """The line counts, and the connection is not used again."""

    async def test() -> None:
        async with House(1).open() as house:
            client, host, end = await first(house, "t1", "once")
            await house.pass_time(HELD)
            assert end.take()
            end.send(HEAD + line("t1", "done", "ok"))
            await house.settle()
            assert served(client)
            end.reset()
            await house.settle()
            _, other = await use(house, "t2", "once")
            assert other is not end

    play(test)


@pytest.mark.parametrize("more", [line("t1", "running"), b"5\r\n.....\r\n", b""])
def test_an_answer_that_never_ends(more: bytes) -> None:
    """After the last line it is cut off in a second; its connection and its slot are free then."""

    async def test() -> None:
        async with House(1).open() as house:
            client, host, end = await first(house, "t1", "safe")
            assert end.take()
            end.send(HEAD + line("t1", "done", "ok"))
            await house.settle()
            assert served(client)
            for _ in range(12):
                if more and not end.over:
                    end.send(more)
                await house.pass_time(100)
            assert end.over and len(house.daemon.backend.connections) == 0

    play(test)


def test_lines_that_never_end_before_the_last() -> None:
    """The job fails when its time is over, what runs once is not sent again, and the connection is closed."""

    async def test() -> None:
        async with House(2).open() as house:
            client, _, end = await first(house, "t1", "once")
            await house.pass_time(HELD)
            assert end.take()
            end.send(HEAD + line("t1", "started"))
            for _ in range(45):
                if not end.over:
                    end.send(line("t1", "running"))
                await house.pass_time(100)
            assert client.got.startswith(FAILED) and end.over
            assert not any(host.requests for host in house.hosts.values())
            assert not len(house.daemon.core.requests) and not len(house.daemon.core.attempts)

    play(test)


@pytest.mark.parametrize("stray", [done("t1"), b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", b"rubbish\r\n\r\n"])
def test_a_second_answer_that_meets_the_next_request(stray: bytes) -> None:
    """It comes while the last byte is held back: that is no answer to it, and it goes out on another connection."""

    async def test() -> None:
        async with House(1).open() as house:
            host, warm = await use(house, "t1")
            client, _, end = await first(house, "t2", "once")
            assert end is warm
            warm.send(stray)
            await house.settle()
            await house.pass_time(3_000)
            again, _ = await host.request()
            again.send(done("t2"))
            await house.settle()
            assert again is not warm and served(client)

    play(test)


@pytest.mark.parametrize("cut", [0, 1, 30, len(HEAD) + 9, len(done("t1")) - 3, len(done("t1"))])
def test_a_second_answer_that_comes_after_the_last_byte(cut: int) -> None:
    """It names another message: what runs once waits for its own answer, which follows on the same connection."""

    async def test() -> None:
        async with House(1).open() as house:
            host, warm = await use(house, "t1", "once")
            client, _, end = await first(house, "t2", "once")
            await house.pass_time(HELD)
            assert end is warm and end.take()
            both = done("t1", "stale") + done("t2")
            for part in (both[:cut], both[cut:]):
                end.send(part)
                await house.settle()
            assert served(client) and b"stale" not in client.got
            assert (await use(house, "t3"))[1] is warm and not host.requests

    play(test)


def test_a_second_answer_after_which_the_host_dies() -> None:
    """What runs once may have run; it fails, and is not sent again."""

    async def test() -> None:
        async with House(1).open() as house:
            host, warm = await use(house, "t1", "once")
            client, _, end = await first(house, "t2", "once")
            await house.pass_time(HELD)
            assert end.take()
            end.send(done("t1"))
            await house.settle()
            assert not client.got
            end.reset()
            await house.settle()
            await house.pass_time(1_000)
            assert client.got.startswith(FAILED) and not host.requests

    play(test)


ERROR = b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("lane", ["safe", "once"])
@pytest.mark.parametrize("answer", [TURNED_AWAY, ERROR])
def test_a_second_answer_without_a_name_does_not_have_the_next_run_twice(lane: str, answer: bytes) -> None:
    """It would end the next request, which has begun and runs on: that one gets another connection."""

    async def test() -> None:
        async with House(1, limits={"attempts_cap": 1}).open() as house:
            client, _, end = await first(house, "t1", "safe")
            assert end.take()
            end.send(answer)
            await house.settle()
            assert client.got.startswith(REFUSED)
            house.daemon.core.dispatcher.state.servers.by_id[
                next(iter(house.daemon.core.directory.by_number))
            ].outlier.trials_left = 0  # not avoided for it
            following, host, other = await first(house, "t2", lane)
            await house.pass_time(HELD)
            assert other is not end and other.take()
            if not end.over:
                end.send(answer)
            await house.settle()
            other.send(done("t2"))
            await house.settle()
            assert served(following) and not host.requests

    play(test)


@pytest.mark.parametrize("lifecycle", ["leaving", "left", "elsewhere"])
def test_a_dial_that_comes_up_late(lifecycle: str) -> None:
    """Meanwhile its host drains, is gone, or is at another address: nothing is written on it."""

    async def test() -> None:
        async with House(2).open() as house:
            watch, _ = await house.register.request()
            watch.send(house.news(4, "h2:leaving"))
            watch, _ = await house.register.request()
            late = list[ServerConnection]()
            with mock.patch.object(house.daemon.backend, "dialled", late.append):
                client = await house.post("t1")
            assert len(late) == 1
            if lifecycle == "elsewhere":
                house.hosts["h1"].address, before = house.hosts["h2"].address, house.hosts["h1"]
                watch.send(house.news(5, "h1"))
            else:
                before = house.hosts["h1"]
                watch.send(house.news(5, f"h1:{lifecycle}", "h2"))
            await house.settle()
            house.daemon.backend.dialled(late[0])
            await house.settle()
            assert not before.requests
            await house.pass_time(1_500)
            end, _ = await house.hosts["h2"].request()
            end.send(done("t1"))
            await house.settle()
            assert served(client) and not before.requests

    play(test)


KEYED = {
    "name": "keyed",
    "deadline": 9000.0,
    "effect": "by_key",
    "goal_time": 400.0,
    "repeat_window": 2000.0,
}


@pytest.mark.parametrize(("broken_after", "repeated"), [(1_300, True), (1_500, False), (1_900, False)])
def test_a_repeat_is_dialled_for_only_if_it_can_come_in_time(broken_after: float, repeated: bool) -> None:
    """Hosts drop repeats for 2 s, and a dial with the way there may take 0.6 s of that."""

    async def test() -> None:
        async with House(2, settings={"lanes": [KEYED]}).open() as house:
            client, _, end = await first(house, "t1", "keyed")
            assert end.take()
            await house.pass_time(broken_after)
            end.end_now("reset")
            await house.settle()
            await house.pass_time(100)
            hosts = [host for host in house.hosts.values() if host.requests]
            assert bool(hosts) is repeated
            assert client.got.startswith(REFUSED) is not repeated  # at once; harmless, where all drop repeats

    play(test)


def test_a_dial_that_comes_up_when_hosts_drop_repeats_no_more() -> None:
    """The choice was right and the loop was late: nothing is written."""

    async def test() -> None:
        async with House(2, settings={"lanes": [KEYED]}).open() as house:
            client, _, end = await first(house, "t1", "keyed")
            assert end.take()
            await house.pass_time(1_300)
            late = list[ServerConnection]()
            with mock.patch.object(house.daemon.backend, "dialled", late.append):
                end.end_now("reset")
                await house.settle()
            assert len(late) == 1
            house.stall(750)
            house.daemon.backend.dialled(late[0])
            await house.settle()
            assert not any(host.requests for host in house.hosts.values())
            assert client.got.startswith(REFUSED)

    play(test)


def test_a_dial_that_never_comes_up() -> None:
    """Its relay ends in time, and what comes of it later is closed unwritten."""

    async def test() -> None:
        async with House(1).open() as house:
            late = list[ServerConnection]()
            with mock.patch.object(house.daemon.backend, "dialled", late.append):
                client = await house.post("t1", remaining=900)
                await house.pass_time(310)
                assert house.hosts["h1"].ends[0].over
                await house.pass_time(900)
            assert client.got.startswith(REFUSED) and not house.hosts["h1"].requests
            for connection in late:
                house.daemon.backend.dialled(connection)
            await house.settle()
            assert not house.hosts["h1"].requests

    play(test)


def test_an_attempt_that_is_cancelled_for_the_next_one() -> None:
    """Operators' time-out, where no two attempts may be out at once: its end is there before the next one's byte."""

    async def test() -> None:
        write, watched, over = ServerConnection.write, list[End](), list[bool]()

        def written(connection: ServerConnection, relay: Attempt) -> None:
            over.extend(peer_has_closed(end.transport) for end in watched if end.transport is not None)
            write(connection, relay)

        with mock.patch.object(ServerConnection, "write", written):
            async with House(2).open() as house:
                await warm(house)  # so that the next attempt goes out in the same turn
                classes = house.daemon.core.settings.classes
                house.daemon.core.use_classes(tuple(replace(c, attempt_timeout=500.0) for c in classes))
                client, host, end = await first(house, "t1", "safe")
                assert end.take()
                watched.append(end)
                await house.pass_time(510)
                [other] = [each for each in house.hosts.values() if each is not host]
                again, _ = await other.request()
                assert again.over is False and over == [True]
                again.send(done("t1"))
                await house.settle()
                assert served(client)

    play(test)


def test_at_the_limit_of_descriptors() -> None:
    """Who runs a job stays, and the one more never ran; who only rests makes room, and owes nothing."""

    async def test() -> None:
        async with House(2).open() as house:
            house.daemon.backend.max_connections = 1
            running, host, end = await first(house, "t1", "once")
            await house.pass_time(HELD)
            assert end.take()
            [other] = [each for each in house.hosts.values() if each is not host]
            refused = await house.post("t2", "safe", 300)
            await house.pass_time(400)
            assert refused.got.startswith(REFUSED) and house.logged("too_many_connections") and not end.over
            end.send(done("t1"))
            await house.settle()
            assert served(running) and not end.over
            host.sock.close()
            house.daemon.core.update_servers(
                ListKind.CHANGES,
                [
                    each.entry._replace(state=ServerState.DRAINING)
                    for each in house.daemon.core.directory.by_number.values()
                    if each.entry.address == host.address
                ],
            )
            await house.pass_time(2_000)
            following = await house.post("t3")
            assert end.over
            end, _ = await other.request()
            end.send(done("t3"))
            await house.settle()
            assert served(following) and len(house.daemon.backend.connections) == 1

    play(test)


def test_a_host_that_hangs_beside_a_stop() -> None:
    """What hangs there fails before we are killed, what runs once is not sent again, and the process leaves."""

    async def test() -> None:
        async with House(2).open() as house:
            client, _, end = await first(house, "t1", "once")
            await house.pass_time(HELD)
            assert end.take()
            house.daemon._stop()
            await house.pass_time(3_440)
            assert not client.got
            await house.pass_time(20)
            assert client.got.startswith(FAILED) and b"Connection: close" in client.got
            client.close()
            await house.pass_time(100)
            assert house.ended and not any(host.requests for host in house.hosts.values())

    play(test)

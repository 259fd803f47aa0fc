"""SIGTERM with requests in every stage: each that was taken is answered before the kill, and nothing overtakes it."""

import os
import signal
from typing import Any
from unittest import mock

import pytest

from end_to_end.house import HEAD, End, House, Kernel, done, line, message, play, served
from heronlug.lifecycle.hot_restart.state_transfer import StateTransfer

REFUSED, FAILED = b"HTTP/1.1 503 ", b"HTTP/1.1 500 "
KILL = 3_000 + 700  # ms after the signal, where deadlines are longer than 3 s


async def term(house: House) -> None:
    os.kill(os.getpid(), signal.SIGTERM)
    await house.settle()
    assert house.daemon.shutdown.stopping


async def serves_and_leaves(house: House, client: End, end: End) -> None:
    """What is under way is served, and once its client has gone the process ends."""
    end.send(done("t1"))
    await house.settle()
    assert served(client)
    client.close()
    await house.pass_time(800)
    assert house.ended


def short(deadline: float) -> dict[str, Any]:
    """Settings whose longest deadline is this."""
    return {"settings": {"lanes": [{"name": "safe", "deadline": deadline, "effect": "repeatable", "goal_time": 100.0}]}}


def test_a_request_half_read_and_one_not_begun() -> None:
    """Both come whole after the signal, on connections that stay open, and are served."""

    async def test() -> None:
        async with House(1).open() as house:
            half, whole = await house.client(), message("t1", "safe", 2_000)
            half.send(whole[:40])
            rests = await house.client()
            rests.send(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
            await house.settle()
            rests.got = b""
            await term(house)
            await house.pass_time(900)
            half.send(whole[40:])
            rests.send(message("t2", "safe", 2_000))
            await house.settle()
            for _ in range(2):
                end, request = await house.hosts["h1"].request()
                end.send(done("t1" if b"x-txn: t1\r" in request else "t2"))
                await house.settle()
            assert served(half) and served(rests)

    play(test)


@pytest.mark.parametrize(("settings", "kill"), [({}, KILL), (short(60_000.0), KILL), (short(1_200.0), 1_900)])
def test_what_is_held_or_hangs_is_answered_before_the_kill(settings: dict[str, Any], kill: float) -> None:
    """Deadlines over and under 3 s; what comes until then on open connections is answered too, and at once at last."""

    async def test() -> None:
        async with House(1, **settings).open() as house:
            await house.register.request()
            hangs = await house.post("t1", "safe", 60_000)
            [end] = [end for end in house.hosts["h1"].ends if end.take()]
            end.send(HEAD + line("t1", "started"))
            late = await house.client()
            late.send(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
            await house.settle()
            late.got = b""
            await term(house)
            begun = house.clock.at
            os.kill(os.getpid(), signal.SIGTERM)  # a second one changes nothing
            await house.pass_time(kill - 200)
            assert hangs.got.startswith(REFUSED) and b"Connection: close" in hangs.got
            late.send(message("t2", "safe", 60_000))
            await house.settle()
            assert late.got.startswith((REFUSED, FAILED)) or late.over
            hangs.close()
            late.close()
            await house.settle()
            await house.pass_time(100)
            assert house.ended and house.clock.at - begun < kill

    play(test)


def test_an_answer_half_written() -> None:
    """A client that reads slowly has the whole answer before the process leaves."""

    async def test() -> None:
        async with House(1).open() as house:
            client = Kernel(house.listen)
            client.send(message("t1", "safe", 3_000))
            end, _ = await house.hosts["h1"].request()
            await term(house)
            result = "x" * 200_000
            end.send(HEAD + b"".join([line("t1", "done", result)]) + b"0\r\n\r\n")
            await house.settle()
            await house.pass_time(2_600)
            got = b""
            for _ in range(400):
                got += client.got()
                await house.settle()
                if got.endswith(b"x") and len(got) > len(result):
                    break
            assert got.startswith(b"HTTP/1.1 200 ") and got.endswith(result.encode())

    play(test)


def test_a_signal_during_a_reload() -> None:
    """The reload ends, the stop goes on, and what is under way is served."""

    async def test() -> None:
        async with House(1).open() as house:
            client = await house.post("t1")
            end, _ = await house.hosts["h1"].request()
            house.raw["discovery"] = house.other.address
            os.kill(os.getpid(), signal.SIGHUP)
            await term(house)
            await house.other.request()
            await serves_and_leaves(house, client, end)

    play(test)


def test_a_signal_during_the_start() -> None:
    """It comes as the listener opens: who connects meanwhile is served, and the process leaves once it is quiet."""

    async def test() -> None:
        opened = StateTransfer.open_listener

        def crossed(takeover: StateTransfer) -> None:
            opened(takeover)
            os.kill(os.getpid(), signal.SIGTERM)

        with mock.patch.object(StateTransfer, "open_listener", crossed):
            async with House(1).open() as house:
                assert house.daemon.shutdown.stopping
                client = await house.post("t1", remaining=900)
                end, _ = await house.hosts["h1"].request()
                await serves_and_leaves(house, client, end)

    play(test)

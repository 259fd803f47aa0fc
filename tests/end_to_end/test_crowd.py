"""Many dispatchers that may not talk: a job is held while ours wait at hosts, and it has its end where it is held.

The hosts hold back the word of a start, or say it, when a test says so.
"""

import pytest

from end_to_end.house import HEAD, LAST, End, House, done, line, message, name_of, play

RUN = 100.0  # ms that jobs run; their aim is 400, so they have to start within 300


def many(hosts: int = 8) -> House:
    return House(hosts, settings={"instances": 40}, limits={"may_tell": False})


async def taken(house: House) -> dict[str, End]:
    """The requests that have come, by their names."""
    await house.settle()
    found = {}
    for host in house.hosts.values():
        for end in host.ends:
            while request := end.take():
                found[name_of(request)] = end
    return found


async def learned(house: House) -> None:
    """Some have run, and how long is known."""
    for number in range(4):
        client = await house.post(f"warm{number}")
        ((txn, end),) = (await taken(house)).items()
        end.send(HEAD + line(txn, "started"))
        await house.pass_time(RUN)
        end.send(line(txn, "done", "ok") + LAST)
        await house.settle()
        assert client.got.startswith(b"HTTP/1.1 200 ")


async def two_wait(house: House) -> dict[str, End]:
    """At hosts that have not started them: where they are."""
    await learned(house)
    for number in range(2):
        await house.post(f"w{number}")
    waiting = await taken(house)
    assert sorted(waiting) == ["w0", "w1"]
    return waiting


async def crowd(house: House) -> tuple[End, dict[str, End]]:
    """Two wait at hosts, and a third one is here: its client, and where the two are."""
    waiting = await two_wait(house)
    client = await house.post("t")
    assert not await taken(house)
    return client, waiting


def test_what_is_held_until_it_is_late_is_refused_at_once() -> None:
    async def test() -> None:
        async with many().open() as house:
            client, _ = await crowd(house)
            await house.pass_time(300 - RUN / 2)
            assert not client.got and not await taken(house)
            await house.pass_time(RUN)
            assert client.got.startswith(b"HTTP/1.1 503 ") and b"retry-after" in client.got.lower(), client.got
            await house.pass_time(5000)
            assert not await taken(house)

    play(test)


def test_a_start_lets_it_out() -> None:
    async def test() -> None:
        async with many().open() as house:
            client, waiting = await crowd(house)
            waiting["w0"].send(HEAD + line("w0", "started"))
            out = await taken(house)
            assert list(out) == ["t"]
            out["t"].send(done("t"))
            await house.settle()
            assert client.got.startswith(b"HTTP/1.1 200 ")

    play(test)


def test_hosts_that_stand_still_make_no_crowd() -> None:
    async def test() -> None:
        async with many().open() as house:
            await crowd(house)
            await house.pass_time(500)  # the two are late where they wait
            await house.post("next")
            assert list(await taken(house)) == ["next"]

    play(test)


@pytest.mark.parametrize("way", ["fin", "half", "reset", "behind"])
def test_a_client_that_has_left_is_not_sent_on_with_the_start(way: str) -> None:
    async def test() -> None:
        async with many().open() as house:
            waiting = await two_wait(house)
            client = house.kernel()
            client.send(message("t", "safe", 4000))
            assert not await taken(house)
            waiting["w0"].send_now(HEAD + line("w0", "started"))  # first in the queue of what is to be read
            client.leave(way)
            house.stall(200.0)
            assert not await taken(house)

    play(test)


def test_few_dispatchers_that_see_most_of_the_jobs_hold_nothing_back() -> None:
    async def test() -> None:
        async with House(8, settings={"instances": 3}, limits={"may_tell": False}).open() as house:
            await learned(house)
            for number in range(3):
                await house.post(f"w{number}")
            assert len(await taken(house)) == 3

    play(test)

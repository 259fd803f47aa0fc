"""Deployments with unlike settings, one after the other in the same tree: each dispatcher behaves by its own.

Classes, effects, deadlines, tenants, grace, refusals and the register differ; nothing is kept of the one before.
"""

import os
import signal
from typing import Any

import pytest

from end_to_end.house import TURNED_AWAY, House, done, message, play, served
from heronlug.config.platform import ConfigError, parse
from heronlug.net.http import response

FIRST: dict[str, Any] = {
    "settings": {
        "lanes": [
            {"name": "letters", "deadline": 1500.0, "effect": "once", "goal_time": 300.0, "worth": 9.0},
            {"name": "readings", "deadline": 60_000.0, "effect": "repeatable", "goal_time": 400.0},
        ],
        "customers": [],
        "discovery": "pushed",
    },
    "limits": {"max_retry_after": 4000.0, "attempts_cap": 3},
    "safety": {"drain_grace": 400.0},
}
SECOND: dict[str, Any] = {
    "settings": {
        "lanes": [
            {"name": "readings", "deadline": 900.0, "effect": "once", "goal_time": 300.0},
            {"name": "letters", "deadline": 9_000.0, "effect": "repeatable", "goal_time": 300.0},
            {"name": "maps", "deadline": 3_000.0, "effect": "by_key", "goal_time": 300.0, "repeat_window": 2000.0},
        ],
        "customers": [{"name": "north", "quota_per_s": 1.0}, {"name": "south", "quota_per_s": 3.0}],
    },
    "limits": {"retry_after": False, "attempts_cap": 2},
}


async def breaks(house: House, lane: str) -> bytes:
    """What a client is told whose job has started where the connection breaks; the next host's answer counts."""
    client = await house.post(f"b-{lane}", lane)
    await house.pass_time(20)
    end, _ = await next(host for host in house.hosts.values() if host.requests).request()
    end.reset()
    await house.settle()
    await house.pass_time(50)
    for host in house.hosts.values():
        if host.requests:
            again, _ = await host.request()
            again.send(done(f"b-{lane}"))
    await house.settle()
    return client.got.split(b" ")[1]


def test_two_deployments_one_after_the_other() -> None:
    """Twice round: the same names mean other things, and the second round is as the first."""

    async def first() -> None:
        async with House(2, **FIRST).open(confirmed=False) as house:
            call, asked = await house.register.request()
            assert b"&wait_ms=0 " in asked
            call.send(house.news(3))
            assert await breaks(house, "letters") == b"500"
            assert await breaks(house, "readings") == b"200"
            client = await house.post("m1", "maps")
            assert client.got.startswith(b"HTTP/1.1 400 ")

    async def second() -> None:
        async with House(2, **SECOND).open() as house:
            _, asked = await house.register.request()
            assert b"&wait_ms=20000 " in asked
            assert await breaks(house, "readings") == b"500"
            assert await breaks(house, "letters") == b"200"
            assert await breaks(house, "maps") == b"200"
            client = await house.post("m1", "maps", remaining=60)
            for _ in range(3):
                for host in house.hosts.values():
                    if host.requests:
                        end, _ = await host.request()
                        end.send(TURNED_AWAY)
                await house.settle()
            await house.pass_time(60)
            assert client.got == response(503)  # nobody is told to come back here

    for _ in range(2):
        play(first)
        play(second)


def test_tenants_by_their_names() -> None:
    """Each job counts against its own tenant's share, and one of nobody's against none."""

    async def test() -> None:
        async with House(1, **SECOND).open() as house:
            tenants = []
            for number, name in enumerate(["south", "north", "west", ""]):
                client = await house.client()
                head = f"Host: x\r\nX-Org: {name}\r\n" if name else "Host: x\r\n"
                client.send(message(f"t{number}", "letters", 4000).replace(b"Host: x\r\n", head.encode()))
                end, request = await house.hosts["h1"].request()
                assert (b"x-org: " + name.encode() in request) is bool(name)
                tenants.append(next(iter(house.daemon.core.requests)).payload.workload.tenant)
                end.send(done(f"t{number}"))
                await house.settle()
                assert served(client)
            assert tenants == [1, 0, 2, 2]

    play(test)


WRONG = [
    ({"lanes": []}, "classes"),
    ({"lanes": [*SECOND["settings"]["lanes"], FIRST["settings"]["lanes"][0]]}, "two classes are named 'letters'"),
    ({"lanes": [{"name": "a", "deadline": -1.0, "effect": "once", "goal_time": 1.0}]}, "lanes[0].deadline"),
    ({"lanes": [{"name": "a", "deadline": 1.0, "effect": "twice", "goal_time": 1.0}]}, "lanes[0]."),
    ({"instances": 3, "position": 3}, "position: 3: of 3 instances it is 0 to 2"),
    ({"safety": {"cold_from": 0.0}}, "cold_from"),
]


@pytest.mark.parametrize(("wrong", "told"), WRONG)
def test_settings_that_cannot_be(wrong: dict[str, Any], told: str) -> None:
    """Refused at the start with file and key; by a reload nothing changes."""
    house = House(1)
    with pytest.raises(ConfigError) as error:
        parse({**house.raw, "settings": {**house.raw["settings"], **wrong}}, "config.json")
    assert "config.json: settings: " in str(error.value) and told in str(error.value)

    async def test() -> None:
        async with House(1).open() as house:
            house.raw["discovery"], right = house.other.address, house.raw["settings"]
            house.raw["settings"] = {**right, **wrong}
            os.kill(os.getpid(), signal.SIGHUP)
            for _ in range(1000):
                await house.settle()
                if house.logged("reload_failed"):
                    break
            assert told in str(house.logged("reload_failed"))
            client = await house.post("t1")
            end, _ = await house.hosts["h1"].request()
            end.send(done("t1"))
            await house.settle()
            assert served(client) and not house.other.ends

    play(test)


def test_a_pushed_deployment_may_leave_the_time_for_asking_out() -> None:
    """It does not apply there, and stands as 0 or not at all."""
    house = House(1, safety={"ask_every": 0.0}, **{"settings": {"discovery": "pushed"}})
    assert parse(house.raw, "config.json").pushed

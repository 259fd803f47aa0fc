"""Deployments with unlike settings, one after the other in the same tree: each dispatcher behaves by its own.

Classes, effects, deadlines, tenants, grace, refusals and discovery differ; nothing is kept of the one before.
"""

import os
import signal
from typing import Any

import pytest

from end_to_end.harness import REJECTED_RESPONSE, DispatcherHarness, done, request_bytes, run_async, served
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


async def response_after_broken_connection(harness: DispatcherHarness, class_name: str) -> bytes:
    """What a client is told whose request has started where the connection breaks; the next server's answer counts."""
    client = await harness.post(f"b-{class_name}", class_name)
    await harness.pass_time(20)
    end, _ = await next(server for server in harness.servers.values() if server.requests).request()
    end.reset()
    await harness.settle()
    await harness.pass_time(50)
    for server in harness.servers.values():
        if server.requests:
            again, _ = await server.request()
            again.send(done(f"b-{class_name}"))
    await harness.settle()
    return client.received.split(b" ")[1]


def test_two_deployments_in_turn_behave_by_their_own_settings() -> None:
    """Twice round: the same names mean other things, and the second round is as the first."""

    async def first() -> None:
        async with DispatcherHarness(2, **FIRST).open(confirmed=False) as harness:
            call, poll = await harness.discovery.request()
            assert b"&wait_ms=0 " in poll
            call.send(harness.list_response(3))
            assert await response_after_broken_connection(harness, "letters") == b"500"
            assert await response_after_broken_connection(harness, "readings") == b"200"
            client = await harness.post("m1", "maps")
            assert client.received.startswith(b"HTTP/1.1 400 ")

    async def second() -> None:
        async with DispatcherHarness(2, **SECOND).open() as harness:
            _, poll = await harness.discovery.request()
            assert b"&wait_ms=20000 " in poll
            assert await response_after_broken_connection(harness, "readings") == b"500"
            assert await response_after_broken_connection(harness, "letters") == b"200"
            assert await response_after_broken_connection(harness, "maps") == b"200"
            client = await harness.post("m1", "maps", remaining=60)
            for _ in range(3):
                for server in harness.servers.values():
                    if server.requests:
                        end, _ = await server.request()
                        end.send(REJECTED_RESPONSE)
                await harness.settle()
            await harness.pass_time(60)
            assert client.received == response(503)  # nobody is told to come back here

    for _ in range(2):
        run_async(first)
        run_async(second)


def test_requests_count_against_the_tenant_that_they_name() -> None:
    """Each request counts against its own tenant's share, and one of nobody's against none."""

    async def test() -> None:
        async with DispatcherHarness(1, **SECOND).open() as harness:
            tenants = []
            for number, name in enumerate(["south", "north", "west", ""]):
                client = await harness.client()
                head = f"Host: x\r\nX-Org: {name}\r\n" if name else "Host: x\r\n"
                client.send(request_bytes(f"t{number}", "letters", 4000).replace(b"Host: x\r\n", head.encode()))
                end, request = await harness.servers["h1"].request()
                assert (b"x-org: " + name.encode() in request) is bool(name)
                tenants.append(next(iter(harness.application.core.requests)).payload.workload.tenant)
                end.send(done(f"t{number}"))
                await harness.settle()
                assert served(client)
            assert tenants == [1, 0, 2, 2]

    run_async(test)


WRONG = [
    ({"lanes": []}, "classes"),
    ({"lanes": [*SECOND["settings"]["lanes"], FIRST["settings"]["lanes"][0]]}, "two classes are named 'letters'"),
    ({"lanes": [{"name": "a", "deadline": -1.0, "effect": "once", "goal_time": 1.0}]}, "lanes[0].deadline"),
    ({"lanes": [{"name": "a", "deadline": 1.0, "effect": "twice", "goal_time": 1.0}]}, "lanes[0]."),
    ({"instances": 3, "position": 3}, "position: 3 is out of range, expected 0 to 2 for 3 instances"),
    ({"safety": {"cold_from": 0.0}}, "cold_from"),
]


@pytest.mark.parametrize(("wrong", "reported"), WRONG)
def test_invalid_settings_are_rejected(wrong: dict[str, Any], reported: str) -> None:
    """Refused at the start with file and key; by a reload nothing changes."""
    harness = DispatcherHarness(1)
    with pytest.raises(ConfigError) as error:
        parse({**harness.raw, "settings": {**harness.raw["settings"], **wrong}}, "config.json")
    assert "config.json: settings: " in str(error.value)
    assert reported in str(error.value)

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            harness.raw["discovery"], right = harness.other_discovery.address, harness.raw["settings"]
            harness.raw["settings"] = {**right, **wrong}
            os.kill(os.getpid(), signal.SIGHUP)
            for _ in range(1000):
                await harness.settle()
                if harness.logged("reload_failed"):
                    break
            assert reported in str(harness.logged("reload_failed"))
            client = await harness.post("t1")
            end, _ = await harness.servers["h1"].request()
            end.send(done("t1"))
            await harness.settle()
            assert served(client)
            assert not harness.other_discovery.connections

    run_async(test)


def test_pushed_deployment_may_omit_the_poll_interval() -> None:
    """It does not apply there, and stands as 0 or not at all."""
    harness = DispatcherHarness(1, safety={"ask_every": 0.0}, **{"settings": {"discovery": "pushed"}})
    assert parse(harness.raw, "config.json").pushed

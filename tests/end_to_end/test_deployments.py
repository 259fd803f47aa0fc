"""Tests that each dispatcher follows its own settings when several deployments run in turn in the same process.

The classes, effects, deadlines, tenants, drain grace, rejections and discovery modes of the deployments differ, and no
state of a deployment may reach the next one.
"""

import os
import signal
from typing import Any

import pytest

from end_to_end.harness import REJECTED_RESPONSE, DispatcherHarness, done, request_bytes, run_async, served
from heronlug.config.platform import ConfigError, parse
from heronlug.net.http import response

FIRST_DEPLOYMENT: dict[str, Any] = {
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
SECOND_DEPLOYMENT: dict[str, Any] = {
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
    """Resets the server connection of a request, serves a retry, and returns the status that the client received."""
    client = await harness.post(f"b-{class_name}", class_name)
    await harness.pass_time(20)
    server_connection, _ = await next(server for server in harness.servers.values() if server.requests).request()
    server_connection.reset()
    await harness.settle()
    await harness.pass_time(50)
    for server in harness.servers.values():
        if server.requests:
            second_connection, _ = await server.request()
            second_connection.send(done(f"b-{class_name}"))
    await harness.settle()
    return client.received.split(b" ")[1]


def test_two_deployments_in_turn_behave_by_their_own_settings() -> None:
    """Guards against settings that remain from another deployment, which uses the same class names differently.

    Both deployments run twice, and the second round must behave like the first one.
    """

    async def run_first_deployment() -> None:
        async with DispatcherHarness(2, **FIRST_DEPLOYMENT).open(confirmed=False) as harness:
            call, poll = await harness.discovery.request()
            assert b"&wait_ms=0 " in poll
            call.send(harness.list_response(3))
            assert await response_after_broken_connection(harness, "letters") == b"500"
            assert await response_after_broken_connection(harness, "readings") == b"200"
            client = await harness.post("m1", "maps")
            assert client.received.startswith(b"HTTP/1.1 400 ")

    async def run_second_deployment() -> None:
        async with DispatcherHarness(2, **SECOND_DEPLOYMENT).open() as harness:
            _, poll = await harness.discovery.request()
            assert b"&wait_ms=20000 " in poll
            assert await response_after_broken_connection(harness, "readings") == b"500"
            assert await response_after_broken_connection(harness, "letters") == b"200"
            assert await response_after_broken_connection(harness, "maps") == b"200"
            client = await harness.post("m1", "maps", remaining=60)
            for _ in range(3):
                for server in harness.servers.values():
                    if server.requests:
                        server_connection, _ = await server.request()
                        server_connection.send(REJECTED_RESPONSE)
                await harness.settle()
            await harness.pass_time(60)
            assert client.received == response(503)  # this deployment sends no Retry-After

    for _ in range(2):
        run_async(run_first_deployment)
        run_async(run_second_deployment)


def test_requests_count_against_the_tenant_that_they_name() -> None:
    """Guards against counting a request against a tenant that the request does not name."""

    async def test() -> None:
        async with DispatcherHarness(1, **SECOND_DEPLOYMENT).open() as harness:
            tenants = []
            for number, name in enumerate(["south", "north", "west", ""]):
                client = await harness.client()
                head = f"Host: x\r\nX-Org: {name}\r\n" if name else "Host: x\r\n"
                client.send(request_bytes(f"t{number}", "letters", 4000).replace(b"Host: x\r\n", head.encode()))
                server_connection, request = await harness.servers["h1"].request()
                assert (b"x-org: " + name.encode() in request) is bool(name)
                tenants.append(next(iter(harness.application.core.requests)).payload.workload.tenant)
                server_connection.send(done(f"t{number}"))
                await harness.settle()
                assert served(client)
            assert tenants == [1, 0, 2, 2]

    run_async(test)


INVALID_SETTINGS = [
    ({"lanes": []}, "classes"),
    (
        {"lanes": [*SECOND_DEPLOYMENT["settings"]["lanes"], FIRST_DEPLOYMENT["settings"]["lanes"][0]]},
        "two classes are named 'letters'",
    ),
    ({"lanes": [{"name": "a", "deadline": -1.0, "effect": "once", "goal_time": 1.0}]}, "lanes[0].deadline"),
    ({"lanes": [{"name": "a", "deadline": 1.0, "effect": "twice", "goal_time": 1.0}]}, "lanes[0]."),
    ({"instances": 3, "position": 3}, "position: 3 is out of range, expected 0 to 2 for 3 instances"),
    ({"safety": {"cold_from": 0.0}}, "cold_from"),
]


@pytest.mark.parametrize(("invalid", "expected_error"), INVALID_SETTINGS)
def test_invalid_settings_are_rejected(invalid: dict[str, Any], expected_error: str) -> None:
    """Guards against applying invalid settings: the start fails with file and key, and a reload changes nothing."""
    harness = DispatcherHarness(1)
    with pytest.raises(ConfigError) as error:
        parse({**harness.raw, "settings": {**harness.raw["settings"], **invalid}}, "config.json")
    assert "config.json: settings: " in str(error.value)
    assert expected_error in str(error.value)

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness:
            harness.raw["discovery"], valid = harness.other_discovery.address, harness.raw["settings"]
            harness.raw["settings"] = {**valid, **invalid}
            os.kill(os.getpid(), signal.SIGHUP)
            for _ in range(1000):
                await harness.settle()
                if harness.logged("reload_failed"):
                    break
            assert expected_error in str(harness.logged("reload_failed"))
            client = await harness.post("t1")
            server_connection, _ = await harness.servers["h1"].request()
            server_connection.send(done("t1"))
            await harness.settle()
            assert served(client)
            assert not harness.other_discovery.connections

    run_async(test)


def test_pushed_deployment_may_omit_the_poll_interval() -> None:
    """Guards against requiring the poll interval, which a deployment with pushed lists omits or sets to 0."""
    harness = DispatcherHarness(1, safety={"ask_every": 0.0}, **{"settings": {"discovery": "pushed"}})
    assert parse(harness.raw, "config.json").pushed

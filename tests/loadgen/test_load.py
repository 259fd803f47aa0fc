"""Tests the load generator on sockets: planned requests, latency during stalls, server faults and the rules.

The tests assert no throughput, only the outcomes and that latency counts from the due time.
"""

import asyncio
import json
import subprocess
import sys
import time
from pathlib import Path

import pytest
from emulator.fleets import TEXT, scenario

from heronlug.cli import group
from heronlug.conformance import Began, Checker, Load
from heronlug.emulator.clients import ClientRequest
from heronlug.emulator.scenario import ClassTable
from heronlug.emulator.world import World
from heronlug.loadgen.demo import on_sockets
from heronlug.loadgen.http import HttpLoad
from heronlug.loadgen.plan import PlannedRequest, loopback, plan
from heronlug.loadgen.tally import Tally, service
from heronlug.standins.ports import free_port

ROOT = Path(__file__).parents[2]
STALL_S = 0.6


def test_planned_requests_equal_those_of_the_emulator() -> None:
    """Different requests on sockets and on the emulator would make their figures incomparable."""
    parsed = scenario(span_s=5)
    world, submitted = World(parsed, 7), list[tuple[float, int, float]]()
    submit = world.clients._submit

    def record_and_submit(request: ClientRequest) -> None:
        submitted.append((request.arrived_at, request.class_number, request.work_ms))
        submit(request)

    world.clients._submit = record_and_submit  # type: ignore[method-assign]
    world.run()
    due = [(each.due_at, parsed.classes.index(each.request_class), each.work_ms) for each in plan(parsed, 7)]
    assert sorted(due) == sorted(submitted)
    assert len(due) > 600


@pytest.mark.parametrize("address", ["192.0.2.1:80", "example.org:80", "10.0.0.1:80", "127.0.0.1"])
def test_addresses_other_than_loopback_are_rejected(address: str) -> None:
    """A mistyped address must not send load to another machine."""
    with pytest.raises(ValueError, match=r"loopback|not an address"):
        loopback(address)


def test_latency_during_a_stall_counts_from_the_due_time() -> None:
    """Requests that fall due while the server stalls must count their wait, although each is answered at once later."""

    async def play() -> Tally:
        end_of_stall = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                await end_of_stall.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async def serve_until_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await serve(reader, writer)

        server = await asyncio.start_server(serve_until_closed, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        parsed = scenario(span_s=1.5)
        tallies = {request_class.name: Tally(request_class) for request_class in parsed.classes}
        asyncio.get_running_loop().call_later(STALL_S, end_of_stall.set)
        await HttpLoad([address], tallies, 60).run(plan(parsed, 1))
        server.close()
        return tallies["safe"]

    tally = asyncio.run(play())
    assert tally.outcomes["lost"] == tally.outcomes["refused"] == 0
    assert tally.percentiles()["p99.9"] > 500 * STALL_S


def test_a_deploy_on_sockets_overloads_no_server_that_warms_up() -> None:
    """Dispatchers must not overload cold servers that replace most of a fleet.

    Two dispatchers send 150 requests per second to sixteen servers, and a deploy replaces most servers.
    """
    parsed = scenario(
        '[[trouble]]\nwhat = "deploy"\nat_s = 2\nshare = 0.6\nover_s = 4\ndrain_s = 2.6\n',
        span_s=8,
        dispatchers__count=2,
    )
    events: list[object] = []
    tallies = asyncio.run(on_sockets(parsed, 3, events))  # type: ignore[arg-type]
    due = sum(1 for _ in plan(parsed, 3))
    assert sum(tally.request_count for tally in tallies) == due
    assert service(tallies) > 0.5
    began = [event for event in events if isinstance(event, Began)]
    assert {"+" in event.host for event in began} == {True, False}
    checker = Checker()
    for event in events:
        if isinstance(event, Load):
            checker.see(event)
    assert checker.violations == []  # no server was overloaded while warming up


def test_server_faults_are_injected_on_sockets() -> None:
    """Crashes that leave requests of non-idempotent classes unharmed would mean that no fault was injected."""
    faults = '[[trouble]]\nwhat = "crash"\nat_s = 1\nshare = 0.6\n[[trouble]]\nwhat = "pause"\nat_s = 2\nshare = 0.3\n'
    # about 18 requests of class "once" run at any time, so that some of them run on servers that crash
    parsed = scenario(
        faults + "for_s = 0.5\n",
        span_s=4,
        dispatchers__count=1,
        safety__warm_after_ms=100.0,
        **{"class__1__work": {"dist": "gamma", "a": 2.0, "scale": 300.0}},
    )
    tallies = asyncio.run(on_sockets(parsed, 4))
    assert sum(tally.request_count for tally in tallies) == sum(1 for _ in plan(parsed, 4))
    failed_once = sum(tally.outcomes["failed"] for tally in tallies if tally.request_class.effect == "once")
    assert all(tally.outcomes["lost"] == 0 for tally in tallies)
    assert failed_once > 0


def test_load_over_faktory_from_the_command_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Jobs that the dispatcher loses between PUSH and ACK would count as failed, lost or missing."""
    port, scenario_path = free_port(), tmp_path / "fleet.toml"
    scenario_path.write_text(TEXT.replace("count = 8", "count = 5"))
    site = "\n".join(
        f'[[site.class]]\nname = "{name}"\neffect = "{effect}"\naim_ms = 1000\ndeadline_ms = 8000'
        for name, effect in (("safe", "repeatable"), ("once", "once"))
    )
    config_path = tmp_path / "site.toml"
    frontends = f'[serve]\nlisten = "127.0.0.1:{free_port()}"\n[faktory]\nlisten = "127.0.0.1:{port}"\n'
    config_path.write_text(f"{frontends}[site]\n{site}\n")
    with (tmp_path / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "heronlug", "serve", str(config_path)], stdout=log, stderr=log
        )
    try:
        arguments = [
            "load",
            str(scenario_path),
            "--faktory",
            f"127.0.0.1:{port}",
            "--json",
            "--set",
            "span_s=2",
            "--set",
            "arrivals.0.rate=60",
        ]
        give_up_at = time.monotonic() + 30
        while True:
            try:
                assert (group.main(arguments, standalone_mode=False) or 0) == 0
                break
            except Exception:
                assert time.monotonic() < give_up_at, (tmp_path / "log").read_text()
                assert process.poll() is None, (tmp_path / "log").read_text()
                time.sleep(0.1)
        result = json.loads(capsys.readouterr().out)
        assert all(each["finals"]["failed"] == each["finals"]["lost"] == 0 for each in result.values())
        assert result["safe"]["finals"]["on_time"] + result["safe"]["finals"]["late"] > 60
    finally:
        process.kill()
        process.wait()


def test_the_stand_in_command_ends_after_its_time(tmp_path: Path) -> None:
    """A fleet that does not end after ``--seconds`` would keep its processes and ports."""
    scenario_path = tmp_path / "fleet.toml"
    scenario_path.write_text(TEXT)
    done = subprocess.run(
        [sys.executable, "-m", "heronlug", "stand-in", str(scenario_path), "--seconds", "1"],
        capture_output=True,
        timeout=60,
        check=True,
        text=True,
    )
    assert done.stdout.startswith("register 127.0.0.1:")
    assert "16 hosts" in done.stdout


def test_load_tries_every_dispatcher_until_one_listens() -> None:
    """Guards against a dispatcher that is never tried, so that requests are lost although it listens."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65536)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def run() -> Tally:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        open_address = ("127.0.0.1", server.sockets[0].getsockname()[1])
        request_class = ClassTable("quick", "repeatable", 500.0, 4000.0, {"dist": "uniform"}, 1.0)
        closed_addresses = [("127.0.0.1", free_port()) for _ in range(2)]
        load = HttpLoad([open_address, *closed_addresses], {"quick": Tally(request_class)}, 5)
        await load.run([PlannedRequest(0.0, request_class, 1.0)])
        server.close()
        return load.tallies["quick"]

    assert asyncio.run(run()).outcomes["on_time"] == 1

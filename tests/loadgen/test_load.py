"""The load tool on sockets: its jobs are the model's, a stall is not hidden, troubles are played, rules kept.

No speed is asserted: only what must come, and that time counts from when a job was due.
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
from heronlug.emulator.world import World
from heronlug.loadgen.demo import on_sockets
from heronlug.loadgen.http import HttpLoad
from heronlug.loadgen.plan import loopback, plan
from heronlug.loadgen.tally import Tally, service
from heronlug.standins.ports import free_port

ROOT = Path(__file__).parents[2]
STALL = 0.6  # s


def test_the_jobs_are_those_of_the_model() -> None:
    made = scenario(span_s=5)
    world, come = World(made, 7), list[tuple[float, int, float]]()
    submit = world.clients._submit

    def record_and_submit(request: ClientRequest) -> None:
        come.append((request.arrived_at, request.class_number, request.work_ms))
        submit(request)

    world.clients._submit = record_and_submit  # type: ignore[method-assign]
    world.run()
    due = [(each.due_at, made.classes.index(each.request_class), each.work_ms) for each in plan(made, 7)]
    assert sorted(due) == sorted(come)
    assert len(due) > 600


@pytest.mark.parametrize("address", ["192.0.2.1:80", "example.org:80", "10.0.0.1:80", "127.0.0.1"])
def test_load_goes_to_loopback_alone(address: str) -> None:
    with pytest.raises(ValueError, match=r"loopback|not an address"):
        loopback(address)


def test_a_stall_is_counted_from_when_jobs_were_due() -> None:
    """A server that stands still: jobs that were due meanwhile have waited, though each was answered at once."""

    async def play() -> Tally:
        still = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                await still.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async def quiet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await serve(reader, writer)

        server = await asyncio.start_server(quiet, "127.0.0.1", 0)
        door = server.sockets[0].getsockname()[:2]
        made = scenario(span_s=1.5)
        tallies = {lane.name: Tally(lane) for lane in made.classes}
        asyncio.get_running_loop().call_later(STALL, still.set)
        await HttpLoad([door], tallies, 60).run(plan(made, 1))
        server.close()
        return tallies["safe"]

    tally = asyncio.run(play())
    assert tally.outcomes["lost"] == tally.outcomes["refused"] == 0
    assert tally.percentiles()["p99.9"] > 500 * STALL


def test_a_deploy_on_sockets_keeps_the_rules() -> None:
    """Two dispatchers, sixteen hosts of which most are replaced by cold ones, 150 jobs a second."""
    made = scenario(
        '[[trouble]]\nwhat = "deploy"\nat_s = 2\nshare = 0.6\nover_s = 4\ndrain_s = 2.6\n',
        span_s=8,
        dispatchers__count=2,
    )
    events: list[object] = []
    tallies = asyncio.run(on_sockets(made, 3, events))  # type: ignore[arg-type]
    due = sum(1 for _ in plan(made, 3))
    assert sum(tally.request_count for tally in tallies) == due
    assert service(tallies) > 0.5
    began = [event for event in events if isinstance(event, Began)]
    assert {"+" in event.host for event in began} == {True, False}
    checker = Checker()
    for event in events:
        if isinstance(event, Load):
            checker.see(event)
    assert checker.violations == []  # no cold host was pushed over


def test_troubles_of_hosts_are_played_on_sockets() -> None:
    more = '[[trouble]]\nwhat = "crash"\nat_s = 1\nshare = 0.6\n[[trouble]]\nwhat = "pause"\nat_s = 2\nshare = 0.3\n'
    # eighteen of what runs once run at any time: it is never all on the hosts that stay
    made = scenario(
        more + "for_s = 0.5\n",
        span_s=4,
        dispatchers__count=1,
        safety__warm_after_ms=100.0,
        **{"class__1__work": {"dist": "gamma", "a": 2.0, "scale": 300.0}},
    )
    tallies = asyncio.run(on_sockets(made, 4))
    assert sum(tally.request_count for tally in tallies) == sum(1 for _ in plan(made, 4))
    lost = sum(tally.outcomes["failed"] for tally in tallies if tally.request_class.effect == "once")
    assert all(tally.outcomes["lost"] == 0 for tally in tallies)
    assert lost > 0


def test_load_over_faktory_from_the_command_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    port, fleet = free_port(), tmp_path / "fleet.toml"
    fleet.write_text(TEXT.replace("count = 8", "count = 5"))
    site = "\n".join(
        f'[[site.class]]\nname = "{name}"\neffect = "{effect}"\naim_ms = 1000\ndeadline_ms = 8000'
        for name, effect in (("safe", "repeatable"), ("once", "once"))
    )
    file = tmp_path / "site.toml"
    fronts = f'[serve]\nlisten = "127.0.0.1:{free_port()}"\n[faktory]\nlisten = "127.0.0.1:{port}"\n'
    file.write_text(f"{fronts}[site]\n{site}\n")
    with (tmp_path / "log").open("wb") as log:
        program = subprocess.Popen([sys.executable, "-m", "heronlug", "serve", str(file)], stdout=log, stderr=log)
    try:
        words = [
            "load",
            str(fleet),
            "--faktory",
            f"127.0.0.1:{port}",
            "--json",
            "--set",
            "span_s=2",
            "--set",
            "arrivals.0.rate=60",
        ]
        end = time.monotonic() + 30
        while True:
            try:
                assert (group.main(words, standalone_mode=False) or 0) == 0
                break
            except Exception:
                assert time.monotonic() < end, (tmp_path / "log").read_text()
                assert program.poll() is None, (tmp_path / "log").read_text()
                time.sleep(0.1)
        found = json.loads(capsys.readouterr().out)
        assert all(each["finals"]["failed"] == each["finals"]["lost"] == 0 for each in found.values())
        assert found["safe"]["finals"]["on_time"] + found["safe"]["finals"]["late"] > 60
    finally:
        program.kill()
        program.wait()


def test_a_stand_in_fleet_answers_and_ends_by_itself(tmp_path: Path) -> None:
    fleet = tmp_path / "fleet.toml"
    fleet.write_text(TEXT)
    done = subprocess.run(
        [sys.executable, "-m", "heronlug", "stand-in", str(fleet), "--seconds", "1"],
        capture_output=True,
        timeout=60,
        check=True,
        text=True,
    )
    assert done.stdout.startswith("register 127.0.0.1:")
    assert "16 hosts" in done.stdout

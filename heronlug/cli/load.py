"""``load``, ``stand-in`` and ``demo``: a scenario in real time, on loopback."""

import asyncio
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from heronlug.cli.emulate import SET, changed
from heronlug.cli.helpers import FILE, print_columns, print_json

if TYPE_CHECKING:
    from heronlug.emulator.scenario import Scenario


def _scenario(file: Path, changes: tuple[str, ...]) -> "Scenario":
    from heronlug.emulator.scenario import load as read

    try:
        return read(file, changed(changes))
    except ValueError as error:
        raise click.ClickException(str(error)) from None


@click.command()
@click.argument("file", type=FILE)
@click.option("--http", "doors", multiple=True, metavar="HOST:PORT", help="a dispatcher; several take turns")
@click.option("--faktory", metavar="HOST:PORT", help="its Faktory front: producers and stand-in workers")
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=600.0, help="at most so long")
@click.option("--seed", type=int, help="in place of the scenario's")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
@SET
def load(
    file: Path,
    doors: tuple[str, ...],
    faktory: str | None,
    seconds: float,
    seed: int | None,
    as_json: bool,
    changes: tuple[str, ...],
) -> int:
    """Play the arrivals of the scenario FILE against running dispatchers, each job when it is due."""
    from heronlug.loadgen import tally as tallying
    from heronlug.loadgen.faktory import FaktoryLoad
    from heronlug.loadgen.http import HttpLoad
    from heronlug.loadgen.plan import loopback, plan

    scenario = _scenario(file, changes)
    if bool(doors) is bool(faktory):
        msg = "either --http or --faktory says where"
        raise click.UsageError(msg)
    tallies = {lane.name: tallying.Tally(lane) for lane in scenario.classes}
    due = plan(scenario, scenario.seed if seed is None else seed)
    try:
        if faktory:
            work = FaktoryLoad(loopback(faktory), scenario, tallies, seconds).run(due)
        else:
            work = HttpLoad([loopback(door) for door in doors], tallies, seconds).run(due)
        asyncio.run(work)
    except (OSError, ValueError, EOFError) as error:
        raise click.ClickException(str(error)) from None
    listed = list(tallies.values())
    if as_json:
        print_json(
            {
                t.request_class.name: {"finals": t.outcomes, **t.percentiles(), "begun_late": t.started_late}
                for t in listed
            }
        )
    else:
        print_columns(tallying.table(listed))
        late = sum(tally.started_late for tally in listed)
        print(f"service {tallying.service(listed):.4f}; {late} jobs begun late by the tool")
    return 0


@click.command("stand-in")
@click.argument("file", type=FILE)
@click.option("--port", type=click.IntRange(0, 65535), default=0, help="of the register; any if not given")
@click.option("--seconds", type=click.FloatRange(0.1, 86_400), default=3600.0, help="at most so long")
@SET
def stand_in(file: Path, port: int, seconds: float, changes: tuple[str, ...]) -> int:
    """Run the hosts of the scenario FILE and a register that lists them, on 127.0.0.1."""
    from heronlug.standins.fleet import Fleet

    scenario = _scenario(file, changes)

    async def play() -> None:
        fleet = Fleet(scenario)
        found = await fleet.open(port)
        print(f"register 127.0.0.1:{found}, {len(fleet.emulated_servers)} hosts", flush=True)
        fleet.begin()
        over = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, over.set)
        try:
            async with asyncio.timeout(seconds):
                await over.wait()
        except TimeoutError:
            pass
        fleet.close()

    try:
        asyncio.run(play())
    except OSError as error:
        raise click.ClickException(str(error)) from None
    return 0


@click.command()
@click.argument("file", type=FILE)
@click.option("--seed", type=int, help="in place of the scenario's")
@SET
def demo(file: Path, seed: int | None, changes: tuple[str, ...]) -> int:
    """Stand-in hosts, dispatchers and load of the scenario FILE in one go; then the same on the model, and the gap."""
    from heronlug.loadgen import demo as playing
    from heronlug.loadgen import tally as tallying

    scenario = _scenario(file, changes)
    seed = scenario.seed if seed is None else seed
    count = min(playing.MAX_DISPATCHERS, scenario.dispatchers.count)
    print(f"{scenario.name}: {sum(p.count for p in scenario.pool)} hosts, {count} dispatchers, {scenario.span_s:g} s")
    began = time.monotonic()
    try:
        tallies = asyncio.run(playing.on_sockets(scenario, seed))
    except (OSError, RuntimeError) as error:
        raise click.ClickException(str(error)) from None
    print_columns(tallying.table(tallies))
    print(f"service {tallying.service(tallies):.4f} on sockets, in {time.monotonic() - began:.0f} s\n")
    figures = playing.on_the_model(scenario, seed)
    print_columns(tallying.gaps(tallies, figures.classes))
    print(f"service {figures.service:.4f} on the model, in {figures.wall_time_s:.1f} s")
    return 0

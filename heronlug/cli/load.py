"""Defines ``load``, ``stand-in`` and ``demo``, which run a scenario in real time on loopback."""

import asyncio
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from heronlug.cli.emulate import SET_OPTION, parse_changes
from heronlug.cli.helpers import FILE_PATH, print_columns, print_json

if TYPE_CHECKING:
    from heronlug.emulator.scenario import Scenario


def _read_scenario(file: Path, changes: tuple[str, ...]) -> "Scenario":
    """Returns the scenario of a file, changed by ``--set`` options.

    Raises:
        click.ClickException: if the scenario is invalid.
    """
    from heronlug.emulator.scenario import load as load_scenario

    try:
        return load_scenario(file, parse_changes(changes))
    except ValueError as error:
        raise click.ClickException(str(error)) from None


@click.command()
@click.argument("file", type=FILE_PATH)
@click.option(
    "--http", "doors", multiple=True, metavar="HOST:PORT", help="address of a dispatcher; requests rotate over several"
)
@click.option(
    "--faktory", metavar="HOST:PORT", help="Faktory address of a dispatcher, used by producers and stand-in workers"
)
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=600.0, help="maximum duration in seconds")
@click.option("--seed", type=int, help="seed to use instead of the scenario's")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
@SET_OPTION
def load(
    file: Path,
    doors: tuple[str, ...],
    faktory: str | None,
    seconds: float,
    seed: int | None,
    as_json: bool,
    changes: tuple[str, ...],
) -> int:
    """Send the requests of the scenario FILE to running dispatchers, each at its due time."""
    from heronlug.loadgen import tally as tally_report
    from heronlug.loadgen.faktory import FaktoryLoad
    from heronlug.loadgen.http import HttpLoad
    from heronlug.loadgen.plan import loopback, plan

    scenario = _read_scenario(file, changes)
    if bool(doors) is bool(faktory):
        msg = "exactly one of --http and --faktory must be given"
        raise click.UsageError(msg)
    tallies = {request_class.name: tally_report.Tally(request_class) for request_class in scenario.classes}
    planned_requests = plan(scenario, scenario.seed if seed is None else seed)
    try:
        if faktory:
            load_run = FaktoryLoad(loopback(faktory), scenario, tallies, seconds).run(planned_requests)
        else:
            load_run = HttpLoad([loopback(dispatcher) for dispatcher in doors], tallies, seconds).run(planned_requests)
        asyncio.run(load_run)
    except (OSError, ValueError, EOFError) as error:
        raise click.ClickException(str(error)) from None
    all_tallies = list(tallies.values())
    if as_json:
        print_json(
            {
                tally.request_class.name: {
                    "finals": tally.outcomes,
                    **tally.percentiles(),
                    "begun_late": tally.started_late,
                }
                for tally in all_tallies
            }
        )
    else:
        print_columns(tally_report.table(all_tallies))
        late_count = sum(tally.started_late for tally in all_tallies)
        print(
            f"service {tally_report.service(all_tallies):.4f}; {late_count} requests started late by the load generator"
        )
    return 0


@click.command("stand-in")
@click.argument("file", type=FILE_PATH)
@click.option(
    "--port", type=click.IntRange(0, 65535), default=0, help="port of service discovery; default: any free port"
)
@click.option("--seconds", type=click.FloatRange(0.1, 86_400), default=3600.0, help="maximum duration in seconds")
@SET_OPTION
def stand_in(file: Path, port: int, seconds: float, changes: tuple[str, ...]) -> int:
    """Run stand-ins on 127.0.0.1 for the servers of the scenario FILE and for service discovery."""
    from heronlug.standins.fleet import Fleet

    scenario = _read_scenario(file, changes)

    async def run_fleet() -> None:
        fleet = Fleet(scenario)
        discovery_port = await fleet.open(port)
        print(f"register 127.0.0.1:{discovery_port}, {len(fleet.emulated_servers)} hosts", flush=True)
        fleet.begin()
        stopped = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
        try:
            async with asyncio.timeout(seconds):
                await stopped.wait()
        except TimeoutError:
            pass
        fleet.close()

    try:
        asyncio.run(run_fleet())
    except OSError as error:
        raise click.ClickException(str(error)) from None
    return 0


@click.command()
@click.argument("file", type=FILE_PATH)
@click.option("--seed", type=int, help="seed to use instead of the scenario's")
@SET_OPTION
def demo(file: Path, seed: int | None, changes: tuple[str, ...]) -> int:
    """Run the scenario FILE with stand-in servers and dispatchers, then on the emulator, and compare the results."""
    from heronlug.loadgen import demo as demo_runner
    from heronlug.loadgen import tally as tally_report

    scenario = _read_scenario(file, changes)
    seed = scenario.seed if seed is None else seed
    count = min(demo_runner.MAX_DISPATCHERS, scenario.dispatchers.count)
    print(
        f"{scenario.name}: {sum(pool.count for pool in scenario.pool)} servers, "
        f"{count} dispatchers, {scenario.span_s:g} s"
    )
    started_at = time.monotonic()
    try:
        tallies = asyncio.run(demo_runner.on_sockets(scenario, seed))
    except (OSError, RuntimeError) as error:
        raise click.ClickException(str(error)) from None
    print_columns(tally_report.table(tallies))
    print(f"service {tally_report.service(tallies):.4f} on sockets, in {time.monotonic() - started_at:.0f} s\n")
    figures = demo_runner.on_the_model(scenario, seed)
    print_columns(tally_report.gaps(tallies, figures.classes))
    print(f"service {figures.service:.4f} on the model, in {figures.wall_time_s:.1f} s")
    return 0

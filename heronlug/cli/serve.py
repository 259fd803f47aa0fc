"""``serve`` and ``try``: a whole dispatcher from one file, and a first job for it."""

import os
import sys
from functools import partial
from pathlib import Path

import click

from heronlug.cli.helpers import FILE_PATH
from heronlug.config.desired_state import State
from heronlug.config.files import Files
from heronlug.config.platform import Config


@click.command()
@click.argument("file", type=FILE_PATH, required=False)
def serve(file: Path | None) -> int:
    """Run a dispatcher in the foreground.

    FILE is the operators' file.  With [serve] and [site] in it, it is the whole configuration; else RELAY_CONFIG names
    the rest.
    """
    from heronlug.__main__ import start

    return (
        start(Files(file, os.environ), partial(_announce, file))
        if file is not None
        else start(Files.from_environment())
    )


def _announce(file: Path, config: Config, state: State) -> None:
    """Where it will listen and one command to try, for people."""
    addresses = [("clients (HTTP)", config.listen), ("operators (HTTP)", config.admin)]
    lines = [f"{label:18}{address[0]}:{address[1]}" for label, address in addresses if address is not None]
    if state["faktory"]:
        lines.append(f"{'workers (Faktory)':18}{state['faktory']['listen']}")
    server_count = len((config.known or {}).get("instances", ()))
    lines.append(f"{'hosts':18}{server_count} listed in {file}")
    if not config.discovery:
        lines.append(f"to try it:        {Path(sys.executable)} -m heronlug try {file}")
    print("\n".join(lines), file=sys.stderr, flush=True)


@click.command("try")
@click.argument("file", type=FILE_PATH)
@click.option("--seconds", default=5.0, help="how long to wait for each answer")
def try_(file: Path, seconds: float) -> int:
    """Hand one job of each class to the dispatcher that runs FILE.

    Where nothing listens at a host's loopback address in FILE, a stand-in host answers there meanwhile.
    """
    from heronlug.standins.first_request import run

    config, _ = Files(file, os.environ).load()
    return int(run(config, seconds))

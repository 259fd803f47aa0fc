"""Defines ``serve``, which runs a dispatcher from one file, and ``try``, which sends test requests to a dispatcher."""

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

    FILE is the operators' file. A FILE with [serve] and [site] is the whole configuration; otherwise the environment
    variable RELAY_CONFIG names the platform's configuration.
    """
    from heronlug.__main__ import start

    return (
        start(Files(file, os.environ), partial(_announce, file))
        if file is not None
        else start(Files.from_environment())
    )


def _announce(file: Path, config: Config, state: State) -> None:
    """Prints the addresses on which the dispatcher will listen and, without service discovery, the ``try`` command."""
    addresses = [("clients (HTTP)", config.listen), ("operators (HTTP)", config.admin)]
    lines = [f"{label:18}{address[0]}:{address[1]}" for label, address in addresses if address is not None]
    if state["faktory"]:
        lines.append(f"{'workers (Faktory)':18}{state['faktory']['listen']}")
    server_count = len((config.known or {}).get("instances", ()))
    lines.append(f"{'servers':18}{server_count} listed in {file}")
    if not config.discovery:
        lines.append(f"to try it:        {Path(sys.executable)} -m heronlug try {file}")
    print("\n".join(lines), file=sys.stderr, flush=True)


@click.command("try")
@click.argument("file", type=FILE_PATH)
@click.option("--seconds", default=5.0, help="seconds to wait for each answer")
def try_(file: Path, seconds: float) -> int:
    """Send one request of each class to the dispatcher that runs FILE.

    If nothing listens at the loopback address of a server in FILE, a stand-in server answers there during the command.
    """
    from heronlug.standins.first_request import run

    config, _ = Files(file, os.environ).load()
    return int(run(config, seconds))

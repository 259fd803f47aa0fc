"""``cluster members`` and ``cluster duties``: what a running member sees."""

import click

from heronlug.cli.helpers import JSON, SOCKET, print_rows
from heronlug.lifecycle.control import ask


@click.group()
def cluster() -> None:
    """The dispatchers that share duties, as the running one sees them."""


def _show(control: str, what: str, as_json: bool) -> None:
    print_rows(ask(control, {"ask": what})[what], as_json)


@cluster.command()
@JSON
@SOCKET
def members(as_json: bool, control: str) -> None:
    """Who is there, and since when."""
    _show(control, "members", as_json)


@cluster.command()
@JSON
@SOCKET
def duties(as_json: bool, control: str) -> None:
    """Each duty: whether it is ours, under which fence, the lease that is left, the last run, runs and takeovers."""
    _show(control, "duties", as_json)

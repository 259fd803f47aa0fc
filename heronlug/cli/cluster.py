"""``cluster members`` and ``cluster duties``: the cluster as the running dispatcher sees it."""

import click

from heronlug.cli.helpers import JSON, SOCKET, print_rows
from heronlug.lifecycle.control import ask


@click.group()
def cluster() -> None:
    """The dispatchers that share leases, as the running one sees them."""


def _show(control: str, what: str, as_json: bool) -> None:
    print_rows(ask(control, {"ask": what})[what], as_json)


@cluster.command()
@JSON
@SOCKET
def members(as_json: bool, control: str) -> None:
    """The members, their health, and since when."""
    _show(control, "members", as_json)


@cluster.command("duties")
@JSON
@SOCKET
def leases(as_json: bool, control: str) -> None:
    """Each lease: whether this member holds it, its fencing token, the time left, the last run, runs and takeovers."""
    _show(control, "duties", as_json)

"""``cluster members`` and ``cluster duties``: the cluster as the running dispatcher sees it."""

import click

from heronlug.cli.helpers import CONTROL_OPTION, JSON_OPTION, print_rows
from heronlug.lifecycle.control import ask


@click.group()
def cluster() -> None:
    """The dispatchers that share leases, as the running one sees them."""


def _print_overview(control: str, subject: str, as_json: bool) -> None:
    print_rows(ask(control, {"ask": subject})[subject], as_json)


@cluster.command()
@JSON_OPTION
@CONTROL_OPTION
def members(as_json: bool, control: str) -> None:
    """The members, their health, and since when."""
    _print_overview(control, "members", as_json)


@cluster.command("duties")
@JSON_OPTION
@CONTROL_OPTION
def leases(as_json: bool, control: str) -> None:
    """Each lease: whether this member holds it, its fencing token, the time left, the last run, runs and takeovers."""
    _print_overview(control, "duties", as_json)

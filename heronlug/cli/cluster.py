"""Defines ``cluster members`` and ``cluster duties``, which show the cluster as the running dispatcher sees it."""

import click

from heronlug.cli.helpers import CONTROL_OPTION, JSON_OPTION, print_rows
from heronlug.lifecycle.control import ask


@click.group()
def cluster() -> None:
    """Show the cluster of dispatchers that share leases, as the running dispatcher sees it."""


def _print_overview(control: str, subject: str, as_json: bool) -> None:
    """Prints the rows that the running dispatcher returns for ``members`` or ``duties``."""
    print_rows(ask(control, {"ask": subject})[subject], as_json)


@cluster.command()
@JSON_OPTION
@CONTROL_OPTION
def members(as_json: bool, control: str) -> None:
    """Show the members, the health of each member and the time since its last change."""
    _print_overview(control, "members", as_json)


@cluster.command("duties")
@JSON_OPTION
@CONTROL_OPTION
def leases(as_json: bool, control: str) -> None:
    """Show each lease: whether this member is the holder, fencing token, time left, last run, runs and takeovers."""
    _print_overview(control, "duties", as_json)

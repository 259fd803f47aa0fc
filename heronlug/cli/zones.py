"""Defines ``halls``, which shows the zones of a running dispatcher, and lets operators exclude and return zones."""

import click

from heronlug.cli.helpers import CONTROL_OPTION, JSON_OPTION, print_rows
from heronlug.lifecycle.control import ask

FOR_OPTION = click.option(
    "--for", "seconds", type=float, help="seconds until zone failover decides again; default: until released"
)


@click.group(invoke_without_command=True)
@JSON_OPTION
@CONTROL_OPTION
@click.pass_context
def halls(context: click.Context, as_json: bool, control: str) -> None:
    """Show each zone as the running dispatcher sees it: state, offered servers, evidence, and who decides the state."""
    if context.invoked_subcommand is None:
        print_rows(ask(control, {"ask": "halls"})["halls"], as_json)


def _send_order(do: str, hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    """Sends an operator's order for a zone to the running dispatcher, and prints the resulting state of all zones."""
    print_rows(ask(control, {"ask": "hall", "do": do, "hall": hall, "for_s": seconds})["halls"], as_json)


@halls.command()
@click.argument("hall")
@FOR_OPTION
@JSON_OPTION
@CONTROL_OPTION
def leave(hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    """Exclude a zone from new traffic; rejected if more than half of all servers would be excluded."""
    _send_order("leave", hall, seconds, as_json, control)


@halls.command("return")
@click.argument("hall")
@FOR_OPTION
@JSON_OPTION
@CONTROL_OPTION
def return_(hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    """Return traffic to a whole zone regardless of evidence; its servers count as cold."""
    _send_order("return", hall, seconds, as_json, control)


@halls.command()
@click.argument("hall")
@JSON_OPTION
@CONTROL_OPTION
def release(hall: str, as_json: bool, control: str) -> None:
    """Let zone failover decide again; an excluded zone returns in stages."""
    _send_order("release", hall, None, as_json, control)

"""``halls``: what a running dispatcher knows of each hall; ``halls leave|return|release``: an operator's word."""

import click

from heronlug.cli.helpers import CONTROL_OPTION, JSON_OPTION, print_rows
from heronlug.lifecycle.control import ask

FOR_OPTION = click.option(
    "--for", "seconds", type=float, help="seconds, then what is seen decides again; else until told"
)


@click.group(invoke_without_command=True)
@JSON_OPTION
@CONTROL_OPTION
@click.pass_context
def halls(context: click.Context, as_json: bool, control: str) -> None:
    """The halls as the running dispatcher sees them: state, what is offered, evidence, who decides."""
    if context.invoked_subcommand is None:
        print_rows(ask(control, {"ask": "halls"})["halls"], as_json)


def _send_order(do: str, hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    print_rows(ask(control, {"ask": "hall", "do": do, "hall": hall, "for_s": seconds})["halls"], as_json)


@halls.command()
@click.argument("hall")
@FOR_OPTION
@JSON_OPTION
@CONTROL_OPTION
def leave(hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    """Send nothing new to a hall; refused where more than half of all hosts would be left."""
    _send_order("leave", hall, seconds, as_json, control)


@halls.command("return")
@click.argument("hall")
@FOR_OPTION
@JSON_OPTION
@CONTROL_OPTION
def return_(hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    """Offer all of a hall again, whatever is seen of it; its hosts are taken for cold."""
    _send_order("return", hall, seconds, as_json, control)


@halls.command()
@click.argument("hall")
@JSON_OPTION
@CONTROL_OPTION
def release(hall: str, as_json: bool, control: str) -> None:
    """What is seen decides again; a hall that was left returns in stages."""
    _send_order("release", hall, None, as_json, control)

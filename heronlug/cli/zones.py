"""``halls``: what a running dispatcher knows of each hall; ``halls leave|return|release``: an operator's word."""

import click

from heronlug.cli.helpers import JSON, SOCKET, print_rows
from heronlug.lifecycle.control import ask

FOR = click.option("--for", "seconds", type=float, help="seconds, then what is seen decides again; else until told")


@click.group(invoke_without_command=True)
@JSON
@SOCKET
@click.pass_context
def halls(context: click.Context, as_json: bool, control: str) -> None:
    """The halls as the running dispatcher sees them: state, what is offered, evidence, who decides."""
    if context.invoked_subcommand is None:
        print_rows(ask(control, {"ask": "halls"})["halls"], as_json)


def _order(do: str, hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    print_rows(ask(control, {"ask": "hall", "do": do, "hall": hall, "for_s": seconds})["halls"], as_json)


@halls.command()
@click.argument("hall")
@FOR
@JSON
@SOCKET
def leave(hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    """Send nothing new to a hall; refused where more than half of all hosts would be left."""
    _order("leave", hall, seconds, as_json, control)


@halls.command("return")
@click.argument("hall")
@FOR
@JSON
@SOCKET
def return_(hall: str, seconds: float | None, as_json: bool, control: str) -> None:
    """Offer all of a hall again, whatever is seen of it; its hosts are taken for cold."""
    _order("return", hall, seconds, as_json, control)


@halls.command()
@click.argument("hall")
@JSON
@SOCKET
def release(hall: str, as_json: bool, control: str) -> None:
    """What is seen decides again; a hall that was left returns in stages."""
    _order("release", hall, None, as_json, control)

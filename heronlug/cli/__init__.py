"""Defines the command line.

The platform starts a dispatcher without arguments; such a dispatcher does not import this package.
"""

import sys

import click

from heronlug import __version__
from heronlug.cli.change import apply, plan
from heronlug.cli.cluster import cluster
from heronlug.cli.emulate import emulate, experiment, rules
from heronlug.cli.fleet import fleet
from heronlug.cli.inspect import check, limits
from heronlug.cli.load import demo, load, stand_in
from heronlug.cli.pressure import pressure
from heronlug.cli.serve import serve, try_
from heronlug.cli.store import store
from heronlug.cli.upgrades import upgrades
from heronlug.cli.zones import halls
from heronlug.config.desired_state import StateError
from heronlug.config.platform import ConfigError

LAB_PACKAGES = {"hdrh", "jinja2", "matplotlib", "numpy", "rich", "scipy"}
"""Top-level modules of the packages in requirements-lab.txt, which are optional."""


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="heronlug")
def group() -> None:
    """Run a request dispatcher, check its files, and change a running dispatcher.

    Without arguments, a dispatcher starts with the configuration that the environment variable RELAY_CONFIG names.
    """


for command in (
    serve,
    check,
    plan,
    apply,
    limits,
    cluster,
    halls,
    store,
    try_,
    emulate,
    experiment,
    rules,
    load,
    stand_in,
    demo,
    fleet,
    upgrades,
    pressure,
):
    group.add_command(command)


def main() -> int:
    """Runs the command that the arguments name.

    Returns:
        The exit status: 0 if the command succeeds; 1 if the command fails, or the configuration or the desired state is
        invalid; 2 if the arguments are invalid, or a package of the extra ``lab`` is missing.
    """
    try:
        status = group.main(prog_name="heronlug", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 1
    except ModuleNotFoundError as error:
        if (error.name or "").split(".")[0] not in LAB_PACKAGES:
            raise
        print(f"heronlug: {error.name} is not installed: this command needs the extra heronlug[lab]", file=sys.stderr)
        return 2
    except (ConfigError, StateError) as error:
        print("\n".join(f"heronlug: {line}" for line in str(error).splitlines()), file=sys.stderr)
        return 1
    return status if isinstance(status, int) else 0

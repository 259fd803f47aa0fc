"""Entry point of ``python -m heronlug``: runs a command, or without arguments a dispatcher."""

import os
import sys
from collections.abc import Callable

from heronlug.lifecycle.process_signals import startup_signals

if sys.argv[1:2] in ([], ["serve"]):
    startup_signals.listen()  # before the imports below, which take most of the start-up time

from heronlug.config.desired_state import State, StateError
from heronlug.config.files import Files
from heronlug.config.platform import Config, ConfigError


def main() -> int:
    """Runs the command that the arguments name, or a dispatcher if there are none, and returns the exit status."""
    if sys.argv[1:]:
        from heronlug.cli import main as run_command

        return run_command()
    return start(Files.from_environment())


def start(files: Files, on_loaded: Callable[[Config, State], None] = lambda config, desired: None) -> int:
    """Loads the files, calls ``on_loaded`` with the configuration and the desired state, and runs a dispatcher.

    Returns:
        The exit status: 2 if the configuration is invalid, else that of the dispatcher.
    """
    try:
        config, desired = files.load()
    except (ConfigError, StateError) as error:
        print("\n".join(f"heronlug: {line}" for line in str(error).splitlines()), file=sys.stderr)
        return 2
    on_loaded(config, desired)
    from heronlug.lifecycle.application import main as serve

    return serve(config, desired, files, os.environ.get("HERONLUG_CONTROL", ""))


if __name__ == "__main__":
    sys.exit(main())

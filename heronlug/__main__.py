"""``python -m heronlug``: one real dispatcher, as the environment tells; with words, the command line."""

import os
import sys
from collections.abc import Callable

from heronlug.lifecycle.startup_signals import startup_signals

if sys.argv[1:2] in ([], ["serve"]):
    startup_signals.listen()  # before the imports below, which take most of the start

from heronlug.config.desired_state import State, StateError
from heronlug.config.files import Files
from heronlug.config.platform import Config, ConfigError


def main() -> int:
    """Start; the exit status is 2 for a configuration that cannot be used."""
    if sys.argv[1:]:
        from heronlug.cli import main as command

        return command()
    return start(Files.from_environment())


def start(files: Files, tell: Callable[[Config, State], None] = lambda config, desired: None) -> int:
    """Serve as these files say; ``tell`` what they say before."""
    try:
        config, desired = files.load()
    except (ConfigError, StateError) as error:
        print("\n".join(f"heronlug: {line}" for line in str(error).splitlines()), file=sys.stderr)
        return 2
    tell(config, desired)
    from heronlug.lifecycle.application import main as serve

    return serve(config, desired, files, os.environ.get("HERONLUG_CONTROL", ""))


if __name__ == "__main__":
    sys.exit(main())

"""``python -m heronlug``: one real dispatcher; with ``plan`` or ``apply``, a change of one that runs."""

import os
import sys
from pathlib import Path

from heronlug.life.config import ConfigError, load
from heronlug.life.state import StateError, read

STATE = Path(__file__).parent.parent / "deploy" / "faktory.toml"


def main() -> int:
    """Start; the exit status is 2 for a configuration that cannot be used."""
    if sys.argv[1:]:
        from heronlug.life.plan import main as plan

        return plan(sys.argv[1:])
    try:
        config = load()
        desired = read(Path(os.environ.get("HERONLUG_STATE") or STATE))
    except (ConfigError, StateError) as error:
        print(f"heronlug: {error}", file=sys.stderr)
        return 2
    from heronlug.life.start import main as serve

    return serve(config, desired, os.environ.get("HERONLUG_CONTROL", ""))


if __name__ == "__main__":
    sys.exit(main())

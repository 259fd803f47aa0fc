"""``python -m heronlug``: one real dispatcher."""

import sys

from heronlug.life.config import ConfigError, load


def main() -> int:
    """Start; the exit status is 2 for a configuration that cannot be used."""
    try:
        config = load()
    except ConfigError as error:
        print(f"heronlug: {error}", file=sys.stderr)
        return 2
    from heronlug.life.start import main as serve

    return serve(config)


if __name__ == "__main__":
    sys.exit(main())

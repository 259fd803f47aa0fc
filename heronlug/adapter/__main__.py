"""Runs the adapter; the simulator starts the dispatchers of a run with ``python -m heronlug.adapter``."""

import sys

from heronlug.adapter.host import main

if __name__ == "__main__":
    sys.exit(main())

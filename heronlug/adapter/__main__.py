"""``python -m heronlug.adapter``: the simulator starts the dispatchers of a run by this command."""

import sys

from heronlug.adapter.host import main

if __name__ == "__main__":
    sys.exit(main())

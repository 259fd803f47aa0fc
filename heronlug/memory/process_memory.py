"""Reads the resident memory of this process (Linux)."""

import os
import resource
from pathlib import Path

STATM = Path("/proc/self/statm")
"""File with the sizes of the process in pages; the second one is the resident size."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes; 0 if the system does not tell."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def peak_resident_bytes() -> int:
    """Returns the largest resident memory of this process so far, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024

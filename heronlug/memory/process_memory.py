"""Reads the resident memory of this process (Linux)."""

import os
from pathlib import Path

STATM = Path("/proc/self/statm")
"""File with the sizes of the process in pages; the second one is the resident size."""
STATUS = Path("/proc/self/status")
"""File with the sizes of the process by name, in KB."""
PEAK = b"VmHWM:"
"""Name of the largest resident size; unlike that of ``getrusage``, it does not include the program before ``exec``."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes; 0 if the system does not tell."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def peak_resident_bytes() -> int:
    """Returns the largest resident memory of this process so far, in bytes; 0 if the system does not tell."""
    try:
        lines = STATUS.read_bytes().splitlines()
        return next(int(line.split()[1]) * 1024 for line in lines if line.startswith(PEAK))
    except (OSError, IndexError, ValueError, StopIteration):
        return 0

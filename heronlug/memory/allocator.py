"""Makes the C library give freed memory back to the system (glibc)."""

import ctypes

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
"""Options of ``mallopt``, as in ``malloc.h``."""

TRIM_THRESHOLD_BYTES = 128 * 1024
"""Free memory at the end of the heap from which it is given back at once, in bytes."""

MMAP_THRESHOLD_BYTES = 32 * 1024
"""Size from which an allocation gets pages of its own, which are given back when it is freed, in bytes.

Large bodies do not leave holes in the heap. Without a fixed value the library raises the threshold to the size of the
largest allocation that was freed, up to 32 MB.
"""


def _library() -> ctypes.CDLL | None:
    library = ctypes.CDLL(None)
    return library if hasattr(library, "mallopt") and hasattr(library, "malloc_trim") else None


def configure() -> None:
    """Sets the thresholds from which freed memory is given back; does nothing with another C library."""
    library = _library()
    if library is not None:
        library.mallopt(M_ARENA_MAX, 1)
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def trim() -> None:
    """Gives all free pages of the heap back; does nothing with another C library."""
    library = _library()
    if library is not None:
        library.malloc_trim(0)

"""Derives the limits of a process from the memory and the descriptors that the platform allows."""

from dataclasses import dataclass

MB = 1024 * 1024
PROGRAM_MB = 29.0
"""Resident memory of the program without clients, in MB."""
PRIVATE_PROGRAM_MB = 18.0
"""The part of that which a second process of the program does not share with the first, in MB."""
USABLE_SHARE = 0.7
"""Share of the remaining memory that may be accounted for; the allocator needs the rest."""
MIN_ACCOUNT_MB = 2.0
"""Memory that others may cause even if it exceeds the limit of the process, in MB: less would serve nobody."""
REQUESTS_PER_MB = 32
"""Maximum number of open requests per MB of the memory limit."""
RESERVED_DESCRIPTORS = 64
"""Descriptors for the event loop, the log, service discovery, the peers and the listeners."""
MIN_CONNECTIONS = 16
"""Minimum limit of client connections, and likewise of server connections."""


@dataclass(frozen=True)
class Limits:
    """The limits of a process.

    Attributes:
        account_bytes: Memory that others may make the process hold, in bytes.
        connections: Number of client connections, and likewise of server connections.
        open_requests: Number of open requests.
        missing_mb: Memory by which the limit of the process is too small, in MB; 0 if it can be kept.
    """

    account_bytes: int
    connections: int
    open_requests: int
    missing_mb: float


def derive(memory_mb: float, descriptors: int, max_open: int) -> Limits:
    """Returns the limits of a process.

    Args:
        memory_mb: Memory limit of the process, in MB.
        descriptors: Maximum number of file descriptors.
        max_open: Maximum number of open requests by the settings.
    """
    usable_mb = (memory_mb - PROGRAM_MB) * USABLE_SHARE
    return Limits(
        account_bytes=int(max(MIN_ACCOUNT_MB, usable_mb) * MB),
        connections=max(MIN_CONNECTIONS, (descriptors - RESERVED_DESCRIPTORS) // 2),
        open_requests=min(max_open, int(memory_mb * REQUESTS_PER_MB)),
        missing_mb=max(0.0, PROGRAM_MB + MIN_ACCOUNT_MB / USABLE_SHARE - memory_mb),
    )

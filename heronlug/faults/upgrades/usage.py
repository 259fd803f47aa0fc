"""Samples from ``/proc`` what the processes of a dispatcher hold together."""

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
"""Seconds between two samples."""
UTIME_FIELD = 11
"""Index of the user CPU time in /proc/PID/stat after the program's name; the system CPU time follows."""


@dataclass
class UsageSampler:
    """Peaks of descriptors and memory over all processes of a dispatcher.

    Attributes:
        pids: Returns the ids of the running processes.
        peak_descriptors: Largest number of descriptors that the processes held together.
        peak_memory_mb: Largest anonymous resident memory of all processes together, in MB.
        peak_parts: Number of descriptors of each process at that peak.
    """

    pids: Callable[[], list[int]]
    peak_descriptors: int = 0
    peak_memory_mb: float = 0.0
    peak_parts: list[int] = field(default_factory=list)

    async def run(self) -> None:
        """Samples until the task is cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Takes one sample."""
        pids = self.pids()
        parts = held_together(pids, self.peak_descriptors)
        if sum(parts) > self.peak_descriptors:
            self.peak_descriptors, self.peak_parts = sum(parts), parts
        self.peak_memory_mb = max(self.peak_memory_mb, sum(private_memory_mb(pid) for pid in pids))


def held_together(pids: list[int], least: int) -> list[int]:
    """Returns numbers of descriptors that the processes held at the same moment.

    The processes can only be read one after another, and one may hand descriptors over meanwhile. Descriptors that are
    open in two readings of all processes were all held between the two.

    Args:
        pids: Ids of the processes.
        least: Sum up to which one reading is exact enough.
    """
    first = [open_files(pid) for pid in pids]
    if sum(map(len, first)) <= least:
        return [len(files) for files in first]
    second = [open_files(pid) for pid in pids]
    return [len(before & after) for before, after in zip(first, second, strict=True)]


def open_files(pid: int) -> set[tuple[str, str]]:
    """Returns the number and the file of each open descriptor of a process; none if it has ended."""
    files = set()
    with suppress(OSError):
        for name in os.listdir(f"/proc/{pid}/fd"):
            with suppress(FileNotFoundError):
                files.add((name, os.readlink(f"/proc/{pid}/fd/{name}")))
    return files


def descriptors_of(pid: int) -> int:
    """Returns the number of open file descriptors of a process; 0 if it has ended."""
    return len(open_files(pid))


def private_memory_mb(pid: int) -> float:
    """Returns the anonymous resident memory of a process in MB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in status.splitlines() if line.startswith("RssAnon:")), 0.0)


def cpu_s_of(pid: int) -> float:
    """Returns the user and system CPU time of a process in seconds; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])) / os.sysconf("SC_CLK_TCK")

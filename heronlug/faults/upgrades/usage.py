"""Samples from ``/proc`` what the processes of a dispatcher hold together."""

import asyncio
import os
import time
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
"""Seconds between two samples."""
UTIME_FIELD = 11
"""Index of the user CPU time in /proc/PID/stat after the program's name; the system CPU time follows."""


@dataclass(frozen=True)
class ResidentMemory:
    """Resident memory of the processes of a dispatcher at a moment.

    Attributes:
        at: Unix time in seconds.
        private_mb: Resident memory in MB that is not of files, by process id.
        file_mb: Resident memory of files in MB, by process id; the processes share the pages of the same files.
    """

    at: float
    private_mb: dict[int, float]
    file_mb: dict[int, float]

    @property
    def total_mb(self) -> float:
        """Returns the resident memory of all processes, in MB; pages of files count once."""
        return sum(self.private_mb.values()) + max(self.file_mb.values(), default=0.0)


@dataclass
class UsageSampler:
    """Peaks of descriptors and memory over all processes of a dispatcher.

    Attributes:
        pids: Returns the ids of the running processes.
        peak_descriptors: Largest number of descriptors that the processes held together.
        peak_memory_mb: Largest anonymous resident memory of all processes together, in MB.
        peak_parts: Number of descriptors of each process at that peak.
        resident: Resident memory at each sample.
        peak_resident_mb: Peak of the resident memory in MB by process id, as the kernel keeps it.
    """

    pids: Callable[[], list[int]]
    peak_descriptors: int = 0
    peak_memory_mb: float = 0.0
    peak_parts: list[int] = field(default_factory=list)
    resident: list[ResidentMemory] = field(default_factory=list)
    peak_resident_mb: dict[int, float] = field(default_factory=dict)

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
        memory = {pid: memory_mb(pid) for pid in pids}
        self.peak_memory_mb = max(self.peak_memory_mb, sum(sizes["RssAnon"] for sizes in memory.values()))
        private_mb = {pid: sizes["VmRSS"] - sizes["RssFile"] for pid, sizes in memory.items()}
        file_mb = {pid: sizes["RssFile"] for pid, sizes in memory.items()}
        self.resident.append(ResidentMemory(time.time(), private_mb, file_mb))
        for pid, sizes in memory.items():
            self.peak_resident_mb[pid] = max(self.peak_resident_mb.get(pid, 0.0), sizes["VmHWM"])


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


def memory_mb(pid: int) -> defaultdict[str, float]:
    """Returns the memory of a process in MB by the names of ``/proc/PID/status``; 0 for each if it has ended."""
    sizes: defaultdict[str, float] = defaultdict(float)
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if value.endswith(" kB"):
                sizes[name] = int(value.split()[0]) / 1024
    return sizes


def cpu_s_of(pid: int) -> float:
    """Returns the user and system CPU time of a process in seconds; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])) / os.sysconf("SC_CLK_TCK")

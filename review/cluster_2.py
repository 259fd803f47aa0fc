"""What the cases 7 and 8 share: a cluster of three dispatchers with one duty, and what its command has written."""

import contextlib
import os
import signal
import socket
import subprocess
import time
from pathlib import Path
from typing import Any

from support_2 import Case, Discovery, Runner, config, free_ports

MEMBERS = 3

Work = tuple[float, int, str]
"""What a command writes ten times a second: time, process and fence."""


class Cluster:
    """Three dispatchers that share one duty."""

    def __init__(self, case: Case, duty: str) -> None:
        """Starts the members; ``duty`` are the lines of the duty's table beside its name."""
        listen = free_ports(MEMBERS)
        cluster = free_ports(MEMBERS, socket.SOCK_DGRAM)
        discovery = Discovery(case, [Runner(case, "s-1").instance()])
        key = case.tmp / "cluster.key"
        key.write_text("a key of the review, long enough\n")
        self.case = case
        self.members = []
        for number in range(MEMBERS):
            seeds = ", ".join(f'"127.0.0.1:{port}"' for port in cluster if port != cluster[number])
            state = f"""
[cluster]
name = "dispatcher-{number}"
listen = "127.0.0.1:{cluster[number]}"
seeds = [{seeds}]
key_files = ["{key}"]

[[cluster.duty]]
name = "rotate-logs"
{duty}
"""
            settings = config(f"n{number}", listen[number], discovery.address)
            self.members.append(case.start(f"dispatcher-{number}", settings, state))
        for process, port in zip(self.members, listen, strict=True):
            case.wait_ready(process, port)

    def owners(self) -> list[subprocess.Popen[bytes]]:
        """Returns the members that hold the duty by their logs."""
        return [each for each in self.members if _holds(self.case.log_of(each))]

    def owner_after(self, settled_s: float, seconds: float) -> subprocess.Popen[bytes] | None:
        """Returns the one owner once it has been the only one for ``settled_s``; None if there is none in time."""
        end = time.monotonic() + seconds
        owner, since = None, time.monotonic()
        while time.monotonic() < end:
            owners = self.owners()
            if len(owners) != 1 or owners[0] is not owner:
                owner, since = (owners[0] if len(owners) == 1 else None), time.monotonic()
            elif time.monotonic() - since >= settled_s:
                return owner
            time.sleep(0.1)
        return None

    def note_logs(self) -> None:
        """Adds what the members logged about the duty and each other to the record."""
        for process in self.members:
            for event in self.case.log_of(process):
                if event["event"].startswith("duty") or event["event"] == "member":
                    self.case.note("log", pid=process.pid, line=event)


def _holds(events: list[dict[str, Any]]) -> bool:
    names = [event["event"] for event in events if event["event"] in ("duty_gained", "duty_lost")]
    return bool(names) and names[-1] == "duty_gained"


def read_work(path: Path) -> list[Work]:
    """Returns what the commands have written: time, process and fence."""
    rows = []
    for line in path.read_text().splitlines() if path.exists() else []:
        at, pid, fence = line.split()
        rows.append((float(at), int(pid), fence))
    return rows


def note_work(case: Case, work: list[Work]) -> None:
    """Adds the time in which each process did the duty to the record."""
    for pid in sorted({pid for _, pid, _ in work}):
        own = [(at, fence) for at, each, fence in work if each == pid]
        first, last = own[0][0] - case.started_at, own[-1][0] - case.started_at
        case.note("work", pid=pid, fence=own[0][1], first=round(first, 2), last=round(last, 2), times=len(own))


def overlap(work: list[Work]) -> tuple[float, str, str]:
    """Returns the longest time for which the duty was done under two fences at once, with the fences."""
    spans = {}
    for at, _, fence in work:
        first, _, _ = spans.get(fence, (at, at, fence))
        spans[fence] = (first, at, fence)
    ordered = sorted(spans.values())
    worst = (0.0, "", "")
    for number, one in enumerate(ordered):
        for other in ordered[number + 1 :]:
            worst = max(worst, (min(one[1], other[1]) - other[0], one[2], other[2]))
    return worst


def end_work(case: Case, work: list[Work]) -> None:
    """Ends the processes that the duty's commands have left behind, by the ids that they wrote."""
    case.end_processes()
    for pid in sorted({pid for _, pid, _ in work}):
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)

"""A producer hands in ten thousand timed jobs; the platform kills a dispatcher that takes more than its memory."""

import contextlib
import json
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from support_2 import (
    BROKEN,
    HELD,
    TROUBLE,
    Case,
    Discovery,
    Faktory,
    NotRunError,
    Runner,
    config,
    free_ports,
)

JOBS = 10_000
ARGUMENT_BYTES = 20_000 if TROUBLE else 20
"""Size of a job's list of residents; the front takes up to 64 KiB."""

START_AFTER_S = 35.0
"""Time from the first push after which the jobs may start."""

ANSWER_S = 20.0
"""Time of the class ``send-invites``, from the settings."""

STARTS = 3
"""Number of times that the platform starts a dispatcher that has ended."""

SAMPLE = 20
"""Number of the first jobs whose ends are asked for; workers are there for all jobs."""


class Platform:
    """Kills a dispatcher over ``memory_mb``, as the deployment page says, and starts it again."""

    def __init__(self, case: Case, start: Callable[[], subprocess.Popen[bytes]], memory_mb: float) -> None:
        self.case, self.start, self.memory_mb = case, start, memory_mb
        self.kills, self.peak_mb = 0, 0.0
        self.process = start()
        self.over = threading.Event()
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self) -> None:
        """Looks at the resident memory ten times a second."""
        while not self.over.is_set():
            time.sleep(0.1)
            with contextlib.suppress(OSError):
                status = Path(f"/proc/{self.process.pid}/status").read_text()
                resident = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
                resident_mb = int(resident[0]) / 1024 if resident else 0.0
                self.peak_mb = max(self.peak_mb, resident_mb)
                if resident_mb <= self.memory_mb or self.process.poll() is not None:
                    continue
                self.case.note("over_memory", pid=self.process.pid, resident_mb=round(resident_mb, 1))
                self.process.kill()
                self.process.wait(5)
                self.kills += 1
                if self.kills <= STARTS:
                    self.process = self.start()


def worker(port: int, ended: set[str], over: threading.Event) -> None:
    """Fetches and acknowledges jobs for as long as the dispatcher runs."""
    while not over.is_set():
        with contextlib.suppress(OSError, ValueError):
            connection = Faktory(port, "worker-1")
            while not over.is_set():
                text = connection.call("FETCH", "default")
                if text is not None:
                    jid = json.loads(text)["jid"]
                    if connection.call("ACK", {"jid": jid}) == "+OK":
                        ended.add(jid)
        time.sleep(0.2)


def play(case: Case) -> int:
    """Plays the case and returns the verdict."""
    http_port, faktory_port = free_ports(2)
    discovery = Discovery(case, [Runner(case, "s-1").instance()])
    settings = config("n0", http_port, discovery.address)
    state = f"""
[faktory]
listen = "127.0.0.1:{faktory_port}"
store = "{case.tmp / "jobs.sqlite"}"
"""
    platform = Platform(case, lambda: case.start("n0", settings, state), settings["limits"]["memory_mb"])
    case.wait_ready(platform.process, http_port)
    producer = Faktory(faktory_port)
    began = time.monotonic()
    at = (datetime.now(UTC) + timedelta(seconds=START_AFTER_S)).isoformat()
    accepted = []
    try:
        for number in range(JOBS):
            jid = f"invites-{number:06}"
            job = {"jid": jid, "jobtype": "send-invites", "args": ["r" * ARGUMENT_BYTES], "at": at}
            if producer.call("PUSH", job) == "+OK":
                accepted.append(jid)
            if time.monotonic() - began > START_AFTER_S - 5:
                case.note("slow", pushed=number)
                break
    except OSError as error:
        case.note("push_ended", after=len(accepted), why=repr(error))
    case.note(
        "accepted", jobs=len(accepted), seconds=round(time.monotonic() - began, 1), peak_mb=round(platform.peak_mb)
    )
    if len(accepted) < SAMPLE:
        msg = "the dispatcher has not accepted enough jobs"
        raise NotRunError(msg)
    ended, over = set(), threading.Event()
    thread = threading.Thread(target=worker, args=(faktory_port, ended, over), daemon=True)
    time.sleep(max(0.0, began + START_AFTER_S - 2 - time.monotonic()))
    thread.start()
    time.sleep(ANSWER_S + 4)
    over.set()
    platform.over.set()
    answers = {}
    with contextlib.suppress(OSError, ValueError):
        asker = Faktory(faktory_port)
        for jid in accepted[:SAMPLE]:  # a push of a known jid starts nothing, and says how a job has ended
            answers[jid] = asker.call("PUSH", {"jid": jid, "jobtype": "send-invites", "args": []})
    without_an_end = [jid for jid in accepted[:SAMPLE] if jid not in ended and "-ERR" not in str(answers.get(jid, ""))]
    case.note("ends", sample=SAMPLE, answers=answers, without_an_end=without_an_end)
    case.note("result", kills=platform.kills, peak_mb=round(platform.peak_mb, 1), acknowledged=len(ended))
    return BROKEN if platform.kills else HELD


if __name__ == "__main__":
    Case(__file__, record="record.txt").run(play)

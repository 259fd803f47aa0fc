"""Tests that a periodic task's command ends with its owner, with all that it has started."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
import uvloop

from heronlug.cluster.model import FencingToken
from heronlug.cluster.task_runner import task_function

ENDS_WITHIN_S = 5.0  # no speed is asserted
HANGING = ["sh", "-c", "sleep 600 & echo $$ $! > pids; sleep 600"]
OWNER = f"""
import asyncio, uvloop
from heronlug.cluster.model import FencingToken
from heronlug.cluster.task_runner import task_function
uvloop.run(task_function({{"command": {HANGING!r}}}, print)("x", FencingToken(1, 2)))
"""


def started_processes(folder: Path) -> list[int]:
    """Waits until the hanging command has started its child and returns the ids of both processes."""
    give_up_at = time.monotonic() + ENDS_WITHIN_S * 2
    while len(pids := (folder / "pids").read_text().split() if (folder / "pids").exists() else []) < 2:
        assert time.monotonic() < give_up_at
        time.sleep(0.01)
    return [int(pid) for pid in pids]


def is_running(pid: int) -> bool:
    """Returns whether a process runs, by /proc of Linux; one that nobody has reaped yet has ended."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


def assert_ended(pids: list[int]) -> None:
    give_up_at = time.monotonic() + ENDS_WITHIN_S
    while any(is_running(pid) for pid in pids):
        assert time.monotonic() < give_up_at, [pid for pid in pids if is_running(pid)]
        time.sleep(0.01)


@pytest.mark.parametrize("end", ["owner killed", "cancelled"])
def test_command_ends_with_its_owner_and_takes_its_children_along(end: str, tmp_path: Path) -> None:
    """Guards against a run that goes on under an old fence, beside the runs of the next owner."""
    if end == "owner killed":
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join([str(Path.cwd()), *sys.path])}
        owner = subprocess.Popen([sys.executable, "-c", OWNER], cwd=tmp_path, env=environment)
        pids = started_processes(tmp_path)
        owner.send_signal(signal.SIGKILL)
        owner.wait()
        assert_ended(pids)
        return

    async def test() -> None:
        command = ["sh", "-c", f"cd {tmp_path}; {HANGING[2]}"]
        run = asyncio.ensure_future(task_function({"command": command}, print)("x", FencingToken(1, 2)))
        pids = await asyncio.to_thread(started_processes, tmp_path)
        run.cancel()
        await asyncio.wait([run])
        assert_ended(pids)

    uvloop.run(test())


def test_command_keeps_its_exit_status_and_environment() -> None:
    """Guards against a supervisor that hides the status of a command, its fence, or that it cannot be started."""

    async def run(*command: str) -> int:
        return await task_function({"command": list(command)}, print)("x", FencingToken(7, 2))

    script = 'test "$HERONLUG_FENCE" = 7.2 && test "$HERONLUG_DUTY" = x && exit 3'
    assert uvloop.run(run("sh", "-c", script)) == 3
    assert uvloop.run(run("true")) == 0
    with pytest.raises(OSError, match="no-such-command"):
        uvloop.run(run("no-such-command"))

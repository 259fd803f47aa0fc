"""Runs a command that ends, with all processes that it starts, when its owner cancels it or is killed.

A shell supervises the command in a process group of its own. Its standard input is a pipe from the owner, to which
nothing is ever written: the pipe ends when the owner ends in any way, and the shell then kills the whole group. A
process that leaves the group (``setsid``) is not killed.
"""

import asyncio
import contextlib
import errno
import os
import shutil
import signal
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Mapping

SUPERVISOR = """
exec 3<&0 </dev/null
{ read -r _ <&3; kill -KILL 0; } &
watcher=$!
"$@" 3<&-
status=$?
kill -KILL "$watcher"
exit "$status"
"""
"""Shell script that runs its arguments as a command; its exit status is that of the command."""


async def run_command(command: list[str], environment: Mapping[str, str]) -> int:
    """Runs a command and returns its exit status; kills its process group when the coroutine is cancelled.

    Raises:
        OSError: If the command cannot be started.
    """
    if shutil.which(command[0], path=environment.get("PATH")) is None:
        raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), command[0])
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        SUPERVISOR,
        "sh",
        *command,
        env=environment,
        stdin=PIPE,
        stdout=DEVNULL,
        stderr=DEVNULL,
        start_new_session=True,
    )
    try:
        return await process.wait()
    finally:
        if process.returncode is None:
            _kill_group(process)
            await process.wait()


def _kill_group(process: Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)

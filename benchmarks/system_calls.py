"""Counts the answers that clients get while system calls of a dispatcher fail, for each call and error.

A dispatcher process serves 60 requests per second, each on a new connection, with twelve servers on loopback. A share
of the calls fails during a time window. The shim ``system_calls.c`` needs a C compiler (``cc``). ``--source DIR`` runs
another version of the program, and ``--row accept:EMFILE`` runs a single row.

    python benchmarks/system_calls.py
"""

import asyncio
import errno
import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from itertools import count
from pathlib import Path
from time import monotonic
from typing import NamedTuple

import click

from heronlug.faults.processes import UTIME_FIELD
from heronlug.standins.discovery import StandInDiscovery
from heronlug.standins.ports import free_port
from heronlug.standins.server import StandInServer

SERVER_COUNT, REQUESTS_PER_S, LOAD_S = 12, 60.0, 8.0
# The failures start this time after the start of the process, and last for the long or the short window.
FAILURES_START_MS, LONG_WINDOW_MS, SHORT_WINDOW_MS = 3_000.0, 4_000.0, 1_000.0
ROWS = (
    "accept:ENFILE",
    "accept:EMFILE",
    "accept:ENOBUFS",
    "accept:ENOMEM",
    "accept:ECONNABORTED",
    "connect:EADDRNOTAVAIL",
    "connect:ENETUNREACH",
    "connect:EAGAIN",
    "socket:ENFILE",
    "socket:ENOBUFS",
    "recv:EINTR",
    "send:EINTR",
    "recv:ETIMEDOUT",
    "send:EHOSTUNREACH",
)
CONNECTION_ENDING_ERRORS = {"recv:ETIMEDOUT", "send:EHOSTUNREACH"}
"""Errors that end their connection, so only 5% of the calls fail."""
DEADLINE_S = 3.0


class Result(NamedTuple):
    """Result of one row.

    Attributes:
        outcomes: number of requests by HTTP status, ``closed`` or ``nothing in time``.
        cpu_s: CPU time of the dispatcher in seconds.
    """

    outcomes: Counter[str]
    cpu_s: float


def _config(folder: Path, listen: str, discovery: str) -> Path:
    """Writes the configuration of the dispatcher to a file, and returns the path of the file."""
    settings = {
        "instances": 1,
        "position": 0,
        "zones": ["a"],
        "skus": ["m1"],
        "discovery": "on_request",
        "tick": 5.0,
        "lanes": [{"name": "once", "deadline": 1000 * DEADLINE_S, "effect": "once", "goal_time": 500.0, "worth": 1.0}],
        "limits": {
            "attempts_cap": 4,
            "conn_idle": 10_000.0,
            "dial_timeout": 300.0,
            "max_open": 500,
            "may_cancel": True,
        },
        "safety": {"ask_every": 10_000.0, "drain_grace": 2_500.0, "warm_after": 1.0},
    }
    endpoint_list = {"generation": 0, "reset": True, "instances": []}
    config = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "1",
        "settings": settings,
        "known": endpoint_list,
        "limits": {"sockets": 512, "memory_mb": 128},
    }
    config_path = folder / "config.json"
    config_path.write_text(json.dumps(config))
    return config_path


async def _request(address: str, number: int, outcomes: Counter[str]) -> None:
    """Sends a request on a new connection, and counts the outcome."""
    host, port = address.split(":")
    request_head = f"POST /once HTTP/1.1\r\nHost: x\r\nX-Txn: t{number}\r\nX-Lane: once\r\n"
    request_head += f"X-Remaining-Ms: {DEADLINE_S * 1000:.0f}"
    try:
        async with asyncio.timeout(DEADLINE_S + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_head.encode() + b"\r\nContent-Length: 2\r\n\r\nhi")
            status = await reader.readline()
            outcomes[status.split(b" ")[1].decode() if status else "closed"] += 1
            writer.close()
    except TimeoutError:
        outcomes["nothing in time"] += 1
    except OSError:
        outcomes["closed"] += 1


def _cpu_s(pid: int) -> float:
    """Returns the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[UTIME_FIELD : UTIME_FIELD + 2])) / os.sysconf("SC_CLK_TCK")


async def run_row(shim: Path, rule: str, source: Path | None) -> Result:
    """Returns the result of one row; the load begins before the failures and ends after them."""
    discovery, servers = StandInDiscovery(), [StandInServer() for _ in range(SERVER_COUNT)]
    ports = [await server.open() for server in servers]
    for number, port in enumerate(ports):
        discovery.put(f"s{number}", hostPort=f"127.0.0.1:{port}", zone="a", machineType="m1")
    listen, outcomes, tasks = f"127.0.0.1:{free_port()}", Counter[str](), set[asyncio.Task[None]]()
    with tempfile.TemporaryDirectory(prefix="heronlug-calls-") as folder:
        config_path = _config(Path(folder), listen, f"127.0.0.1:{await discovery.open()}")
        env = {**os.environ, "RELAY_CONFIG": str(config_path), "LD_PRELOAD": str(shim), "FAIL_CALLS": rule}
        command = [sys.executable, "-m", "heronlug"]
        with subprocess.Popen(command, env=env, stdout=subprocess.DEVNULL, cwd=source) as process:
            started_at = monotonic()
            await asyncio.sleep(FAILURES_START_MS / 1000 - 1.0)
            for number in count():
                if monotonic() - started_at > FAILURES_START_MS / 1000 - 1.0 + LOAD_S:
                    break
                tasks.add(asyncio.create_task(_request(listen, number, outcomes)))
                await asyncio.sleep(1 / REQUESTS_PER_S)
            await asyncio.gather(*tasks)
            cpu_s = _cpu_s(process.pid)
            process.terminate()
            await asyncio.to_thread(process.wait)
    for server in servers:
        server.close()
    discovery.close()
    return Result(outcomes, cpu_s)


@click.command()
@click.option("--row", "rows", multiple=True, help="row to run, as CALL:ERROR; default: all rows")
@click.option("--source", type=click.Path(path_type=Path), help="folder of another version of the program")
def main(rows: tuple[str, ...], source: Path | None) -> None:
    """Run the rows and print the table."""
    with tempfile.TemporaryDirectory(prefix="heronlug-shim-") as folder:
        shim = Path(folder) / "shim.so"
        shim_source = Path(__file__).with_suffix(".c")
        subprocess.run(["cc", "-O2", "-shared", "-fPIC", "-o", shim, shim_source, "-ldl"], check=True)
        print("| call, error | share, for | 200 | 500 | 503 | closed with no answer | nothing in time | CPU s |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for row in rows or ROWS:
            call, name = row.split(":")
            windows = (
                [(0.05, LONG_WINDOW_MS)]
                if row in CONNECTION_ENDING_ERRORS
                else [(0.5, LONG_WINDOW_MS), (1.0, SHORT_WINDOW_MS)]
            )
            for share, window_ms in windows:
                rule = f"{call}:{getattr(errno, name)}:{share}:{FAILURES_START_MS}:{FAILURES_START_MS + window_ms}"
                outcomes, cpu_s = asyncio.run(run_row(shim, rule, source))
                cells = [str(outcomes[outcome]) for outcome in ("200", "500", "503", "closed", "nothing in time")]
                window_text = f"{share:.0%}, {window_ms / 1000:.0f} s"
                print(f"| {call} {name} | {window_text} | {' | '.join(cells)} | {cpu_s:.2f} |", flush=True)


if __name__ == "__main__":
    main()

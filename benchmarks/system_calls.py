"""What clients get while system calls of the program fail: a row for each call and error, real processes on loopback.

One process, twelve servers, 60 requests a second, each on a new connection; the call fails for a share of its calls
during a window.  Needs a C compiler (``cc``) for the shim, ``system_calls.c``.  ``--source DIR`` plays another version
of the program, ``--row accept:EMFILE`` one row.

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

SERVERS, RATE, SPAN = 12, 60.0, 8.0  # servers, requests a second, s of load
BEGIN, WINDOW, SHORT = 3_000.0, 4_000.0, 1_000.0  # ms after the start of the process; of the failures
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
RARE = {"recv:ETIMEDOUT", "send:EHOSTUNREACH"}  # a connection that ends so is over: one call in twenty
DEADLINE = 3.0  # s


class Result(NamedTuple):
    """What came of one row."""

    ends: Counter[str]
    cpu_s: float


def _config(folder: Path, listen: str, discovery: str) -> Path:
    settings = {
        "instances": 1,
        "position": 0,
        "zones": ["a"],
        "skus": ["m1"],
        "discovery": "on_request",
        "tick": 5.0,
        "lanes": [{"name": "once", "deadline": 1000 * DEADLINE, "effect": "once", "goal_time": 500.0, "worth": 1.0}],
        "limits": {
            "attempts_cap": 4,
            "conn_idle": 10_000.0,
            "dial_timeout": 300.0,
            "max_open": 500,
            "may_cancel": True,
        },
        "safety": {"ask_every": 10_000.0, "drain_grace": 2_500.0, "warm_after": 1.0},
    }
    known = {"generation": 0, "reset": True, "instances": []}
    raw = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "1",
        "settings": settings,
        "known": known,
        "limits": {"sockets": 512, "memory_mb": 128},
    }
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return path


async def _request(address: str, number: int, ends: Counter[str]) -> None:
    host, port = address.split(":")
    head = f"POST /once HTTP/1.1\r\nHost: x\r\nX-Txn: t{number}\r\nX-Lane: once\r\n"
    head += f"X-Remaining-Ms: {DEADLINE * 1000:.0f}"
    try:
        async with asyncio.timeout(DEADLINE + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"\r\nContent-Length: 2\r\n\r\nhi")
            status = await reader.readline()
            ends[status.split(b" ")[1].decode() if status else "closed"] += 1
            writer.close()
    except TimeoutError:
        ends["nothing in time"] += 1
    except OSError:
        ends["closed"] += 1


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[UTIME_FIELD : UTIME_FIELD + 2])) / os.sysconf("SC_CLK_TCK")


async def play(shim: Path, rule: str, source: Path | None) -> Result:
    """One row: load from before the failures until after them."""
    register, servers = StandInDiscovery(), [StandInServer() for _ in range(SERVERS)]
    ports = [await server.open() for server in servers]
    for number, port in enumerate(ports):
        register.put(f"s{number}", hostPort=f"127.0.0.1:{port}", zone="a", machineType="m1")
    listen, ends, tasks = f"127.0.0.1:{free_port()}", Counter[str](), set[asyncio.Task[None]]()
    with tempfile.TemporaryDirectory(prefix="heronlug-calls-") as folder:
        path = _config(Path(folder), listen, f"127.0.0.1:{await register.open()}")
        env = {**os.environ, "RELAY_CONFIG": str(path), "LD_PRELOAD": str(shim), "FAIL_CALLS": rule}
        command = [sys.executable, "-m", "heronlug"]
        with subprocess.Popen(command, env=env, stdout=subprocess.DEVNULL, cwd=source) as process:
            began = monotonic()
            await asyncio.sleep(BEGIN / 1000 - 1.0)
            for number in count():
                if monotonic() - began > BEGIN / 1000 - 1.0 + SPAN:
                    break
                tasks.add(asyncio.create_task(_request(listen, number, ends)))
                await asyncio.sleep(1 / RATE)
            await asyncio.gather(*tasks)
            cpu = _cpu_s(process.pid)
            process.terminate()
            await asyncio.to_thread(process.wait)
    for server in servers:
        server.close()
    register.close()
    return Result(ends, cpu)


@click.command()
@click.option("--row", "rows", multiple=True, help="CALL:ERROR; all rows without it")
@click.option("--source", type=click.Path(path_type=Path), help="the folder of another version of the program")
def main(rows: tuple[str, ...], source: Path | None) -> None:
    """Print the table."""
    with tempfile.TemporaryDirectory(prefix="heronlug-shim-") as folder:
        shim = Path(folder) / "shim.so"
        here = Path(__file__).with_suffix(".c")
        subprocess.run(["cc", "-O2", "-shared", "-fPIC", "-o", shim, here, "-ldl"], check=True)
        print("| call, error | share, for | 200 | 500 | 503 | closed with no answer | nothing in time | CPU s |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for row in rows or ROWS:
            call, name = row.split(":")
            ways = [(0.05, WINDOW)] if row in RARE else [(0.5, WINDOW), (1.0, SHORT)]
            for share, span in ways:
                rule = f"{call}:{getattr(errno, name)}:{share}:{BEGIN}:{BEGIN + span}"
                ends, cpu = asyncio.run(play(shim, rule, source))
                cells = [str(ends[end]) for end in ("200", "500", "503", "closed", "nothing in time")]
                way = f"{share:.0%}, {span / 1000:.0f} s"
                print(f"| {call} {name} | {way} | {' | '.join(cells)} | {cpu:.2f} |", flush=True)


if __name__ == "__main__":
    main()

"""Runs four real dispatchers on loopback behind a proxy that loses 30% of datagrams, and kills lease owners."""

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from heronlug.config.desired_state import StateError
from heronlug.faults.network import FaultyNetwork
from heronlug.lifecycle.control import ask
from heronlug.standins.ports import free_port

NAMES = "abcd"
TASKS = ("sweep", "rotate", "report")
CONFIG_TEMPLATE = """
log_level = "info"
[serve]
name = "{name}"
listen = "127.0.0.1:{http}"
[site]
[[site.class]]
name = "job"
effect = "repeatable"
aim_ms = 500
deadline_ms = 5000
[cluster]
name = "{name}"
listen = "{own}"
advertise = "{advertised}"
seeds = {seeds}
key_files = ["key"]
"""
TASK_TEMPLATE = """
[[cluster.duty]]
name = "{name}"
every_s = 0.5
longest_s = 0.4
command = ["{python}", "-c", "{code}"]
"""


class Fleet:
    """Four dispatcher processes and the proxies between them."""

    def __init__(self, folder: Path, loss: float) -> None:
        self.folder, self.network, self.loss = folder, FaultyNetwork(7), loss
        self.ports, self.proxy_ports = {name: free_port() for name in NAMES}, dict[str, int]()
        (folder / "key").write_text("a key that is long enough")
        self.http_ports = {name: free_port() for name in NAMES}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    async def open(self) -> None:
        """Starts the proxies: every member reaches every other member at the address of that member's proxy."""
        self.proxy_ports = await self.network.proxy_datagrams(self.ports)
        for source in NAMES:
            for target in NAMES:
                self.network.path_between(source, target).forward.loss = self.loss

    def start(self, name: str) -> None:
        seeds = json.dumps([f"127.0.0.1:{self.proxy_ports[other]}" for other in NAMES if other != name])
        text = CONFIG_TEMPLATE.format(
            name=name,
            http=self.http_ports[name],
            own=f"127.0.0.1:{self.ports[name]}",
            advertised=f"127.0.0.1:{self.proxy_ports[name]}",
            seeds=seeds,
        )
        for task in TASKS:
            path = self.folder / f"{task}.runs"
            fence = "os.environ['HERONLUG_FENCE'].encode()"
            code = f"import os; os.write(os.open('{path}', 1089, 420), {fence} + b'\\\\n')"
            text += TASK_TEMPLATE.format(name=task, python=sys.executable, code=code)
        file = self.folder / f"{name}.toml"
        file.write_text(text)
        environment = {**os.environ, "HERONLUG_CONTROL": str(self.folder / f"{name}.sock")}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "heronlug", "serve", str(file)], stdout=log, stderr=log, env=environment
            )

    def owners(self, task: str) -> list[str]:
        owners = []
        for name, process in self.processes.items():
            if process.poll() is None:
                try:
                    rows = ask(str(self.folder / f"{name}.sock"), {"ask": "duties"})["duties"]
                except StateError:
                    continue
                owners += [name for row in rows if row["name"] == task and row["owner"]]
        return owners

    async def wait_for_owner(self, task: str, excluded: str = "") -> tuple[str, float]:
        start = time.monotonic()
        while time.monotonic() - start < 40:
            owners = [name for name in await asyncio.to_thread(self.owners, task) if name != excluded]
            if owners:
                return owners[0], time.monotonic() - start
            await asyncio.sleep(0.05)
        raise AssertionError("\n".join(path.read_text()[-800:] for path in self.folder.glob("*.log")))

    def close(self) -> None:
        self.network.close()
        for process in self.processes.values():
            process.kill()
            process.wait()


async def _run_with_kills(folder: Path, kills: int) -> tuple[list[float], dict[str, list[str]], list[int], str]:
    fleet = Fleet(folder, 0.3)
    await fleet.open()
    takeover_times = []
    try:
        for name in NAMES:
            fleet.start(name)
        for task in TASKS:
            await fleet.wait_for_owner(task)
        for round_number in range(kills):
            task = TASKS[round_number % len(TASKS)]
            victim, _ = await fleet.wait_for_owner(task)
            fleet.processes[victim].kill()
            fleet.processes[victim].wait()
            takeover_times.append((await fleet.wait_for_owner(task, victim))[1])
            fleet.start(victim)
            await asyncio.sleep(4.0)
        members = ask(str(folder / "a.sock"), {"ask": "members"})["members"]
        for process in fleet.processes.values():
            process.terminate()
        exit_codes = [await asyncio.to_thread(process.wait, 20) for process in fleet.processes.values()]
    finally:
        fleet.close()
    runs = {task: (folder / f"{task}.runs").read_text().split() for task in TASKS}
    logs = "".join(path.read_text() for path in folder.glob("*.log"))
    assert len(members) == 4
    return takeover_times, runs, exit_codes, logs


@pytest.mark.parametrize("kills", [2])
def test_four_dispatchers_and_a_lossy_network(tmp_path: Path, kills: int) -> None:
    """Guards against faults that virtual time hides: addresses, timers, real clocks and processes ended by SIGKILL."""
    takeover_times, runs, exit_codes, logs = asyncio.run(_run_with_kills(tmp_path, kills))
    assert len(takeover_times) == kills
    assert exit_codes == [0] * 4
    assert '"exception"' not in logs
    assert "Traceback" not in logs
    for task, fences in runs.items():
        assert len(fences) > 10, task
        numbers = [int(fence.split(".")[0]) for fence in fences]
        assert numbers == sorted(numbers), f"{task}: a run has a lower fencing token than an earlier run"
    print("takeovers", [round(each, 2) for each in takeover_times])

"""Four real dispatchers on loopback with a lossy relay between them: 30% of datagrams are lost, owners are killed."""

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
DUTIES = ("sweep", "rotate", "report")
FILE = """
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
advertise = "{relay}"
seeds = {seeds}
key_files = ["key"]
"""
DUTY = """
[[cluster.duty]]
name = "{name}"
every_s = 0.5
longest_s = 0.4
command = ["{python}", "-c", "{code}"]
"""


class Fleet:
    """Four daemons."""

    def __init__(self, folder: Path, loss: float) -> None:
        self.folder, self.paths, self.loss = folder, FaultyNetwork(7), loss
        self.real, self.seen = {name: free_port() for name in NAMES}, dict[str, int]()
        (folder / "key").write_text("a key that is long enough")
        self.http = {name: free_port() for name in NAMES}
        self.programs: dict[str, subprocess.Popen[bytes]] = {}

    async def open(self) -> None:
        """Every member sees every other at the address of its relay."""
        self.seen = await self.paths.proxy_datagrams(self.real)
        for source in NAMES:
            for target in NAMES:
                self.paths.path_between(source, target).forward.loss = self.loss

    def start(self, name: str) -> None:
        seeds = json.dumps([f"127.0.0.1:{self.seen[other]}" for other in NAMES if other != name])
        text = FILE.format(
            name=name,
            http=self.http[name],
            own=f"127.0.0.1:{self.real[name]}",
            relay=f"127.0.0.1:{self.seen[name]}",
            seeds=seeds,
        )
        for duty in DUTIES:
            path = self.folder / f"{duty}.runs"
            fence = "os.environ['HERONLUG_FENCE'].encode()"
            code = f"import os; os.write(os.open('{path}', 1089, 420), {fence} + b'\\\\n')"
            text += DUTY.format(name=duty, python=sys.executable, code=code)
        file = self.folder / f"{name}.toml"
        file.write_text(text)
        environ = {**os.environ, "HERONLUG_CONTROL": str(self.folder / f"{name}.sock")}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.programs[name] = subprocess.Popen(
                [sys.executable, "-m", "heronlug", "serve", str(file)], stdout=log, stderr=log, env=environ
            )

    def owner(self, duty: str) -> list[str]:
        owners = []
        for name, program in self.programs.items():
            if program.poll() is None:
                try:
                    rows = ask(str(self.folder / f"{name}.sock"), {"ask": "duties"})["duties"]
                except StateError:
                    continue
                owners += [name for row in rows if row["name"] == duty and row["owner"]]
        return owners

    async def until_owned(self, duty: str, but: str = "") -> tuple[str, float]:
        start = time.monotonic()
        while time.monotonic() - start < 40:
            owners = [name for name in await asyncio.to_thread(self.owner, duty) if name != but]
            if owners:
                return owners[0], time.monotonic() - start
            await asyncio.sleep(0.05)
        raise AssertionError("\n".join(path.read_text()[-800:] for path in self.folder.glob("*.log")))

    def close(self) -> None:
        self.paths.close()
        for program in self.programs.values():
            program.kill()
            program.wait()


async def _play(folder: Path, kills: int) -> tuple[list[float], dict[str, list[str]], list[int], str]:
    fleet = Fleet(folder, 0.3)
    await fleet.open()
    took = []
    try:
        for name in NAMES:
            fleet.start(name)
        for duty in DUTIES:
            await fleet.until_owned(duty)
        for turn in range(kills):
            duty = DUTIES[turn % len(DUTIES)]
            victim, _ = await fleet.until_owned(duty)
            fleet.programs[victim].kill()
            fleet.programs[victim].wait()
            took.append((await fleet.until_owned(duty, victim))[1])
            fleet.start(victim)
            await asyncio.sleep(4.0)
        members = ask(str(folder / "a.sock"), {"ask": "members"})["members"]
        for program in fleet.programs.values():
            program.terminate()
        codes = [await asyncio.to_thread(program.wait, 20) for program in fleet.programs.values()]
    finally:
        fleet.close()
    runs = {duty: (folder / f"{duty}.runs").read_text().split() for duty in DUTIES}
    logs = "".join(path.read_text() for path in folder.glob("*.log"))
    assert len(members) == 4
    return took, runs, codes, logs


@pytest.mark.parametrize("kills", [2])
def test_four_dispatchers_and_a_lossy_network(tmp_path: Path, kills: int) -> None:
    """Risk: what holds in virtual time does not on sockets: addresses, timers, real clocks, kill -9."""
    took, runs, codes, logs = asyncio.run(_play(tmp_path, kills))
    assert len(took) == kills
    assert codes == [0] * 4
    assert '"exception"' not in logs
    assert "Traceback" not in logs
    for duty, fences in runs.items():
        assert len(fences) > 10, duty
        numbers = [int(fence.split(".")[0]) for fence in fences]
        assert numbers == sorted(numbers), f"{duty}: a run under a fence lower than one before"
    print("takeovers", [round(each, 2) for each in took])

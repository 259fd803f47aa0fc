"""Three real dispatchers, a stand-in register and stand-in hosts: one reads for all, and nobody misses a drain.

Risk: what is decided without I/O is wired wrongly to watches, sheets, probes and the core. Which hosts a dispatcher
holds to be there is read from its figures; no speed is asserted, only that it comes.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from heronlug.lifecycle.control import ask
from heronlug.standins.discovery import StandInDiscovery
from heronlug.standins.ports import free_port
from heronlug.standins.server import StandInServer

NAMES = "abc"
PATIENCE = 30.0
SETTLED = 2.0
FILE = """
[serve]
name = "{name}"
listen = "127.0.0.1:{http}"
operators = "127.0.0.1:{operators}"
discovery = "127.0.0.1:{discovery}"
position = {position}
[site]
dispatchers = 3
zones = ["a", "b"]
kinds = ["m1"]
[[site.class]]
name = "job"
effect = "repeatable"
aim_ms = 500
deadline_ms = 5000
[cluster]
name = "{name}"
listen = "127.0.0.1:{port}"
seeds = {seeds}
key_files = ["key"]
{more}
"""


class Fleet:
    """The dispatchers, the register and the hosts."""

    def __init__(self, folder: Path, more: str) -> None:
        self.folder, self.more = folder, more
        self.register, self.hosts = StandInDiscovery(), [StandInServer() for _ in range(5)]
        self.ports = {name: (free_port(), free_port(), free_port()) for name in NAMES}
        self.programs: dict[str, subprocess.Popen[bytes]] = {}
        (folder / "key").write_text("a key that is long enough")
        self.discovery = 0
        self.seen: tuple[str | None, float] = None, 0.0

    async def open(self) -> None:
        self.discovery = await self.register.open()
        for number, host in enumerate(self.hosts):
            port = await host.open()
            self.register.put(f"s{number}", hostPort=f"127.0.0.1:{port}", zone="ab"[number % 2], machineType="m1")
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        seeds = json.dumps([f"127.0.0.1:{self.ports[other][2]}" for other in NAMES if other != name])
        http, operators, port = self.ports[name]
        file = self.folder / f"{name}.toml"
        file.write_text(
            FILE.format(
                name=name,
                http=http,
                operators=operators,
                port=port,
                seeds=seeds,
                more=self.more,
                discovery=self.discovery,
                position=NAMES.index(name),
            )
        )
        environ = {**os.environ, "HERONLUG_CONTROL": str(self.folder / f"{name}.sock")}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.programs[name] = subprocess.Popen(
                [sys.executable, "-m", "heronlug", "serve", str(file)], stdout=log, stderr=log, env=environ
            )

    def figures(self, name: str) -> dict[str, float]:
        """What an operator reads; nothing where it does not answer."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.ports[name][1]}/stats", timeout=5) as answer:
                lines = answer.read().decode().splitlines()
        except OSError:
            return {}
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines if not line.startswith("#")}

    def has(self, name: str, figure: str, value: float) -> bool:
        """Whether a figure is this now."""
        return self.figures(name).get(figure) == value

    def logged(self, name: str, event: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [line for line in map(json.loads, (t for t in lines if t.startswith("{"))) if line["event"] == event]

    def owner(self, duty: str) -> str | None:
        for name, program in self.programs.items():
            if program.poll() is None:
                rows = ask(str(self.folder / f"{name}.sock"), {"ask": "duties"})["duties"]
                if any(row["name"] == duty and row["owner"] for row in rows):
                    return name
        return None

    async def until(self, what: Callable[[], Any], told: str) -> Any:
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end:
            try:
                found = await asyncio.to_thread(what)
            except ValueError:  # a control socket that is not there yet
                found = None
            if found:
                return found
            await asyncio.sleep(0.05)
        logs = "\n".join(f"{path.name}: {path.read_text()[-1500:]}" for path in self.folder.glob("*.log"))
        msg = f"{told} has not come\n{logs}"
        raise AssertionError(msg)

    def reader(self) -> str | None:
        """Who reads for all, once the others go by what it says."""
        owner = self.owner("register")
        if owner != self.seen[0]:
            self.seen = owner, time.monotonic()
        if time.monotonic() - self.seen[1] < SETTLED:
            return None  # the first owner hands over to the one that should have the duty
        others = [name for name, program in self.programs.items() if name != owner and program.poll() is None]
        shared = all(self.figures(name).get("svc_cluster_register_shared") == 1 for name in others)
        return owner if shared else None

    def close(self) -> None:
        for program in self.programs.values():
            if program.poll() is None:
                program.send_signal(signal.SIGKILL)
            program.wait()
        self.register.close()
        for host in self.hosts:
            host.close()


def play(folder: Path, more: str, steps: Callable[[Fleet], Any]) -> Fleet:
    async def run() -> Fleet:
        fleet = Fleet(folder, more)
        try:
            await fleet.open()
            await steps(fleet)
        finally:
            fleet.close()
        return fleet

    fleet = asyncio.run(run())
    for name in NAMES:
        text = (folder / f"{name}.log").read_text()
        assert '"exception"' not in text, text[-2000:]
        assert "Traceback" not in text, text[-2000:]
    return fleet


def test_one_reads_for_all_and_its_death_costs_no_drain(tmp_path: Path) -> None:
    async def steps(fleet: Fleet) -> None:
        owner = await fleet.until(fleet.reader, "one that reads for all")
        others = [name for name in NAMES if name != owner]
        calls, read = fleet.register.answered_polls, {name: len(fleet.logged(name, "register_own")) for name in others}
        fleet.register.put("s0", lifecycle="leaving")
        fleet.register.put("s1", lifecycle="left")
        for name in NAMES:
            await fleet.until(partial(fleet.has, name, "svc_targets", 4), f"{name} to know who has gone")
        assert fleet.register.answered_polls - calls <= 4  # of the owner, for two changes: the others do not ask
        for name in others:
            assert len(fleet.logged(name, "register_own")) == read[name]
        fleet.programs[owner].kill()
        fleet.programs[owner].wait()
        fleet.register.put("s2", lifecycle="left")
        for name in others:  # the one that read for them is gone, and another reads for both until there is an owner
            await fleet.until(partial(fleet.has, name, "svc_targets", 3), f"{name} to know the second")
        assert any(len(fleet.logged(name, "register_own")) > read[name] for name in others)
        await fleet.until(fleet.reader, "a successor that reads for the other")
        fleet.start(owner)
        await fleet.until(lambda: fleet.figures(owner).get("svc_targets") == 3, "the one that is back")

    play(tmp_path, '[cluster.register]\nshare = "list"\n', steps)


def test_a_register_that_is_silent_for_its_reader_changes_nothing(tmp_path: Path) -> None:
    async def steps(fleet: Fleet) -> None:
        owner = await fleet.until(fleet.reader, "one that reads for all")
        others = [name for name in NAMES if name != owner]
        fleet.register.silent = True
        for connection in list(fleet.register.connections):
            connection.abort()  # the owner's watch fails, and so does all that follows
        for name in others:
            await fleet.until(partial(fleet.logged, name, "register_own"), f"{name} to read by itself")
        assert all(fleet.figures(name)["svc_targets"] == 5 for name in NAMES)
        fleet.register.silent = False
        fleet.register.put("s4", lifecycle="left")
        for connection in list(fleet.register.connections):
            connection.abort()
        for name in NAMES:
            await fleet.until(partial(fleet.has, name, "svc_targets", 4), f"{name} to read again")

    play(tmp_path, '[cluster.register]\nshare = "list"\n', steps)


def test_hosts_are_probed_by_one_each_and_verdicts_are_shared(tmp_path: Path) -> None:
    async def steps(fleet: Fleet) -> None:
        for name in NAMES:
            await fleet.until(partial(fleet.has, name, "svc_targets", 5), f"{name} to have its list")
        await fleet.until(
            lambda: sum(fleet.figures(n).get("svc_cluster_duties_owned", 0) for n in NAMES) == 4, "all shards owned"
        )
        fleet.hosts[3].close()
        for name in NAMES:
            await fleet.until(partial(fleet.has, name, "svc_cluster_hosts_down", 1), f"{name}: s3 down")
        assert sum(len(fleet.logged(name, "host_down")) for name in NAMES) == 1
        prober = next(name for name in NAMES if fleet.logged(name, "host_down"))
        fleet.programs[prober].kill()
        fleet.programs[prober].wait()
        port = int(fleet.register.instances["s3"]["hostPort"].rsplit(":", 1)[1])
        await fleet.hosts[3].open(port=port)
        for name in NAMES:
            if name != prober:  # whoever took the shard over finds it up again
                await fleet.until(partial(fleet.has, name, "svc_cluster_hosts_down", 0), f"{name}: s3 up")

    more = "[cluster.probe]\nevery_s = 0.3\ntimeout_ms = 200\nshards = 4\n"
    play(tmp_path, more, steps)


def test_a_sweep_deletes_old_files_of_one_folder_alone(tmp_path: Path) -> None:
    shared = tmp_path / "shared"
    (shared / "folder.plan").mkdir(parents=True)
    old, new, other = shared / "old.plan", shared / "new.plan", shared / "old.txt"
    for path in (old, new, other):
        path.write_text("")
    (shared / "link.plan").symlink_to(other)
    for path in (old, other):
        os.utime(path, (0, 0))

    async def steps(fleet: Fleet) -> None:
        await fleet.until(lambda: not old.exists(), "the sweep")
        assert new.exists()
        assert other.exists()
        assert (shared / "link.plan").is_symlink()

    more = '[[cluster.duty]]\nname = "sweep"\nevery_s = 1\nlongest_s = 0.9\n'
    more += 'sweep = {folder = "shared", pattern = "*.plan", keep_s = 3600}\n'
    play(tmp_path, more, steps)


@pytest.mark.parametrize(
    ("more", "line", "key", "wrong"),
    [
        ('[cluster.register]\nshare = "all"\n', 2, "cluster.register.share", '"list" or "news"'),
        ("[cluster.register]\n", 1, "cluster.register.share", "missing"),
        ('[cluster.register]\nshare = "list"\nstale_after_ms = 100\n', 3, "cluster.register.stale_after_ms", "600"),
        (
            "[cluster.probe]\nevery_s = 0.2\ntimeout_ms = 300\n",
            3,
            "cluster.probe.timeout_ms",
            "expected at most 200 ms",
        ),
        ('[cluster.probe]\npath = "health"\n', 2, "cluster.probe.path", "/health"),
        ("[cluster.probe]\nshards = 0\n", 2, "cluster.probe.shards", "1 to 64"),
        ("[cluster.probe]\nevry_s = 2\n", 2, "cluster.probe.evry_s", "every_s"),
        ('[[cluster.duty]]\nname = "x"\nevery_s = 90\n', 1, "cluster.duty", "either command or sweep"),
        ('[[cluster.duty]]\nname = "register"\nevery_s = 90\ncommand = ["x"]\n', 2, "cluster.duty", "another name"),
        ('[[cluster.duty]]\nname = "x"\nevery_s = 90\nsweep = {folder = "x"}\n', 4, "cluster.duty", "keep_s"),
    ],
)
def test_broken_tables_are_told_with_their_line(tmp_path: Path, more: str, line: int, key: str, wrong: str) -> None:
    from heronlug.config.files import gather

    (tmp_path / "key").write_text("a key that is long enough")
    head = FILE.format(name="a", http=1, operators=2, port=3, seeds="[]", discovery=4, position=0, more="")
    path = tmp_path / "site.toml"
    path.write_text(head + more)
    _, _, faults = gather(path, lambda: None)
    assert len(faults) == 1, faults
    assert faults[0].line == len(head.splitlines()) + line, faults
    assert faults[0].key.startswith(key)
    assert wrong in str(faults[0])


def test_a_position_past_the_dispatchers_is_told(tmp_path: Path) -> None:
    from heronlug.config.files import gather

    path = tmp_path / "site.toml"
    text = FILE.format(name="a", http=1, operators=2, port=3, seeds="[]", discovery=4, position=3, more="")
    path.write_text(text.split("[cluster]")[0])
    _, _, faults = gather(path, lambda: None)
    assert [(fault.key, fault.right) for fault in faults] == [("serve.position", "expected 0 to 2")]

"""Tests three real dispatchers with stand-in service discovery and stand-in servers.

The tests guard against wrong connections between the decision modules, which have no I/O, and the watches, replicated
tables, health checks and core. The servers that a dispatcher uses are read from its metrics. The tests assert that a
change arrives, not how fast.
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

DISPATCHER_NAMES = "abc"
WAIT_TIMEOUT_S = 30.0
"""Maximum wait for a condition."""

OWNER_STABLE_S = 2.0
"""Time without a change of the lease holder after which the holder counts as final."""

CONFIG_TEMPLATE = """
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
    """Three dispatcher processes, stand-in service discovery and five stand-in servers."""

    def __init__(self, folder: Path, extra_config: str) -> None:
        self.folder, self.extra_config = folder, extra_config
        self.discovery_server, self.servers = StandInDiscovery(), [StandInServer() for _ in range(5)]
        self.ports = {name: (free_port(), free_port(), free_port()) for name in DISPATCHER_NAMES}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        (folder / "key").write_text("a key that is long enough")
        self.discovery_port = 0
        self.last_owner_change: tuple[str | None, float] = None, 0.0

    async def open(self) -> None:
        self.discovery_port = await self.discovery_server.open()
        for number, server in enumerate(self.servers):
            port = await server.open()
            self.discovery_server.put(
                f"s{number}", hostPort=f"127.0.0.1:{port}", zone="ab"[number % 2], machineType="m1"
            )
        for name in DISPATCHER_NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        seeds = json.dumps([f"127.0.0.1:{self.ports[other][2]}" for other in DISPATCHER_NAMES if other != name])
        http, operators, port = self.ports[name]
        file = self.folder / f"{name}.toml"
        file.write_text(
            CONFIG_TEMPLATE.format(
                name=name,
                http=http,
                operators=operators,
                port=port,
                seeds=seeds,
                more=self.extra_config,
                discovery=self.discovery_port,
                position=DISPATCHER_NAMES.index(name),
            )
        )
        environ = {**os.environ, "HERONLUG_CONTROL": str(self.folder / f"{name}.sock")}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "heronlug", "serve", str(file)], stdout=log, stderr=log, env=environ
            )

    def metrics(self, name: str) -> dict[str, float]:
        """Returns the metrics of a dispatcher, or an empty dict if the dispatcher does not answer."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.ports[name][1]}/stats", timeout=5) as answer:
                lines = answer.read().decode().splitlines()
        except OSError:
            return {}
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines if not line.startswith("#")}

    def has_metric(self, name: str, metric: str, value: float) -> bool:
        """Returns whether a metric of a dispatcher has this value now."""
        return self.metrics(name).get(metric) == value

    def logged_events(self, name: str, event: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [line for line in map(json.loads, (t for t in lines if t.startswith("{"))) if line["event"] == event]

    def lease_owner(self, lease: str) -> str | None:
        for name, process in self.processes.items():
            if process.poll() is None:
                rows = ask(str(self.folder / f"{name}.sock"), {"ask": "duties"})["duties"]
                if any(row["name"] == lease and row["owner"] for row in rows):
                    return name
        return None

    async def wait_until(self, condition: Callable[[], Any], description: str) -> Any:
        end = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end:
            try:
                found = await asyncio.to_thread(condition)
            except ValueError:  # the control socket does not exist yet
                found = None
            if found:
                return found
            await asyncio.sleep(0.05)
        logs = "\n".join(f"{path.name}: {path.read_text()[-1500:]}" for path in self.folder.glob("*.log"))
        message = f"timed out waiting for {description}\n{logs}"
        raise AssertionError(message)

    def list_reader(self) -> str | None:
        """Returns the member that reads service discovery, once the other running members use its shared list."""
        owner = self.lease_owner("register")
        if owner != self.last_owner_change[0]:
            self.last_owner_change = owner, time.monotonic()
        if time.monotonic() - self.last_owner_change[1] < OWNER_STABLE_S:
            return None  # the first lease holder may still hand over to the preferred member
        others = [name for name, process in self.processes.items() if name != owner and process.poll() is None]
        shared = all(self.metrics(name).get("svc_cluster_register_shared") == 1 for name in others)
        return owner if shared else None

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        self.discovery_server.close()
        for server in self.servers:
            server.close()


def run_fleet(folder: Path, extra_config: str, steps: Callable[[Fleet], Any]) -> Fleet:
    async def run() -> Fleet:
        fleet = Fleet(folder, extra_config)
        try:
            await fleet.open()
            await steps(fleet)
        finally:
            fleet.close()
        return fleet

    fleet = asyncio.run(run())
    for name in DISPATCHER_NAMES:
        text = (folder / f"{name}.log").read_text()
        assert '"exception"' not in text, text[-2000:]
        assert "Traceback" not in text, text[-2000:]
    return fleet


def test_members_follow_one_reader_and_miss_no_drain_when_it_is_killed(tmp_path: Path) -> None:
    """Guards against a lost drain when the reader is killed, and against members that poll although a reader exists."""

    async def steps(fleet: Fleet) -> None:
        owner = await fleet.wait_until(fleet.list_reader, "a member that reads for all members")
        others = [name for name in DISPATCHER_NAMES if name != owner]
        polls_before, own_reads_before = (
            fleet.discovery_server.answered_polls,
            {name: len(fleet.logged_events(name, "register_own")) for name in others},
        )
        fleet.discovery_server.put("s0", lifecycle="leaving")
        fleet.discovery_server.put("s1", lifecycle="left")
        for name in DISPATCHER_NAMES:
            await fleet.wait_until(
                partial(fleet.has_metric, name, "svc_targets", 4),
                f"{name} to drop the leaving server and the left server",
            )
        # the lease holder polls for two changes; the other members do not poll
        assert fleet.discovery_server.answered_polls - polls_before <= 4
        for name in others:
            assert len(fleet.logged_events(name, "register_own")) == own_reads_before[name]
        fleet.processes[owner].kill()
        fleet.processes[owner].wait()
        fleet.discovery_server.put("s2", lifecycle="left")
        # after the kill another member reads for both until there is a new lease holder
        for name in others:
            await fleet.wait_until(
                partial(fleet.has_metric, name, "svc_targets", 3), f"{name} to drop the second server that left"
            )
        assert any(len(fleet.logged_events(name, "register_own")) > own_reads_before[name] for name in others)
        await fleet.wait_until(fleet.list_reader, "a successor that reads for the other member")
        fleet.start(owner)
        await fleet.wait_until(
            lambda: fleet.metrics(owner).get("svc_targets") == 3, "the restarted dispatcher to have the list"
        )

    run_fleet(tmp_path, '[cluster.register]\nshare = "list"\n', steps)


def test_silent_service_discovery_changes_no_server_list(tmp_path: Path) -> None:
    """Guards against dispatchers that drop servers while service discovery accepts connections but does not answer."""

    async def steps(fleet: Fleet) -> None:
        owner = await fleet.wait_until(fleet.list_reader, "a member that reads for all members")
        others = [name for name in DISPATCHER_NAMES if name != owner]
        fleet.discovery_server.silent = True
        for connection in list(fleet.discovery_server.connections):
            connection.abort()  # the lease holder's watch fails, and so does each later poll
        for name in others:
            await fleet.wait_until(
                partial(fleet.logged_events, name, "register_own"), f"{name} to poll service discovery itself"
            )
        assert all(fleet.metrics(name)["svc_targets"] == 5 for name in DISPATCHER_NAMES)
        fleet.discovery_server.silent = False
        fleet.discovery_server.put("s4", lifecycle="left")
        for connection in list(fleet.discovery_server.connections):
            connection.abort()
        for name in DISPATCHER_NAMES:
            await fleet.wait_until(
                partial(fleet.has_metric, name, "svc_targets", 4), f"{name} to receive the list again"
            )

    run_fleet(tmp_path, '[cluster.register]\nshare = "list"\n', steps)


def test_each_server_is_checked_by_one_member_and_results_are_shared(tmp_path: Path) -> None:
    """Guards against duplicate checks, and against a server that stays down after its checking member is killed."""

    async def steps(fleet: Fleet) -> None:
        for name in DISPATCHER_NAMES:
            await fleet.wait_until(
                partial(fleet.has_metric, name, "svc_targets", 5), f"{name} to have its endpoint list"
            )
        await fleet.wait_until(
            lambda: sum(fleet.metrics(n).get("svc_cluster_duties_owned", 0) for n in DISPATCHER_NAMES) == 4,
            "a lease holder for each shard",
        )
        fleet.servers[3].close()
        for name in DISPATCHER_NAMES:
            await fleet.wait_until(
                partial(fleet.has_metric, name, "svc_cluster_hosts_down", 1), f"{name} to find s3 down"
            )
        assert sum(len(fleet.logged_events(name, "host_down")) for name in DISPATCHER_NAMES) == 1
        checking_member = next(name for name in DISPATCHER_NAMES if fleet.logged_events(name, "host_down"))
        fleet.processes[checking_member].kill()
        fleet.processes[checking_member].wait()
        port = int(fleet.discovery_server.instances["s3"]["hostPort"].rsplit(":", 1)[1])
        await fleet.servers[3].open(port=port)
        for name in DISPATCHER_NAMES:
            if name != checking_member:  # the new lease holder of the shard finds s3 up again
                await fleet.wait_until(
                    partial(fleet.has_metric, name, "svc_cluster_hosts_down", 0), f"{name} to find s3 up"
                )

    extra_config = "[cluster.probe]\nevery_s = 0.3\ntimeout_ms = 200\nshards = 4\n"
    run_fleet(tmp_path, extra_config, steps)


def test_a_sweep_deletes_only_matching_old_files_of_its_folder(tmp_path: Path) -> None:
    """Guards against a sweep that deletes new files, files outside the pattern, links or link targets."""
    shared = tmp_path / "shared"
    (shared / "folder.plan").mkdir(parents=True)
    old, new, other = shared / "old.plan", shared / "new.plan", shared / "old.txt"
    for path in (old, new, other):
        path.write_text("")
    (shared / "link.plan").symlink_to(other)
    for path in (old, other):
        os.utime(path, (0, 0))

    async def steps(fleet: Fleet) -> None:
        await fleet.wait_until(lambda: not old.exists(), "the sweep to delete the old file")
        assert new.exists()
        assert other.exists()
        assert (shared / "link.plan").is_symlink()

    extra_config = '[[cluster.duty]]\nname = "sweep"\nevery_s = 1\nlongest_s = 0.9\n'
    extra_config += 'sweep = {folder = "shared", pattern = "*.plan", keep_s = 3600}\n'
    run_fleet(tmp_path, extra_config, steps)


@pytest.mark.parametrize(
    ("extra_config", "line", "key", "expected_text"),
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
def test_invalid_tables_are_reported_with_their_line(
    tmp_path: Path, extra_config: str, line: int, key: str, expected_text: str
) -> None:
    """Guards against configuration problems that name the wrong line or key, or not what is accepted."""
    from heronlug.config.files import gather

    (tmp_path / "key").write_text("a key that is long enough")
    head = CONFIG_TEMPLATE.format(name="a", http=1, operators=2, port=3, seeds="[]", discovery=4, position=0, more="")
    path = tmp_path / "site.toml"
    path.write_text(head + extra_config)
    _, _, problems = gather(path, lambda: None)
    assert len(problems) == 1, problems
    assert problems[0].line == len(head.splitlines()) + line, problems
    assert problems[0].key.startswith(key)
    assert expected_text in str(problems[0])


def test_a_position_beyond_the_dispatcher_count_is_reported(tmp_path: Path) -> None:
    """Guards against a dispatcher that starts with ``position = 3`` although positions 0 to 2 exist."""
    from heronlug.config.files import gather

    path = tmp_path / "site.toml"
    text = CONFIG_TEMPLATE.format(name="a", http=1, operators=2, port=3, seeds="[]", discovery=4, position=3, more="")
    path.write_text(text.split("[cluster]")[0])
    _, _, problems = gather(path, lambda: None)
    assert [(problem.key, problem.right) for problem in problems] == [("serve.position", "expected 0 to 2")]

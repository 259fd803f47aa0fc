"""Processes of the program: their files, their starts and ends, and what they say of themselves."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import orjson
from jinja2 import Template

from heronlug.config.site import read_object
from heronlug.config.strict_toml import ConfigProblems, Source
from heronlug.faults.plan import FaultPlan
from heronlug.standins.ports import starting

HOLD_OFF = ("/bin/sh", "-c", 'trap \'\' HUP; exec "$0" "$@"')  # until the program minds SIGHUP: as deployed
UTIME = 11  # of /proc/PID/stat, counted behind the program's name; the next is the system's time
STOP_WITHIN_S = 15.0
"""Seconds within which a process ends after SIGTERM; then it is killed."""
LOG_LOST = 0.2  # s before the end of a log that is cut off, in which lines may be missing

FILE = Template("""\
log_level = "{{ 'debug' if s.dispatchers.log_taken else 'info' }}"
[serve]
name = "{{ name }}"
listen = "127.0.0.1:{{ door }}"
operators = "127.0.0.1:{{ operators }}"
discovery = "{{ discovery }}"
position = {{ position }}
peers = [{% for address in peers %}"{{ address }}", {% endfor %}]
sockets = 1024
memory_mb = 256
[site]
dispatchers = {{ s.dispatchers.count }}
zones = [{% for hall in s.halls %}"{{ hall }}", {% endfor %}]
{% if s.dispatchers.leave_halls %}leave_halls = true{% endif %}
kinds = ["m1"]
cold_from = {{ s.runners.cold_from }}
warm_after_ms = {{ s.runners.warm_after_ms }}
tip_multiple = {{ s.runners.tip_multiple }}
overload_for_ms = {{ s.runners.overload_for_ms }}
{% for lane in s.classes or [none] %}
[[site.class]]
name = "{{ lane.name if lane else 'job' }}"
effect = "{{ lane.effect if lane else 'repeatable' }}"
aim_ms = {{ lane.aim_ms if lane else 500 }}
deadline_ms = {{ lane.deadline_ms if lane else 5000 }}
worth = {{ lane.worth if lane else 1 }}
{% if lane and lane.effect == "by_key" %}repeat_window_ms = {{ lane.deadline_ms }}{% endif %}
{% endfor %}
{% if s.dispatchers.cluster %}
[cluster]
name = "{{ name }}"
listen = "127.0.0.1:{{ member }}"
advertise = "127.0.0.1:{{ advertised }}"
seeds = [{% for seed in seeds %}"127.0.0.1:{{ seed }}", {% endfor %}]
key_files = ["key"]
[cluster.register]
share = "{{ s.dispatchers.cluster }}"
{% endif %}
{{ more }}
""")


class Usage(NamedTuple):
    """What a process has used."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    descriptors: int = 0


class Process:
    """One dispatcher: its file, and at most one process of it."""

    def __init__(self, name: str, folder: Path, operators: int, source: Path | None = None) -> None:
        """``source`` is the folder of another version of the program, in place of this one."""
        self.name, self.folder, self.admin_port, self.source = name, folder, operators, source
        self.child: subprocess.Popen[bytes] | None = None
        self.should_run = False  # it should run
        self.stop_requested_at_s: float | None = None  # when it was told to end, on the monotonic clock
        self.incarnation = 0
        self.killed_incarnations: set[int] = set()  # those of its starts that a step killed outright
        self.last_ended_incarnation = 0  # how often it had been started when it was last killed, or ended by itself

    @property
    def running(self) -> bool:
        """Whether there is a process."""
        return self.child is not None and self.child.poll() is None

    def start(self) -> None:
        """Start it."""
        if self.running:
            return
        self.should_run, self.stop_requested_at_s = True, None
        self.incarnation += 1
        private = self.folder / f"{self.name}.tmp{self.incarnation}"
        private.mkdir()
        with (self.folder / f"{self.name}.log").open("ab") as log, starting:
            file, platform = str(self.folder / f"{self.name}.toml"), self.folder / f"{self.name}.json"
            told = {"RELAY_CONFIG": str(platform), "HERONLUG_STATE": file} if platform.exists() else {}
            self.child = subprocess.Popen(
                [*HOLD_OFF, sys.executable, "-m", "heronlug", *(() if told else ("serve", file))],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self.source,
                env={**os.environ, "TMPDIR": str(private), "HERONLUG_CONTROL": str(private / "control"), **told},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; after SIGKILL and SIGTERM it is not wanted any more."""
        if self.child is None or not self.running:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.should_run = False
        if number is signal.SIGTERM and self.stop_requested_at_s is None:
            self.stop_requested_at_s = time.monotonic()
        self.child.send_signal(number)
        if number is signal.SIGKILL:
            self.last_ended_incarnation = self.incarnation
            self.child.wait()

    def wait_or_kill(self) -> None:
        """Wait for its end, which a stop has been requested for; one that takes too long is killed."""
        if self.child is None:
            return
        try:
            self.child.wait(STOP_WITHIN_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()

    def unexpected_exit_status(self) -> int | None:
        """Its status if it has ended though it should run, which is told once."""
        if not self.should_run or self.child is None or self.child.poll() is None:
            return None
        self.should_run, self.last_ended_incarnation = False, self.incarnation
        return self.child.returncode

    async def figures(self) -> dict[str, float]:
        """What an operator reads; nothing where it does not answer."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
                writer.write(b"GET /stats HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
                text = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return {}
        lines = text.partition("\r\n\r\n")[2].splitlines()
        pairs = [line.rsplit(" ", 1) for line in lines if line[:1] not in ("#", "")]
        return {name: float(value) for name, value in pairs}

    def usage(self) -> Usage:
        """What it has used so far; nothing where it does not run."""
        if self.child is None or not self.running:
            return Usage()
        proc = Path(f"/proc/{self.child.pid}")
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[UTIME]) + int(fields[UTIME + 1])
        peak = next(line for line in (proc / "status").read_text().splitlines() if line.startswith("VmHWM:"))
        descriptors = len(list((proc / "fd").iterdir()))
        return Usage(ticks / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) / 1024, descriptors)

    def logged_events(self, event: str) -> list[dict[str, Any]]:
        """The lines of its log that tell of such an event."""
        text = (self.folder / f"{self.name}.log").read_bytes() if self.incarnation else b""
        told = [orjson.loads(line) for line in text.splitlines() if f'"event":"{event}"'.encode() in line]
        return [line for line in told if line["event"] == event]

    def unanswered_requests(self) -> list[str]:
        """What it has taken and neither answered nor seen its client leave, but in lives that were killed outright.

        A log's last lines may be lost with the process, so what it took just before them is not counted.
        """
        text = (self.folder / f"{self.name}.log").read_bytes() if self.incarnation else b""
        lives: list[list[dict[str, Any]]] = []
        for line in (orjson.loads(line) for line in text.splitlines() if line.startswith(b"{") and line.endswith(b"}")):
            if line["event"] == "started":
                lives.append([])
            elif line["event"] in ("taken", "answer", "client_gone") and lives:
                lives[-1].append(line)
        found = []
        for life in (life for number, life in enumerate(lives, 1) if life and number not in self.killed_incarnations):
            over = {line["id"] for line in life if line["event"] != "taken"}
            sure = life[-1]["at"] - LOG_LOST
            taken = [line["id"] for line in life if line["event"] == "taken" and line["at"] < sure]
            found += [name for name in taken if name not in over]
        return found

    def log_errors(self) -> list[str]:
        """What no log may hold."""
        text = (self.folder / f"{self.name}.log").read_text(errors="replace") if self.incarnation else ""
        return [line for line in text.splitlines() if '"exception"' in line or "Traceback" in line]


def write_file(
    process: Process,
    plan: FaultPlan,
    *,
    door: int,
    discovery: str,
    peers: list[str],
    member: int,
    advertised: int,
    seeds: list[int],
) -> None:
    """The operators' file of a dispatcher."""
    position = int(process.name[1:])
    more = plan.dispatchers.more.replace("{name}", process.name).replace("{folder}", str(process.folder))
    text = FILE.render(
        s=plan,
        name=process.name,
        door=door,
        operators=process.admin_port,
        position=position,
        discovery=discovery,
        peers=peers,
        member=member,
        advertised=advertised,
        seeds=seeds,
        more=more,
    )
    (process.folder / f"{process.name}.toml").write_text(text)


def write_platform_files(process: Process, known: dict[str, Any]) -> None:
    """The same dispatcher as the platform configures it: its object with a ``known`` list, and a file of its own state.

    Raises :class:`ConfigProblems` where its operators' file has any.
    """
    path = process.folder / f"{process.name}.toml"
    source = Source.read(path)
    raw, faults = read_object(source)
    if raw is None:
        raise ConfigProblems(faults)
    (process.folder / f"{process.name}.json").write_bytes(orjson.dumps(raw))
    write_known(process, known)
    path.write_text(f'log_level = "{source.table["log_level"]}"\n')


def write_known(process: Process, known: dict[str, Any]) -> None:
    """Another ``known`` list, for the process's next start."""
    path = process.folder / f"{process.name}.json"
    path.write_bytes(orjson.dumps({**orjson.loads(path.read_bytes()), "known": known}))

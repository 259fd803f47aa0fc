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
from heronlug.standins.ports import process_start_lock

SIGHUP_IGNORING_EXEC = ("/bin/sh", "-c", 'trap \'\' HUP; exec "$0" "$@"')  # until the program minds SIGHUP: as deployed
UTIME_FIELD = 11  # of /proc/PID/stat, counted behind the program's name; the next is the system's time
STOP_WITHIN_S = 15.0
"""Seconds within which a process ends after SIGTERM; then it is killed."""
LOG_LOSS_WINDOW_S = 0.2  # s before the end of a log that is cut off, in which lines may be missing

CONFIG_TEMPLATE = Template("""\
log_level = "{{ 'debug' if plan.dispatchers.log_taken else 'info' }}"
[serve]
name = "{{ name }}"
listen = "127.0.0.1:{{ frontend_port }}"
operators = "127.0.0.1:{{ admin_port }}"
discovery = "{{ discovery }}"
position = {{ position }}
peers = [{% for address in peers %}"{{ address }}", {% endfor %}]
sockets = 1024
memory_mb = 256
[site]
dispatchers = {{ plan.dispatchers.count }}
zones = [{% for zone in plan.halls %}"{{ zone }}", {% endfor %}]
{% if plan.dispatchers.leave_halls %}leave_halls = true{% endif %}
kinds = ["m1"]
cold_from = {{ plan.runners.cold_from }}
warm_after_ms = {{ plan.runners.warm_after_ms }}
tip_multiple = {{ plan.runners.tip_multiple }}
overload_for_ms = {{ plan.runners.overload_for_ms }}
{% for request_class in plan.classes or [none] %}
[[site.class]]
name = "{{ request_class.name if request_class else 'job' }}"
effect = "{{ request_class.effect if request_class else 'repeatable' }}"
aim_ms = {{ request_class.aim_ms if request_class else 500 }}
deadline_ms = {{ request_class.deadline_ms if request_class else 5000 }}
worth = {{ request_class.worth if request_class else 1 }}
{% if request_class and request_class.effect == "by_key" %}repeat_window_ms = {{ request_class.deadline_ms }}{% endif %}
{% endfor %}
{% if plan.dispatchers.cluster %}
[cluster]
name = "{{ name }}"
listen = "127.0.0.1:{{ member_port }}"
advertise = "127.0.0.1:{{ advertised_port }}"
seeds = [{% for seed in seeds %}"127.0.0.1:{{ seed }}", {% endfor %}]
key_files = ["key"]
[cluster.register]
share = "{{ plan.dispatchers.cluster }}"
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

    def __init__(self, name: str, folder: Path, admin_port: int, source: Path | None = None) -> None:
        """``source`` is the folder of another version of the program, in place of this one."""
        self.name, self.folder, self.admin_port, self.source = name, folder, admin_port, source
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
        temporary_folder = self.folder / f"{self.name}.tmp{self.incarnation}"
        temporary_folder.mkdir()
        with (self.folder / f"{self.name}.log").open("ab") as log, process_start_lock:
            file, platform = str(self.folder / f"{self.name}.toml"), self.folder / f"{self.name}.json"
            platform_environment = {"RELAY_CONFIG": str(platform), "HERONLUG_STATE": file} if platform.exists() else {}
            self.child = subprocess.Popen(
                [
                    *SIGHUP_IGNORING_EXEC,
                    sys.executable,
                    "-m",
                    "heronlug",
                    *(() if platform_environment else ("serve", file)),
                ],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self.source,
                env={
                    **os.environ,
                    "TMPDIR": str(temporary_folder),
                    "HERONLUG_CONTROL": str(temporary_folder / "control"),
                    **platform_environment,
                },
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
        ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
        peak = next(line for line in (proc / "status").read_text().splitlines() if line.startswith("VmHWM:"))
        descriptors = len(list((proc / "fd").iterdir()))
        return Usage(ticks / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) / 1024, descriptors)

    def logged_events(self, event: str) -> list[dict[str, Any]]:
        """The lines of its log that tell of such an event."""
        text = (self.folder / f"{self.name}.log").read_bytes() if self.incarnation else b""
        matching = [orjson.loads(line) for line in text.splitlines() if f'"event":"{event}"'.encode() in line]
        return [line for line in matching if line["event"] == event]

    def unanswered_requests(self) -> list[str]:
        """What it has taken and neither answered nor seen its client leave, but in lives that were killed outright.

        A log's last lines may be lost with the process, so what it took just before them is not counted.
        """
        text = (self.folder / f"{self.name}.log").read_bytes() if self.incarnation else b""
        incarnations: list[list[dict[str, Any]]] = []
        for line in (orjson.loads(line) for line in text.splitlines() if line.startswith(b"{") and line.endswith(b"}")):
            if line["event"] == "started":
                incarnations.append([])
            elif line["event"] in ("taken", "answer", "client_gone") and incarnations:
                incarnations[-1].append(line)
        unanswered = []
        for lines in (
            lines for number, lines in enumerate(incarnations, 1) if lines and number not in self.killed_incarnations
        ):
            ended = {line["id"] for line in lines if line["event"] != "taken"}
            complete_until_s = lines[-1]["at"] - LOG_LOSS_WINDOW_S
            taken = [line["id"] for line in lines if line["event"] == "taken" and line["at"] < complete_until_s]
            unanswered += [name for name in taken if name not in ended]
        return unanswered

    def log_errors(self) -> list[str]:
        """What no log may hold."""
        text = (self.folder / f"{self.name}.log").read_text(errors="replace") if self.incarnation else ""
        return [line for line in text.splitlines() if '"exception"' in line or "Traceback" in line]


def write_file(
    process: Process,
    plan: FaultPlan,
    *,
    frontend_port: int,
    discovery: str,
    peers: list[str],
    member_port: int,
    advertised_port: int,
    seeds: list[int],
) -> None:
    """The operators' file of a dispatcher."""
    position = int(process.name[1:])
    more = plan.dispatchers.more.replace("{name}", process.name).replace("{folder}", str(process.folder))
    text = CONFIG_TEMPLATE.render(
        plan=plan,
        name=process.name,
        frontend_port=frontend_port,
        admin_port=process.admin_port,
        position=position,
        discovery=discovery,
        peers=peers,
        member_port=member_port,
        advertised_port=advertised_port,
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
    raw, problems = read_object(source)
    if raw is None:
        raise ConfigProblems(problems)
    (process.folder / f"{process.name}.json").write_bytes(orjson.dumps(raw))
    write_known_list(process, known)
    path.write_text(f'log_level = "{source.table["log_level"]}"\n')


def write_known_list(process: Process, known: dict[str, Any]) -> None:
    """Another ``known`` list, for the process's next start."""
    path = process.folder / f"{process.name}.json"
    path.write_bytes(orjson.dumps({**orjson.loads(path.read_bytes()), "known": known}))

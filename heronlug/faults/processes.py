"""Runs dispatcher processes: writes their files, starts and ends them, and reads their figures and logs."""

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
from heronlug.conformance.process_logs import ProcessLog
from heronlug.faults.log_file import read_log
from heronlug.faults.plan import FaultPlan
from heronlug.faults.upgrades.usage import cpu_s_of, descriptors_of
from heronlug.standins.ports import process_start_lock

SIGHUP_IGNORING_EXEC = ("/bin/sh", "-c", 'trap \'\' HUP; exec "$0" "$@"')
"""Command prefix that ignores SIGHUP until the program installs its own handler, as in the deployment."""
STOP_WITHIN_S = 15.0
"""Seconds after SIGTERM after which a process that still runs is killed."""

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
    """Resources that a process has used.

    Attributes:
        cpu_s: user and system CPU time in seconds.
        peak_mb: peak resident memory in MB.
        descriptors: open file descriptors.
    """

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    descriptors: int = 0


class Process:
    """A dispatcher: its files and at most one running process.

    Attributes:
        name: name of the dispatcher.
        folder: folder of its files.
        admin_port: port of its admin endpoint.
        source: folder of another version of the program to run; None runs this version.
        child: latest process; None before the first start.
        should_run: whether the process is expected to run.
        stop_requested_at_s: time of the first SIGTERM on the monotonic clock, in seconds; None without one.
        incarnation: number of starts so far.
        killed_incarnations: starts whose process a step killed outright.
        last_ended_incarnation: latest start whose process was killed or exited unexpectedly.
    """

    def __init__(self, name: str, folder: Path, admin_port: int, source: Path | None = None) -> None:
        self.name, self.folder, self.admin_port, self.source = name, folder, admin_port, source
        self.child: subprocess.Popen[bytes] | None = None
        self.should_run = False
        self.stop_requested_at_s: float | None = None
        self.incarnation = 0
        self.killed_incarnations: set[int] = set()
        self.last_ended_incarnation = 0

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.child is not None and self.child.poll() is None

    def start(self) -> None:
        """Starts the process, unless it is running."""
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
        """Sends a signal to a running process; after SIGKILL and SIGTERM the process is expected to end."""
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
        """Waits for the process to end after SIGTERM and kills it after ``STOP_WITHIN_S``."""
        if self.child is None:
            return
        try:
            self.child.wait(STOP_WITHIN_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()

    def unexpected_exit_status(self) -> int | None:
        """Returns the exit status if the process ended unexpectedly, once per process; otherwise None."""
        if not self.should_run or self.child is None or self.child.poll() is None:
            return None
        self.should_run, self.last_ended_incarnation = False, self.incarnation
        return self.child.returncode

    async def figures(self) -> dict[str, float]:
        """Returns the figures of the admin endpoint; empty if the endpoint does not answer."""
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
        """Returns the resources used so far; zeros if the process is not running."""
        if self.child is None or not self.running:
            return Usage()
        pid = self.child.pid
        status = Path(f"/proc/{pid}/status").read_text().splitlines()
        peak = next(line for line in status if line.startswith("VmHWM:"))
        return Usage(cpu_s_of(pid), int(peak.split()[1]) / 1024, descriptors_of(pid))

    def logged_events(self, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of an event."""
        text = (self.folder / f"{self.name}.log").read_bytes() if self.incarnation else b""
        matching = [orjson.loads(line) for line in text.splitlines() if f'"event":"{event}"'.encode() in line]
        return [line for line in matching if line["event"] == event]

    def logs(self) -> list[ProcessLog]:
        """Returns the logs of all incarnations; that of a process without the last line of a stop may lack lines."""
        incarnations: list[list[dict[str, Any]]] = []
        for line in read_log(self.folder / f"{self.name}.log") if self.incarnation else ():
            if line["event"] == "started":
                incarnations.append([])
            if incarnations:
                incarnations[-1].append(line)
        return [
            ProcessLog(
                self.name,
                lines,
                killed=number in self.killed_incarnations,
                truncated=all(line["event"] != "stopped" for line in lines),
            )
            for number, lines in enumerate(incarnations, 1)
        ]

    def log_errors(self) -> list[str]:
        """Returns the log lines with an exception or a traceback, which are always a fault."""
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
    """Writes the config file of a dispatcher."""
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
    """Converts a dispatcher's config file to the files of the platform.

    Writes the platform's JSON object, which has the ``known`` list, and a config file that keeps only the log level.

    Raises:
        ConfigProblems: if the config file is invalid.
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
    """Replaces the ``known`` list in the platform's JSON object, for the next start of the process."""
    path = process.folder / f"{process.name}.json"
    path.write_bytes(orjson.dumps({**orjson.loads(path.read_bytes()), "known": known}))

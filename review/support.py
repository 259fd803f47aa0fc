"""Shared parts of the cases: starts the program as the deploy file says, and plays its clients and workers.

Only the standard library is used, and every address is a loopback address.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not be played."""


def free_port() -> int:
    """Returns a port that is free for TCP and UDP, below the range of outgoing connections."""
    for port in range(random.randrange(20_000, 30_000), 32_000):
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind((HOST, port))
                datagrams.bind((HOST, port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port
    msg = "no free port"
    raise NotRunError(msg)


_given: set[int] = set()


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begun = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes a line with the seconds since the begin of the case."""
        with self._lock:
            line = f"{time.monotonic() - self._begun:8.3f}  {text}"
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


class Scene:
    """A temporary folder, the processes that were started, and the record."""

    def __init__(self, record: Path) -> None:
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.discovery = Discovery()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def close(self) -> None:
        """Ends all processes that are left and deletes the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.discovery.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


class Dispatcher:
    """One dispatcher, started by ``run`` of the deploy file with RELAY_CONFIG and the operators' state file."""

    def __init__(self, scene: Scene, name: str, config: dict[str, Any], state: str) -> None:
        self.scene, self.name = scene, name
        self.folder = scene.folder / name
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        self.config = config
        self.state = self.folder / "state.toml"
        self.control = str(self.folder / "control")
        (self.folder / "config.json").write_text(json.dumps(config))
        self.state.write_text(state)
        self.starts = 0
        self.process: subprocess.Popen[bytes]

    def environment(self) -> dict[str, str]:
        """Returns the environment that the deploy page and README name."""
        env = {key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "HERONLUG_"))}
        return env | {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "HERONLUG_STATE": str(self.state),
            "HERONLUG_CONTROL": self.control,
            "TMPDIR": str(self.folder / "tmp"),
        }

    def start(self) -> None:
        """Starts the process and waits until it listens."""
        self.starts += 1
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = (self.folder / f"log-{self.starts}").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=self.environment(), stdout=log, stderr=log
        )
        self.scene.processes.append(self.process)
        give_up_at = time.monotonic() + 20
        while not self.logged("started"):
            if self.process.poll() is not None or time.monotonic() > give_up_at:
                msg = f"{self.name} did not start: {self.log_text()[-500:]}"
                raise NotRunError(msg)
            time.sleep(0.02)
        self.scene.record(f"{self.name}: process {self.process.pid} listens")

    def log_text(self) -> str:
        """Returns the log of the last process."""
        return (self.folder / f"log-{self.starts}").read_text(errors="replace")

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns the events of this name in the log of the last process."""
        lines = self.log_text().rpartition("\n")[0].splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [fields for fields in events if fields.get("event") == event]

    def kill(self) -> None:
        """Kills the process outright."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.scene.record(f"{self.name}: killed (SIGKILL)")

    def command(self, *words: str) -> str:
        """Runs a command of the operators' command line against this dispatcher."""
        line = [str(ROOT / ".venv/bin/python"), "-m", "heronlug", *words]
        done = subprocess.run(line, cwd=ROOT, env=self.environment(), capture_output=True, text=True, timeout=40)
        output = " | ".join((done.stdout + done.stderr).split("\n")).strip(" |")
        self.scene.record(
            f"{self.name}: heronlug {words[0]} {Path(words[-1]).name}: {output} (status {done.returncode})"
        )
        if done.returncode:
            raise NotRunError(output)
        return output


class Discovery:
    """A stand-in of service discovery with a list that holds no runner and never changes; it answers every call."""

    def __init__(self) -> None:
        self.port = free_port()
        self._server = ThreadingHTTPServer((HOST, self.port), _DiscoveryHandler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._server.shutdown()
        self._server.server_close()


class _DiscoveryHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 (the name that the library calls)
        """Answers the whole list, or waits as long as a watch asks and answers that nothing has changed."""
        parts = urlsplit(self.path)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        watched = query.get("after") == "1"
        if watched:
            time.sleep(min(60_000.0, float(query.get("wait_ms", 0))) / 1000)
        body = json.dumps({"generation": 1, "reset": not watched, "instances": []}).encode()
        try:
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing."""


# The classes of the deployment alvstad-inbjudan, as the brief and the wire page give them.
CLASSES = (
    ("rsvp-update", "repeatable", 500.0, 10000.0, 5000.0, 2.0),
    ("send-invites", "once", 1000.0, 20000.0, 5000.0, 8.0),
    ("print-order", "by_key", 4000.0, 25000.0, 40000.0, 5.0),
)
DEADLINES_S = {name: deadline / 1000 for name, _, _, deadline, _, _ in CLASSES}


def lanes(**repeat_windows: float) -> list[dict[str, Any]]:
    """Returns the classes in the form of the settings; ``repeat_windows`` replaces windows by class, in ms."""
    return [
        {
            "name": name,
            "effect": effect,
            "goal_time": goal,
            "deadline": deadline,
            "key_scope": "all",
            "late_value": 0.5,
            "repeat_window": repeat_windows.get(name.replace("-", "_"), window),
            "stream": False,
            "worth": worth,
        }
        for name, effect, goal, deadline, window, worth in CLASSES
    ]


def config(discovery: Discovery, classes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration in the form of the deploy page, with the settings of the brief's deployment."""
    settings = {
        "discovery": "on_request",
        "family": "jobs",
        "family_info": {"class_stretch": [2.0, 1.75, 2.0], "progress": 1000.0, "tells_start": True},
        "instances": 1,
        "position": 0,
        "lanes": classes,
        "limits": {
            "attempts_cap": 6,
            "conn_idle": 10000.0,
            "dial_timeout": 250.0,
            "max_open": 20000,
            "max_retry_after": 2000.0,
            "may_cancel": True,
            "may_tell": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "safety": {
            "answer_slack": 20.0,
            "ask_every": 10000.0,
            "cold_from": 0.13,
            "drain_grace": 2500.0,
            "overload_for": 3000.0,
            "tip_multiple": 3.0,
            "warm_after": 23000.0,
        },
        "skus": ["gen2"],
        "tick": 5.0,
        "zone": 0,
        "zones": ["norrhallen"],
    }
    return {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": []},
        "settings": settings,
    }


class FaktoryClient:
    """A producer, or a worker if it has a wid; one command at a time, as the protocol asks."""

    def __init__(self, port: int, wid: str = "") -> None:
        self.wid = wid
        self._socket = socket.create_connection((HOST, port), timeout=10)
        self._file = self._socket.makefile("rb")
        self._reply()
        hello = {"v": 2} | ({"wid": wid, "hostname": "review", "pid": os.getpid(), "labels": []} if wid else {})
        self.call("HELLO", hello)

    def call(self, name: str, argument: Any = "") -> str | None:
        """Sends a command and returns the reply; an error reply begins with ``-``."""
        text = argument if isinstance(argument, str) else json.dumps(argument)
        self._socket.sendall(f"{name} {text}".strip().encode() + b"\r\n")
        return self._reply()

    def close(self) -> None:
        """Closes the connection."""
        self._file.close()
        self._socket.close()

    def _reply(self) -> str | None:
        line = self._file.readline()
        if not line.endswith(b"\r\n"):
            msg = "the dispatcher has closed the connection"
            raise ConnectionError(msg)
        if line[:1] == b"$":
            length = int(line[1:])
            return None if length < 0 else self._file.read(length + 2)[:-2].decode()
        return line[:-2].decode()


def connect(port: int, wid: str = "", seconds: float = 15) -> FaktoryClient:
    """Connects, again and again until the dispatcher takes the client."""
    give_up_at = time.monotonic() + seconds
    while True:
        try:
            return FaktoryClient(port, wid)
        except OSError:
            if time.monotonic() > give_up_at:
                raise
            time.sleep(0.1)


def play(record: Path, case: Callable[[Scene], list[str]]) -> int:
    """Plays a case, which returns what was broken; writes the record and returns the exit status."""
    scene = Scene(record)
    try:
        broken = case(scene)
    except (NotRunError, OSError, subprocess.SubprocessError) as error:
        scene.record(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        scene.close()
    for line in broken:
        scene.record(f"BROKEN: {line}")
    if not broken:
        scene.record("HELD")
    return BROKEN if broken else HELD

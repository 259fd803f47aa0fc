"""What the cases 6 to 10 share: free ports, a configuration, dispatchers as processes, and small stand-ins.

Everything listens on 127.0.0.1. The stand-ins follow the protocol page: discovery (whole list and watch), servers
(chunked lines) and clients. Processes are ended by their ids.
"""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
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
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """Raised if a case could not run, which says nothing about the rule."""


def free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Returns free ports of 127.0.0.1."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def settings(classes: list[dict[str, Any]], instances: int = 1, position: int = 0) -> dict[str, Any]:
    """Returns the settings of a small deployment; ``classes`` are the entries of ``lanes``."""
    return {
        "clients": {"marks_retry": True},
        "counted_by": "request",
        "customers": [],
        "discovery": "on_request",
        "family": "jobs",
        "family_info": {
            "class_kind": [-1] * len(classes),
            "class_priority": [0] * len(classes),
            "class_stretch": [2.0] * len(classes),
            "progress": 1000.0,
            "queue_order": "backfill",
            "tells_start": True,
        },
        "goal": {"whole": 0.55, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.15},
        "instances": instances,
        "lanes": classes,
        "layers": ["workers"],
        "limits": {
            "attempts_cap": 6,
            "conn_idle": 10000.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 1000000,
            "dial_timeout": 250.0,
            "max_open": 20000,
            "max_retry_after": 2000.0,
            "may_cancel": True,
            "may_tell": instances > 1,
            "probing": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "load_report": {"fields": [], "how": "none"},
        "over_share_worth": 0.1,
        "penalties": {},
        "position": position,
        "safety": {
            "answer_slack": 20.0,
            "ask_every": 10000.0,
            "cold_from": 0.13,
            "drain_grace": 2500.0,
            "overload_for": 3000.0,
            "tip_multiple": 3.0,
            "warm_after": 23000.0,
        },
        "skus": ["gen3"],
        "stage": 0,
        "tick": 5.0,
        "weight_kind": "nominal",
        "zone": 0,
        "zones": ["norrhallen"],
    }


def lane(name: str, effect: str, deadline: float, repeat_window: float = 40000.0) -> dict[str, Any]:
    """Returns one entry of ``lanes``."""
    return {
        "name": name,
        "effect": effect,
        "deadline": deadline,
        "goal_time": 1000.0,
        "key_scope": "all",
        "late_value": 0.5,
        "repeat_window": repeat_window,
        "stream": False,
        "worth": 2.0,
    }


LANES = [
    lane("rsvp-update", "repeatable", 10000.0),
    lane("send-invites", "once", 20000.0),
    lane("print-order", "by_key", 25000.0),
]


class Case:
    """One run of a case: its folder, its record, and the processes that it has started."""

    def __init__(self, script: str, record: str) -> None:
        self.folder = Path(script).resolve().parent
        self.record = self.folder / record
        self.started_at = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.tmp = Path(self._temporary.name)
        self.lines = []
        self._lock = threading.Lock()
        self.processes = []
        self.logs = {}
        self.note("case", folder=self.folder.name, trouble=TROUBLE)

    def note(self, event: str, **fields: object) -> None:
        """Adds one line to the record."""
        line = json.dumps({"t": round(time.monotonic() - self.started_at, 3), "event": event, **fields}, default=repr)
        with self._lock:
            self.lines.append(line)

    def run(self, play: Callable[["Case"], int]) -> None:
        """Plays the case, writes the record, ends all processes and exits with the verdict."""
        verdict = NOT_RUN
        try:
            verdict = play(self)
        except NotRunError as error:
            self.note("not_run", why=str(error))
        except Exception as error:  # whatever else goes wrong is no verdict about the rule
            self.note("not_run", why=repr(error))
        finally:
            self.end_processes()
            self.note("verdict", exit=verdict, means={HELD: "held", BROKEN: "broken"}.get(verdict, "could not run"))
            self.record.write_text("\n".join(self.lines) + "\n")
            print("\n".join(self.lines[-12:]))
            with contextlib.suppress(OSError):
                self._temporary.cleanup()
        sys.stdout.flush()
        os._exit(verdict)

    # -- processes

    def start(
        self,
        name: str,
        config: dict[str, Any],
        state: str | None = None,
        env: dict[str, str] | None = None,
        tmpdir: Path | None = None,
    ) -> subprocess.Popen[bytes]:
        """Starts a dispatcher by the line ``run`` of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        own = self.tmp / f"{name}-{len(self.processes)}"
        own.mkdir()
        (own / "config.json").write_text(json.dumps(config))
        environment = {**os.environ, "RELAY_CONFIG": str(own / "config.json"), "TMPDIR": str(tmpdir or own)}
        for key in ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_ADMIN_ADDR", "RELAY_INHERITED_FD"):
            environment.pop(key, None)
        if state is not None:
            (own / "state.toml").write_text(state)
            environment["HERONLUG_STATE"] = str(own / "state.toml")
        environment.update(env or {})
        log = open(own / "log", "wb")  # noqa: SIM115
        process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
        )
        self.processes.append(process)
        self.logs[process.pid] = own / "log"
        self.note("started", name=name, pid=process.pid)
        return process

    def log_of(self, process: subprocess.Popen[bytes]) -> list[dict[str, Any]]:
        """Returns the log events of a process so far."""
        events = []
        for line in self.logs[process.pid].read_text(errors="replace").splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                events.append({"event": "text", "text": line})
        return events

    def signal(self, process: subprocess.Popen[bytes], number: int) -> None:
        """Sends a signal to a process that this case has started."""
        if process.poll() is None:
            self.note("signal", pid=process.pid, signal=signal.Signals(number).name)
            process.send_signal(number)

    def end_processes(self) -> None:
        """Ends all processes of the case, also stopped ones."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5)

    def wait_ready(self, process: subprocess.Popen[bytes], port: int, seconds: float = 15.0) -> None:
        """Waits until a dispatcher says that it is ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if process.poll() is not None:
                log = self.logs[process.pid].read_text(errors="replace")[-400:]
                msg = f"the dispatcher ended with {process.returncode}: {log}"
                raise NotRunError(msg)
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
                connection.request("GET", "/health/ready")
                status = connection.getresponse().status
                connection.close()
                if status == 200:
                    return
            time.sleep(0.05)
        msg = "the dispatcher was not ready in time"
        raise NotRunError(msg)


class Discovery:
    """A stand-in for discovery: the whole list, and a watch on changes."""

    def __init__(self, case: Case, instances: list[dict[str, Any]]) -> None:
        self.case = case
        self.generation = 1
        self.instances = {instance["instanceId"]: {**instance, "changed": 1} for instance in instances}
        self.condition = threading.Condition()
        self.told = {}  # by generation: time at which it was first written to the caller on each port
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802 (the name is that of http.server)
                query = {key: values[0] for key, values in parse_qs(urlsplit(self.path).query).items()}
                outer.answer(self, query)

            def log_message(self, *args: object) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def change(self, name: str, **fields: object) -> None:
        """Changes an entry of the list, which watches are told at once."""
        with self.condition:
            self.generation += 1
            entry = self.instances.setdefault(name, {"instanceId": name})
            entry.update(fields, changed=self.generation)
            self.case.note("list_changed", generation=self.generation, name=name, **fields)
            self.condition.notify_all()

    def answer(self, handler: BaseHTTPRequestHandler, query: dict[str, str]) -> None:
        """Answers one call."""
        after = int(query.get("after", -1))
        with self.condition:
            if "after" in query:
                self.condition.wait_for(
                    lambda: self.generation > after, min(60.0, float(query.get("wait_ms", 0)) / 1000)
                )
            entries = [
                {key: value for key, value in each.items() if key != "changed"}
                for each in self.instances.values()
                if each["changed"] > after and (after >= 0 or each.get("lifecycle") != "left")
            ]
            generation = self.generation
        body = json.dumps({"generation": generation, "reset": after < 0, "instances": entries}).encode()
        with contextlib.suppress(OSError):
            handler.send_response(200)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            handler.wfile.write(body)
            handler.wfile.flush()
            self.told.setdefault(generation, time.monotonic())


class Runner:
    """A stand-in for a server: takes any number of jobs, each of which runs for ``work_s``."""

    def __init__(self, case: Case, name: str, work_s: float = 0.05) -> None:
        self.case, self.name, self.work_s = case, name, work_s
        self.runs = []  # (monotonic time of the last byte of the request, its id)
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:  # noqa: N802 (the name is that of http.server)
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                outer.serve(self, self.headers.get("X-Txn", ""), body)

            def log_message(self, *args: object) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, handler: BaseHTTPRequestHandler, request_id: str, body: bytes) -> None:
        """Runs one request and answers in lines."""
        self.runs.append((time.monotonic(), request_id))
        self.case.note("run", at=self.name, id=request_id)
        with contextlib.suppress(OSError):
            handler.send_response(200)
            handler.send_header("Transfer-Encoding", "chunked")
            handler.end_headers()
            self.line(handler, {"id": request_id, "from": self.name, "state": "started"})
            time.sleep(self.work_s)
            self.line(handler, {"id": request_id, "from": self.name, "state": "done", "result": f"ran {request_id}"})
            handler.wfile.write(b"0\r\n\r\n")
            handler.wfile.flush()

    @staticmethod
    def line(handler: BaseHTTPRequestHandler, message: dict[str, Any]) -> None:
        """Writes one line as a chunk."""
        data = json.dumps(message).encode() + b"\n"
        handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        handler.wfile.flush()

    def instance(self, **fields: object) -> dict[str, Any]:
        """Returns the entry of this server in the list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "norrhallen",
            "machineType": "gen3",
            "cell": 0,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
            **fields,
        }


def post(
    port: int, request_id: str, class_name: str, remaining_ms: int, timeout: float = 30.0, body: bytes = b"x"
) -> tuple[int, bytes]:
    """Hands in one job and returns the status and the body of the answer; status 0 if there was none."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(
            "POST",
            f"/{class_name}?key=1",
            body,
            {
                "X-Txn": request_id,
                "X-Lane": class_name,
                "X-Remaining-Ms": str(remaining_ms),
                "Idempotency-Key": request_id,
            },
        )
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error).encode()
    finally:
        connection.close()


def config(
    name: str, listen_port: int, discovery: str, classes: list[dict[str, Any]] = LANES, **more: Any
) -> dict[str, Any]:
    """Returns the platform's configuration of one dispatcher."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{listen_port}",
        "discovery": discovery,
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings(classes),
        **more,
    }


class Faktory:
    """A connection of a producer, or of a worker if ``wid`` is given."""

    def __init__(self, port: int, wid: str | None = None) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.file = self.socket.makefile("rwb")
        self.file.readline()
        self.call("HELLO", {"v": 2, **({"wid": wid} if wid else {})})

    def call(self, command: str, argument: object) -> str | None:
        """Sends a command and returns the reply: a line, or the text of a bulk string, None for the null one."""
        text = argument if isinstance(argument, str) else json.dumps(argument)
        self.file.write(f"{command} {text}\r\n".encode())
        self.file.flush()
        line = self.file.readline()
        if not line:
            msg = "the dispatcher has closed the connection"
            raise ConnectionError(msg)
        if not line.startswith(b"$"):
            return line.decode().strip()
        length = int(line[1:])
        return None if length < 0 else self.file.read(length + 2).decode().strip()

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self.file.close()
            self.socket.close()

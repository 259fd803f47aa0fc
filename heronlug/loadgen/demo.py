"""Runs a scenario with stand-in servers, service discovery, dispatchers and load on loopback, and on the emulator."""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from jinja2 import Template

from heronlug.conformance import Event
from heronlug.emulator.figures import Figures
from heronlug.emulator.scenario import Scenario
from heronlug.emulator.world import World
from heronlug.loadgen.http import HttpLoad
from heronlug.loadgen.plan import plan
from heronlug.loadgen.tally import Tally
from heronlug.standins.fleet import Fleet
from heronlug.standins.ports import free_ports

READY_TIMEOUT_S = 20.0
"""Maximum time in seconds until all dispatchers are ready."""
MAX_DISPATCHERS = 8
"""Maximum number of dispatchers, each of which is a process."""
CONFIG_TEMPLATE = Template("""\
log_level = "warning"
[serve]
name = "d{{ number }}"
listen = "127.0.0.1:{{ listen_ports[number] }}"
operators = "127.0.0.1:{{ operator_ports[number] }}"
discovery = "127.0.0.1:{{ discovery }}"
position = {{ number }}
peers = [{% for port in peers %}"127.0.0.1:{{ port }}", {% endfor %}]
sockets = 4096
memory_mb = 1024
[site]
dispatchers = {{ listen_ports | length }}
zones = [{% for zone in scenario.zones %}"{{ zone }}", {% endfor %}]
kinds = [{% for kind in scenario.kind %}"{{ kind.name }}", {% endfor %}]
attempts_cap = {{ scenario.dispatchers.attempts_cap }}
second_copies = {{ "true" if scenario.dispatchers.second_copies else "false" }}
dial_timeout_ms = {{ scenario.network.dial_timeout_ms }}
drain_grace_ms = {{ scenario.safety.drain_grace_ms }}
cold_from = {{ scenario.safety.cold_from }}
warm_after_ms = {{ scenario.safety.warm_after_ms }}
tip_multiple = {{ scenario.safety.tip_multiple }}
overload_for_ms = {{ scenario.safety.overload_for_ms }}
{% for request_class in scenario.classes %}
[[site.class]]
name = "{{ request_class.name }}"
effect = "{{ request_class.effect }}"
aim_ms = {{ request_class.aim_ms }}
deadline_ms = {{ request_class.deadline_ms }}
worth = {{ request_class.worth }}
late_worth = {{ request_class.late_worth }}
{% if request_class.effect == "by_key" %}repeat_window_ms = {{ request_class.deadline_ms }}{% endif %}
{% endfor %}
""")


class Dispatchers:
    """Dispatcher processes of this program.

    Attributes:
        listen_ports: ports of the HTTP frontends.
        operator_ports: ports of the operator interfaces.
        processes: the processes.
        folder: folder of configuration and log files.
    """

    def __init__(self, scenario: Scenario, discovery: int, folder: Path) -> None:
        count = min(MAX_DISPATCHERS, scenario.dispatchers.count)
        self.listen_ports, self.operator_ports = free_ports(count), free_ports(count)
        peers = free_ports(count) if scenario.dispatchers.may_tell and count > 1 else []
        self.processes = []
        for number in range(count):
            path = folder / f"d{number}.toml"
            path.write_text(
                CONFIG_TEMPLATE.render(
                    scenario=scenario,
                    number=number,
                    listen_ports=self.listen_ports,
                    operator_ports=self.operator_ports,
                    peers=peers,
                    discovery=discovery,
                )
            )
            with (folder / f"d{number}.log").open("wb") as log:
                self.processes.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "heronlug", "serve", str(path)],
                        stdout=log,
                        stderr=log,
                        env={**os.environ, "TMPDIR": str(folder)},
                    )
                )
        self.folder = folder

    async def ready(self) -> None:
        """Waits until all dispatchers are ready.

        Raises:
            RuntimeError: if a dispatcher ends or is not ready in time; the message contains the end of its log.
        """
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        for number, port in enumerate(self.operator_ports):
            while not await asyncio.to_thread(self._healthy, port):
                if time.monotonic() > give_up_at or self.processes[number].poll() is not None:
                    log = (self.folder / f"d{number}.log").read_text()
                    msg = f"dispatcher d{number} is not ready; end of its log: {log[-800:]}"
                    raise RuntimeError(msg)
                await asyncio.sleep(0.05)

    @staticmethod
    def _healthy(port: int) -> bool:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/healthcheck", timeout=2) as answer:
                return bool(answer.status == 200)
        except OSError:
            return False

    def stop(self) -> list[int]:
        """Terminates the processes with SIGTERM, kills those that do not end in time, and returns the exit statuses."""
        for process in self.processes:
            process.terminate()
        exit_statuses = []
        for process in self.processes:
            try:
                exit_statuses.append(process.wait(15))
            except subprocess.TimeoutExpired:
                process.kill()
                exit_statuses.append(process.wait())
        return exit_statuses


async def on_sockets(scenario: Scenario, seed: int, events: list[Event] | None = None) -> list[Tally]:
    """Runs a scenario in real time on sockets and returns the tallies of the request classes.

    Args:
        scenario: scenario to run.
        seed: seed of all random streams.
        events: list that receives the events of the stand-in servers, if given.

    Raises:
        OSError: if a port cannot be opened.
        RuntimeError: if a dispatcher does not become ready.
    """
    tallies = {request_class.name: Tally(request_class) for request_class in scenario.classes}
    fleet = Fleet(scenario, seed, events.append if events is not None else None)
    with tempfile.TemporaryDirectory() as folder:
        dispatchers = Dispatchers(scenario, await fleet.open(), Path(folder))
        try:
            await dispatchers.ready()
            addresses = [("127.0.0.1", port) for port in dispatchers.listen_ports]
            fleet.begin()
            await HttpLoad(addresses, tallies, scenario.span_s).run(plan(scenario, seed))
        finally:
            await asyncio.to_thread(dispatchers.stop)
            fleet.close()
    return list(tallies.values())


def on_the_model(scenario: Scenario, seed: int) -> Figures:
    """Emulates a scenario under conditions as close as possible to those of :func:`on_sockets`; returns the figures.

    The scenario is changed in place: it gets at most ``MAX_DISPATCHERS`` dispatchers, the delays of loopback, no loss
    of datagrams, no warm-up time and no retries of clients.
    """
    scenario.dispatchers.count = min(MAX_DISPATCHERS, scenario.dispatchers.count)
    scenario.network.inside_ms = scenario.network.across_ms = 0.1
    scenario.network.loss, scenario.register.lag_ms, scenario.warm_up_s = 0.0, 1.0, 0.0
    for request_class in scenario.classes:
        request_class.retries = 0
    return World(scenario, seed).run()

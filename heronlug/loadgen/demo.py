"""Stand-in hosts, a register, dispatchers and load in one go, on loopback; and the same on the model beside it."""

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

READY = 20.0  # s for a dispatcher to come up
MOST = 8  # dispatchers: each is a process
FILE = Template("""\
log_level = "warning"
[serve]
name = "d{{ number }}"
listen = "127.0.0.1:{{ doors[number] }}"
operators = "127.0.0.1:{{ operators[number] }}"
discovery = "127.0.0.1:{{ discovery }}"
position = {{ number }}
peers = [{% for port in peers %}"127.0.0.1:{{ port }}", {% endfor %}]
sockets = 4096
memory_mb = 1024
[site]
dispatchers = {{ doors | length }}
zones = [{% for zone in s.zones %}"{{ zone }}", {% endfor %}]
kinds = [{% for kind in s.kind %}"{{ kind.name }}", {% endfor %}]
attempts_cap = {{ s.dispatchers.attempts_cap }}
second_copies = {{ "true" if s.dispatchers.second_copies else "false" }}
dial_timeout_ms = {{ s.network.dial_timeout_ms }}
drain_grace_ms = {{ s.safety.drain_grace_ms }}
cold_from = {{ s.safety.cold_from }}
warm_after_ms = {{ s.safety.warm_after_ms }}
tip_multiple = {{ s.safety.tip_multiple }}
overload_for_ms = {{ s.safety.overload_for_ms }}
{% for lane in s.classes %}
[[site.class]]
name = "{{ lane.name }}"
effect = "{{ lane.effect }}"
aim_ms = {{ lane.aim_ms }}
deadline_ms = {{ lane.deadline_ms }}
worth = {{ lane.worth }}
late_worth = {{ lane.late_worth }}
{% if lane.effect == "by_key" %}repeat_window_ms = {{ lane.deadline_ms }}{% endif %}
{% endfor %}
""")


class Dispatchers:
    """Processes of our own program."""

    def __init__(self, scenario: Scenario, discovery: int, folder: Path) -> None:
        count = min(MOST, scenario.dispatchers.count)
        self.doors, self.operators = free_ports(count), free_ports(count)
        peers = free_ports(count) if scenario.dispatchers.may_tell and count > 1 else []
        self.programs = []
        for number in range(count):
            path = folder / f"d{number}.toml"
            path.write_text(
                FILE.render(
                    s=scenario,
                    number=number,
                    doors=self.doors,
                    operators=self.operators,
                    peers=peers,
                    discovery=discovery,
                )
            )
            with (folder / f"d{number}.log").open("wb") as log:
                self.programs.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "heronlug", "serve", str(path)],
                        stdout=log,
                        stderr=log,
                        env={**os.environ, "TMPDIR": str(folder)},
                    )
                )
        self.folder = folder

    async def ready(self) -> None:
        """All serve; raises ``RuntimeError`` with a log where one does not."""
        end = time.monotonic() + READY
        for number, port in enumerate(self.operators):
            while not await asyncio.to_thread(self._healthy, port):
                if time.monotonic() > end or self.programs[number].poll() is not None:
                    log = (self.folder / f"d{number}.log").read_text()
                    msg = f"d{number} does not serve: {log[-800:]}"
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
        """End them as an operator would; their exit statuses."""
        for program in self.programs:
            program.terminate()
        statuses = []
        for program in self.programs:
            try:
                statuses.append(program.wait(15))
            except subprocess.TimeoutExpired:
                program.kill()
                statuses.append(program.wait())
        return statuses


async def on_sockets(scenario: Scenario, seed: int, events: list[Event] | None = None) -> list[Tally]:
    """The whole scenario in real time; raises ``OSError`` or ``RuntimeError``."""
    tallies = {lane.name: Tally(lane) for lane in scenario.classes}
    fleet = Fleet(scenario, seed, events.append if events is not None else None)
    with tempfile.TemporaryDirectory() as folder:
        dispatchers = Dispatchers(scenario, await fleet.open(), Path(folder))
        try:
            await dispatchers.ready()
            doors = [("127.0.0.1", port) for port in dispatchers.doors]
            fleet.begin()
            await HttpLoad(doors, tallies, scenario.span_s).run(plan(scenario, seed))
        finally:
            await asyncio.to_thread(dispatchers.stop)
            fleet.close()
    return list(tallies.values())


def on_the_model(scenario: Scenario, seed: int) -> Figures:
    """The same, as far as the model can be like it: as many dispatchers, no retries of clients, loopback's delays."""
    scenario.dispatchers.count = min(MOST, scenario.dispatchers.count)
    scenario.network.inside_ms = scenario.network.across_ms = 0.1
    scenario.network.loss, scenario.register.lag_ms, scenario.warm_up_s = 0.0, 1.0, 0.0
    for lane in scenario.classes:
        lane.retries = 0
    return World(scenario, seed).run()

"""Tests that a dispatcher with a store loses and repeats no job when it is killed repeatedly.

Each accepted job must end once, a non-idempotent job must be delivered once, an acknowledged job must stay served,
and pushing a known jid again must not start the job again. The workers of the test count the deliveries.
"""

import asyncio
import json
import os
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

import orjson
import pytest

from heronlug.loadgen.faktory import FaktoryClient, FaktoryError
from heronlug.standins.ports import free_port
from heronlug.storage import sqlite

CONFIG_TEMPLATE = """
[serve]
listen = "127.0.0.1:{http}"
[faktory]
listen = "127.0.0.1:{port}"
store = "jobs.sqlite"
[site]
"""
CLASS_EFFECTS = {"safe": "repeatable", "once": "once", "keyed": "by_key"}
CLASS_TEMPLATE = (
    '[[site.class]]\nname = "{}"\neffect = "{}"\naim_ms = 1000\ndeadline_ms = 60000\nrepeat_window_ms = {}\n'
)
JOB_COUNT, WORKER_COUNT = 240, 6
START_LIMIT_S = 30.0


class CrashHarness:
    """Runs the daemon, a producer that pushes all jobs again after each restart, and workers.

    A cycle lasts from one start of the daemon to its end.
    """

    def __init__(self, folder: Path) -> None:
        self.port, self.folder = free_port(), folder
        class_tables = "".join(
            CLASS_TEMPLATE.format(name, effect, 40000 if effect == "by_key" else 0)
            for name, effect in CLASS_EFFECTS.items()
        )
        (folder / "site.toml").write_text(CONFIG_TEMPLATE.format(http=free_port(), port=self.port) + class_tables)
        self.accepted: set[str] = set()
        self.push_errors: dict[str, str] = {}
        self.delivery_counts: Counter[str] = Counter()
        # (jid, parent) of jobs that were delivered before a worker got the reply to the ACK of the parent
        self.deliveries_before_parent_ack: list[tuple[str, str]] = []
        self.last_delivery_cycle: dict[str, int] = {}  # by jid: the cycle of its last delivery
        self.ack_cycle: dict[str, int] = {}  # by jid: the cycle of its first successful ACK
        self.process: subprocess.Popen[bytes] | None = None
        self.load_started = asyncio.Event()  # a client has connected to the process

    def class_name(self, jid: str) -> str:
        return list(CLASS_EFFECTS)[int(jid[4:]) % 3]

    def parent(self, jid: str) -> str:
        """Returns the parent of every fourth job, which is the job with the preceding number, else an empty string.

        A push is rejected if the parent has not been pushed; the producer pushes the job again in the next cycle.
        """
        number = int(jid[4:])
        return f"jid-{number - 1:06}" if number % 4 == 3 else ""

    def start(self, fault: str = "") -> None:
        self.load_started.clear()
        environment = {**os.environ, sqlite.FAULT_VARIABLE: fault}
        with (self.folder / "log").open("ab") as log:
            command = [sys.executable, "-m", "heronlug", "serve", str(self.folder / "site.toml")]
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    async def connect(self, **hello: object) -> FaktoryClient:
        give_up_at = time.monotonic() + START_LIMIT_S
        while True:
            try:
                client = await FaktoryClient.connect(("127.0.0.1", self.port), hello)
                self.load_started.set()
                return client
            except (OSError, EOFError, FaktoryError):
                assert time.monotonic() < give_up_at, (self.folder / "log").read_text()[-2000:]
                assert self.process is not None
                if self.process.poll() is not None:
                    raise
                await asyncio.sleep(0.02)

    async def run_producer(self, rng: Random) -> None:
        client = await self.connect()
        for jid in rng.sample([f"jid-{n:06}" for n in range(JOB_COUNT)], JOB_COUNT):
            custom: dict[str, object] = {"remaining_ms": 60000}
            if parent := self.parent(jid):
                custom["after"] = [parent]
            job = {"jid": jid, "jobtype": self.class_name(jid), "args": [], "custom": custom}
            try:
                await client.call(b"PUSH " + orjson.dumps(job))
                self.accepted.add(jid)
            except FaktoryError as error:
                self.push_errors[jid] = str(error)
                if "has had its final answer" in str(error):  # accepted before a kill, which the reply did not survive
                    self.accepted.add(jid)

    async def run_worker(self, number: int, cycle: int) -> None:
        client = await self.connect(wid=f"worker-{cycle}-{number}", hostname="h", pid=1, labels=[])
        while True:
            data = await client.call(b"FETCH default")
            if data:
                jid = json.loads(data)["jid"]
                self.delivery_counts[jid] += 1
                if (parent := self.parent(jid)) and parent not in self.ack_cycle:
                    self.deliveries_before_parent_ack.append((jid, parent))
                self.last_delivery_cycle[jid] = cycle
                await asyncio.sleep(0.002)
                await client.call(b"ACK " + orjson.dumps({"jid": jid}))
                self.ack_cycle.setdefault(jid, cycle)

    async def run_and_kill(self, cycle: int, rng: Random, fault: str, kill_after_s: float) -> None:
        """Starts the daemon and kills it after ``kill_after_s`` seconds of load, unless the fault ends it before."""
        self.start(fault)
        tasks = [asyncio.create_task(self.run_producer(rng))]
        tasks += [asyncio.create_task(self.run_worker(number, cycle)) for number in range(WORKER_COUNT)]
        assert self.process is not None
        await asyncio.wait_for(self.load_started.wait(), START_LIMIT_S)
        kill_at = time.monotonic() + kill_after_s
        while self.process.poll() is None and time.monotonic() < kill_at:
            await asyncio.sleep(0.01)
        self.process.kill()
        self.process.wait()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            assert result is None or isinstance(
                result, asyncio.CancelledError | OSError | EOFError | FaktoryError | TimeoutError
            ), result

    async def push_all_twice(self) -> None:
        """Pushes every job, then again those that were rejected because their parent came after them."""
        await self.run_producer(Random(0))
        await self.run_producer(Random(0))

    async def run_to_completion(self, cycle: int) -> None:
        """Runs the daemon without kills until every job has ended."""
        self.start()
        tasks = [asyncio.create_task(self.run_worker(number, cycle)) for number in range(WORKER_COUNT)]
        producer = asyncio.create_task(self.push_all_twice())
        client = await self.connect()
        give_up_at = time.monotonic() + 60
        while True:
            info = json.loads(await client.call(b"INFO") or b"{}")
            if producer.done() and not info["faktory"]["total_enqueued"]:
                break
            assert time.monotonic() < give_up_at, info
            await asyncio.sleep(0.1)
        assert self.process is not None
        self.process.terminate()
        assert self.process.wait(30) == 0
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def check_outcomes(harness: CrashHarness) -> None:
    """Checks the stored final states against what the producer and the workers observed."""
    connection = sqlite.connect(harness.folder / "jobs.sqlite")
    stored = {job.jid: job for job in sqlite.read_requests(connection)}
    connection.close()
    assert harness.accepted <= stored.keys()  # no accepted job is missing from the store
    assert all(stored[jid].final_state for jid in harness.accepted), "an accepted job has no final state"
    # The connection of the worker may have been lost before the reply to the ACK of the parent arrived.
    for jid, parent in harness.deliveries_before_parent_ack:
        assert (
            stored[parent].final_state == "served"
        ), f"{jid} was delivered, but its parent {parent} has final state {stored[parent].final_state}"
    for jid in harness.accepted:
        if (parent := harness.parent(jid)) and stored[parent].final_state != "served":
            assert stored[jid].final_state != "served", f"{jid} was served, but its parent {parent} was not"
    for jid, deliveries in harness.delivery_counts.items():
        if harness.class_name(jid) == "once":
            assert deliveries == 1, f"{jid} was delivered {deliveries} times"
        if jid in harness.ack_cycle:
            assert (
                stored[jid].final_state == "served"
            ), f"{jid} was acknowledged, but has final state {stored[jid].final_state}"
            assert (
                harness.last_delivery_cycle[jid] <= harness.ack_cycle[jid]
            ), f"{jid} was delivered again after a restart"
    assert sum(job.final_state == "served" for job in stored.values()) > JOB_COUNT / 2
    assert len(harness.accepted) == JOB_COUNT, harness.push_errors
    log_text = (harness.folder / "log").read_text()
    assert '"exception"' not in log_text, log_text[-3000:]
    assert "Traceback" not in log_text, log_text[-3000:]


FAULTS = [
    f"{kind}:{number}:{moment}"
    for kind, number in (("accept", 30), ("deliver", 9), ("end", 14))
    for moment in ("before", "after")
]


def test_jobs_survive_a_kill_before_or_after_each_kind_of_commit(tmp_path: Path) -> None:
    """Guards against jobs lost or repeated when a process ends immediately before or after a commit.

    An injected fault ends the daemon around the commit of an acceptance, a delivery or a final state.
    """

    async def run() -> None:
        harness, rng = CrashHarness(tmp_path), Random(1)
        for cycle, fault in enumerate(FAULTS):
            await harness.run_and_kill(cycle, rng, fault, 15.0)
            assert harness.process is not None
            assert harness.process.returncode in (137, -9)
        await harness.run_to_completion(len(FAULTS))
        check_outcomes(harness)

    asyncio.run(run())


@pytest.mark.parametrize("seed", [1])
def test_jobs_survive_kills_at_random_times(tmp_path: Path, seed: int) -> None:
    """Guards against jobs lost or repeated when the daemon is killed by SIGKILL after 0.02 to 0.2 s of load."""

    async def run() -> None:
        harness, rng = CrashHarness(tmp_path), Random(seed)
        for cycle in range(int(os.environ.get("STORE_KILLS", "6"))):
            await harness.run_and_kill(cycle, rng, "", rng.uniform(0.02, 0.2))
        assert harness.accepted, "no kill happened under load"
        await harness.run_to_completion(100)
        check_outcomes(harness)

    asyncio.run(run())

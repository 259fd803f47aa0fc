"""A dispatcher with a store, killed again and again: at random, and right before or after each kind of commit.

What was accepted ends once; what must not run twice is given out once; what a worker was told is acknowledged stays
served; a jid that is known starts nothing new. The runs are those that the workers here have been given.
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

FILE = """
[serve]
listen = "127.0.0.1:{http}"
[faktory]
listen = "127.0.0.1:{port}"
store = "jobs.sqlite"
[site]
"""
LANES = {"safe": "repeatable", "once": "once", "keyed": "by_key"}
LANE = '[[site.class]]\nname = "{}"\neffect = "{}"\naim_ms = 1000\ndeadline_ms = 60000\nrepeat_window_ms = {}\n'
JOBS, WORKERS = 240, 6


class Play:
    """The daemon, a producer that pushes all jobs again after each restart, and workers."""

    def __init__(self, folder: Path) -> None:
        self.port, self.folder = free_port(), folder
        lanes = "".join(LANE.format(n, e, 40000 if e == "by_key" else 0) for n, e in LANES.items())
        (folder / "site.toml").write_text(FILE.format(http=free_port(), port=self.port) + lanes)
        self.accepted: set[str] = set()
        self.refused: dict[str, str] = {}
        self.given: Counter[str] = Counter()
        self.early: list[tuple[str, str]] = []  # given out before the one that they wait for was known to be done here
        self.given_in: dict[str, int] = {}  # the last turn in which it was given out
        self.acknowledged: dict[str, int] = {}  # in which turn
        self.program: subprocess.Popen[bytes] | None = None

    def lane(self, jid: str) -> str:
        return list(LANES)[int(jid[4:]) % 3]

    def parent(self, jid: str) -> str:
        """Every fourth job waits for the one before, which a producer may have to push first."""
        number = int(jid[4:])
        return f"jid-{number - 1:06}" if number % 4 == 3 else ""

    def start(self, fault: str = "") -> None:
        environ = {**os.environ, sqlite.FAULT_VARIABLE: fault}
        with (self.folder / "log").open("ab") as log:
            words = [sys.executable, "-m", "heronlug", "serve", str(self.folder / "site.toml")]
            self.program = subprocess.Popen(words, stdout=log, stderr=log, env=environ)

    async def client(self, **hello: object) -> FaktoryClient:
        end = time.monotonic() + 30
        while True:
            try:
                return await FaktoryClient.connect(("127.0.0.1", self.port), hello)
            except (OSError, EOFError, FaktoryError):
                assert time.monotonic() < end, (self.folder / "log").read_text()[-2000:]
                assert self.program is not None
                if self.program.poll() is not None:
                    raise
                await asyncio.sleep(0.02)

    async def produce(self, rng: Random) -> None:
        client = await self.client()
        for jid in rng.sample([f"jid-{n:06}" for n in range(JOBS)], JOBS):
            custom: dict[str, object] = {"remaining_ms": 60000}
            if parent := self.parent(jid):
                custom["after"] = [parent]
            job = {"jid": jid, "jobtype": self.lane(jid), "args": [], "custom": custom}
            try:
                await client.call(b"PUSH " + orjson.dumps(job))
                self.accepted.add(jid)
            except FaktoryError as error:
                self.refused[jid] = str(error)

    async def work(self, number: int, turn: int) -> None:
        client = await self.client(wid=f"worker-{turn}-{number}", hostname="h", pid=1, labels=[])
        while True:
            data = await client.call(b"FETCH default")
            if data:
                jid = json.loads(data)["jid"]
                self.given[jid] += 1
                if (parent := self.parent(jid)) and parent not in self.acknowledged:
                    self.early.append((jid, parent))
                self.given_in[jid] = turn
                await asyncio.sleep(0.002)
                await client.call(b"ACK " + orjson.dumps({"jid": jid}))
                self.acknowledged.setdefault(jid, turn)

    async def turn(self, number: int, rng: Random, fault: str, after: float) -> None:
        """From a start to the daemon's end: by the fault, or killed after so many seconds."""
        self.start(fault)
        tasks = [asyncio.create_task(self.produce(rng))]
        tasks += [asyncio.create_task(self.work(n, number)) for n in range(WORKERS)]
        assert self.program is not None
        end = time.monotonic() + after
        while self.program.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        self.program.kill()
        self.program.wait()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            assert result is None or isinstance(
                result, asyncio.CancelledError | OSError | EOFError | FaktoryError | TimeoutError
            ), result

    async def finish(self, turn: int) -> None:
        """Left alone, everything ends."""
        self.start()
        tasks = [asyncio.create_task(self.work(n, turn)) for n in range(WORKERS)]
        producer = asyncio.create_task(self.produce(Random(0)))
        client = await self.client()
        end = time.monotonic() + 60
        while True:
            info = json.loads(await client.call(b"INFO") or b"{}")
            if producer.done() and not info["faktory"]["total_enqueued"]:
                break
            assert time.monotonic() < end, info
            await asyncio.sleep(0.1)
        assert self.program is not None
        self.program.terminate()
        assert self.program.wait(30) == 0
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def check(play: Play) -> None:
    db = sqlite.connect(play.folder / "jobs.sqlite")
    kept = {job.jid: job for job in sqlite.read_requests(db)}
    db.close()
    assert play.accepted <= kept.keys()  # no orphan
    assert all(kept[jid].final_state for jid in play.accepted), "a job without an outcome"
    for jid, parent in play.early:  # the worker's connection may have gone before it heard that its ACK was taken
        assert kept[parent].final_state == "served", f"{jid} was given out, and {parent} has {kept[parent].final_state}"
    for jid in play.accepted:
        if (parent := play.parent(jid)) and kept[parent].final_state != "served":
            assert kept[jid].final_state != "served", f"{jid} was served, and {parent} was not"
    for jid, times in play.given.items():
        if play.lane(jid) == "once":
            assert times == 1, f"{jid} was given out {times} times"
        if jid in play.acknowledged:
            assert kept[jid].final_state == "served", f"{jid} was acknowledged and has {kept[jid].final_state}"
            assert play.given_in[jid] <= play.acknowledged[jid], f"{jid} was given out again after a restart"
    assert sum(job.final_state == "served" for job in kept.values()) > JOBS / 2
    assert sum(bool(play.parent(jid)) for jid in play.accepted) > JOBS / 8
    text = (play.folder / "log").read_text()
    assert '"exception"' not in text, text[-3000:]
    assert "Traceback" not in text, text[-3000:]


FAULTS = [
    f"{kind}:{number}:{when}"
    for kind, number in (("accept", 30), ("deliver", 9), ("end", 14))
    for when in ("before", "after")
]


def test_a_kill_round_each_kind_of_commit(tmp_path: Path) -> None:
    async def run() -> None:
        play, rng = Play(tmp_path), Random(1)
        for number, fault in enumerate(FAULTS):
            await play.turn(number, rng, fault, 15.0)
            assert play.program is not None
            assert play.program.returncode in (137, -9)
        await play.finish(len(FAULTS))
        check(play)

    asyncio.run(run())


@pytest.mark.parametrize("seed", [1])
def test_kills_at_random(tmp_path: Path, seed: int) -> None:
    async def run() -> None:
        play, rng = Play(tmp_path), Random(seed)
        for number in range(int(os.environ.get("STORE_KILLS", "6"))):
            await play.turn(number, rng, "", rng.uniform(0.4, 1.0))
        await play.finish(100)
        check(play)

    asyncio.run(run())

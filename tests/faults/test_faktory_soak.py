"""Plays producers that push more than fits into memory, with a kill and a restart, on a real process.

Seeds are drawn; ``FAKTORY_SOAK_SEEDS=FIRST:COUNT`` plays others by hand.
"""

import asyncio
import contextlib
import json
import os
import random
import subprocess
import sys
import time
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import orjson
import pytest
from exchange import SETTINGS

from heronlug.faults.upgrades.usage import memory_mb
from heronlug.loadgen.faktory import FaktoryClient, FaktoryError
from heronlug.standins.ports import free_port

FIRST_SEED, SEED_COUNT = map(int, os.environ.get("FAKTORY_SOAK_SEEDS", "12:2").split(":"))
DEADLINE_S = 5.0
LOAD_S = 6.0
START_LIMIT_S = 10.0
JOBTYPES = ("safe", "once", "keyed")
ACCEPTED_ERRORS = ("no memory for another job", "refused, come back later", "no memory for the commands")


@dataclass
class Plan:
    """What is drawn from a seed.

    Attributes:
        memory_mb: limit of the process in MB.
        producers: number of producers.
        pipelines: number of connections that send commands and read no replies.
        sizes: sizes of the arguments of jobs in bytes.
        braces: share of jobs whose arguments are many empty objects.
        timed: share of jobs with a later time.
        workers: number of workers.
    """

    memory_mb: float
    producers: int
    pipelines: int
    sizes: tuple[int, ...]
    braces: float
    timed: float
    workers: int


def draw(seed: int) -> Plan:
    rng = random.Random(seed)
    sizes = tuple(rng.choice([20, 2000, 20_000, 60_000]) for _ in range(2))
    return Plan(
        memory_mb=rng.choice([64.0, 192.0]),
        producers=rng.randint(1, 8),
        pipelines=rng.choice([0, 20, 60]),
        sizes=sizes,
        braces=rng.choice([0, 0.3]),
        timed=rng.random(),
        workers=rng.choice([0, 2]),
    )


@dataclass
class Play:
    """One play: the process, and what its producers and workers have seen."""

    plan: Plan
    folder: Path
    rng: random.Random
    port: int = field(default_factory=free_port)
    http_port: int = field(default_factory=free_port)
    accepted: dict[str, str] = field(default_factory=dict)
    acknowledged: set[str] = field(default_factory=set)
    errors: set[str] = field(default_factory=set)
    pushed: int = 0

    def start(self) -> "subprocess.Popen[bytes]":
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.http_port}",
            "discovery": "127.0.0.1:9",
            "seed": "ab12",
            "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": 1024},
            "settings": {**SETTINGS, "instances": 1},
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        state = f'[faktory]\nlisten = "127.0.0.1:{self.port}"\nstore = "{self.folder / "jobs.sqlite"}"\n'
        (self.folder / "state.toml").write_text(state)
        env = {"RELAY_CONFIG": str(self.folder / "config.json"), "HERONLUG_STATE": str(self.folder / "state.toml")}
        with (self.folder / "log").open("ab") as log:
            command = [sys.executable, "-m", "heronlug"]
            return subprocess.Popen(command, env={**os.environ, **env, "TMPDIR": str(self.folder)}, stdout=log)

    async def connect(self, **hello: Any) -> FaktoryClient:
        end = time.monotonic() + START_LIMIT_S
        while True:
            try:
                return await FaktoryClient.connect(("127.0.0.1", self.port), hello)
            except OSError:
                assert time.monotonic() < end, "the process does not start in time"
                await asyncio.sleep(0.05)

    def job(self) -> dict[str, Any]:
        self.pushed += 1
        size = self.rng.choice(self.plan.sizes)
        args: list[Any] = [{}] * (size // 3) if self.rng.random() < self.plan.braces else ["r" * size]
        job = {"jid": f"job-{self.pushed:06}", "jobtype": self.rng.choice(JOBTYPES), "args": args}
        if self.rng.random() < self.plan.timed:
            job["at"] = (datetime.now(UTC) + timedelta(seconds=self.rng.uniform(1, LOAD_S + 3))).isoformat()
        return job

    async def produce(self, end: float) -> None:
        client = await self.connect()
        while time.monotonic() < end:
            job = self.job()
            try:
                await client.call(b"PUSH " + orjson.dumps(job))
                self.accepted[job["jid"]] = job["jobtype"]
            except FaktoryError as error:
                self.errors.add(str(error).removeprefix("ERR "))
                await asyncio.sleep(0.01)

    async def pipeline(self, number: int, end: float) -> None:
        """Sends pushes faster than they are executed, and reads no replies."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b'HELLO {"v":2}\r\n')
        at = (datetime.now(UTC) + timedelta(seconds=LOAD_S)).isoformat()
        count = 0
        with contextlib.suppress(OSError, TimeoutError):
            while time.monotonic() < end:
                count += 1
                job = {"jid": f"ahead-{number}-{count}", "jobtype": "safe", "args": ["r" * 60_000], "at": at}
                writer.write(b"PUSH " + orjson.dumps(job) + b"\r\n")
                await asyncio.wait_for(writer.drain(), end - time.monotonic())
        writer.transport.abort()

    async def work(self, wid: str, end: float) -> None:
        client = await self.connect(wid=wid)
        while time.monotonic() < end:
            if data := await client.call(b"FETCH default"):
                jid = json.loads(data)["jid"]
                await client.call(b"ACK " + orjson.dumps({"jid": jid}))
                self.acknowledged.add(jid)

    async def load(self) -> None:
        (await self.connect()).close()
        end = time.monotonic() + LOAD_S
        tasks = [self.produce(end) for _ in range(self.plan.producers)]
        tasks += [self.pipeline(number, end) for number in range(self.plan.pipelines)]
        tasks += [self.work(f"w{number}", end) for number in range(self.plan.workers)]
        await asyncio.gather(*tasks)

    async def open_after_their_time(self) -> list[str]:
        """Returns the accepted jobs that have no end; a push of a known jid tells how a job has ended."""
        client = await self.connect()
        open_jobs = []
        for jid, jobtype in self.accepted.items():
            if jid not in self.acknowledged:
                try:
                    await client.call(b"PUSH " + orjson.dumps({"jid": jid, "jobtype": jobtype, "args": []}))
                    open_jobs.append(jid)
                except FaktoryError as error:
                    if "has had its final answer" not in str(error):
                        open_jobs.append(f"{jid}: {error}")
        return open_jobs

    def logged(self, event: str) -> list[dict[str, Any]]:
        lines = (self.folder / "log").read_bytes().splitlines()
        return [fields for fields in map(json.loads, lines) if fields["event"] == event]


def peak_mb(process: "subprocess.Popen[bytes]") -> float:
    peak = memory_mb(process.pid)["VmHWM"]
    assert peak, "the process has ended"
    return peak


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_producers_keep_the_process_and_its_restart_within_memory(seed: int, tmp_path: Path) -> None:
    """Guards against jobs and commands that take a process over its memory, and accepted jobs without an end."""

    async def play_it() -> None:
        play = Play(draw(seed), tmp_path, random.Random(seed))
        process = play.start()
        try:
            await play.load()
            before = peak_mb(process)
            process.kill()
            process.wait()
            process = play.start()
            client = await play.connect()
            client.close()
            await asyncio.sleep(LOAD_S + 3 + DEADLINE_S + 1)
            after = peak_mb(process)
            print(seed, play.plan, len(play.accepted), len(play.acknowledged), round(before), round(after), play.errors)
            assert play.accepted
            assert max(before, after) <= play.plan.memory_mb
            assert await play.open_after_their_time() == []
            assert all(error.startswith(ACCEPTED_ERRORS) for error in play.errors), play.errors
            assert play.logged("exception") == []
        finally:
            process.kill()
            process.wait()

    asyncio.run(play_it())

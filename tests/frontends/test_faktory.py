"""Tests Faktory over TCP: password authentication, and workers that are killed while they run jobs."""

import asyncio
import hashlib
import json
import random
import socket
import struct
import unittest
from collections import Counter
from typing import Any

from exchange import SETTINGS, ExchangePlayer

NON_IDEMPOTENT_JOBS = 1150
IDEMPOTENT_JOBS = 100
NON_IDEMPOTENT_KILLS = 1000
IDEMPOTENT_KILLS = 50
KILLS = NON_IDEMPOTENT_KILLS + IDEMPOTENT_KILLS
REQUEST_CLASSES = [{**request_class, "deadline": 90_000.0, "goal_time": 50.0} for request_class in SETTINGS["lanes"]]
STATE_FILE = "log_level = 'info'\n[faktory]\nlisten = 'HERE'\n"


class FaktoryClient:
    """A Faktory producer or worker for tests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: str, **hello: Any) -> "FaktoryClient":
        host, port = address.split(":")
        client = cls(*await asyncio.open_connection(host, int(port)))
        await client.reader.readline()
        assert await client.call("HELLO", {"v": 2, **hello}) == "OK"
        return client

    async def call(self, command: str, argument: Any = "") -> Any:
        text = argument if isinstance(argument, str) else json.dumps(argument)
        self.writer.write(f"{command} {text}\r\n".encode())
        line = (await self.reader.readline()).decode().strip()
        if line.startswith("$"):
            size = int(line[1:])
            return None if size < 0 else json.loads((await self.reader.readexactly(size + 2))[:-2])
        return line[1:]

    def kill(self, method: int) -> None:
        """Ends the connection abruptly.

        Args:
            method: 0 for a reset, 1 for a close, 2 for a reset after part of an ACK.
        """
        if method == 2:
            self.writer.write(b'ACK {"jid":"job-')
        if method != 1:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class PasswordTest(unittest.TestCase):
    def test_password_is_required(self) -> None:
        """Guards against accepting a wrong password, or rejecting the right one, in HELLO."""
        player = ExchangePlayer(state=STATE_FILE + "password = 'open'\n")
        try:
            for password, answer in (("open", b"+OK"), ("shut", b"-ERR invalid password")):
                host, port = player.faktory_address.split(":")
                with socket.create_connection((host, int(port)), 10) as sock, sock.makefile("rwb") as lines:
                    greeting = json.loads(lines.readline().removeprefix(b"+HI "))
                    digest = (password + greeting["s"]).encode()
                    for _ in range(greeting["i"]):
                        digest = hashlib.sha256(digest).digest()
                    lines.write(b'HELLO {"v":2,"pwdhash":"%s"}\r\n' % digest.hex().encode())
                    lines.flush()
                    assert lines.readline().strip() == answer
        finally:
            player.close()


class WorkerKillsTest(unittest.TestCase):
    def test_killed_workers_cause_no_second_run(self) -> None:
        """Guards against a second run of a non-idempotent job whose worker is killed, and lost or extra answers."""
        player = ExchangePlayer(
            state=STATE_FILE, settings={"lanes": REQUEST_CLASSES}, limits={"max_open": 20_000, "attempts_cap": 50}
        )
        try:
            asyncio.run(asyncio.wait_for(self.run_jobs(player), 240))
            player.log.flush()
            with open(player.log.name) as log:
                log_lines = [json.loads(line) for line in log]
            answered = Counter(line["jid"] for line in log_lines if line["event"] == "job_answered")
            assert set(answered.values()) == {1}
            assert len(answered) == NON_IDEMPOTENT_JOBS + IDEMPOTENT_JOBS
        finally:
            player.close()

    async def run_jobs(self, player: ExchangePlayer) -> None:
        rng, runs, kills_by_class, acks = random.Random(7), Counter[str](), {True: 0, False: 0}, 0
        producer = await FaktoryClient.connect(player.faktory_address)
        jobtypes = ["once"] * NON_IDEMPOTENT_JOBS + ["safe"] * IDEMPOTENT_JOBS
        jobs = [{"jid": f"job-{n:06}", "jobtype": jobtype, "args": [n]} for n, jobtype in enumerate(jobtypes)]
        rng.shuffle(jobs)
        for start in range(0, len(jobs), 100):
            assert await producer.call("PUSHB", jobs[start : start + 100]) == {}
        all_ended = asyncio.Event()

        async def work(number: int) -> None:
            nonlocal acks
            incarnation = 0
            while not all_ended.is_set():
                incarnation += 1
                worker = await FaktoryClient.connect(player.faktory_address, wid=f"w{number}-{incarnation}")
                while not all_ended.is_set():
                    job = await worker.call("FETCH", "default")
                    if job is None:
                        continue
                    runs[job["jid"]] += 1
                    non_idempotent = job["jobtype"] == "once"
                    if kills_by_class[non_idempotent] < (NON_IDEMPOTENT_KILLS if non_idempotent else IDEMPOTENT_KILLS):
                        kills_by_class[non_idempotent] += 1
                        worker.kill(rng.randrange(3))
                        break
                    acks += 1
                    assert await worker.call("ACK", {"jid": job["jid"]}) == "OK"
                else:
                    worker.writer.close()

        workers = [asyncio.create_task(work(number)) for number in range(20)]
        while True:
            info = await producer.call("INFO")
            assert isinstance(info, dict), info
            if info["faktory"]["total_processed"] == len(jobs):
                break
            await producer.call("PUSHB", rng.sample(jobs, 5))  # jobs with known jids must not start again
            await asyncio.sleep(0.1)
        all_ended.set()
        await asyncio.gather(*workers)
        counts = info["heronlug"]
        run_twice = [jid for jid, count in runs.items() if count > 1 and int(jid[4:]) < NON_IDEMPOTENT_JOBS]
        kills = sum(kills_by_class.values())
        print(f"kills {kills}, acks {acks}, runs {sum(runs.values())}, {counts}, once run twice: {len(run_twice)}")
        assert kills == KILLS
        assert counts["resets"] == KILLS
        assert run_twice == []
        assert counts["served"] + counts["refused"] + counts["failed"] == len(jobs)
        assert counts["served"] == acks


if __name__ == "__main__":
    unittest.main()

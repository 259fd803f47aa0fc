"""Stand-in Faktory workers killed mid-job a thousand times: no second run, and one answer for each job."""

import asyncio
import hashlib
import json
import random
import socket
import struct
import unittest
from collections import Counter
from typing import Any

from exchange import SETTINGS, Player

ONCE, SAFE, SAFE_KILLS = 1150, 100, 50
KILLS = 1000 + SAFE_KILLS
LANES = [{**lane, "deadline": 90_000.0, "goal_time": 50.0} for lane in SETTINGS["lanes"]]
STATE = "log_level = 'info'\n[faktory]\nlisten = 'HERE'\n"


class Client:
    """A stand-in producer or worker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: str, **hello: Any) -> "Client":
        host, port = address.split(":")
        client = cls(*await asyncio.open_connection(host, int(port)))
        await client.reader.readline()
        assert await client.ask("HELLO", {"v": 2, **hello}) == "OK"
        return client

    async def ask(self, word: str, argument: Any = "") -> Any:
        text = argument if isinstance(argument, str) else json.dumps(argument)
        self.writer.write(f"{word} {text}\r\n".encode())
        line = (await self.reader.readline()).decode().strip()
        if line.startswith("$"):
            size = int(line[1:])
            return None if size < 0 else json.loads((await self.reader.readexactly(size + 2))[:-2])
        return line[1:]

    def kill(self, way: int) -> None:
        """Lose the connection: by a reset, by a close, or by a reset within an ACK."""
        if way == 2:
            self.writer.write(b'ACK {"jid":"job-')
        if way != 1:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Password(unittest.TestCase):
    def test_only_who_knows_the_password_comes_in(self) -> None:
        player = Player(state=STATE + "password = 'open'\n")
        try:
            for word, answer in (("open", b"+OK"), ("shut", b"-ERR invalid password")):
                host, port = player.faktory.split(":")
                with socket.create_connection((host, int(port)), 10) as sock, sock.makefile("rwb") as lines:
                    hi = json.loads(lines.readline().removeprefix(b"+HI "))
                    digest = (word + hi["s"]).encode()
                    for _ in range(hi["i"]):
                        digest = hashlib.sha256(digest).digest()
                    lines.write(b'HELLO {"v":2,"pwdhash":"%s"}\r\n' % digest.hex().encode())
                    lines.flush()
                    self.assertEqual(lines.readline().strip(), answer)
        finally:
            player.close()


class Kills(unittest.TestCase):
    def test_a_thousand_workers_killed_mid_job(self) -> None:
        player = Player(state=STATE, settings={"lanes": LANES}, limits={"max_open": 20_000, "attempts_cap": 50})
        try:
            asyncio.run(asyncio.wait_for(self.play(player), 240))
            player.log.flush()
            with open(player.log.name) as log:
                told = [json.loads(line) for line in log]
            answered = Counter(line["jid"] for line in told if line["event"] == "job_answered")
            self.assertEqual(set(answered.values()), {1})
            self.assertEqual(len(answered), ONCE + SAFE)
        finally:
            player.close()

    async def play(self, player: Player) -> None:
        rng, runs, lost, acks = random.Random(7), Counter[str](), {True: 0, False: 0}, 0
        producer = await Client.connect(player.faktory)
        lanes = ["once"] * ONCE + ["safe"] * SAFE
        jobs = [{"jid": f"job-{n:06}", "jobtype": lane, "args": [n]} for n, lane in enumerate(lanes)]
        rng.shuffle(jobs)
        for at in range(0, len(jobs), 100):
            assert await producer.ask("PUSHB", jobs[at : at + 100]) == {}
        over = asyncio.Event()

        async def work(number: int) -> None:
            nonlocal acks
            life = 0
            while not over.is_set():
                life += 1
                worker = await Client.connect(player.faktory, wid=f"w{number}-{life}")
                while not over.is_set():
                    job = await worker.ask("FETCH", "default")
                    if job is None:
                        continue
                    runs[job["jid"]] += 1
                    once = job["jobtype"] == "once"
                    if lost[once] < (1000 if once else SAFE_KILLS):
                        lost[once] += 1
                        worker.kill(rng.randrange(3))
                        break
                    acks += 1
                    assert await worker.ask("ACK", {"jid": job["jid"]}) == "OK"
                else:
                    worker.writer.close()

        workers = [asyncio.create_task(work(number)) for number in range(20)]
        while True:
            info = await producer.ask("INFO")
            assert isinstance(info, dict), info
            if info["faktory"]["total_processed"] == len(jobs):
                break
            await producer.ask("PUSHB", rng.sample(jobs, 5))  # known jids: nothing new starts
            await asyncio.sleep(0.1)
        over.set()
        await asyncio.gather(*workers)
        counts = info["heronlug"]
        twice = [jid for jid, count in runs.items() if count > 1 and int(jid[4:]) < ONCE]
        kills = sum(lost.values())
        print(f"kills {kills}, acks {acks}, runs {sum(runs.values())}, {counts}, once run twice: {len(twice)}")
        self.assertEqual(kills, KILLS)
        self.assertEqual(counts["resets"], KILLS)
        self.assertEqual(twice, [])
        self.assertEqual(counts["served"] + counts["refused"] + counts["failed"], len(jobs))
        self.assertEqual(counts["served"], acks)


if __name__ == "__main__":
    unittest.main()

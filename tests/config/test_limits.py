"""Tests reloads under load: 18 requests a second and a surge of 200 while the limits change ten times.

The servers leave every fifteenth request unanswered and count its attempts, which must be as many as the limits allow
under which the request was accepted.
"""

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

from heronlug.standins.ports import free_port
from heronlug.standins.server import Begun, Behaviour, StandInServer

LIMIT_SETS = {  # attempts of a silent request under each set; without a table no silent requests are sent
    "two": (2, "attempts = 2\nattempt_timeout_ms = 1500\nwait_ms = [60]\nsecond_copy = false\n"),
    "five": (5, "attempts = 5\nattempt_timeout_ms = 900\nwait_ms = [30, 60]\nsecond_copy = false\n"),
    "one": (1, "attempts = 1\nattempt_timeout_ms = 2000\n"),
    "none": (0, ""),
}
SET_ORDER = ["two", "five", "one", "two", "none", "five", "one", "none", "two", "five", "one"]
REQUESTS_PER_SECOND, SURGE_REQUESTS, SILENT_EVERY, SERVER_COUNT = 18, 200, 15, 8
TIMEOUT_S = 20.0
SITE_TABLES = """
[serve]
name = "load"
listen = "127.0.0.1:{port}"

[site]
[[site.class]]
name = "job"
effect = "repeatable"
aim_ms = 1000
deadline_ms = 12000

[[site.class]]
name = "once"
effect = "once"
aim_ms = 1000
deadline_ms = 12000
"""


class Result(NamedTuple):
    """A request that was sent.

    Attributes:
        txn: Id of the request.
        possible_sets: Names of the limit sets under which the request may have been accepted.
        status: HTTP status of the answer.
    """

    txn: str
    possible_sets: set[str]
    status: int


def choose_behaviour(begun: Begun) -> Behaviour:
    """Returns no answer for requests whose id starts with ``silent``, and a quick answer for the others."""
    return Behaviour(0.0, "silent") if begun.txn.startswith("silent") else Behaviour(0.02)


class LoadHarness:
    """Runs the dispatcher, its servers and its clients."""

    def __init__(self, folder: Path) -> None:
        self.path, self.log = folder / "site.toml", folder / "log"
        self.port = free_port()
        self.servers = [StandInServer(choose_behaviour) for _ in range(SERVER_COUNT)]
        self.server_tables = ""
        self.current_set, self.next_set = "two", "two"
        self.tasks: list[asyncio.Task[Result]] = []
        self.count = 0

    def write(self, name: str) -> None:
        """Writes the file with one of the limit sets."""
        limits = LIMIT_SETS[name][1]
        table = f"[class.job]\n{limits}" if limits else ""
        self.path.write_text(SITE_TABLES.format(port=self.port) + table + self.server_tables)

    async def start(self) -> "subprocess.Popen[bytes]":
        """Starts the servers and the dispatcher."""
        for number, server in enumerate(self.servers):
            port = await server.open()
            self.server_tables += f'[[host]]\nname = "h{number}"\naddress = "127.0.0.1:{port}"\n'
        self.write("two")
        with self.log.open("wb") as log:
            program = subprocess.Popen(
                [sys.executable, "-m", "heronlug", "serve", str(self.path)], stdout=log, stderr=subprocess.STDOUT
            )
        await self.wait_for_log('"started"', 1)
        return program

    async def wait_for_log(self, text: str, times: int) -> None:
        """Waits until the log contains the text so many times."""
        end = time.monotonic() + TIMEOUT_S
        while self.log.read_text().count(text) < times:
            assert time.monotonic() < end, self.log.read_text()[-2000:]
            await asyncio.sleep(0.01)

    def post(self, silent: bool) -> None:
        """Starts a client with one request; every fourth request that is answered is of the class ``once``."""
        self.count += 1
        class_name = "once" if self.count % 4 == 0 and not silent else "job"
        self.tasks.append(
            asyncio.create_task(self._post(f"{'silent' if silent else 'quick'}-{self.count}", class_name))
        )

    async def _post(self, txn: str, class_name: str) -> Result:
        possible_sets = {self.current_set, self.next_set}  # during a reload the old or the new limits may apply
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /{class_name} HTTP/1.1\r\nX-Txn: {txn}\r\nX-Lane: {class_name}\r\nX-Remaining-Ms: 11000\r\n"
            "Content-Length: 2\r\n\r\nhi".encode()
        )
        while txn.startswith("silent") and not any(server.begun[txn] for server in self.servers):
            await asyncio.sleep(0.005)  # before its first attempt the request may not have been accepted yet
            possible_sets |= {self.current_set, self.next_set}
        status = int((await reader.readline()).split()[1])
        writer.close()
        return Result(txn, possible_sets, status)


async def _reload_under_load(folder: Path) -> tuple[LoadHarness, list[Result]]:
    harness = LoadHarness(folder)
    program = await harness.start()
    try:
        for step, name in enumerate(SET_ORDER[1:], 1):
            for tick in range(REQUESTS_PER_SECOND // 2):
                harness.post(
                    silent=harness.count % SILENT_EVERY == 0 and "none" not in (harness.current_set, harness.next_set)
                )
                if step == 4 and tick == 3:
                    for _ in range(SURGE_REQUESTS):
                        harness.post(silent=False)
                await asyncio.sleep(0.5 / (REQUESTS_PER_SECOND // 2))
            harness.write(name)
            harness.next_set = name
            program.send_signal(signal.SIGHUP)
            await harness.wait_for_log('"reloaded"', step)
            harness.current_set = name
        answers = await asyncio.wait_for(asyncio.gather(*harness.tasks), TIMEOUT_S)
    finally:
        program.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(program.wait, TIMEOUT_S)
        for server in harness.servers:
            server.close()
    assert status == 0
    return harness, answers


def test_requests_keep_the_limits_that_they_were_accepted_under(tmp_path: Path) -> None:
    """Guards against a reload that changes the limits of open requests, or loses or repeats a request."""
    harness, answers = asyncio.run(_reload_under_load(tmp_path))
    assert len(answers) == harness.count > SURGE_REQUESTS + 80  # each request has exactly one answer
    quick = [result for result in answers if result.txn.startswith("quick")]
    silent = [result for result in answers if not result.txn.startswith("quick")]
    assert {result.status for result in quick} == {200}
    assert {result.status for result in silent} == {503}
    assert len(silent) >= 5
    attempts = {result.txn: sum(server.begun[result.txn] for server in harness.servers) for result in silent}
    for result in silent:
        assert attempts[result.txn] in {LIMIT_SETS[name][0] for name in result.possible_sets}, (
            result,
            attempts[result.txn],
        )
    assert len({attempts[result.txn] for result in silent}) == 3  # three limit sets were in use, and each was followed
    log = harness.log.read_text()
    assert log.count('"reloaded"') == len(SET_ORDER) - 1
    assert "reload_failed" not in log
    assert "overdue" not in log
    assert max(sum(server.begun[result.txn] for server in harness.servers) for result in quick) == 1


async def _remove_class_while_serving(folder: Path) -> tuple[list[int], str]:
    harness = LoadHarness(folder)
    program = await harness.start()
    try:
        file_text = harness.path.read_text()
        first_posts = [asyncio.create_task(harness._post(f"{kind}-1", "once")) for kind in ("quick", "silent")]
        await asyncio.sleep(0.3)  # one request is answered, the other one runs
        begin, end = file_text.index('[[site.class]]\nname = "once"'), file_text.index("[class.job]")
        harness.path.write_text(file_text[:begin] + file_text[end:])
        program.send_signal(signal.SIGHUP)
        await harness.wait_for_log('"reloaded"', 1)
        last_result = await harness._post("quick-2", "once")
        program.send_signal(signal.SIGTERM)  # the graceful shutdown answers the running request
        first_results = await asyncio.wait_for(asyncio.gather(*first_posts), TIMEOUT_S)
        await asyncio.to_thread(program.wait, TIMEOUT_S)
    finally:
        program.kill()
        for server in harness.servers:
            server.close()
    return [result.status for result in (*first_results, last_result)], harness.log.read_text()


def test_a_class_removed_from_the_site_stays_until_a_restart(tmp_path: Path) -> None:
    """Guards against a reload that removes a class while its requests run.

    Running requests of the class could be lost, or the numbers of later classes could shift for their requests.
    """
    statuses, log = asyncio.run(_remove_class_while_serving(tmp_path))
    assert statuses == [200, 500, 200]
    assert '"needs_restart":["settings"]' in log
    assert "exception" not in log

"""The rig tells an end behind what was written before it, though that is read later, and misses nothing after it."""

import asyncio
import socket
from pathlib import Path

from heronlug.config.strict_toml import Source
from heronlug.faults.harness import FaultHarness
from heronlug.faults.network import FaultyNetwork
from heronlug.faults.ordering import OrderedEnds
from heronlug.faults.plan import parse


class Heard(asyncio.Protocol):
    """Tells of the first bytes of a connection."""

    def __init__(self, told: list[str], what: str, behind: OrderedEnds | None = None) -> None:
        self.told, self.what, self.behind = told, what, behind

    def data_received(self, data: bytes) -> None:
        """What it is for."""
        if self.behind is None:
            self.told.append(self.what)
        else:
            self.behind.report(lambda: self.told.append(self.what))


async def listening(told: list[str], what: str, behind: OrderedEnds | None = None) -> int:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Heard(told, what, behind), "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1])


def answer_after(relayed: bool) -> list[str]:
    """A request on a new connection and then an answer on an open one, both written before anything is read."""

    async def run() -> list[str]:
        told: list[str] = []
        paths = FaultyNetwork(1)
        behind = OrderedEnds(paths)
        await behind.open()
        answers = socket.create_connection(("127.0.0.1", await listening(told, "answered", behind)))
        runner = await listening(told, "sent")
        if relayed:
            paths.path_between("d0", "r0").make_connection_listener = lambda: RecordingListener(told)
            runner = int(paths.proxy_connections("d0", "r0", lambda: f"127.0.0.1:{unheard}").rpartition(":")[2])
            unheard = await listening([], "come")
        await asyncio.sleep(0.05)  # the connection of the answers has been accepted, which the order hangs on nowhere
        request = socket.create_connection(("127.0.0.1", runner))
        request.send(b"request")
        answers.send(b"answer")
        async with asyncio.timeout(10):
            while len(told) < 2:
                await asyncio.sleep(0)
            later = socket.create_connection(("127.0.0.1", runner))
            later.send(b"another")
            while len(told) < 3:
                await asyncio.sleep(0)
        behind.close()
        paths.close()
        for sock in (answers, request, later):
            sock.close()
        return told

    return asyncio.run(run())


class RecordingListener:
    """Records that bytes were written into a connection."""

    def __init__(self, told: list[str]) -> None:
        self.told = told

    def bytes_written(self, data: bytes) -> None:
        """A request has been written."""
        self.told.append("sent")


def test_what_was_written_before_an_answer_is_told_before_it_though_it_is_read_later() -> None:
    assert answer_after(relayed=False) == ["sent", "answered", "sent"]
    assert answer_after(relayed=True) == ["sent", "answered", "sent"]


def test_ends_keep_their_order_and_what_waits_at_the_close_is_told() -> None:
    async def run() -> list[int]:
        told: list[int] = []
        paths = FaultyNetwork(1)
        behind = OrderedEnds(paths)
        await behind.open()
        for number in range(5):
            behind.report(lambda number=number: told.append(number))  # type: ignore[misc]
        assert not told
        await asyncio.wait_for(behind.caught_up(), 10)
        assert told == [0, 1, 2, 3, 4]
        behind.report(lambda: told.append(5))
        behind.close()
        paths.close()
        return told

    assert asyncio.run(run()) == [0, 1, 2, 3, 4, 5]


def test_a_job_that_is_sent_after_its_answer_breaks_the_rule(tmp_path: Path) -> None:
    """Past the dispatcher, as one would that goes on after the end."""
    text = b"""
name = "x"
span_s = 6
relays = []
begin = "listed"
[dispatchers]
count = 1
peers = false
[[class]]
name = "job"
rate = 20
work_ms = 20
deadline_ms = 2000
"""

    async def run() -> list[str]:
        rig = FaultHarness(parse(Source.parse("x.toml", text)), tmp_path)
        playing = asyncio.create_task(rig.play())
        over: set[str] = set()
        while not over and not playing.done():
            await asyncio.sleep(0.02)
            over = rig.checker._answered_requests.get("d0", set())
        txn = min(over)
        with socket.create_connection(("127.0.0.1", rig.servers.endpoints["r0"].port)) as sock:
            head = f"POST /job HTTP/1.1\r\nX-Txn: {txn}\r\nX-Lane: job\r\nContent-Length: 2\r\n\r\n20"
            sock.send(head.encode())
            verdict = await playing
        assert [violation.what for violation in verdict.violations] == [
            f"{txn} was sent although the request is not open"
        ], verdict
        return verdict.faults

    assert asyncio.run(run()) == []

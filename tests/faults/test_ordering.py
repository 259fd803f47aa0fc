"""Tests that the harness records the end of a request after earlier events and still reports later violations."""

import asyncio
import socket
import threading
import time
from pathlib import Path
from unittest.mock import MagicMock

from heronlug.config.strict_toml import Source
from heronlug.emulator.scenario import ClassTable
from heronlug.faults.harness import FaultHarness
from heronlug.faults.network import FaultyNetwork
from heronlug.faults.observed_load import ObservedLoad
from heronlug.faults.ordering import OrderedEnds
from heronlug.faults.plan import parse
from heronlug.loadgen.http import SentRequest
from heronlug.loadgen.plan import PlannedRequest
from heronlug.loadgen.tally import Tally
from heronlug.net.http import split_address

NOT_RUNNING_S = 0.6
"""Seconds for which the harness does not run while an answer arrives."""


class FirstBytesRecorder(asyncio.Protocol):
    """Records the first bytes of a connection, through ``ordered_ends`` if given."""

    def __init__(self, recorded: list[str], label: str, ordered_ends: OrderedEnds | None = None) -> None:
        self.recorded, self.label, self.ordered_ends = recorded, label, ordered_ends

    def data_received(self, data: bytes) -> None:
        """Records the label."""
        if self.ordered_ends is None:
            self.recorded.append(self.label)
        else:
            self.ordered_ends.report(lambda: self.recorded.append(self.label))


async def open_listener(recorded: list[str], label: str, ordered_ends: OrderedEnds | None = None) -> int:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: FirstBytesRecorder(recorded, label, ordered_ends), "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1])


def recorded_order(proxied: bool) -> list[str]:
    """Returns the recorded order of a request on a new connection and an answer on an open one.

    The request and then the answer are written before either is read; another request follows.
    """

    async def run() -> list[str]:
        recorded: list[str] = []
        network = FaultyNetwork(1)
        ordered_ends = OrderedEnds(network)
        await ordered_ends.open()
        answers = socket.create_connection(("127.0.0.1", await open_listener(recorded, "answered", ordered_ends)))
        server_port = await open_listener(recorded, "sent")
        if proxied:
            network.path_between("d0", "r0").make_connection_listener = lambda: RecordingListener(recorded)
            server_port = int(
                network.proxy_connections("d0", "r0", lambda: f"127.0.0.1:{target_port}").rpartition(":")[2]
            )
            target_port = await open_listener([], "come")
        await asyncio.sleep(0.05)  # the answer connection is accepted by now; the order must not depend on this
        request = socket.create_connection(("127.0.0.1", server_port))
        request.send(b"request")
        answers.send(b"answer")
        async with asyncio.timeout(10):
            while len(recorded) < 2:
                await asyncio.sleep(0)
            later = socket.create_connection(("127.0.0.1", server_port))
            later.send(b"another")
            while len(recorded) < 3:
                await asyncio.sleep(0)
        ordered_ends.close()
        network.close()
        for sock in (answers, request, later):
            sock.close()
        return recorded

    return asyncio.run(run())


class RecordingListener:
    """Records that bytes were written into a connection."""

    def __init__(self, recorded: list[str]) -> None:
        self.recorded = recorded

    def bytes_written(self, data: bytes) -> None:
        """Records that a request was written."""
        self.recorded.append("sent")


def test_request_written_before_an_answer_is_recorded_before_it() -> None:
    """Guards against a false violation: a hedge that is read after the answer would seem to be sent after the end."""
    assert recorded_order(proxied=False) == ["sent", "answered", "sent"]
    assert recorded_order(proxied=True) == ["sent", "answered", "sent"]


def test_request_written_before_a_cut_is_recorded_before_the_cut_ends() -> None:
    """Guards against a false violation: a request that waits in the queue of the proxy until the cut is healed."""

    async def run() -> list[str]:
        recorded: list[str] = []
        network = FaultyNetwork(1)
        port = await open_listener([], "come")
        path = network.path_between("d0", "r0")
        path.make_connection_listener = lambda: RecordingListener(recorded)
        proxy = network.proxy_connections("d0", "r0", lambda: f"127.0.0.1:{port}")
        with socket.create_connection(split_address(proxy)) as sock:
            sock.send(b"request")
            path.forward.stalled = path.backward.stalled = True
            path.apply_faults()
            async with asyncio.timeout(5):
                while not recorded:
                    await asyncio.sleep(0.01)
        network.close()
        return recorded

    assert asyncio.run(run()) == ["sent"]


class StalledLoad(ObservedLoad):
    """Load whose process does not run for a while after each request."""

    def request_sent(self, request: SentRequest, dispatcher: int) -> None:
        """Blocks the event loop once the request has been written."""
        super().request_sent(request, dispatcher)
        asyncio.get_running_loop().call_soon(time.sleep, NOT_RUNNING_S)


def test_answer_that_waited_unread_is_recorded_at_its_arrival() -> None:
    """Guards against an answer that counts as late because the harness did not run when it arrived."""

    def answer(listener: socket.socket) -> None:
        connection = listener.accept()[0]
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def run() -> None:
        request_class = ClassTable("quick", "repeatable", 500.0, 4000.0, {"dist": "uniform"}, 1.0)
        tallies = {"quick": Tally(request_class)}
        dispatchers, history = MagicMock(), MagicMock(now=lambda: time.monotonic() * 1000)
        dispatchers.processes = {"d0": MagicMock(incarnation=1, last_ended_incarnation=0, stop_requested_at_s=None)}
        with socket.create_server(("127.0.0.1", 0)) as listener:
            dispatchers.frontend_ports = {"d0": listener.getsockname()[1]}
            threading.Thread(target=answer, args=(listener,), daemon=True).start()
            load = StalledLoad(dispatchers, history, tallies, 5.0)
            await load.run([PlannedRequest(0.0, request_class, 1.0)])
        taken, answered = history.record.call_args.args[0], dispatchers.report_end.call_args.args[0]
        assert answered.at - taken.at < NOT_RUNNING_S * 500
        assert tallies["quick"].latencies_us.get_max_value() < NOT_RUNNING_S * 500_000

    asyncio.run(run())


def test_ends_keep_their_order_and_close_records_pending_ends() -> None:
    """Guards against ends that overtake each other, or that are lost if the run closes while they wait."""

    async def run() -> list[int]:
        recorded: list[int] = []
        network = FaultyNetwork(1)
        ordered_ends = OrderedEnds(network)
        await ordered_ends.open()
        for number in range(5):
            ordered_ends.report(lambda number=number: recorded.append(number))  # type: ignore[misc]
        assert not recorded
        await asyncio.wait_for(ordered_ends.wait_until_caught_up(), 10)
        assert recorded == [0, 1, 2, 3, 4]
        ordered_ends.report(lambda: recorded.append(5))
        ordered_ends.close()
        network.close()
        return recorded

    assert asyncio.run(run()) == [0, 1, 2, 3, 4, 5]


def test_request_sent_after_its_answer_breaks_a_rule(tmp_path: Path) -> None:
    """Guards against a dispatcher that sends an attempt after the final answer of its request.

    The test sends such an attempt directly to the server; the checker must report the violation.
    """
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
        harness = FaultHarness(parse(Source.parse("x.toml", text)), tmp_path)
        playing = asyncio.create_task(harness.play())
        answered: set[str] = set()
        while not answered and not playing.done():
            await asyncio.sleep(0.02)
            answered = harness.checker._answered_requests.get("d0", set())
        txn = min(answered)
        with socket.create_connection(("127.0.0.1", harness.servers.endpoints["r0"].port)) as sock:
            head = f"POST /job HTTP/1.1\r\nX-Txn: {txn}\r\nX-Lane: job\r\nContent-Length: 2\r\n\r\n20"
            sock.send(head.encode())
            verdict = await playing
        assert [violation.what for violation in verdict.violations] == [
            f"{txn} was sent although the request is not open"
        ], verdict
        return verdict.faults

    assert asyncio.run(run()) == []

"""Tests that producers and workers that send more than is executed, or do not read, hold a bounded memory."""

import contextlib
import json

import pytest

from end_to_end.harness import DispatcherHarness, run_async, until
from end_to_end.test_faktory import FaktoryClient, connect_fetching_worker, open_faktory, push_command
from heronlug.frontends.faktory.errors import SessionMemoryError
from heronlug.frontends.faktory.session import MAX_READ_BYTES, MAX_WAITING_BYTES, UNREAD_TIMEOUT_MS
from heronlug.frontends.faktory.session_memory import SESSION_BYTES
from heronlug.memory.holders import Holder

KB = 1024
COMMAND_BYTES = 60 * KB


def large_push(number: int) -> bytes:
    job = {"jid": f"job-{number:05}", "jobtype": "none", "args": ["r" * COMMAND_BYTES]}
    return b"PUSH %s\r\n" % json.dumps(job).encode()


def many_rejected_jobs() -> bytes:
    """Returns a PUSHB whose reply is some times as long."""
    jobs = ",".join(f'{{"jid":"a-{number:06}"}}' for number in range(12_000))
    return f"PUSHB [{jobs}]\r\n".encode()


def held(harness: DispatcherHarness) -> int:
    return harness.application.memory.by_holder[Holder.FAKTORY_SESSIONS]


async def send_all(harness: DispatcherHarness, client: FaktoryClient, data: bytes, turns: int = 2000) -> int:
    """Sends as much as the connection takes, and returns how many bytes that is."""
    client.sock.setblocking(False)
    sent = 0
    for _ in range(turns):
        with contextlib.suppress(BlockingIOError):
            sent += client.sock.send(data[sent : sent + 64 * KB])
        if sent == len(data):
            break
        await harness.settle()
    await harness.settle()
    return sent


def test_commands_behind_a_fetch_hold_a_bounded_memory_and_are_executed_in_order() -> None:
    """Guards against a worker or producer that pipelines commands faster than they are executed."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness, open_faktory(harness) as address:
            client = FaktoryClient(address, harness, wid="w1")
            data = b"FETCH default\r\n" + b"".join(map(large_push, range(200)))
            sent = await send_all(harness, client, data, turns=100)
            assert sent < len(data)
            assert (
                COMMAND_BYTES < held(harness) < SESSION_BYTES + MAX_WAITING_BYTES + 2 * (COMMAND_BYTES + MAX_READ_BYTES)
            )
            await harness.pass_time(2000)  # the FETCH ends without a job
            assert await send_all(harness, client, data[sent:]) == len(data) - sent
            replies = b""

            def has_all_replies() -> bool:
                nonlocal replies
                replies += client.received()
                return replies.count(b"-ERR jobtype names no class\r\n") == 200

            await until(has_all_replies, "a reply to each command")
            assert held(harness) <= SESSION_BYTES

    run_async(test)


@pytest.mark.parametrize("reads", [False, True])
def test_replies_that_are_not_read_hold_a_bounded_memory(reads: bool) -> None:
    """Guards against a client that sends commands with long replies and reads none."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness, open_faktory(harness) as address:
            client = FaktoryClient(address, harness)
            data = many_rejected_jobs() * 40
            sent = await send_all(harness, client, data, turns=100)
            assert sent < len(data)
            assert held(harness) < 4 * len(many_rejected_jobs()) + 1024 * KB
            if reads:
                replies = 0
                for _ in range(10_000):
                    replies += client.received().count(b"\r\n$")
                    with contextlib.suppress(BlockingIOError):
                        sent += client.sock.send(data[sent : sent + 64 * KB])
                    await harness.settle()
                    if replies == 40:
                        break
                assert replies == 40
            else:
                await harness.pass_time(UNREAD_TIMEOUT_MS + 1000)
                assert held(harness) == 0

    run_async(test)


def test_shortage_meets_the_connection_that_holds_most() -> None:
    """Guards against halves of commands that take the memory of those who send one command at a time."""

    async def test() -> None:
        async with DispatcherHarness(1, memory_mb=32).open() as harness, open_faktory(harness) as address:
            waiting = FaktoryClient(address, harness, wid="w1")
            await send_all(harness, waiting, b"FETCH default\r\n" + large_push(0))
            halves = [FaktoryClient(address, harness) for _ in range(4)]
            for size, client in zip((100, 200, 120, 140), halves, strict=True):
                await send_all(harness, client, b"PUSH " + b"x" * size * KB)
            received = [client.received() for client in halves]
            assert [str(SessionMemoryError()).encode() in each for each in received] == [False, True, False, False]
            assert [fields["held"] for fields in harness.logged("session_rejected")] == [200 * KB + 5]
            await harness.pass_time(2000)
            assert b"-ERR jobtype names no class" in waiting.received()

    run_async(test)


@pytest.mark.parametrize("ending", ["fin", "half", "reset"])
def test_worker_that_leaves_while_it_is_not_read_returns_its_job(ending: str) -> None:
    """Guards against a paused connection that hides the end of its worker."""

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness, open_faktory(harness) as address:
            worker = connect_fetching_worker(address, harness, "w1")
            producer = FaktoryClient(address, harness)
            await harness.settle()
            producer.send(push_command("job-00001"))
            await harness.settle()
            await send_all(harness, worker, b"FETCH default\r\n" + large_push(1) + large_push(2), turns=20)
            assert b"job-00001" in worker.received()
            worker.sock.setblocking(True)
            worker.leave(ending)
            await harness.pass_time(200)
            assert [fields["jid"] for fields in harness.logged("job_reset")] == ["job-00001"]

    run_async(test)

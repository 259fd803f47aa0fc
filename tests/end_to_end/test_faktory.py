"""End-to-end tests of the Faktory frontend: a job for a worker that has disconnected counts as not delivered."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import pytest

from end_to_end.harness import BlockingClient, DispatcherHarness, run_async
from heronlug.frontends.faktory.delivery import JobDelivery
from heronlug.frontends.faktory.worker import Reservation
from heronlug.standins.ports import free_port

FAKTORY_TABLE = {
    "password": "",
    "beat_timeout_s": 60,
    "reserve_for_s": 1800,
    "remember_s": 3600,
    "max_known": 1000,
    "max_connections": 20,
    "store": "",
}


class FaktoryClient(BlockingClient):
    """A producer or a worker; each operation has reached the kernel when the call returns."""

    def __init__(self, address: str, harness: DispatcherHarness, **hello: object) -> None:
        super().__init__(address)
        self.harness = harness
        self.send(b"HELLO %s\r\n" % json.dumps({"v": 2, **hello}).encode())

    async def received_after_settling(self) -> bytes:
        await self.harness.settle()
        return self.received()


@asynccontextmanager
async def open_faktory(harness: DispatcherHarness) -> AsyncIterator[str]:
    """Opens the Faktory frontend of a running application and yields its address."""
    address = f"127.0.0.1:{free_port()}"
    harness.application.faktory.use(await harness.application.faktory.open({**FAKTORY_TABLE, "listen": address}))
    await asyncio.sleep(0)
    yield address


def connect_fetching_worker(address: str, harness: DispatcherHarness, wid: str) -> FaktoryClient:
    """Connects a worker and sends its FETCH."""
    client = FaktoryClient(address, harness, wid=wid)
    client.send(b"FETCH default\r\n")
    return client


async def fetch_with_second_worker(address: str, harness: DispatcherHarness) -> tuple[FaktoryClient, bytes]:
    """Connects a second worker, passes 1.5 s and returns the worker with the bytes that it received."""
    second_worker = connect_fetching_worker(address, harness, "w2")
    await harness.settle()
    await harness.pass_time(1_500)
    return second_worker, await second_worker.received_after_settling()


def push_command(jid: str) -> bytes:
    return b"PUSH %s\r\n" % json.dumps({"jid": jid, "jobtype": "once", "args": []}).encode()


@pytest.mark.parametrize("ending", ["fin", "half", "reset"])
def test_job_for_a_departed_worker_goes_to_another_worker(ending: str) -> None:
    """Guards against delivering a job to a worker whose disconnect has not been read yet.

    The disconnect is pending in the kernel when the job is matched with the FETCH. The job never ran, so another worker
    must get the job without a reset.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness, open_faktory(harness) as address:
            departed = connect_fetching_worker(address, harness, "w1")
            producer = FaktoryClient(address, harness)
            await harness.settle()
            producer.send(push_command("job-00001"))  # the dispatcher reads the PUSH before the disconnect
            departed.leave(ending)
            assert (await producer.received_after_settling()).endswith(b"+OK\r\n")
            second_worker, received = await fetch_with_second_worker(address, harness)
            assert b"job-00001" in received
            assert not harness.logged("job_reset")
            second_worker.send(b'ACK {"jid":"job-00001"}\r\n')
            assert (await second_worker.received_after_settling()).endswith(b"+OK\r\n")
            assert [event["final"] for event in harness.logged("job_answered")] == ["served"]

    run_async(test)


@pytest.mark.parametrize("ending", ["fin", "half", "reset"])
def test_job_whose_worker_leaves_while_the_delivery_is_stored_goes_to_another_worker(ending: str) -> None:
    """Guards against writing a non-idempotent job to a worker that disconnects while the delivery is being stored.

    Such a delivery is stored before its first byte is written. The job never ran, so another worker must get the job
    without a reset.
    """

    async def test() -> None:
        async with DispatcherHarness(1).open() as harness, open_faktory(harness) as address:
            departed = connect_fetching_worker(address, harness, "w1")
            await harness.settle()
            original_deliver = JobDelivery._deliver

            def leave_then_deliver(delivery: JobDelivery, reservation: Reservation, *rest: object) -> None:
                if reservation.worker.wid == "w1":
                    departed.leave(ending)
                original_deliver(delivery, reservation, *rest)  # type: ignore[arg-type]

            with mock.patch.object(JobDelivery, "_deliver", leave_then_deliver):
                producer = FaktoryClient(address, harness)
                producer.send(push_command("job-00002"))
                await harness.settle()
            _, received = await fetch_with_second_worker(address, harness)
            assert b"job-00002" in received
            assert not harness.logged("job_reset")

    run_async(test)

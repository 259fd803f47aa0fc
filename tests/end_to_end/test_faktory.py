"""The second front: what goes to a worker that has left was never delivered."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import pytest

from end_to_end.house import House, Kernel, play
from heronlug.frontends.faktory.delivery import JobDelivery
from heronlug.frontends.faktory.worker import Reservation
from heronlug.standins.ports import free_port

TERMS = {
    "password": "",
    "beat_timeout_s": 60,
    "reserve_for_s": 1800,
    "remember_s": 3600,
    "max_known": 1000,
    "max_connections": 20,
    "store": "",
}


class Client(Kernel):
    """A producer or a worker, each act of which is done when the call returns."""

    def __init__(self, address: str, house: House, **hello: object) -> None:
        super().__init__(address)
        self.house = house
        self.send(b"HELLO %s\r\n" % json.dumps({"v": 2, **hello}).encode())

    async def told(self) -> bytes:
        await self.house.settle()
        return self.got()


@asynccontextmanager
async def faktory(house: House) -> AsyncIterator[str]:
    """The second front of a house."""
    address = f"127.0.0.1:{free_port()}"
    house.daemon.faktory.use(await house.daemon.faktory.open({**TERMS, "listen": address}))
    await asyncio.sleep(0)
    yield address


def fetching(address: str, house: House, wid: str) -> Client:
    """A worker that waits for a job."""
    client = Client(address, house, wid=wid)
    client.send(b"FETCH default\r\n")
    return client


async def another(address: str, house: House) -> tuple[Client, bytes]:
    """The next worker, and what it gets in place of the one that has left."""
    other = fetching(address, house, "w2")
    await house.settle()
    await house.pass_time(1_500)
    return other, await other.told()


def push(jid: str) -> bytes:
    return b"PUSH %s\r\n" % json.dumps({"jid": jid, "jobtype": "once", "args": []}).encode()


@pytest.mark.parametrize("way", ["fin", "half", "reset"])
def test_a_worker_that_has_left_as_a_job_comes(way: str) -> None:
    """Its end is not read yet when the job is matched with its FETCH: the job never ran, and another worker has it."""

    async def test() -> None:
        async with House(1).open() as house, faktory(house) as address:
            gone = fetching(address, house, "w1")
            producer = Client(address, house)
            await house.settle()
            producer.send(push("job-00001"))  # first in the queue of what is to be read
            gone.leave(way)
            assert (await producer.told()).endswith(b"+OK\r\n")
            other, got = await another(address, house)
            assert b"job-00001" in got and not house.logged("job_reset")
            other.send(b'ACK {"jid":"job-00001"}\r\n')
            assert (await other.told()).endswith(b"+OK\r\n")
            assert [line["final"] for line in house.logged("job_answered")] == ["served"]

    play(test)


@pytest.mark.parametrize("way", ["fin", "half", "reset"])
def test_a_worker_that_leaves_while_its_delivery_is_kept(way: str) -> None:
    """What may not be repeated is on the disk before it goes out; by then nobody is there to have it."""

    async def test() -> None:
        async with House(1).open() as house, faktory(house) as address:
            gone = fetching(address, house, "w1")
            await house.settle()
            deliver = JobDelivery._deliver

            def late(delivery: JobDelivery, reservation: Reservation, *rest: object) -> None:
                if reservation.worker.wid == "w1":
                    gone.leave(way)
                deliver(delivery, reservation, *rest)  # type: ignore[arg-type]

            with mock.patch.object(JobDelivery, "_deliver", late):
                producer = Client(address, house)
                producer.send(push("job-00002"))
                await house.settle()
            _, got = await another(address, house)
            assert b"job-00002" in got and not house.logged("job_reset")

    play(test)

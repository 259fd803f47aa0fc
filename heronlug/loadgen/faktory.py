"""Jobs over the Faktory work protocol, open loop: producers push what is due, stand-in workers run it.

Faktory work protocol, version 2. A producer is not told how a job ends, so a job has ended here when its worker has
acknowledged it; one that no worker was given by its deadline counts as refused.
"""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Iterable

import orjson

from heronlug.emulator.scenario import Scenario
from heronlug.loadgen.pace import OpenLoopPacer
from heronlug.loadgen.plan import PlannedRequest
from heronlug.loadgen.tally import Tally

PRODUCERS = 4
MAX_WORKERS = 200
REPLY_TIMEOUT_S = 10.0  # s for any reply
HEARTBEAT_INTERVAL_S = 10.0  # s


class FaktoryError(ValueError):
    """The server has answered an error, or what is no answer."""


class FaktoryClient:
    """A connection: one command at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def connect(cls, address: tuple[str, int], hello: dict[str, object]) -> "FaktoryClient":
        """Connect and say hello; raises ``OSError`` or :class:`FaktoryError`."""
        client = cls(*await asyncio.open_connection(*address))
        greeting = await client._reply()
        if greeting is None or not greeting.startswith(b"HI "):
            msg = f"{greeting!r} is no greeting"
            raise FaktoryError(msg)
        await client.call(b"HELLO " + orjson.dumps({"v": 2, **hello}))
        return client

    async def call(self, command: bytes) -> bytes | None:
        """One command and its reply; raises :class:`FaktoryError`, ``OSError`` or ``EOFError``."""
        self._writer.write(command + b"\r\n")
        return await asyncio.wait_for(self._reply(), REPLY_TIMEOUT_S)

    def close(self) -> None:
        """End it."""
        self._writer.transport.abort()

    async def _reply(self) -> bytes | None:
        line = (await self._reader.readuntil(b"\r\n"))[:-2]
        kind, rest = line[:1], line[1:]
        if kind == b"+":
            return rest
        if kind == b"$":
            length = int(rest)
            return None if length < 0 else (await self._reader.readexactly(length + 2))[:-2]
        raise FaktoryError(rest.decode("utf-8", "replace"))


class FaktoryLoad(OpenLoopPacer):
    """Producers and workers of one scenario."""

    def __init__(self, address: tuple[str, int], scenario: Scenario, tallies: dict[str, Tally], seconds: float) -> None:
        """``seconds`` bounds the whole; the front has no password."""
        super().__init__(tallies, seconds)
        self.address = address
        kinds = {kind.name: (kind.slots, kind.speed) for kind in scenario.kind}
        self.speeds = [kinds[pool.kind][1] for pool in scenario.pool for _ in range(pool.count * kinds[pool.kind][0])]
        self.in_flight: dict[str, PlannedRequest] = {}
        self._queue: asyncio.Queue[PlannedRequest] = asyncio.Queue()

    async def run(self, due: Iterable[PlannedRequest]) -> None:
        """Play it, and wait for the last acknowledgements; raises ``OSError`` or :class:`FaktoryError` at the start."""
        producers = [await FaktoryClient.connect(self.address, {}) for _ in range(PRODUCERS)]
        workers = []
        for speed in self.speeds[:MAX_WORKERS]:
            wid = secrets.token_hex(8)
            hello = {"wid": wid, "hostname": "load", "pid": 1, "labels": ["load"]}
            workers.append(
                asyncio.create_task(self._work(await FaktoryClient.connect(self.address, hello), wid, speed))
            )
        pushing = [asyncio.create_task(self._push(client)) for client in producers]
        async for request in self.due(due):
            self._queue.put_nowait(request)
        while (self.in_flight or not self._queue.empty()) and not self.is_over():
            await asyncio.sleep(0.02)
        for request in self.in_flight.values():
            self.tallies[request.request_class.name].request_ended("refused", self.now() - request.due_at)
        for task in [*workers, *pushing]:
            task.cancel()
        await asyncio.gather(*workers, *pushing, return_exceptions=True)

    async def _push(self, client: FaktoryClient) -> None:
        try:
            while True:
                request = await self._queue.get()
                jid = secrets.token_hex(12)
                remaining_ms = max(1, round(request.request_class.deadline_ms - (self.now() - request.due_at)))
                self.in_flight[jid] = request
                job = {
                    "jid": jid,
                    "jobtype": request.request_class.name,
                    "queue": "default",
                    "args": [request.work_ms],
                    "custom": {"remaining_ms": remaining_ms},
                }
                try:
                    await client.call(b"PUSH " + orjson.dumps(job))
                except FaktoryError:
                    self._request_ended(jid, "refused")
        finally:
            client.close()

    async def _work(self, client: FaktoryClient, wid: str, speed: float) -> None:
        last_heartbeat = time.monotonic()
        try:
            while True:
                if time.monotonic() - last_heartbeat > HEARTBEAT_INTERVAL_S:
                    await client.call(b"BEAT " + orjson.dumps({"wid": wid}))
                    last_heartbeat = time.monotonic()
                data = await client.call(b"FETCH default")
                if not data:
                    continue
                job = orjson.loads(data)
                await asyncio.sleep(float(job["args"][0]) / speed / 1000)
                with contextlib.suppress(FaktoryError):  # it was late: the front has given it up
                    await client.call(b"ACK " + orjson.dumps({"jid": job["jid"]}))
                    self._request_ended(job["jid"], "served")
        finally:
            client.close()

    def _request_ended(self, jid: str, outcome: str) -> None:
        request = self.in_flight.pop(jid, None)
        if request is not None:
            self.tallies[request.request_class.name].request_ended(outcome, self.now() - request.due_at)

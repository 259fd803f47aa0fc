"""Generates load over the Faktory work protocol, version 2: producers push due jobs, stand-in workers execute them.

The protocol does not report the end of a job to its producer. A job therefore counts as served when its worker has
acknowledged it, and as refused if the server rejects its PUSH or no worker has acknowledged it by the end of the run.
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
"""Number of connections that push jobs."""
MAX_WORKERS = 200
"""Maximum number of stand-in workers."""
REPLY_TIMEOUT_S = 10.0
"""Maximum time in seconds for the reply to a command."""
HEARTBEAT_INTERVAL_S = 10.0
"""Interval in seconds between two BEAT commands of a worker."""


class FaktoryError(ValueError):
    """The server has replied with an error or with a malformed reply."""


class FaktoryClient:
    """A connection to a Faktory server that sends one command at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def connect(cls, address: tuple[str, int], hello: dict[str, object]) -> "FaktoryClient":
        """Opens a connection and sends HELLO.

        Args:
            address: host and port of the server.
            hello: fields of the HELLO message.

        Raises:
            OSError: if the connection cannot be opened.
            FaktoryError: if the server does not greet with HI or rejects HELLO.
        """
        client = cls(*await asyncio.open_connection(*address))
        greeting = await client._reply()
        if greeting is None or not greeting.startswith(b"HI "):
            msg = f"unexpected greeting {greeting!r}: expected HI"
            raise FaktoryError(msg)
        await client.call(b"HELLO " + orjson.dumps({"v": 2, **hello}))
        return client

    async def call(self, command: bytes) -> bytes | None:
        """Sends a command and returns its reply.

        Raises:
            FaktoryError: if the reply is an error.
            OSError: if the connection fails or the reply does not arrive in time.
            EOFError: if the server closes the connection.
        """
        self._writer.write(command + b"\r\n")
        return await asyncio.wait_for(self._reply(), REPLY_TIMEOUT_S)

    def close(self) -> None:
        """Aborts the connection."""
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
    """Producers and stand-in workers of a scenario.

    Attributes:
        address: host and port of the Faktory frontend.
        speeds: speeds of the workers, one for each slot of the scenario's servers.
        in_flight: pushed jobs without an acknowledgement, by jid.
    """

    def __init__(self, address: tuple[str, int], scenario: Scenario, tallies: dict[str, Tally], seconds: float) -> None:
        """Creates the load for a frontend without a password.

        Args:
            address: host and port of the Faktory frontend.
            scenario: scenario that gives the number and the speeds of the workers.
            tallies: tallies by the name of the request class.
            seconds: time in seconds after which no further request is due.
        """
        super().__init__(tallies, seconds)
        self.address = address
        kinds = {kind.name: (kind.slots, kind.speed) for kind in scenario.kind}
        self.speeds = [kinds[pool.kind][1] for pool in scenario.pool for _ in range(pool.count * kinds[pool.kind][0])]
        self.in_flight: dict[str, PlannedRequest] = {}
        self._queue: asyncio.Queue[PlannedRequest] = asyncio.Queue()

    async def run(self, due: Iterable[PlannedRequest]) -> None:
        """Pushes planned requests when they are due and waits for the last acknowledgements.

        Raises:
            OSError: if a connection cannot be opened.
            FaktoryError: if the server rejects a connection.
        """
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
                with contextlib.suppress(FaktoryError):  # the job is late and the frontend has given it up
                    await client.call(b"ACK " + orjson.dumps({"jid": job["jid"]}))
                    self._request_ended(job["jid"], "served")
        finally:
            client.close()

    def _request_ended(self, jid: str, outcome: str) -> None:
        request = self.in_flight.pop(jid, None)
        if request is not None:
            self.tallies[request.request_class.name].request_ended(outcome, self.now() - request.due_at)

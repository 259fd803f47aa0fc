"""A process of the program with stand-ins that a test controls; tests wait for its log, its metrics and its bytes."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from end_to_end.harness import TIMEOUT_S, DispatcherHarness, StandInConnection, until
from heronlug.standins.ports import free_port


class DispatcherProcess:
    """One process, with the configuration and the stand-ins of a :class:`DispatcherHarness`."""

    def __init__(self, folder: Path, harness: DispatcherHarness, **changes: Any) -> None:
        """Prepares the process; ``changes`` are further keys of its configuration."""
        self.folder, self.harness = folder, harness
        self.admin_address = f"127.0.0.1:{free_port()}"
        self.config = {**harness.raw, "admin_addr": self.admin_address, **changes}
        self.environ: dict[str, str] = {}
        self.inherited_descriptors: tuple[int, ...] = ()
        self.process: subprocess.Popen[bytes]

    @asynccontextmanager
    async def open(self) -> AsyncIterator["DispatcherProcess"]:
        """Runs the process, then stops it with SIGTERM and checks that its exit status is 0."""
        path, log = self.folder / "config.json", self.folder / "log"
        path.write_text(json.dumps(self.config))
        for standin in (self.harness.discovery, *self.harness.servers.values()):
            await standin.listen()
        env = {**os.environ, "RELAY_CONFIG": str(path), "TMPDIR": str(self.folder), **self.environ}
        command = [sys.executable, "-m", "heronlug"]
        with (
            log.open("wb") as log_file,
            subprocess.Popen(command, env=env, stdout=log_file, pass_fds=self.inherited_descriptors) as self.process,
        ):
            try:
                yield self
                self.process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(self.process.wait, TIMEOUT_S) == 0
            finally:
                self.process.kill()

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns the fields of the logged events with this name, from complete lines of the log."""
        lines = (self.folder / "log").read_bytes().rpartition(b"\n")[0].splitlines()
        return [event_fields for event_fields in map(json.loads, lines) if event_fields["event"] == event]

    async def started(self) -> None:
        await until(lambda: bool(self.logged("started")), "the start")

    async def confirmed(self) -> None:
        """Waits for the start, and lets service discovery confirm the endpoint list."""
        await self.started()
        await self.harness.confirm()

    async def dial(self, address: str = "") -> StandInConnection:
        """Opens a connection to the listener for clients or to ``address``; the program may accept it later."""
        host, port = (address or self.harness.listen).split(":")
        return (await asyncio.get_running_loop().create_connection(StandInConnection, host, int(port)))[1]

    async def metric(self, name: str) -> int:
        """Returns the value of a metric from the admin listener."""
        host, port = self.admin_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /stats HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        return int(text.partition(f"\n{name} ")[2].partition("\n")[0])

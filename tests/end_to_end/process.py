"""A process of the program before stand-ins that do as a test tells them; ordered by its log, its figures and bytes."""

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
    """One process, whose files and stand-ins are those of a :class:`DispatcherHarness`."""

    def __init__(self, folder: Path, harness: DispatcherHarness, **changes: Any) -> None:
        """``more`` are keys of its configuration."""
        self.folder, self.harness = folder, harness
        self.admin_address = f"127.0.0.1:{free_port()}"
        self.config = {**harness.raw, "admin_addr": self.admin_address, **changes}
        self.environ: dict[str, str] = {}
        self.inherited_descriptors: tuple[int, ...] = ()
        self.process: subprocess.Popen[bytes]

    @asynccontextmanager
    async def open(self) -> AsyncIterator["DispatcherProcess"]:
        """It runs, and ends well in the end."""
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
        """The whole lines of a kind so far."""
        lines = (self.folder / "log").read_bytes().rpartition(b"\n")[0].splitlines()
        return [event_fields for event_fields in map(json.loads, lines) if event_fields["event"] == event]

    async def started(self) -> None:
        await until(lambda: bool(self.logged("started")), "the start")

    async def confirmed(self) -> None:
        """It serves by the list that discovery has confirmed."""
        await self.started()
        await self.harness.confirm()

    async def dial(self, address: str = "") -> StandInConnection:
        """A connection of a client, or to another address; it may wait to be accepted."""
        host, port = (address or self.harness.listen).split(":")
        return (await asyncio.get_running_loop().create_connection(StandInConnection, host, int(port)))[1]

    async def metric(self, name: str) -> int:
        """One of the figures that an operator reads."""
        host, port = self.admin_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /stats HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        return int(text.partition(f"\n{name} ")[2].partition("\n")[0])

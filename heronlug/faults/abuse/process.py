"""Starts abusive clients in a process of their own, so that they take no time from the well-behaved clients."""

import asyncio
import subprocess
import sys
from dataclasses import dataclass, field
from typing import Any

import msgspec

from heronlug.faults.abuse.clients import CLOSED_AT, AbuserConfig
from heronlug.faults.abuse.plan import Abuse
from heronlug.standins.ports import process_start_lock

END_WITHIN_S = 10.0
"""Time after the end of an abuse until its process must have ended, in seconds."""


@dataclass
class AbuserProcess:
    """A process with abusive clients.

    Attributes:
        abuse: What its clients do.
        figures: What its clients counted; empty until the process has ended.
        closed_at: Unix time at which a client closed its connection, in seconds, by client id.
    """

    abuse: Abuse
    figures: dict[str, Any] = field(default_factory=dict)
    closed_at: dict[str, float] = field(default_factory=dict)

    async def run(self, port: int, seed: int, class_names: list[str]) -> None:
        """Waits for the start of the abuse, and runs its clients to their end.

        Raises:
            TimeoutError: if the process does not end in time.
            RuntimeError: if the process fails.
        """
        await asyncio.sleep(self.abuse.at_s)
        config = AbuserConfig(port, seed, class_names, self.abuse)
        command = [sys.executable, "-m", "heronlug.faults.abuse.clients", msgspec.json.encode(config).decode()]
        with process_start_lock:
            child = subprocess.Popen(command, stdout=subprocess.PIPE)
        try:
            output, _ = await asyncio.to_thread(child.communicate, timeout=self.abuse.span_s + END_WITHIN_S)
        except subprocess.TimeoutExpired as error:
            msg = f"{self.abuse.kind.value}: the process of the clients did not end"
            raise TimeoutError(msg) from error
        finally:
            child.kill()
        if child.returncode:
            msg = f"{self.abuse.kind.value}: the process of the clients ended with status {child.returncode}"
            raise RuntimeError(msg)
        self.figures = msgspec.json.decode(output)
        self.closed_at = self.figures.pop(CLOSED_AT)

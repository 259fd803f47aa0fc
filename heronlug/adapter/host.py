"""Runs many dispatchers in one process and exchanges their events and actions over standard input and output."""

import sys
import traceback
from typing import BinaryIO

from heronlug.adapter.frames import HEADER, Kill, Reply, Spawn, WireError, decode_events, decode_header
from heronlug.balancer.dispatcher import Dispatcher


class InstanceHost:
    """The dispatchers of one process by instance number; each dispatcher is independent of the others."""

    def __init__(self) -> None:
        self._instances: dict[int, Dispatcher] = {}

    def answer(self, count: int, now: float, body: bytes) -> bytes:
        """Returns the reply to one batch; if an instance fails, the rest of the batch is skipped."""
        reply = Reply()
        instances = self._instances
        for instance, event in decode_events(count, body):
            try:
                if isinstance(event, Spawn):
                    instances[instance] = Dispatcher(event.settings, event.seed)
                elif isinstance(event, Kill):
                    instances.pop(instance, None)
                elif instance in instances:
                    for action in instances[instance].handle(now, event):
                        reply.add(instance, action)
            except Exception as error:
                traceback.print_exc()
                reply.add_failure(instance, f"{type(error).__name__}: {error}".splitlines()[0])
                break
        return reply.encode()


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reads batches and writes replies until the input ends; raises :class:`WireError` if a batch is malformed."""
    host = InstanceHost()
    while header := source.read(HEADER.size):
        batch = decode_header(header)
        body = source.read(batch.body_length)
        if len(body) != batch.body_length:
            msg = f"body: {len(body)} of {batch.body_length} bytes"
            raise WireError(msg)
        sink.write(host.answer(batch.record_count, batch.now, body))
        sink.flush()


def main() -> int:
    """Serves standard input; returns the exit status, which is 1 after a malformed frame or invalid settings."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"heronlug.adapter: {error}", file=sys.stderr)
        return 1
    return 0

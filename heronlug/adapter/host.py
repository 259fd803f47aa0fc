"""Hosts many dispatchers on standard input and output: ``python -m heronlug.adapter``."""

import sys
import traceback
from typing import BinaryIO

from heronlug.adapter.frames import HEADER, Kill, Reply, Spawn, WireError, decode_events, decode_header
from heronlug.balancer.dispatcher import Dispatcher


class InstanceHost:
    """The instances of one process, each independent of the others."""

    def __init__(self) -> None:
        self._instances: dict[int, Dispatcher] = {}

    def answer(self, count: int, now: float, body: bytes) -> bytes:
        """The reply to one batch."""
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
    """Read batches and write replies until the input ends; raises :class:`WireError` on a bad one."""
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
    """Serve standard input; the exit status is 1 after a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"heronlug.adapter: {error}", file=sys.stderr)
        return 1
    return 0

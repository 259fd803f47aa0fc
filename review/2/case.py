"""Kills and restarts a dispatcher with a store while a worker runs a keyed job, longer than the window for repeats."""

import json
import sys
import time
from pathlib import Path

from support import HOST, Dispatcher, FaktoryClient, Scene, config, connect, free_port, lanes, play

WINDOW_S = 8.0
"""The time for which workers drop a repeat of a print-order here; the class is given up after 25 s."""
RUN_S = 12.0
"""How long worker-1 runs the job."""
SECOND_WORKER_AFTER_S = 10.0
"""When worker-2 is switched on, after the delivery to worker-1."""
SLACK_S = 0.2
"""50 ms for time limits on sockets (the protocol), 0.15 s between clock and write (the standing page)."""


def case(scene: Scene) -> list[str]:
    """Plays the case and returns what was broken."""
    record = scene.record
    port = free_port()
    state = f'log_level = "info"\n\n[faktory]\nlisten = "{HOST}:{port}"\nstore = "jobs.sqlite"\n'
    dispatcher = Dispatcher(scene, "n0", config(scene.discovery, lanes(print_order=WINDOW_S * 1000)), state)
    dispatcher.start()
    worker = connect(port, "worker-1")
    producer = connect(port)
    job = {"jid": "order-0001", "jobtype": "print-order", "args": []}
    record(f"producer: PUSH order-0001: {producer.call('PUSH', job)}")
    runs: list[float] = []  # times at which a worker began the job
    if not _fetch(worker, scene, runs):
        return ["order-0001 was not given to worker-1 in time"]
    first = runs[0]
    if scene.trouble:
        time.sleep(1)
        dispatcher.kill()
        time.sleep(0.5)
        dispatcher.start()

    time.sleep(max(0.0, first + SECOND_WORKER_AFTER_S - time.monotonic()))
    second = connect(port, "worker-2")
    while time.monotonic() < first + RUN_S:
        if _fetch(second, scene, runs):
            record(f"worker-2: begins order-0001: its window of {WINDOW_S:g} s is over, this is no repeat to drop")
    if scene.trouble:  # worker-1 has lost its connection with the process, and dials again to tell the end
        worker = connect(port, "worker-1")
    record(f"worker-1: has run order-0001 for {RUN_S:g} s; ACK: {worker.call('ACK', {'jid': 'order-0001'})}")
    if len(runs) > 1:
        record(f"worker-2: ACK: {second.call('ACK', {'jid': 'order-0001'})}")
    record(f"producer: PUSH order-0001 again: {connect(port).call('PUSH', job)}")
    return [
        f"order-0001 was given out again {begun - first:.1f} s after its first delivery, which may have run and did; "
        f"the class allows a repeat for {WINDOW_S:g} s"
        for begun in runs[1:]
        if begun - first > WINDOW_S + SLACK_S
    ]


def _fetch(worker: FaktoryClient, scene: Scene, runs: list[float]) -> bool:
    """Sends FETCH once and returns whether the worker got the job."""
    reply = worker.call("FETCH", "default")
    if not reply:
        return False
    runs.append(time.monotonic())
    scene.record(
        f"{worker.wid}: FETCH: {json.loads(reply)['jid']}, {runs[-1] - runs[0]:.1f} s after the first delivery"
    )
    return True


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent / "record.txt", case))

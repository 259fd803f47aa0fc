"""Turns the Faktory listener off and on by plan and apply while accepted jobs wait for their later time."""

import json
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

from support import CLASSES, DEADLINES_S, HOST, Dispatcher, Scene, config, connect, free_port, lanes, play

DUE_AFTER_S = 6.0
"""The later time of the jobs, after their push."""
SLACK_S = 0.55
"""Half a second after its time an answer only earns nothing (the standing page), and 50 ms on sockets."""


def case(scene: Scene) -> list[str]:
    """Plays the case and returns what was broken."""
    record = scene.record
    port = free_port()
    listening = f'log_level = "info"\n\n[faktory]\nlisten = "{HOST}:{port}"\nstore = "jobs.sqlite"\n'
    dispatcher = Dispatcher(scene, "n0", config(scene.discovery, lanes()), listening)
    not_listening = dispatcher.folder / "off.toml"
    not_listening.write_text('log_level = "info"\n')
    dispatcher.start()
    worker = connect(port, "worker-1")
    producer = connect(port)

    pushed_at = time.monotonic()
    due = datetime.fromtimestamp(time.time() + DUE_AFTER_S, UTC).isoformat()
    jobs = {f"timed-{name}": name for name, *_ in CLASSES}
    for jid, name in jobs.items():
        job = {"jid": jid, "jobtype": name, "args": [], "at": due}
        record(f"producer: PUSH {jid} at={due}: {producer.call('PUSH', job)}")
    if scene.trouble:
        time.sleep(1)
        dispatcher.command("apply", str(not_listening))
        time.sleep(1)
        dispatcher.command("apply", str(dispatcher.state))

    fetched: dict[str, float] = {}
    beat_at = time.monotonic()
    last_end = pushed_at + DUE_AFTER_S + max(DEADLINES_S.values()) + SLACK_S
    while time.monotonic() < last_end and len(fetched) < len(jobs):
        if time.monotonic() - beat_at > 10:
            beat_at = time.monotonic()
            worker.call("BEAT", {"wid": worker.wid})
        reply = worker.call("FETCH", "default")
        if not reply:
            continue
        jid = json.loads(reply)["jid"]
        fetched[jid] = time.monotonic() - pushed_at
        record(f"worker-1: FETCH: {jid}, {fetched[jid]:.1f} s after the push; ACK: {worker.call('ACK', {'jid': jid})}")

    broken = []
    asker = connect(port)
    for jid, name in jobs.items():
        reply = asker.call("PUSH", {"jid": jid, "jobtype": name, "args": []})
        after = time.monotonic() - pushed_at
        record(f"producer: PUSH {jid} again {after:.1f} s after the first: {reply}")
        if jid not in fetched and str(reply).startswith("+"):
            broken.append(
                f"{jid} was accepted with +OK and due after {DUE_AFTER_S:g} s, its time of {DEADLINES_S[name]:g} s "
                "is over, it was never given to the worker that fetched all the time, and is neither refused nor failed"
            )
    ended = [event["jid"] for event in dispatcher.logged("job_answered")]
    record(f"log of n0: job_answered for {ended}")
    return broken


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent / "record.txt", case))

"""Recorded streams of events, and what the module answered: ``python -m recorded.record`` in ``tests`` makes them anew.

A small fleet with failures, drains, cold starts and copies is played for a few virtual seconds against the module; its
events are kept with a digest of all actions.  The streams were made with the version before per-class limits and are
made anew only where decisions change on purpose.
"""

import hashlib
import heapq
import json
import lzma
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

from heronlug import interface as pk
from heronlug.logic import Dispatcher

HERE = Path(__file__).parent
EVENTS = {
    kind.__name__: kind
    for kind in (
        pk.WorkerList,
        pk.JobArrived,
        pk.AttemptEnded,
        pk.Note,
        pk.ClientGone,
        pk.NoTimeLeft,
        pk.PeerMessage,
        pk.TimerFired,
    )
}
SITES: dict[str, dict[str, Any]] = {
    "starts": {"tells_start": True, "progress_every": 1000.0, "may_tell": True, "instances": 3},
    "reports": {"report_fields": ("x0",), "instances": 1},
    "many": {"tells_start": True, "progress_every": 500.0, "may_tell": True, "instances": 24, "position": 1},
}


def settings(name: str) -> pk.Settings:
    """A site's settings."""
    lanes = (
        pk.JobClass(aim=500, deadline=4000, effect=pk.Effect.REPEATABLE, stretch=2, worth=2, late_value=0.5),
        pk.JobClass(aim=1000, deadline=8000, effect=pk.Effect.ONCE, stretch=2, worth=8, late_value=0.5),
        pk.JobClass(aim=2000, deadline=9000, effect=pk.Effect.BY_KEY, stretch=2, worth=5, repeat_window=3000),
    )
    return pk.Settings(
        classes=lanes,
        attempts_cap=4,
        second_copies=True,
        may_cancel=True,
        tick=5.0,
        drain_grace=2500.0,
        cold_from=0.2,
        warm_after=5000.0,
        tip_multiple=3.0,
        overload_for=3000.0,
        cross_zone_price=0.02,
        **SITES[name],
    )


class Fleet:
    """Workers that run jobs, fail, hang, drain and come back cold, driven by the module's own actions."""

    def __init__(self, name: str, seed: int) -> None:
        self.rng = Random(seed)
        self.settings = settings(name)
        self.dispatcher = Dispatcher(self.settings, seed)
        self.queue: list[tuple[float, int, pk.Event]] = []
        self.seq = 0
        self.stream: list[tuple[float, pk.Event]] = []
        self.answers: list[list[pk.Action]] = []
        self.out: dict[tuple[int, int], int] = {}
        self.attempts: dict[int, int] = {}
        self.final: set[int] = set()
        self.entries = {n: pk.WorkerEntry(n, zone=n % 2, kind=n % 3, cell=n // 3) for n in range(1, 13)}

    def at(self, when: float, event: pk.Event) -> None:
        """An event to come."""
        self.seq += 1
        heapq.heappush(self.queue, (when, self.seq, event))

    def play(self, jobs: int) -> None:
        """Play so many jobs."""
        now = 1000.0
        self.at(now, pk.WorkerList(pk.ListKind.CACHED, tuple(self.entries.values())))
        for job in range(1, jobs + 1):
            now += self.rng.expovariate(1 / 24)
            lane = self.rng.choices((0, 1, 2), (5, 4, 2))[0]
            slots = self.rng.choice((1.0, 1.0, 1.0, 2.0))
            self.at(now, pk.JobArrived(job, lane, now + self.settings.classes[lane].deadline, slots))
            if self.rng.random() < 0.03:
                self.at(now + self.rng.uniform(10, 900), pk.ClientGone(job))
            if self.rng.random() < 0.01:
                self.at(now + self.rng.uniform(10, 900), pk.NoTimeLeft(job))
            if self.rng.random() < 0.05:
                self._change(now)
            if self.settings.may_tell and self.rng.random() < 0.3:
                peer = Dispatcher(self.settings, job)
                worker = self.rng.choice(list(self.entries))
                content = peer.peers.STAMP.pack(b"c", now) + peer.peers.PAIR.pack(worker, self.rng.choice((2, 66, 131)))
                self.at(now, pk.PeerMessage(2, content))
        end = now + 10_000.0  # timers may go on for ever
        while self.queue and self.queue[0][0] < end:
            now, _, event = heapq.heappop(self.queue)
            if isinstance(event, pk.AttemptEnded):
                if self.out.pop((event.job, event.attempt), None) is None:
                    continue
                event = event._replace(final=event.job in self.final or event.outcome == pk.Outcome.SERVED)
                if event.final:
                    self.final.add(event.job)
            elif isinstance(event, pk.Note) and (event.job, event.attempt) not in self.out:
                continue
            elif isinstance(event, pk.ClientGone):
                self.final.add(event.job)
            self.stream.append((now, event))
            actions = self.dispatcher.handle(now, event)
            self.answers.append(list(actions))
            for action in actions:
                self._do(action, now)

    def _change(self, now: float) -> None:
        worker = self.rng.choice(list(self.entries))
        state = self.rng.choice((pk.WorkerState.DRAINING, pk.WorkerState.READY, pk.WorkerState.READY))
        started = now if state is pk.WorkerState.READY else self.entries[worker].started_at
        self.entries[worker] = self.entries[worker]._replace(state=state, started_at=started)
        self.at(now, pk.WorkerList(pk.ListKind.CHANGES, (self.entries[worker],)))

    def _do(self, action: pk.Action, now: float) -> None:
        if isinstance(action, pk.Send):
            number = self.attempts.get(action.job, 0)
            self.attempts[action.job] = number + 1
            self.out[action.job, number] = action.worker
            luck, run = self.rng.random(), self.rng.lognormvariate(6, 0.6)
            outcome = pk.Outcome.SERVED
            if luck < 0.04:
                outcome, run = self.rng.choice(list(pk.Outcome)[1:4] + [pk.Outcome.RESET, pk.Outcome.UNUSABLE]), 40.0
            elif luck < 0.06:
                outcome, run = pk.Outcome.CONNECT_FAILED, 3.0
            hangs = self.rng.random() < 0.02
            if self.settings.tells_start and not hangs and self.rng.random() < 0.95:
                start = self.rng.expovariate(1 / 20)
                self.at(now + start, pk.Note(action.job, number, action.worker, pk.NoteKind.STARTED))
                for period in range(1, int(run // self.settings.progress_every) + 1):
                    when = now + start + period * self.settings.progress_every
                    self.at(when, pk.Note(action.job, number, action.worker, pk.NoteKind.PROGRESS, 0.5))
            report = (float(self.rng.randrange(5)),) if self.settings.report_fields else ()
            run = run * 20 if hangs else run
            self.at(now + run, pk.AttemptEnded(action.job, number, action.worker, outcome, run, False, report))
        elif isinstance(action, pk.Cancel):
            worker = self.out.get((action.job, action.attempt))
            if worker is not None:
                over = pk.AttemptEnded(action.job, action.attempt, worker, pk.Outcome.CANCELLED, 300.0, False)
                self.at(now, over)
        elif isinstance(action, pk.Refuse | pk.Fail):
            self.final.add(action.job)
        elif isinstance(action, pk.SetTimer):
            self.at(now + action.delay, pk.TimerFired(action.token))
        elif isinstance(action, pk.Subscribe):
            self.at(now + 5, pk.WorkerList(pk.ListKind.FULL, tuple(self.entries.values())))


def digest(answers: list[list[pk.Action]]) -> str:
    """A digest of all actions, each with its fields, but for the reason of a refusal: a word for the log alone."""
    text = "\n".join(repr([(type(action).__name__, *_done(action)) for action in actions]) for actions in answers)
    return hashlib.sha256(text.encode()).hexdigest()


def _done(action: pk.Action) -> tuple[Any, ...]:
    return action[:1] if isinstance(action, pk.Refuse | pk.Fail) else tuple(action)


def _plain(value: Any) -> Any:
    return {"hex": value.hex()} if isinstance(value, bytes) else repr(value)


def write(name: str) -> None:
    """Record a site's stream."""
    fleet = Fleet(name, 7)
    fleet.play(1200)
    lines = [json.dumps([now, type(event).__name__, list(event)], default=_plain) for now, event in fleet.stream]
    kinds = [type(action).__name__ for actions in fleet.answers for action in actions]
    head = {"digest": digest(fleet.answers), "actions": {kind: kinds.count(kind) for kind in sorted(set(kinds))}}
    text = "\n".join([json.dumps(head), *lines])
    (HERE / f"{name}.jsonl.xz").write_bytes(lzma.compress(text.encode(), preset=9))
    print(name, len(fleet.stream), "events", head)


def read(name: str) -> tuple[dict[str, Any], Iterator[tuple[float, pk.Event]]]:
    """A recorded stream: its digest and counts of actions, and the events with their times."""
    first, *lines = lzma.decompress((HERE / f"{name}.jsonl.xz").read_bytes()).decode().splitlines()

    def events() -> Iterator[tuple[float, pk.Event]]:
        for line in lines:
            now, kind, values = json.loads(line)
            if kind == "WorkerList":
                entries = tuple(pk.WorkerEntry(v[0], pk.WorkerState(v[1]), *v[2:]) for v in values[1])
                values = [pk.ListKind(values[0]), entries]
            elif kind == "AttemptEnded":
                values[6] = tuple(values[6])
            elif kind == "PeerMessage":
                values[1] = bytes.fromhex(values[1]["hex"])
            yield now, EVENTS[kind](*values)

    return json.loads(first), events()


if __name__ == "__main__":
    for site in SITES:
        write(site)

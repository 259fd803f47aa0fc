"""Records streams of events and a digest of the dispatcher's actions: ``python -m recorded.record`` in ``tests``.

A small simulated fleet with failures, drains, slow starts and hedged requests runs for a few virtual seconds against
the dispatcher. The recorded streams were written by the version before per-class limits, and are written again only if
decisions change on purpose.
"""

import hashlib
import heapq
import json
import lzma
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

from heronlug.balancer.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogLine,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from heronlug.balancer.dispatcher import Dispatcher
from heronlug.balancer.events import (
    AttemptEnded,
    AttemptProgress,
    ClientGone,
    Event,
    FinalAnswerDue,
    ListKind,
    Outcome,
    PeerMessage,
    ProgressKind,
    RequestArrived,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    TimerFired,
)
from heronlug.balancer.settings import Effect, RequestClass, Settings

HERE = Path(__file__).parent
EVENTS: dict[str, type] = {  # by their names in the recorded streams
    "WorkerList": ServerListUpdate,
    "JobArrived": RequestArrived,
    "AttemptEnded": AttemptEnded,
    "Note": AttemptProgress,
    "ClientGone": ClientGone,
    "NoTimeLeft": FinalAnswerDue,
    "PeerMessage": PeerMessage,
    "TimerFired": TimerFired,
}
ACTIONS: dict[type, str] = {
    StartAttempt: "Send",
    Reject: "Refuse",
    Fail: "Fail",
    CancelAttempt: "Cancel",
    SetTimer: "SetTimer",
    Subscribe: "Subscribe",
    SendPeerMessage: "Tell",
    LogLine: "Log",
}
EVENT_NAMES = {kind: name for name, kind in EVENTS.items()}
SITES: dict[str, dict[str, Any]] = {
    "starts": {"reports_start": True, "progress_interval": 1000.0, "gossip": True, "instances": 3},
    "reports": {"report_fields": ("x0",), "instances": 1},
    "many": {"reports_start": True, "progress_interval": 500.0, "gossip": True, "instances": 24, "position": 1},
}


def settings(name: str) -> Settings:
    """Returns the settings of a site."""
    classes = (
        RequestClass(
            latency_objective=500,
            deadline=4000,
            effect=Effect.IDEMPOTENT,
            latency_factor=2,
            priority_weight=2,
            late_value=0.5,
        ),
        RequestClass(
            latency_objective=1000,
            deadline=8000,
            effect=Effect.NON_IDEMPOTENT,
            latency_factor=2,
            priority_weight=8,
            late_value=0.5,
        ),
        RequestClass(
            latency_objective=2000,
            deadline=9000,
            effect=Effect.IDEMPOTENT_BY_KEY,
            latency_factor=2,
            priority_weight=5,
            repeat_window=3000,
        ),
    )
    return Settings(
        classes=classes,
        max_attempts=4,
        hedging=True,
        may_cancel=True,
        tick=5.0,
        drain_grace=2500.0,
        warmup_capacity=0.2,
        warmup_time=5000.0,
        overload_multiple=3.0,
        overload_window=3000.0,
        cross_zone_price=0.02,
        **SITES[name],
    )


class RecordedFleet:
    """Simulated servers that serve requests, fail, hang, drain and restart, driven by the dispatcher's actions."""

    def __init__(self, name: str, seed: int) -> None:
        self.rng = Random(seed)
        self.settings = settings(name)
        self.dispatcher = Dispatcher(self.settings, seed)
        self.queue: list[tuple[float, int, Event]] = []
        self.sequence = 0
        self.stream: list[tuple[float, Event]] = []
        self.action_lists: list[list[Action]] = []
        self.in_flight: dict[tuple[int, int], int] = {}
        self.attempt_counts: dict[int, int] = {}
        self.answered_requests: set[int] = set()
        self.entries = {n: ServerEntry(n, zone=n % 2, kind=n % 3, cell=n // 3) for n in range(1, 13)}

    def schedule(self, time_ms: float, event: Event) -> None:
        """Schedules an event at a time in ms."""
        self.sequence += 1
        heapq.heappush(self.queue, (time_ms, self.sequence, event))

    def play(self, request_count: int) -> None:
        """Runs the fleet with this number of requests."""
        now = 1000.0
        self.schedule(now, ServerListUpdate(ListKind.CACHED, tuple(self.entries.values())))
        for request in range(1, request_count + 1):
            now += self.rng.expovariate(1 / 24)
            class_index = self.rng.choices((0, 1, 2), (5, 4, 2))[0]
            slots = self.rng.choice((1.0, 1.0, 1.0, 2.0))
            self.schedule(
                now, RequestArrived(request, class_index, now + self.settings.classes[class_index].deadline, slots)
            )
            if self.rng.random() < 0.03:
                self.schedule(now + self.rng.uniform(10, 900), ClientGone(request))
            if self.rng.random() < 0.01:
                self.schedule(now + self.rng.uniform(10, 900), FinalAnswerDue(request))
            if self.rng.random() < 0.05:
                self._change_server(now)
            if self.settings.gossip and self.rng.random() < 0.3:
                peer = Dispatcher(self.settings, request)
                server = self.rng.choice(list(self.entries))
                content = peer.state.peer_load.STAMP.pack(b"c", now) + peer.state.peer_load.PAIR.pack(
                    server, self.rng.choice((2, 66, 131))
                )
                self.schedule(now, PeerMessage(2, content))
        end = now + 10_000.0  # timers may repeat without end
        while self.queue and self.queue[0][0] < end:
            now, _, event = heapq.heappop(self.queue)
            if isinstance(event, AttemptEnded):
                if self.in_flight.pop((event.request, event.attempt), None) is None:
                    continue
                event = event._replace(final=event.request in self.answered_requests or event.outcome == Outcome.SERVED)
                if event.final:
                    self.answered_requests.add(event.request)
            elif isinstance(event, AttemptProgress) and (event.request, event.attempt) not in self.in_flight:
                continue
            elif isinstance(event, ClientGone):
                self.answered_requests.add(event.request)
            self.stream.append((now, event))
            actions = self.dispatcher.handle(now, event)
            self.action_lists.append(list(actions))
            for action in actions:
                self._carry_out(action, now)

    def _change_server(self, now: float) -> None:
        server = self.rng.choice(list(self.entries))
        state = self.rng.choice((ServerState.DRAINING, ServerState.READY, ServerState.READY))
        started = now if state is ServerState.READY else self.entries[server].started_at
        self.entries[server] = self.entries[server]._replace(state=state, started_at=started)
        self.schedule(now, ServerListUpdate(ListKind.CHANGES, (self.entries[server],)))

    def _carry_out(self, action: Action, now: float) -> None:
        if isinstance(action, StartAttempt):
            number = self.attempt_counts.get(action.request, 0)
            self.attempt_counts[action.request] = number + 1
            self.in_flight[action.request, number] = action.server
            draw, run_time = self.rng.random(), self.rng.lognormvariate(6, 0.6)
            outcome = Outcome.SERVED
            if draw < 0.04:
                outcome, run_time = (
                    self.rng.choice(list(Outcome)[1:4] + [Outcome.RESET, Outcome.REJECTED_BY_SERVER]),
                    40.0,
                )
            elif draw < 0.06:
                outcome, run_time = Outcome.CONNECT_FAILED, 3.0
            hangs = self.rng.random() < 0.02
            if self.settings.reports_start and not hangs and self.rng.random() < 0.95:
                start = self.rng.expovariate(1 / 20)
                self.schedule(now + start, AttemptProgress(action.request, number, action.server, ProgressKind.STARTED))
                for period in range(1, int(run_time // self.settings.progress_interval) + 1):
                    time_ms = now + start + period * self.settings.progress_interval
                    self.schedule(
                        time_ms, AttemptProgress(action.request, number, action.server, ProgressKind.PROGRESS, 0.5)
                    )
            report = (float(self.rng.randrange(5)),) if self.settings.report_fields else ()
            run_time = run_time * 20 if hangs else run_time
            self.schedule(
                now + run_time, AttemptEnded(action.request, number, action.server, outcome, run_time, False, report)
            )
        elif isinstance(action, CancelAttempt):
            server = self.in_flight.get((action.request, action.attempt))
            if server is not None:
                ended = AttemptEnded(action.request, action.attempt, server, Outcome.CANCELLED, 300.0, False)
                self.schedule(now, ended)
        elif isinstance(action, Reject | Fail):
            self.answered_requests.add(action.request)
        elif isinstance(action, SetTimer):
            self.schedule(now + action.delay, TimerFired(action.token))
        elif isinstance(action, Subscribe):
            self.schedule(now + 5, ServerListUpdate(ListKind.FULL, tuple(self.entries.values())))


def digest(action_lists: list[list[Action]]) -> str:
    """Returns a digest of all actions with their fields, without the reason of a rejection, which is only logged."""
    text = "\n".join(
        repr([(ACTIONS[type(action)], *_recorded_fields(action)) for action in actions]) for actions in action_lists
    )
    return hashlib.sha256(text.encode()).hexdigest()


def _recorded_fields(action: Action) -> tuple[Any, ...]:
    return action[:1] if isinstance(action, Reject | Fail) else tuple(action)


def _encode_value(value: Any) -> Any:
    return {"hex": value.hex()} if isinstance(value, bytes) else repr(value)


def write(name: str) -> None:
    """Records the stream of a site."""
    fleet = RecordedFleet(name, 7)
    fleet.play(1200)
    lines = [
        json.dumps([now, EVENT_NAMES[type(event)], list(event)], default=_encode_value) for now, event in fleet.stream
    ]
    kinds = [ACTIONS[type(action)] for actions in fleet.action_lists for action in actions]
    head = {"digest": digest(fleet.action_lists), "actions": {kind: kinds.count(kind) for kind in sorted(set(kinds))}}
    text = "\n".join([json.dumps(head), *lines])
    (HERE / f"{name}.jsonl.xz").write_bytes(lzma.compress(text.encode(), preset=9))
    print(name, len(fleet.stream), "events", head)


def read(name: str) -> tuple[dict[str, Any], Iterator[tuple[float, Event]]]:
    """Returns the header of a recorded stream, with digest and counts of actions, and the events with their times."""
    first, *lines = lzma.decompress((HERE / f"{name}.jsonl.xz").read_bytes()).decode().splitlines()

    def events() -> Iterator[tuple[float, Event]]:
        for line in lines:
            now, kind, values = json.loads(line)
            if kind == "WorkerList":
                entries = tuple(ServerEntry(v[0], ServerState(v[1]), *v[2:]) for v in values[1])
                values = [ListKind(values[0]), entries]
            elif kind == "AttemptEnded":
                values[6] = tuple(values[6])
            elif kind == "PeerMessage":
                values[1] = bytes.fromhex(values[1]["hex"])
            yield now, EVENTS[kind](*values)

    return json.loads(first), events()


if __name__ == "__main__":
    for site in SITES:
        write(site)

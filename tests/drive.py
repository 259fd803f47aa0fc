"""Defines settings, server lists and a host that checks the safety rules, for tests of a dispatcher without sockets."""

from dataclasses import replace
from typing import Any

from heronlug import (
    Action,
    AttemptEnded,
    CancelAttempt,
    Dispatcher,
    Effect,
    Event,
    Fail,
    KeyScope,
    ListKind,
    Outcome,
    Reject,
    RequestArrived,
    RequestClass,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)

SAFE = RequestClass(latency_objective=200, deadline=5000, effect=Effect.IDEMPOTENT, latency_factor=2, name="safe")
KEYED = RequestClass(
    latency_objective=200,
    deadline=5000,
    effect=Effect.IDEMPOTENT_BY_KEY,
    latency_factor=2,
    key_scope=KeyScope.CELL,
    repeat_window=1500,
)
ONCE = RequestClass(latency_objective=400, deadline=8000, effect=Effect.NON_IDEMPOTENT, latency_factor=2, name="once")
SETTINGS = Settings(
    classes=(SAFE, KEYED, ONCE),
    max_attempts=4,
    hedging=True,
    may_cancel=True,
    report_fields=("x0",),
    tick=2.0,
    answer_slack=8.0,
    drain_grace=500.0,
    warmup_capacity=0.25,
    warmup_time=8000.0,
    overload_multiple=3.0,
    overload_window=2000.0,
)


def server_entries(count: int, **fields: Any) -> tuple[ServerEntry, ...]:
    """Returns servers 1 to ``count``, two in each cell."""
    return tuple(ServerEntry(i, cell=(i - 1) // 2)._replace(**fields) for i in range(1, count + 1))


class Host:
    """Embeds a dispatcher with a virtual clock, and checks the safety rules on every action."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1, server_count: int = 4) -> None:
        self.settings = settings
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 1000.0  # time of the virtual clock in ms
        self.timers: list[float] = []  # due times of the pending timers, in ms
        self.requests: dict[int, RequestArrived] = {}  # arrival of each request
        self.sent_to: dict[int, list[int]] = {}  # servers of the attempts of each request, in order
        self.sent_at: dict[tuple[int, int], float] = {}  # start time in ms of each attempt, by request and index
        self.outcomes: dict[tuple[int, int], int] = {}  # outcome of each ended attempt, by request and index
        self.final_states: dict[int, str] = {}  # final state of each answered request: served, refused or failed
        self.entries: dict[int, ServerEntry] = {}  # latest entry of each listed server
        self.not_ready: set[int] = set()  # servers whose drain or removal the dispatcher was notified of
        self.warmup_starts: dict[int, list[float]] = {}  # start times in ms of attempts during the warm-up, by server
        self.actions: list[Action] = []  # all actions of the dispatcher
        self.next_request = 1
        if server_count:
            self.update_servers(ListKind.CACHED, server_entries(server_count))

    def handle(self, event: Event) -> list[Action]:
        """Hands an event to the dispatcher, checks the resulting actions and returns them."""
        actions = self.dispatcher.handle(self.now, event)
        self.actions += actions
        for action in actions:
            if isinstance(action, StartAttempt):
                self._check_send(action)
            elif isinstance(action, Reject):
                assert action.request not in self.final_states
                self._check_rejection(action.request)
                self.final_states[action.request] = "refused"
            elif isinstance(action, Fail):
                assert action.request not in self.final_states
                self.final_states[action.request] = "failed"
            elif isinstance(action, SetTimer):
                assert action.delay >= 0
                self.timers.append(self.now + action.delay)
            elif isinstance(action, CancelAttempt):
                assert action.attempt < len(self.sent_to[action.request])
        return actions

    def _attempts_maybe_run(self, request: int) -> list[int]:
        not_run = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.CANCELLED_BEFORE_START)
        return [n for n in range(len(self.sent_to.get(request, []))) if self.outcomes.get((request, n)) not in not_run]

    def _class_of(self, request: int) -> RequestClass:
        return self.settings.classes[self.requests[request].request_class]

    def _check_send(self, send: StartAttempt) -> None:
        assert send.request in self.requests, "attempt for an unknown request"
        assert send.request not in self.final_states, "attempt after the final answer"
        assert self.now < self.requests[send.request].give_up_at
        assert send.server not in self.not_ready, "attempt at a server that is draining or removed"
        assert send.server in self.entries
        earlier = self.sent_to.setdefault(send.request, [])
        assert len(earlier) < self.settings.max_attempts
        request_class, maybe_run = self._class_of(send.request), self._attempts_maybe_run(send.request)
        if not self.settings.hedging:
            assert all((send.request, n) in self.outcomes for n in range(len(earlier)))
        if request_class.effect is Effect.NON_IDEMPOTENT:
            assert not maybe_run, "a non-idempotent request may run twice"
        if request_class.effect is Effect.IDEMPOTENT_BY_KEY:
            for n in maybe_run:
                first = self.entries[earlier[n]]
                assert self.now - self.sent_at[send.request, n] <= request_class.repeat_window
                if request_class.key_scope is not KeyScope.ALL:
                    assert first.zone == self.entries[send.server].zone
                if request_class.key_scope is KeyScope.CELL:
                    assert first.cell == self.entries[send.server].cell
        self.sent_at[send.request, len(earlier)] = self.now
        earlier.append(send.server)
        started = self.entries[send.server].started_at
        if started and self.now - started < self.settings.warmup_time:
            self.warmup_starts.setdefault(send.server, []).append(self.now)

    def _check_rejection(self, request: int) -> None:
        request_class = self._class_of(request)
        repeatable = request_class.effect is Effect.IDEMPOTENT or (
            request_class.effect is Effect.IDEMPOTENT_BY_KEY and request_class.key_scope is KeyScope.ALL
        )
        assert repeatable or not self._attempts_maybe_run(request), "rejection of a request that may have run"

    def update_servers(self, kind: ListKind, listed: tuple[ServerEntry, ...]) -> list[Action]:
        """Updates the server list of the dispatcher, and returns the actions."""
        if kind in (ListKind.CACHED, ListKind.FULL):
            self.not_ready |= set(self.entries) - {e.server for e in listed}
        if kind is not ListKind.FAILED:
            for entry in listed:
                self.entries[entry.server] = entry
                if entry.state is ServerState.READY:
                    self.not_ready.discard(entry.server)
                else:
                    self.not_ready.add(entry.server)
        return self.handle(ServerListUpdate(kind, listed))

    def new_request(self, class_index: int = 0, **fields: Any) -> int:
        """Hands a new request to the dispatcher, and returns its id."""
        request, self.next_request = self.next_request, self.next_request + 1
        request_class = self.settings.classes[class_index]
        event = RequestArrived(request, class_index, self.now + request_class.deadline)._replace(**fields)
        self.requests[request] = event
        self.handle(event)
        return request

    def end_attempt(
        self, request: int, attempt: int, outcome: int = Outcome.SERVED, report: tuple[float, ...] = ()
    ) -> list[Action]:
        """Ends an attempt with an outcome, and returns the actions."""
        self.outcomes[request, attempt] = outcome
        final = request in self.final_states or outcome == Outcome.SERVED
        if final and request not in self.final_states:
            self.final_states[request] = "served"
        latency = self.now - self.sent_at[request, attempt]
        server = self.sent_to[request][attempt]
        return self.handle(AttemptEnded(request, attempt, server, outcome, latency, final, report))

    def open_attempts(self) -> list[tuple[int, int]]:
        """Returns the attempts in flight as request and index, the oldest first."""
        return [key for key in self.sent_at if key not in self.outcomes]

    def advance_to(self, time_ms: float) -> None:
        """Advances the clock to a time in ms, and fires the timers that are due."""
        while self.timers and min(self.timers) <= time_ms:
            self.now = max(self.now, min(self.timers))
            self.timers.remove(min(self.timers))
            self.handle(TimerFired(0))
        self.now = max(self.now, time_ms)

    def finish_requests(self) -> None:
        """Advances the clock until every request is due, and checks that each has its final answer in time."""
        for request, event in sorted(self.requests.items(), key=lambda item: item[1].give_up_at):
            self.advance_to(event.give_up_at + self.settings.answer_slack)
            assert request in self.final_states, f"request {request} has no final answer"


def with_settings(**changes: Any) -> Settings:
    """Returns the usual settings with changes."""
    return replace(SETTINGS, **changes)

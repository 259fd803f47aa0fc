"""Helpers: settings, lists and a checking host for tests of the module without any bench."""

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


def entries(count: int, **fields: Any) -> tuple[ServerEntry, ...]:
    """Workers 1 to ``count``, two a cell."""
    return tuple(ServerEntry(i, cell=(i - 1) // 2)._replace(**fields) for i in range(1, count + 1))


class Host:
    """Plays the host's part, and checks the four rules on every action as an outsider would."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1, workers: int = 4) -> None:
        self.settings = settings
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 1000.0
        self.timers: list[float] = []
        self.jobs: dict[int, RequestArrived] = {}
        self.sent: dict[int, list[int]] = {}
        self.sent_at: dict[tuple[int, int], float] = {}
        self.outcome: dict[tuple[int, int], int] = {}
        self.answered: dict[int, str] = {}
        self.entry: dict[int, ServerEntry] = {}
        self.told_off: set[int] = set()
        self.cold_work: dict[int, list[float]] = {}
        self.actions: list[Action] = []
        self.next_job = 1
        if workers:
            self.listed(ListKind.CACHED, entries(workers))

    def give(self, event: Event) -> list[Action]:
        """One event to the dispatcher; what it answers is checked."""
        actions = self.dispatcher.handle(self.now, event)
        self.actions += actions
        for action in actions:
            if isinstance(action, StartAttempt):
                self._check_send(action)
            elif isinstance(action, Reject):
                assert action.request not in self.answered
                self._check_refusal(action.request)
                self.answered[action.request] = "refused"
            elif isinstance(action, Fail):
                assert action.request not in self.answered
                self.answered[action.request] = "failed"
            elif isinstance(action, SetTimer):
                assert action.delay >= 0
                self.timers.append(self.now + action.delay)
            elif isinstance(action, CancelAttempt):
                assert action.attempt < len(self.sent[action.request])
        return actions

    def _maybe_ran(self, job: int) -> list[int]:
        proofs = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.CANCELLED_BEFORE_START)
        return [n for n in range(len(self.sent.get(job, []))) if self.outcome.get((job, n)) not in proofs]

    def _class(self, job: int) -> RequestClass:
        return self.settings.classes[self.jobs[job].request_class]

    def _check_send(self, send: StartAttempt) -> None:
        assert send.request in self.jobs, "send after the end"
        assert send.request not in self.answered, "send after the end"
        assert self.now < self.jobs[send.request].give_up_at
        assert send.server not in self.told_off, "send to a worker told draining or gone"
        assert send.server in self.entry
        earlier = self.sent.setdefault(send.request, [])
        assert len(earlier) < self.settings.max_attempts
        lane, risky = self._class(send.request), self._maybe_ran(send.request)
        if not self.settings.hedging:
            assert all((send.request, n) in self.outcome for n in range(len(earlier)))
        if lane.effect is Effect.NON_IDEMPOTENT:
            assert not risky, "an effect might happen twice"
        if lane.effect is Effect.IDEMPOTENT_BY_KEY:
            for n in risky:
                first = self.entry[earlier[n]]
                assert self.now - self.sent_at[send.request, n] <= lane.repeat_window
                if lane.key_scope is not KeyScope.ALL:
                    assert first.zone == self.entry[send.server].zone
                if lane.key_scope is KeyScope.CELL:
                    assert first.cell == self.entry[send.server].cell
        self.sent_at[send.request, len(earlier)] = self.now
        earlier.append(send.server)
        started = self.entry[send.server].started_at
        if started and self.now - started < self.settings.warmup_time:
            self.cold_work.setdefault(send.server, []).append(self.now)

    def _check_refusal(self, job: int) -> None:
        lane = self._class(job)
        free = lane.effect is Effect.IDEMPOTENT or (
            lane.effect is Effect.IDEMPOTENT_BY_KEY and lane.key_scope is KeyScope.ALL
        )
        assert free or not self._maybe_ran(job), "a refusal that is not harmless"

    def listed(self, kind: ListKind, listed: tuple[ServerEntry, ...]) -> list[Action]:
        """News of the list."""
        if kind in (ListKind.CACHED, ListKind.FULL):
            self.told_off |= set(self.entry) - {e.server for e in listed}
        if kind is not ListKind.FAILED:
            for entry in listed:
                self.entry[entry.server] = entry
                if entry.state is ServerState.READY:
                    self.told_off.discard(entry.server)
                else:
                    self.told_off.add(entry.server)
        return self.give(ServerListUpdate(kind, listed))

    def job(self, job_class: int = 0, **fields: Any) -> int:
        """A new job; returns its id."""
        number, self.next_job = self.next_job, self.next_job + 1
        lane = self.settings.classes[job_class]
        event = RequestArrived(number, job_class, self.now + lane.deadline)._replace(**fields)
        self.jobs[number] = event
        self.give(event)
        return number

    def end(
        self, job: int, attempt: int, outcome: int = Outcome.SERVED, report: tuple[float, ...] = ()
    ) -> list[Action]:
        """The outcome of an attempt."""
        self.outcome[job, attempt] = outcome
        final = job in self.answered or outcome == Outcome.SERVED
        if final and job not in self.answered:
            self.answered[job] = "served"
        latency = self.now - self.sent_at[job, attempt]
        worker = self.sent[job][attempt]
        return self.give(AttemptEnded(job, attempt, worker, outcome, latency, final, report))

    def open_attempts(self) -> list[tuple[int, int]]:
        """Attempts still out, oldest first."""
        return [key for key in self.sent_at if key not in self.outcome]

    def until(self, when: float) -> None:
        """Let time pass, firing timers on the way."""
        while self.timers and min(self.timers) <= when:
            self.now = max(self.now, min(self.timers))
            self.timers.remove(min(self.timers))
            self.give(TimerFired(0))
        self.now = max(self.now, when)

    def finish(self) -> None:
        """Run to the end of every job: each must have its one answer in time."""
        for job, event in sorted(self.jobs.items(), key=lambda item: item[1].give_up_at):
            self.until(event.give_up_at + self.settings.answer_slack)
            assert job in self.answered, f"job {job} was lost"


def with_settings(**changes: Any) -> Settings:
    """The usual settings, changed."""
    return replace(SETTINGS, **changes)

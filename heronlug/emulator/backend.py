"""Emulates the backend of a dispatcher process: sends attempts to servers and returns the reports of servers."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from heronlug.balancer.events import Outcome, ProgressKind
from heronlug.conformance import Sent
from heronlug.emulator.clients import ClientRequest
from heronlug.emulator.servers import EmulatedServer, Execution, ExecutionState
from heronlug.requests.core import Core
from heronlug.requests.model import Attempt

if TYPE_CHECKING:
    from heronlug.emulator.world import World

PROGRESS_INTERVAL_MS = 1000.0
"""Interval in ms between progress reports of a server for one execution."""
MAX_REPORTED_PROGRESS = 0.99
"""Highest progress, from 0 to 1, that a server reports before an execution is done."""


class SentAttempt(NamedTuple):
    """Owner of an execution: the dispatcher's attempt and the server that the attempt was sent to."""

    attempt: Attempt
    server: EmulatedServer


class EmulatedBackend:
    """Backend of one dispatcher process; after ``close`` the core receives no further reports."""

    def __init__(self, world: "World", name: str, zone: int, core: Core) -> None:
        self._world, self._name, self._zone, self._core = world, name, zone, core
        self._network, self._timeline = world.network, world.timeline
        self._closed = False

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its server."""
        world, core = self._world, self._core
        if world.checks_before_write and not core.may_write(attempt):
            core.attempt_ended(attempt, Outcome.CANCELLED_BEFORE_START)
            return
        server = world.servers.get(attempt.server.entry.name)
        if server is None or self._network.is_partitioned(self._zone, server.zone):
            timeout = world.scenario.network.dial_timeout_ms
            self._timeline.schedule_after(timeout, self._end_attempt, attempt, Outcome.CONNECT_FAILED)
            return
        request: ClientRequest = attempt.request.payload
        world.record_event(Sent(self._timeline.now, self._name, request.name, server.name))
        core.attempt_written()
        request.attempts += 1
        world.figures.cross_zone_attempts += self._zone != server.zone
        execution = Execution(
            SentAttempt(attempt, server),
            request.work_ms,
            float(request.slots),
            world.classes[request.class_number].priority_weight,
            self._execution_changed,
        )
        attempt.exchange = execution
        server.inbound_slots += request.slots
        self._timeline.schedule_after(self._network.one_way_ms(self._zone, server), self._arrive, execution)

    def cancel(self, attempt: Attempt) -> None:
        """Sends a cancellation to the server of an attempt, unless a partition lies between them."""
        execution: Execution | None = attempt.exchange
        if execution is not None and not self._network.is_partitioned(self._zone, execution.owner.server.zone):
            self._cancel_at_server(execution)

    def close(self) -> None:
        """Ends the process: servers drop executions that have not started and complete running executions."""
        self._closed = True
        for attempt in list(self._core.attempts):
            execution: Execution | None = attempt.exchange
            if execution is not None and execution.started_at < 0:
                self._cancel_at_server(execution)

    def _cancel_at_server(self, execution: Execution) -> None:
        server: EmulatedServer = execution.owner.server
        self._timeline.schedule_after(self._network.one_way_ms(self._zone, server), server.cancel, execution)

    # -- reports from servers

    def _arrive(self, execution: Execution) -> None:
        attempt, server = execution.owner
        server.inbound_slots -= execution.slots
        if not attempt.in_flight and not self._closed:
            return  # the attempt was cancelled before it arrived
        if not server.up:
            self._report(execution, self._end_attempt, Outcome.CONNECT_FAILED)
        elif not server.accept(execution):
            self._report(execution, self._end_attempt, Outcome.FULL)

    def _execution_changed(self, execution: Execution, state: ExecutionState) -> None:
        if state is ExecutionState.STARTED:
            self._report(execution, self._note_progress, ProgressKind.STARTED, 0.0)
            self._timeline.schedule_after(PROGRESS_INTERVAL_MS, self._report_progress, execution)
        else:
            outcome = Outcome.SERVED if state is ExecutionState.DONE else Outcome.RESET
            self._report(execution, self._end_attempt, outcome)

    def _report_progress(self, execution: Execution) -> None:
        attempt, server = execution.owner
        if execution.completion is not None and not server.unresponsive and attempt.in_flight:
            duration = server.duration_ms(execution)
            progress = (self._timeline.now - execution.started_at) / duration if duration else 0.0
            progress = min(MAX_REPORTED_PROGRESS, progress)
            self._report(execution, self._note_progress, ProgressKind.PROGRESS, progress)
        if attempt.in_flight and execution in server.running:
            self._timeline.schedule_after(PROGRESS_INTERVAL_MS, self._report_progress, execution)

    def _report(self, execution: Execution, callback: Callable[..., None], *args: Any) -> None:
        """Calls ``callback`` after the network delay from the server; a partition defers the call until it heals."""
        if self._closed:
            return
        attempt, server = execution.owner
        if self._network.is_partitioned(self._zone, server.zone):
            self._network.defer_until_heal(self._report, execution, callback, *args)
            return
        self._timeline.schedule_after(self._network.one_way_ms(self._zone, server), callback, attempt, *args)

    def _note_progress(self, attempt: Attempt, kind: ProgressKind, progress: float) -> None:
        if not self._closed:
            self._core.attempt_progressed(attempt, kind, progress)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if not self._closed:
            self._core.attempt_ended(attempt, outcome)

"""Emulates a server with slots, a bounded queue, slow start, overload, suspension and crashes.

A server executes attempts in slots; an execution takes ``work_ms / speed`` milliseconds. A new process has a fraction
of its slots; the fraction grows linearly to 1 while the process warms up. Running and queued executions may occupy more
than a multiple of the present slots for a limited time. If the overload lasts longer, the process crashes, all its
executions are lost and a new process starts cold. This models rule 4 of the platform.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from heronlug.emulator.timeline import ScheduledEvent, Timeline

WARMUP_STEP_SLOTS = 0.25
"""Growth of capacity in slots after which a server that is warming up checks its queue again."""
ROUNDING_SLOTS = 1e-9
"""Tolerance for rounding errors in sums of slots."""
EARLIEST_START_MS = 1e-3
"""Earliest start time of a cold process in ms, since a start time of 0 marks a process that is already warm."""


class ExecutionState(Enum):
    """State of an execution that a server reports."""

    STARTED = "started"
    DONE = "done"
    LOST = "lost"


class ServerKind(NamedTuple):
    """Kind of server.

    Attributes:
        name: name of the kind.
        slots: number of slots of a server that has warmed up.
        speed: divisor of the work of an execution.
        queue_length: maximum number of queued executions; a further execution is rejected.
        queue_order: order in which queued executions start. ``fifo`` starts the first execution once it fits,
            ``backfill`` the first execution that fits, ``priority`` the execution with the highest priority weight.
    """

    name: str
    slots: int
    speed: float = 1.0
    queue_length: int = 64
    queue_order: str = "fifo"


class WarmupModel(NamedTuple):
    """Warm-up of a new process and limits of overload; the ``[safety]`` table of a scenario.

    Attributes:
        initial_fraction: fraction of the slots that a process has at its start.
        warmup_ms: time in ms until a process has all its slots.
        overload_multiple: multiple of the present slots that running and queued executions may occupy without overload.
        overload_window_ms: time in ms of overload after which a process crashes.
    """

    initial_fraction: float = 0.15
    warmup_ms: float = 20_000.0
    overload_multiple: float = 3.0
    overload_window_ms: float = 3000.0


@dataclass(slots=True, eq=False)
class Execution:
    """Execution of one attempt at a server.

    Attributes:
        owner: any object that the sender associates with the execution.
        work_ms: duration in ms at speed 1.
        slots: number of slots that the execution occupies.
        priority_weight: weight for servers that start the execution with the highest weight first.
        notify: called with the execution and each state that the server reports.
        arrived_at: time of arrival at the server in ms.
        started_at: start time in ms, -1 before the start.
        completion: event that ends the execution, set while the execution runs and the server is not suspended.
        remaining_ms: remaining duration in ms, valid while the server is suspended.
    """

    owner: Any
    work_ms: float
    slots: float
    priority_weight: float
    notify: Callable[["Execution", ExecutionState], None]
    arrived_at: float = 0.0
    started_at: float = -1.0
    completion: ScheduledEvent | None = None
    remaining_ms: float = 0.0

    def cancel_completion(self) -> None:
        """Cancels the event that ends the execution."""
        if self.completion is not None:
            self.completion.cancel()
            self.completion = None


@dataclass(slots=True, eq=False)
class EmulatedServer:
    """One server with its successive processes under one name.

    Attributes:
        name: name of the server.
        kind: slots, speed and queue of the server.
        zone: index of the server's zone.
        timeline: virtual time of the run.
        warmup: model of warm-up and overload.
        started_at: start time of the process in ms; 0 for a process that is already warm.
        up: whether the server has a running process.
        unresponsive: whether the process is paused or hangs, so that its executions make no progress.
        slowdown: factor by which executions that start now take longer.
        running: executions that occupy slots.
        queued: executions that wait for slots.
        used_slots: slots of running executions.
        occupied_slots: slots of running and queued executions.
        inbound_slots: slots of attempts that are on the way to the server.
        busy_slot_ms: integral of ``used_slots`` over time, in slots times ms.
        warmup_peak_load: highest load while the server was warming up; overload begins above 1.
        execution_count: number of executions started.
        overload_crashes: number of crashes caused by overload.
        on_overload: called when overload has lasted for the overload window.
        on_execution_start: called with the server and each execution that starts.
    """

    name: str
    kind: ServerKind
    zone: int
    timeline: Timeline
    warmup: WarmupModel
    started_at: float = 0.0
    up: bool = True
    unresponsive: bool = False
    slowdown: float = 1.0
    running: list[Execution] = field(default_factory=list)
    queued: list[Execution] = field(default_factory=list)
    used_slots: float = 0.0
    occupied_slots: float = 0.0
    inbound_slots: float = 0.0
    busy_slot_ms: float = 0.0
    warmup_peak_load: float = 0.0
    execution_count: int = 0
    overload_crashes: int = 0
    on_overload: Callable[["EmulatedServer"], None] | None = None
    on_execution_start: Callable[["EmulatedServer", Execution], None] | None = None
    _overload_timer: ScheduledEvent | None = None
    _warmup_timer: ScheduledEvent | None = None

    # -- capacity

    def capacity(self) -> float:
        """Returns the present number of slots."""
        age = self.timeline.now - self.started_at if self.started_at else float("inf")
        if age >= self.warmup.warmup_ms:
            return float(self.kind.slots)
        initial = self.warmup.initial_fraction
        return self.kind.slots * (initial + (1 - initial) * age / self.warmup.warmup_ms)

    @property
    def warming_up(self) -> bool:
        """Whether the process does not have all its slots yet."""
        return bool(self.started_at) and self.timeline.now - self.started_at < self.warmup.warmup_ms

    @property
    def overload_slots(self) -> float:
        """Slots that running and queued executions may occupy now without overload."""
        return self.warmup.overload_multiple * self.capacity()

    def load(self) -> float:
        """Returns the occupied slots as a fraction of :attr:`overload_slots`."""
        return self.occupied_slots / self.overload_slots

    def duration_ms(self, execution: Execution) -> float:
        """Returns the duration in ms of an execution that starts now."""
        return execution.work_ms * self.slowdown / self.kind.speed

    # -- executions

    def accept(self, execution: Execution) -> bool:
        """Queues an execution that has arrived; returns False if the queue is full and the execution is rejected."""
        if len(self.queued) >= self.kind.queue_length and self.used_slots + execution.slots > self._usable_slots():
            return False
        execution.arrived_at = self.timeline.now
        self.queued.append(execution)
        self.occupied_slots += execution.slots
        self._start_queued()
        self._check_overload()
        return True

    def cancel(self, execution: Execution) -> bool:
        """Drops a cancelled execution; returns False if the execution is not at this server."""
        if execution in self.queued:
            self.queued.remove(execution)
        elif execution in self.running:
            self._release(execution)
        else:
            return False
        self.occupied_slots -= execution.slots
        self._start_queued()
        self._check_overload()
        return True

    # -- the process

    def start(self) -> None:
        """Starts a new, cold process."""
        self.up = True
        self.started_at = max(self.timeline.now, EARLIEST_START_MS)
        self._advance_warmup()

    def stop(self) -> list[Execution]:
        """Ends the process and returns its running and queued executions."""
        lost = [*self.running, *self.queued]
        for execution in [*self.running]:
            self._release(execution)
        self.queued.clear()
        self.occupied_slots = 0.0
        self.up = False
        self.unresponsive = False
        self._cancel_overload_timer()
        if self._warmup_timer is not None:
            self._warmup_timer.cancel()
            self._warmup_timer = None
        return lost

    def suspend(self) -> None:
        """Suspends all executions of the process, as in a pause or a hang."""
        if self.unresponsive:
            return
        self.unresponsive = True
        for execution in self.running:
            completion = execution.completion
            execution.remaining_ms = completion.time - self.timeline.now if completion is not None else 0.0
            execution.cancel_completion()

    def resume(self) -> None:
        """Resumes all suspended executions."""
        if not self.unresponsive:
            return
        self.unresponsive = False
        for execution in self.running:
            execution.completion = self.timeline.schedule_after(execution.remaining_ms, self._finish, execution)
        self._start_queued()

    # -- queue, slots and overload

    def _usable_slots(self) -> float:
        """Returns the slots that may be used now; at least 1, so that an execution runs however cold the process is."""
        return max(1.0, self.capacity())

    def _start_queued(self) -> None:
        """Starts the queued executions that fit, in the queue order of the server kind."""
        while self.queued and self.up and not self.unresponsive:
            free = self._usable_slots() - self.used_slots + ROUNDING_SLOTS
            position = self._next_in_queue(free)
            execution = self.queued[position]
            if execution.slots > free and self.running:  # an execution larger than all usable slots runs alone
                return
            del self.queued[position]
            self._start(execution)

    def _next_in_queue(self, free: float) -> int:
        """Returns the position in the queue of the next execution to start."""
        queue = self.queued
        if self.kind.queue_order == "priority":
            return max(range(len(queue)), key=lambda position: (queue[position].priority_weight, -position))
        if self.kind.queue_order == "backfill":
            return next((position for position, execution in enumerate(queue) if execution.slots <= free), 0)
        return 0

    def _start(self, execution: Execution) -> None:
        self.used_slots += execution.slots
        self.running.append(execution)
        self.execution_count += 1
        execution.started_at = self.timeline.now
        execution.completion = self.timeline.schedule_after(self.duration_ms(execution), self._finish, execution)
        if self.on_execution_start is not None:
            self.on_execution_start(self, execution)
        execution.notify(execution, ExecutionState.STARTED)

    def _release(self, execution: Execution) -> None:
        self.running.remove(execution)
        execution.cancel_completion()
        self.used_slots = self.used_slots - execution.slots if self.running else 0.0
        self.busy_slot_ms += (self.timeline.now - execution.started_at) * execution.slots

    def _finish(self, execution: Execution) -> None:
        self._release(execution)
        self.occupied_slots = self.occupied_slots - execution.slots if self.running or self.queued else 0.0
        self._start_queued()
        self._check_overload()
        execution.notify(execution, ExecutionState.DONE)

    def _check_overload(self) -> None:
        """Starts the crash timer if the server is overloaded, and cancels the timer otherwise."""
        overload_limit = self.overload_slots
        if self.warming_up:
            self.warmup_peak_load = max(self.warmup_peak_load, self.occupied_slots / overload_limit)
        if self.occupied_slots <= overload_limit:
            self._cancel_overload_timer()
        elif self._overload_timer is None and self.up:
            window = self.warmup.overload_window_ms
            self._overload_timer = self.timeline.schedule_after(window, self._crash_from_overload)

    def _cancel_overload_timer(self) -> None:
        if self._overload_timer is not None:
            self._overload_timer.cancel()
            self._overload_timer = None

    def _advance_warmup(self) -> None:
        """Checks the queue regularly during warm-up, since capacity grows even if no execution arrives or ends."""
        if self.up and self.warming_up:
            self._start_queued()
            self._check_overload()
            step_ms = self.warmup.warmup_ms * WARMUP_STEP_SLOTS / self.kind.slots
            self._warmup_timer = self.timeline.schedule_after(step_ms, self._advance_warmup)

    def _crash_from_overload(self) -> None:
        self._overload_timer = None
        self.overload_crashes += 1
        if self.on_overload is not None:
            self.on_overload(self)

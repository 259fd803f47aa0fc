"""An emulated server: slots, a bounded queue, slow start, overload, suspension and crashes.

A server executes attempts in slots; an execution takes ``work_ms / speed`` milliseconds. A fresh process has a fraction
of its slots, which grows evenly to all of them while it warms up. What is in the server, running and queued, may exceed
a multiple of its present slots for a limited time; if it lasts longer the process crashes, everything in it is lost and
a new process starts cold. That is rule 4 of the platform, as a model.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from heronlug.emulator.timeline import ScheduledEvent, Timeline

WARMUP_STEP_SLOTS = 0.25
"""How far the capacity of a server grows, in slots, between two looks at its queue while it warms up."""
ROUNDING_SLOTS = 1e-9
"""Slots that a sum of slots may be off by."""
EARLIEST_START_MS = 1e-3
"""A process that starts at time 0 counts as started here, since a start at 0 means long past."""


class ExecutionState(Enum):
    """What a server reports of an execution."""

    STARTED = "started"
    DONE = "done"
    LOST = "lost"


class ServerKind(NamedTuple):
    """A kind of server.

    Attributes:
        name: of the kind.
        slots: of a server that has warmed up.
        speed: divides the work of an execution.
        queue_length: executions that may be queued; one more is rejected.
        queue_order: ``fifo``: the first is started once it fits; ``backfill``: the first that fits; ``priority``: the
            one with the highest priority weight.
    """

    name: str
    slots: int
    speed: float = 1.0
    queue_length: int = 64
    queue_order: str = "fifo"


class WarmupModel(NamedTuple):
    """How a fresh process comes to its full capacity, and what overload it bears; ``[safety]`` of a scenario.

    Attributes:
        initial_fraction: of its slots at the start of a process.
        warmup_ms: until it has all of them.
        overload_multiple: of its present slots that may be in it, running and queued.
        overload_window_ms: for which more may be in it before it crashes.
    """

    initial_fraction: float = 0.15
    warmup_ms: float = 20_000.0
    overload_multiple: float = 3.0
    overload_window_ms: float = 3000.0


@dataclass(slots=True, eq=False)
class Execution:
    """One attempt at a server.

    Attributes:
        owner: whatever the sender keeps with it.
        work_ms: of it at speed 1.
        slots: that it takes.
        priority_weight: for servers that start the weightiest first.
        notify: called with each state that the server reports.
        arrived_at: when it came to the server.
        started_at: when it began to run, -1 before that.
        completion: the event that ends it, while it runs and the server is not suspended.
        remaining_ms: of its time, while the server is suspended.
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
        """It does not end by itself any more."""
        if self.completion is not None:
            self.completion.cancel()
            self.completion = None


@dataclass(slots=True, eq=False)
class EmulatedServer:
    """One server: a process, and those after it under the same name.

    Attributes:
        name: of the server.
        kind: its slots, speed and queue.
        zone: the index of its zone.
        timeline: the time that it runs in.
        warmup: how it warms up and what it bears.
        started_at: when its process started, in ms; 0: long past.
        up: whether it has a process.
        unresponsive: whether the process is paused or hangs, so that nothing in it goes on.
        slowdown: the factor by which executions that start now take longer.
        running: executions in slots.
        queued: executions that wait for slots.
        used_slots: slots of what runs.
        occupied_slots: slots of what runs or is queued.
        inbound_slots: slots of attempts on their way to it.
        busy_slot_ms: slots that were used, summed over time.
        warmup_peak_load: the highest load while it warmed up; 1 is where overload begins.
        execution_count: executions that were started.
        overload_crashes: how often overload made it crash.
        on_overload: called when it has borne overload for too long.
        on_execution_start: called with each execution that starts.
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
        """The slots that it has now."""
        age = self.timeline.now - self.started_at if self.started_at else float("inf")
        if age >= self.warmup.warmup_ms:
            return float(self.kind.slots)
        initial = self.warmup.initial_fraction
        return self.kind.slots * (initial + (1 - initial) * age / self.warmup.warmup_ms)

    @property
    def warming_up(self) -> bool:
        """Whether it has less than all its slots."""
        return bool(self.started_at) and self.timeline.now - self.started_at < self.warmup.warmup_ms

    @property
    def overload_slots(self) -> float:
        """The slots that may be in it now, running and queued, without overload."""
        return self.warmup.overload_multiple * self.capacity()

    def load(self) -> float:
        """What is in it, as a fraction of :attr:`overload_slots`."""
        return self.occupied_slots / self.overload_slots

    def duration_ms(self, execution: Execution) -> float:
        """How long an execution takes that starts now."""
        return execution.work_ms * self.slowdown / self.kind.speed

    # -- executions

    def accept(self, execution: Execution) -> bool:
        """Queue an execution that has arrived; False if the queue is full, which rejects it."""
        if len(self.queued) >= self.kind.queue_length and self.used_slots + execution.slots > self._usable_slots():
            return False
        execution.arrived_at = self.timeline.now
        self.queued.append(execution)
        self.occupied_slots += execution.slots
        self._start_queued()
        self._check_overload()
        return True

    def cancel(self, execution: Execution) -> bool:
        """Drop an execution that its sender cancelled; False if it was not here."""
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
        """Start a new process, which is cold."""
        self.up = True
        self.started_at = max(self.timeline.now, EARLIEST_START_MS)
        self._advance_warmup()

    def stop(self) -> list[Execution]:
        """End the process; returns the executions that were in it."""
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
        """Let nothing in the process go on, as in a pause or a hang."""
        if self.unresponsive:
            return
        self.unresponsive = True
        for execution in self.running:
            completion = execution.completion
            execution.remaining_ms = completion.time - self.timeline.now if completion is not None else 0.0
            execution.cancel_completion()

    def resume(self) -> None:
        """Let all go on from where it was suspended."""
        if not self.unresponsive:
            return
        self.unresponsive = False
        for execution in self.running:
            execution.completion = self.timeline.schedule_after(execution.remaining_ms, self._finish, execution)
        self._start_queued()

    # -- inside

    def _usable_slots(self) -> float:
        """Slots that may be used now: at least one execution runs, however cold the process is."""
        return max(1.0, self.capacity())

    def _start_queued(self) -> None:
        """Start the queued executions that fit, in the order of this kind of server."""
        while self.queued and self.up and not self.unresponsive:
            free = self._usable_slots() - self.used_slots + ROUNDING_SLOTS
            position = self._next_in_queue(free)
            execution = self.queued[position]
            if execution.slots > free and self.running:  # one that never fits runs alone
                return
            del self.queued[position]
            self._start(execution)

    def _next_in_queue(self, free: float) -> int:
        """The position in the queue of the execution whose turn it is."""
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
        """Start or stop the timer that ends in a crash, as more is in the server than it bears or not."""
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
        """Look at the queue again, since more fits in while the process warms up, also when nothing comes or ends."""
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

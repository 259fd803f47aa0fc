"""When the periodic tasks whose leases this member holds are run.  No I/O and no clock.

A schedule is told which leases are gained and lost and which runs have ended; it says which runs start.
"""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from heronlug.cluster.model import FencingToken
from heronlug.cluster.ownership import tag


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """One periodic task.  All times are milliseconds.

    Attributes:
        name: The name of the task and of its lease.
        interval: Between the starts of two runs.
        jitter: How much later a run may start; its name and its number give the fraction.
        timeout: A run is ended after this time.
    """

    name: str
    interval: float
    jitter: float = 0.0
    timeout: float = inf


@dataclass(slots=True)
class TaskState:
    """What this member knows of a periodic task.  All times are milliseconds of its clock.

    Attributes:
        task: The task.
        token: The fencing token of its lease, while this member holds it.
        due: When the next run starts.
        started_at: When the last run here has started.
        ended_at: When the last run here has ended.
        running: Whether a run is going on here.
        runs: Runs that have started here.
        failed: Runs that have failed here.
        takeovers: How often this member has gained the lease.
    """

    task: PeriodicTask
    token: FencingToken | None = None
    due: float = inf
    started_at: float = -inf
    ended_at: float = -inf
    running: bool = False
    runs: int = 0
    failed: int = 0
    takeovers: int = 0

    @property
    def next_wake(self) -> float:
        """When the present run times out, or the next one starts."""
        return self.started_at + self.task.timeout if self.running else self.due

    def start(self, now: float) -> None:
        """Start a run, and plan the next one."""
        self.running = True
        self.started_at = now
        self.runs += 1
        jitter_fraction = tag(f"{self.task.name}{self.runs}") / 2**32
        self.due = now + self.task.interval + self.task.jitter * jitter_fraction


class TaskStart(NamedTuple):
    """A run that starts now."""

    name: str
    token: FencingToken


@dataclass(slots=True)
class TaskSchedule:
    """All periodic tasks of a member, by name."""

    tasks: dict[str, TaskState] = field(default_factory=dict)

    @classmethod
    def of(cls, tasks: list[PeriodicTask]) -> "TaskSchedule":
        """A schedule of these tasks, none of which this member may run yet."""
        return cls({task.name: TaskState(task) for task in tasks})

    def on_lease_gained(self, name: str, token: FencingToken, now: float) -> None:
        """The lease was gained: the first run is due at once, as the time of the last one elsewhere is unknown."""
        state = self.tasks[name]
        state.token = token
        state.due = now
        state.takeovers += 1

    def on_lease_lost(self, name: str) -> bool:
        """The lease was lost; returns whether a run has to be ended."""
        state = self.tasks[name]
        state.token = None
        state.due = inf
        return state.running

    def start_due(self, now: float) -> list[TaskStart]:
        """Start the runs that are due; none is due again before it has ended."""
        started: list[TaskStart] = []
        for name, state in self.tasks.items():
            if state.token is not None and not state.running and state.due <= now:
                state.start(now)
                started.append(TaskStart(name, state.token))
        return started

    def on_run_ended(self, name: str, now: float, succeeded: bool) -> None:
        """A run has ended, by itself or because it was ended."""
        state = self.tasks[name]
        state.running = False
        state.ended_at = now
        state.failed += not succeeded

    def timed_out(self, now: float) -> list[str]:
        """The tasks whose run has reached its timeout."""
        running = [(name, state) for name, state in self.tasks.items() if state.running]
        return [name for name, state in running if now - state.started_at >= state.task.timeout]

    def next_wake(self) -> float:
        """When a run is due, or times out."""
        return min((state.next_wake for state in self.tasks.values()), default=inf)

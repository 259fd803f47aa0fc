"""Schedules the periodic tasks whose leases this member holds, without I/O and without a clock.

The caller reports gained and lost leases and ended runs to the schedule; the schedule returns the runs to start.
"""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from heronlug.cluster.model import FencingToken
from heronlug.cluster.ownership import tag


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """The configuration of a periodic task. All times are milliseconds.

    Attributes:
        name: The name of the task and of its lease.
        interval: Time between the starts of two runs.
        jitter: Maximum additional delay of a run; the task name and the run number determine the used fraction.
        timeout: Maximum duration of a run, after which the run is cancelled.
    """

    name: str
    interval: float
    jitter: float = 0.0
    timeout: float = inf


@dataclass(slots=True)
class TaskState:
    """The state of a periodic task at this member. All times are milliseconds of this member's clock.

    Attributes:
        task: The configuration of the task.
        token: The fencing token of the task's lease; None while this member does not hold the lease.
        due: The start time of the next run; infinite while this member does not hold the lease.
        started_at: The start time of this member's last run.
        ended_at: The end time of this member's last run.
        running: Whether a run is in progress at this member.
        runs: Number of runs started at this member.
        failed: Number of runs that failed at this member.
        takeovers: Number of times this member has gained the lease.
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
        """Returns the time when the current run times out or, if none is in progress, when the next run starts."""
        return self.started_at + self.task.timeout if self.running else self.due

    def start(self, now: float) -> None:
        """Records the start of a run and schedules the next run."""
        self.running = True
        self.started_at = now
        self.runs += 1
        jitter_fraction = tag(f"{self.task.name}{self.runs}") / 2**32
        self.due = now + self.task.interval + self.task.jitter * jitter_fraction


class TaskStart(NamedTuple):
    """A run that the caller must start now."""

    name: str
    token: FencingToken


@dataclass(slots=True)
class TaskSchedule:
    """The schedule of all periodic tasks of a member.

    Attributes:
        tasks: The state of each task by name.
    """

    tasks: dict[str, TaskState] = field(default_factory=dict)

    @classmethod
    def of(cls, tasks: list[PeriodicTask]) -> "TaskSchedule":
        """Returns a schedule of these tasks, without any lease held."""
        return cls({task.name: TaskState(task) for task in tasks})

    def on_lease_gained(self, name: str, token: FencingToken, now: float) -> None:
        """Records that this member has gained the lease of a task.

        The first run is due immediately, since the time of the last run at another member is unknown.
        """
        state = self.tasks[name]
        state.token = token
        state.due = now
        state.takeovers += 1

    def on_lease_lost(self, name: str) -> bool:
        """Records that this member has lost the lease of a task; returns whether a run must be cancelled."""
        state = self.tasks[name]
        state.token = None
        state.due = inf
        return state.running

    def start_due(self, now: float) -> list[TaskStart]:
        """Returns the due runs and marks them as running; a task never has two runs at a time."""
        started: list[TaskStart] = []
        for name, state in self.tasks.items():
            if state.token is not None and not state.running and state.due <= now:
                state.start(now)
                started.append(TaskStart(name, state.token))
        return started

    def on_run_ended(self, name: str, now: float, succeeded: bool) -> None:
        """Records that the run of a task has completed or has been cancelled."""
        state = self.tasks[name]
        state.running = False
        state.ended_at = now
        state.failed += not succeeded

    def timed_out(self, now: float) -> list[str]:
        """Returns the names of the tasks whose run has reached its timeout."""
        running = [(name, state) for name, state in self.tasks.items() if state.running]
        return [name for name, state in running if now - state.started_at >= state.task.timeout]

    def next_wake(self) -> float:
        """Returns the earliest time when a run is due or times out, in milliseconds."""
        return min((state.next_wake for state in self.tasks.values()), default=inf)

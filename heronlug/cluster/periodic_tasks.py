"""When the duties that we own are run.  No I/O, no clock: told what we own and what has ended, it says what begins."""

from dataclasses import dataclass, field
from math import inf

from heronlug.cluster.model import FencingToken
from heronlug.cluster.ownership import tag


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """One periodic duty; times in milliseconds."""

    name: str
    interval: float
    jitter: float = 0.0  # a run may begin so much later, by a share that the name and the number of the run give
    timeout: float = inf  # a run is ended after this


@dataclass(slots=True)
class TaskState:
    """What is known here of a duty."""

    task: PeriodicTask
    token: FencingToken | None = None  # while it is ours
    due: float = inf
    started_at: float = -inf  # of the last run here
    ended_at: float = -inf
    running: bool = False
    runs: int = 0
    failed: int = 0
    takeovers: int = 0


@dataclass(slots=True)
class TaskSchedule:
    """All duties of a member."""

    tasks: dict[str, TaskState] = field(default_factory=dict)

    @classmethod
    def of(cls, duties: list[PeriodicTask]) -> "TaskSchedule":
        """A schedule of these."""
        return cls({duty.name: TaskState(duty) for duty in duties})

    def gained(self, name: str, fence: FencingToken, now: float) -> None:
        """It is ours: its first run here is due at once, for nobody knows how long the last one is past."""
        running = self.tasks[name]
        running.token, running.due = fence, now
        running.takeovers += 1

    def lost(self, name: str) -> bool:
        """It is not ours any more; returns whether a run of it has to be ended."""
        running = self.tasks[name]
        running.token, running.due = None, inf
        return running.running

    def start_due(self, now: float) -> list[tuple[str, FencingToken]]:
        """What is due now: each begins with this, and is not due again before it has ended."""
        begun: list[tuple[str, FencingToken]] = []
        for name, running in self.tasks.items():
            if running.token is not None and not running.running and running.due <= now:
                running.running, running.started_at = True, now
                running.runs += 1
                share = tag(f"{name}{running.runs}") / 2**32
                running.due = now + running.task.interval + running.task.jitter * share
                begun.append((name, running.token))
        return begun

    def finished(self, name: str, now: float, well: bool) -> None:
        """A run has ended, by itself or because it was ended."""
        running = self.tasks[name]
        running.running, running.ended_at = False, now
        running.failed += not well

    def overdue(self, now: float) -> list[str]:
        """Runs that have taken longer than they may."""
        return [
            n
            for n, running in self.tasks.items()
            if running.running and now - running.started_at >= running.task.timeout
        ]

    def next_wake(self) -> float:
        """When something is due, or has to be over."""
        return min((r.started_at + r.task.timeout if r.running else r.due for r in self.tasks.values()), default=inf)

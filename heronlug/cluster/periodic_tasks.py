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
    longest: float = inf  # a run is ended after this


@dataclass(slots=True)
class TaskState:
    """What is known here of a duty."""

    duty: PeriodicTask
    fence: FencingToken | None = None  # while it is ours
    due: float = inf
    began: float = -inf  # of the last run here
    ended: float = -inf
    busy: bool = False
    runs: int = 0
    failed: int = 0
    takeovers: int = 0


@dataclass(slots=True)
class TaskSchedule:
    """All duties of a member."""

    duties: dict[str, TaskState] = field(default_factory=dict)

    @classmethod
    def of(cls, duties: list[PeriodicTask]) -> "TaskSchedule":
        """A schedule of these."""
        return cls({duty.name: TaskState(duty) for duty in duties})

    def gained(self, name: str, fence: FencingToken, now: float) -> None:
        """It is ours: its first run here is due at once, for nobody knows how long the last one is past."""
        running = self.duties[name]
        running.fence, running.due = fence, now
        running.takeovers += 1

    def lost(self, name: str) -> bool:
        """It is not ours any more; returns whether a run of it has to be ended."""
        running = self.duties[name]
        running.fence, running.due = None, inf
        return running.busy

    def begin(self, now: float) -> list[tuple[str, FencingToken]]:
        """What is due now: each begins with this, and is not due again before it has ended."""
        begun: list[tuple[str, FencingToken]] = []
        for name, running in self.duties.items():
            if running.fence is not None and not running.busy and running.due <= now:
                running.busy, running.began = True, now
                running.runs += 1
                share = tag(f"{name}{running.runs}") / 2**32
                running.due = now + running.duty.interval + running.duty.jitter * share
                begun.append((name, running.fence))
        return begun

    def over(self, name: str, now: float, well: bool) -> None:
        """A run has ended, by itself or because it was ended."""
        running = self.duties[name]
        running.busy, running.ended = False, now
        running.failed += not well

    def late(self, now: float) -> list[str]:
        """Runs that have taken longer than they may."""
        return [n for n, running in self.duties.items() if running.busy and now - running.began >= running.duty.longest]

    def next(self) -> float:
        """When something is due, or has to be over."""
        return min((r.began + r.duty.longest if r.busy else r.due for r in self.duties.values()), default=inf)

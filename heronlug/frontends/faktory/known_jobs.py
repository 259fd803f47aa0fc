"""Holds the known jobs by jid: an open job as a whole, a job that has ended as its final answer alone."""

from dataclasses import dataclass, field
from typing import NamedTuple

from heronlug.frontends.faktory.job import Job
from heronlug.requests.model import FinalAnswer


class EndedJob(NamedTuple):
    """A job that has ended and whose jid stays known.

    Attributes:
        jid: the job id.
        final_answer: the final answer.
    """

    jid: str
    final_answer: FinalAnswer


KnownJob = Job | EndedJob


@dataclass(slots=True, eq=False)
class EndedJobs:
    """Jobs with the same final answer that are forgotten at the same time.

    Attributes:
        final_answer: the final answer.
        forget_at: time in ms at which the jids are forgotten.
        jids: the job ids.
    """

    final_answer: FinalAnswer
    forget_at: float
    jids: list[str] = field(default_factory=list)


class KnownJobs:
    """The known jobs.

    Attributes:
        open: the jobs that have not ended, by jid.
    """

    def __init__(self) -> None:
        self.open: dict[str, Job] = {}
        self._ended: dict[str, EndedJobs] = {}
        self._groups: dict[tuple[FinalAnswer, float], EndedJobs] = {}  # by the final answer and the time to forget

    def __len__(self) -> int:
        return len(self.open) + len(self._ended)

    def __contains__(self, jid: str) -> bool:
        return jid in self.open or jid in self._ended

    def __getitem__(self, jid: str) -> KnownJob:
        job = self.get(jid)
        if job is None:
            raise KeyError(jid)
        return job

    def get(self, jid: str) -> KnownJob | None:
        """Returns the job with this jid; None if it is not known."""
        job = self.open.get(jid)
        if job is not None:
            return job
        group = self._ended.get(jid)
        return EndedJob(jid, group.final_answer) if group is not None else None

    def add(self, job: Job) -> None:
        """Adds an open job."""
        self.open[job.jid] = job

    def remove(self, jid: str) -> None:
        """Removes a job, so that its jid is unknown."""
        self.open.pop(jid, None)
        self._ended.pop(jid, None)

    def end(self, jid: str, final_answer: FinalAnswer, forget_at: float) -> "EndedJobs | None":
        """Keeps only the final answer of a job, which may have been open.

        Args:
            jid: the job id.
            final_answer: the final answer.
            forget_at: time in ms at which the jid is to be forgotten, the same for as many jobs as possible.

        Returns:
            The jobs to be forgotten together at this time, if the caller does not have them yet, else None.
        """
        self.open.pop(jid, None)
        key = final_answer, forget_at
        group = self._groups.get(key)
        is_new = group is None
        if group is None:
            group = self._groups[key] = EndedJobs(final_answer, forget_at)
        group.jids.append(jid)
        self._ended[jid] = group
        return group if is_new else None

    def forget(self, group: "EndedJobs", max_count: int) -> list[str]:
        """Forgets jobs that have ended, at most ``max_count`` of them, and returns their jids."""
        jids = group.jids[-max_count:]
        del group.jids[-max_count:]
        if not group.jids:
            del self._groups[group.final_answer, group.forget_at]
        # A jid that was removed may have been pushed again, and belong to another group now.
        forgotten = [jid for jid in jids if self._ended.get(jid) is group]
        for jid in forgotten:
            del self._ended[jid]
        return forgotten

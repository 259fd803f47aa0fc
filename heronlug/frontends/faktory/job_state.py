"""Defines the states of a Faktory job and the transitions between them.

Every state but the last two leads to an end, and nothing leads out of an end: a job has one outcome.
"""

from enum import Enum


class JobState(Enum):
    """States of a job; the values appear in the log."""

    BEING_STORED = "being_stored"
    """The store has not confirmed the job yet, so the job is not accepted."""

    STORED = "stored"
    """The job is accepted, or was read from the store, and is about to be scheduled."""

    DEPENDENT = "dependent"
    """The job waits for its parents."""

    DELAYED = "delayed"
    """The job waits for its start time."""

    STARTED = "started"
    """The core has the job, which waits for a worker or was delivered to one."""

    KEPT = "kept"
    """The process stops and leaves the job, which never ran, in the durable store for the next process."""

    ENDED = "ended"
    """The job has its final answer."""


TRANSITIONS = {
    JobState.BEING_STORED: {JobState.STORED, JobState.ENDED},
    JobState.STORED: {JobState.DEPENDENT, JobState.DELAYED, JobState.STARTED, JobState.KEPT, JobState.ENDED},
    JobState.DEPENDENT: {JobState.DELAYED, JobState.STARTED, JobState.KEPT, JobState.ENDED},
    JobState.DELAYED: {JobState.STARTED, JobState.KEPT, JobState.ENDED},
    JobState.STARTED: {JobState.KEPT, JobState.ENDED},
    JobState.KEPT: set[JobState](),
    JobState.ENDED: set[JobState](),
}
"""The states that may follow each state."""


class JobStateError(RuntimeError):
    """Raised for a transition that the table does not have, which is a fault of the program."""

    def __init__(self, jid: str, state: JobState, next_state: JobState) -> None:
        super().__init__(f"job {jid}: {state.value} to {next_state.value}")

"""Counts the memory that the known jobs hold in the account of the process."""

from heronlug.frontends.faktory.job import Job
from heronlug.memory.account import MemoryAccount
from heronlug.memory.holders import Holder

JOB_BYTES = 1700
"""Memory of a known job without its payload, in bytes."""


class JobMemory:
    """What the known jobs hold, in the account of the process."""

    def __init__(self, account: MemoryAccount) -> None:
        """Creates the part of an account that has no job yet."""
        self._account = account

    def hold(self, job: Job) -> None:
        """Counts a job that is known from now on, with its payload."""
        self._account.hold(Holder.FAKTORY_JOBS, JOB_BYTES)
        self._account.hold(Holder.FAKTORY_PAYLOADS, job.size)

    def release_payload(self, job: Job) -> None:
        """Releases the payload of a job that ends."""
        self._account.release(Holder.FAKTORY_PAYLOADS, job.size)

    def release(self, job: Job) -> None:
        """Releases a job whose jid is not known any more."""
        self._account.release(Holder.FAKTORY_JOBS, JOB_BYTES)

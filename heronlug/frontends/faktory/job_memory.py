"""Reserves the memory of the known jobs in the account of the process.

A job is reserved before it is accepted. With a durable store its payload is only needed in memory until the store has
it, and while the job waits for a worker, if there is room; a payload that is not in memory is read at the delivery.
"""

import sys

from heronlug.frontends.faktory.errors import JobMemoryError
from heronlug.frontends.faktory.job import Job
from heronlug.memory.account import MemoryAccount
from heronlug.memory.holders import Holder
from heronlug.requests.interfaces import EventLog

OPEN_JOB_BYTES = 1024
"""Memory of an open job that has not started, without its texts and its payload, in bytes."""

STARTED_JOB_BYTES = 5120
"""Memory of the request of a started job in the core, in bytes."""

PARENT_BYTES = 512
"""Memory of the dependency on one parent, in bytes."""

ENDED_JOB_BYTES = 200
"""Memory of a job that has ended, without its jid, in bytes."""

PAYLOAD_OVERHEAD_BYTES = 64
"""Memory of a payload beyond its length, in bytes."""

JOBS_SHARE = 0.5
"""Share of the account that jobs may take, so that the clients of the other frontend have the rest."""

WAITING_PAYLOADS_SHARE = 0.25
"""Share of the account that the payloads of jobs may take that wait for a worker and are stored as well."""

FREE_SHARE = 0.9
"""Share of what jobs may take, below which their memory counts as free again after it was short."""


class JobMemory:
    """What the known jobs hold, in the account of the process."""

    def __init__(self, account: MemoryAccount, log: EventLog) -> None:
        """Creates the part of an account that holds no job yet.

        The bounds follow from the limit that the account has now, which is lower while two processes share it.
        """
        self._account = account
        self._log = log
        self._max_bytes = int(JOBS_SHARE * account.limit)
        self._max_waiting_payload_bytes = int(WAITING_PAYLOADS_SHARE * account.limit)
        self._is_short = False

    @property
    def held_bytes(self) -> int:
        """Returns what the known jobs hold, in bytes."""
        by_holder = self._account.by_holder
        return by_holder[Holder.FAKTORY_JOBS] + by_holder[Holder.FAKTORY_PAYLOADS]

    @property
    def keeps_waiting_payloads(self) -> bool:
        """Returns whether there is room for the payloads of jobs that wait for a worker and are stored as well."""
        return self._account.by_holder[Holder.FAKTORY_PAYLOADS] <= self._max_waiting_payload_bytes

    def reserve(self, job: Job) -> None:
        """Reserves the memory of a pushed job and its payload, if there is room for its start too.

        Raises:
            JobMemoryError: if there is none; nothing is reserved.
        """
        size = _open_bytes(job) + STARTED_JOB_BYTES + _payload_bytes(job)
        if self.held_bytes + size > self._max_bytes or not self._account.has_room(size):
            self._account.refusals[Holder.FAKTORY_JOBS] += 1
            self._set_short(True)
            raise JobMemoryError
        if self.held_bytes + size < FREE_SHARE * self._max_bytes:
            self._set_short(False)
        self.hold(job)
        self.hold_payload(job)

    def hold(self, job: Job) -> None:
        """Counts a job without its payload that was accepted before, whether or not there is room."""
        job.held_bytes = _open_bytes(job)
        self._account.hold(Holder.FAKTORY_JOBS, job.held_bytes)

    def hold_started(self, job: Job) -> None:
        """Counts the request of a job that starts; the core limits their number."""
        job.held_bytes += STARTED_JOB_BYTES
        self._account.hold(Holder.FAKTORY_JOBS, STARTED_JOB_BYTES)

    def hold_payload(self, job: Job) -> None:
        """Counts the payload of a job that is about to be read for a delivery, of which each connection has one."""
        if not job.held_payload_bytes:
            job.held_payload_bytes = _payload_bytes(job)
            self._account.hold(Holder.FAKTORY_PAYLOADS, job.held_payload_bytes)

    def drop_payload(self, job: Job) -> None:
        """Releases the payload of a job; has no effect if none is counted."""
        self._account.release(Holder.FAKTORY_PAYLOADS, job.held_payload_bytes)
        job.held_payload_bytes = 0
        job.payload = b""

    def drop_read_payload(self, job: Job) -> None:
        """Releases the payload of a job that was read for a delivery only."""
        if not job.payload:
            self.drop_payload(job)

    def release(self, job: Job) -> None:
        """Releases an open job and its payload."""
        self.drop_payload(job)
        self._account.release(Holder.FAKTORY_JOBS, job.held_bytes)
        job.held_bytes = 0

    def hold_ended(self, jid: str) -> None:
        """Counts the jid of a job that has ended, for which the job had reserved room."""
        self._account.hold(Holder.FAKTORY_JOBS, _ended_bytes(jid))

    def release_ended(self, jid: str) -> None:
        """Releases the jid of a job that has ended."""
        self._account.release(Holder.FAKTORY_JOBS, _ended_bytes(jid))

    def _set_short(self, short: bool) -> None:
        """Logs when jobs begin to be refused for lack of memory, and when they are accepted again."""
        if short is self._is_short:
            return
        self._is_short = short
        by_holder = self._account.by_holder
        self._log(
            "job_memory",
            state="short" if short else "free",
            limit=min(self._max_bytes, self._account.limit),
            jobs=by_holder[Holder.FAKTORY_JOBS],
            payloads=by_holder[Holder.FAKTORY_PAYLOADS],
            used=self._account.used,
        )


def _open_bytes(job: Job) -> int:
    texts = sys.getsizeof(job.jid) + sys.getsizeof(job.queue)
    return OPEN_JOB_BYTES + texts + PARENT_BYTES * len(job.parents)


def _payload_bytes(job: Job) -> int:
    return job.size + PAYLOAD_OVERHEAD_BYTES


def _ended_bytes(jid: str) -> int:
    return ENDED_JOB_BYTES + sys.getsizeof(jid)

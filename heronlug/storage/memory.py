"""Provides a store without persistence, for dispatchers whose requests need not survive a restart."""

from collections.abc import Iterable

from heronlug.storage.model import DurabilityCallback, JobCallback, StoredRequest


class MemoryStore:
    """Stores nothing and calls every callback immediately; see :class:`heronlug.storage.model.Store`.

    Attributes:
        is_durable: always False.
    """

    is_durable = False

    def load(self) -> Iterable[StoredRequest]:
        """Returns no requests."""
        return ()

    def read_job(self, jid: str, callback: JobCallback) -> None:
        """Calls back immediately with an error, because no job is stored."""
        callback(b"", "the job is not stored")

    def accept(self, request: StoredRequest, callback: DurabilityCallback) -> None:
        """Calls back immediately with success."""
        callback("")

    def deliver(self, jid: str, delivered_at: float, callback: DurabilityCallback) -> None:
        """Calls back immediately with success."""
        callback("")

    def release(self, jid: str, released_at: float) -> None:
        """Does nothing."""

    def record_final_state(self, jid: str, final_state: str, ended_at: float) -> None:
        """Does nothing."""

    def forget(self, jid: str) -> None:
        """Does nothing."""

    def when_durable(self, callback: DurabilityCallback) -> None:
        """Calls back immediately with success."""
        callback("")

    def close(self) -> None:
        """Does nothing."""

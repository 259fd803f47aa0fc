"""A store that stores nothing, for dispatchers whose requests need not survive a restart."""

from collections.abc import Iterable

from heronlug.storage.model import DurabilityCallback, StoredRequest


class MemoryStore:
    """Stores nothing; every callback is called at once."""

    is_durable = False

    def load(self) -> Iterable[StoredRequest]:
        """There is nothing stored."""
        return ()

    def accept(self, request: StoredRequest, callback: DurabilityCallback) -> None:
        """Call back at once."""
        callback("")

    def deliver(self, jid: str, delivered_at: float, callback: DurabilityCallback) -> None:
        """Call back at once."""
        callback("")

    def record_final_state(self, jid: str, final_state: str, ended_at: float) -> None:
        """Do nothing."""

    def forget(self, jid: str) -> None:
        """Do nothing."""

    def when_durable(self, callback: DurabilityCallback) -> None:
        """Call back at once."""
        callback("")

    def close(self) -> None:
        """Do nothing."""

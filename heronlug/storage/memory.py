"""Nothing lasts: the same calls, done at once."""

from collections.abc import Iterable

from heronlug.storage.model import Done, Kept


class MemoryStore:
    """Keeps nothing that its process does not keep itself."""

    lasts = False

    def load(self) -> Iterable[Kept]:
        """Nothing."""
        return ()

    def accept(self, job: Kept, done: Done) -> None:
        """Done."""
        done("")

    def deliver(self, jid: str, at: float, done: Done) -> None:
        """Done."""
        done("")

    def end(self, jid: str, final: str, at: float) -> None:
        """Nothing to do."""

    def forget(self, jid: str) -> None:
        """Nothing to do."""

    def after(self, done: Done) -> None:
        """Done."""
        done("")

    def close(self) -> None:
        """Nothing to do."""

"""The index of candidates: the same choice as a scan of the whole ranking, to the last decision of random days."""

from collections.abc import Iterable

import pytest

from heronlug import Dispatcher, ListKind, Settings, WorkerEntry, WorkerList
from heronlug.decisions.model import Job, Worker
from scale.days import Day


class Scanning(Dispatcher):
    """Looks at every server of the ranking, as the paper has it."""

    def _candidates(self, job: Job, late: bool, now: float) -> Iterable[Worker]:
        super()._candidates(job, late, now)
        return list(reversed(self.order)) if late else list(self.order)


@pytest.mark.parametrize("seed", range(24))
def test_the_index_chooses_what_a_scan_chooses(seed: int) -> None:
    indexed, scanned = Day(seed).run(), Day(seed, make=Scanning).run()
    first = next((pair for pair in zip(indexed, scanned, strict=False) if pair[0] != pair[1]), None)
    assert first is None
    assert len(indexed) == len(scanned) > 100


def test_days_have_servers_that_do_not_fit() -> None:
    """A day on which all servers always fit would prove nothing of the index."""
    left_out = 0

    class Watching(Dispatcher):
        def _candidates(self, job: Job, late: bool, now: float) -> Iterable[Worker]:
            nonlocal left_out
            found = list(super()._candidates(job, late, now))
            left_out += len(self.order) - len(found)
            return found

    for seed in range(4):
        Day(seed, make=Watching).run()
    assert left_out > 10_000


def test_what_is_known_of_servers_is_forgotten_once_they_are_long_gone() -> None:
    """Risk: names of every release of a process's life; a hundred releases of 50 servers, and two are kept at most."""
    settings = Settings(classes=Day(0).dispatchers[0].s.classes)
    dispatcher = Dispatcher(settings, 1)
    for release in range(100):
        listed = tuple(WorkerEntry(release * 50 + n) for n in range(50))
        dispatcher.handle(release * 130_000.0, WorkerList(ListKind.FULL, listed))
    assert len(dispatcher.workers) <= 100
    assert len(dispatcher.left_at) <= 50

"""The index of candidates: the same choice as a scan of the whole ranking, to the last decision of random days."""

from collections.abc import Iterable

import pytest

from heronlug import Dispatcher, ListKind, ServerEntry, ServerListUpdate, Settings
from heronlug.balancer.model import Request, Server
from heronlug.balancer.selection import Selection
from scale.days import Day


class ScanningSelection(Selection):
    """Looks at every server of the ranking, as the paper has it."""

    __slots__ = ()

    def ranked_candidates(self, request: Request, overdue: bool, now: float) -> Iterable[Server]:
        super().ranked_candidates(request, overdue, now)
        servers = self._ranking.servers
        return list(reversed(servers)) if overdue else list(servers)


def scanning(settings: Settings, seed: int) -> Dispatcher:
    dispatcher = Dispatcher(settings, seed)
    dispatcher.rules.selection.__class__ = ScanningSelection
    return dispatcher


@pytest.mark.parametrize("seed", range(24))
def test_the_index_chooses_what_a_scan_chooses(seed: int) -> None:
    indexed, scanned = Day(seed).run(), Day(seed, make=scanning).run()
    first = next((pair for pair in zip(indexed, scanned, strict=False) if pair[0] != pair[1]), None)
    assert first is None
    assert len(indexed) == len(scanned) > 100


def test_days_have_servers_that_do_not_fit() -> None:
    """A day on which all servers always fit would prove nothing of the index."""
    left_out = 0

    class Watching(Selection):
        __slots__ = ()

        def ranked_candidates(self, request: Request, overdue: bool, now: float) -> Iterable[Server]:
            nonlocal left_out
            found = list(super().ranked_candidates(request, overdue, now))
            left_out += len(self._ranking.servers) - len(found)
            return found

    def watching(settings: Settings, seed: int) -> Dispatcher:
        dispatcher = Dispatcher(settings, seed)
        dispatcher.rules.selection.__class__ = Watching
        return dispatcher

    for seed in range(4):
        Day(seed, make=watching).run()
    assert left_out > 10_000


def test_what_is_known_of_servers_is_forgotten_once_they_are_long_gone() -> None:
    """Risk: names of every release of a process's life; a hundred releases of 50 servers, and two are kept at most."""
    settings = Settings(classes=Day(0).dispatchers[0].settings.classes)
    dispatcher = Dispatcher(settings, 1)
    for release in range(100):
        listed = tuple(ServerEntry(release * 50 + n) for n in range(50))
        dispatcher.handle(release * 130_000.0, ServerListUpdate(ListKind.FULL, listed))
    assert len(dispatcher.state.servers.by_id) <= 100
    assert len(dispatcher.state.servers.removed_at) <= 50

"""The index of candidates: the same choice as a scan of the whole ranking, to the last decision of random days."""

from collections.abc import Iterable

import pytest

from heronlug import Dispatcher, ListKind, ServerEntry, ServerListUpdate, Settings
from heronlug.balancer.model import Request, Server
from heronlug.balancer.selection import Selection
from scale.days import RandomDay


class ScanningSelection(Selection):
    """Looks at every server of the ranking, as the paper has it."""

    __slots__ = ()

    def ranked_candidates(self, request: Request, overdue: bool, now: float) -> Iterable[Server]:
        super().ranked_candidates(request, overdue, now)
        servers = self._ranking.servers
        return list(reversed(servers)) if overdue else list(servers)


def scanning_dispatcher(settings: Settings, seed: int) -> Dispatcher:
    dispatcher = Dispatcher(settings, seed)
    dispatcher.rules.selection.__class__ = ScanningSelection
    return dispatcher


@pytest.mark.parametrize("seed", range(24))
def test_the_index_and_a_full_scan_give_the_same_actions(seed: int) -> None:
    indexed, scanned = RandomDay(seed).run(), RandomDay(seed, make=scanning_dispatcher).run()
    first = next((pair for pair in zip(indexed, scanned, strict=False) if pair[0] != pair[1]), None)
    assert first is None
    assert len(indexed) == len(scanned) > 100


def test_random_days_include_servers_that_are_not_candidates() -> None:
    """A day on which all servers always fit would prove nothing of the index."""
    left_out = 0

    class CountingSelection(Selection):
        __slots__ = ()

        def ranked_candidates(self, request: Request, overdue: bool, now: float) -> Iterable[Server]:
            nonlocal left_out
            candidates = list(super().ranked_candidates(request, overdue, now))
            left_out += len(self._ranking.servers) - len(candidates)
            return candidates

    def counting_dispatcher(settings: Settings, seed: int) -> Dispatcher:
        dispatcher = Dispatcher(settings, seed)
        dispatcher.rules.selection.__class__ = CountingSelection
        return dispatcher

    for seed in range(4):
        RandomDay(seed, make=counting_dispatcher).run()
    assert left_out > 10_000


def test_removed_servers_are_deleted_from_the_server_table() -> None:
    """Risk: names of every release of a process's life; a hundred releases of 50 servers, and two are kept at most."""
    settings = Settings(classes=RandomDay(0).dispatchers[0].settings.classes)
    dispatcher = Dispatcher(settings, 1)
    for release in range(100):
        listed_entries = tuple(ServerEntry(release * 50 + n) for n in range(50))
        dispatcher.handle(release * 130_000.0, ServerListUpdate(ListKind.FULL, listed_entries))
    assert len(dispatcher.state.servers.by_id) <= 100
    assert len(dispatcher.state.servers.removed_at) <= 50

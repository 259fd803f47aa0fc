"""Tests that the candidate index chooses the same servers as a scan of the whole ranking."""

from collections.abc import Iterable

import pytest

from heronlug import Dispatcher, ListKind, ServerEntry, ServerListUpdate, Settings
from heronlug.balancer.model import Request, Server
from heronlug.balancer.selection import Selection
from scale.days import RandomDay


class ScanningSelection(Selection):
    """Selects among all servers of the ranking, as the algorithm in the paper does."""

    __slots__ = ()

    def ranked_candidates(self, request: Request, overdue: bool, now: float) -> Iterable[Server]:
        super().ranked_candidates(request, overdue, now)
        servers = self._ranking.servers
        return list(reversed(servers)) if overdue else list(servers)


def scanning_dispatcher(settings: Settings, seed: int) -> Dispatcher:
    """Returns a dispatcher that scans the whole ranking."""
    dispatcher = Dispatcher(settings, seed)
    dispatcher.rules.selection.__class__ = ScanningSelection
    return dispatcher


@pytest.mark.parametrize("seed", range(24))
def test_the_index_and_a_full_scan_give_the_same_actions(seed: int) -> None:
    """Fails if the index leaves out a server that a scan of the whole ranking would choose."""
    indexed, scanned = RandomDay(seed).run(), RandomDay(seed, make=scanning_dispatcher).run()
    first = next((pair for pair in zip(indexed, scanned, strict=False) if pair[0] != pair[1]), None)
    assert first is None
    assert len(indexed) == len(scanned) > 100


def test_random_days_include_servers_that_are_not_candidates() -> None:
    """Fails if the random days can't reveal an error of the index.

    On a day on which every server is a candidate, the index and a scan see the same servers anyway.
    """
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
    """Fails if a long-running process keeps the servers of every release, so that its memory grows.

    Of a hundred releases of 50 servers, at most two may remain.
    """
    settings = Settings(classes=RandomDay(0).dispatchers[0].settings.classes)
    dispatcher = Dispatcher(settings, 1)
    for release in range(100):
        listed_entries = tuple(ServerEntry(release * 50 + n) for n in range(50))
        dispatcher.handle(release * 130_000.0, ServerListUpdate(ListKind.FULL, listed_entries))
    assert len(dispatcher.state.servers.by_id) <= 100
    assert len(dispatcher.state.servers.removed_at) <= 50

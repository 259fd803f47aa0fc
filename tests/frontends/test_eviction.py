"""Which client connection is closed when descriptors run short."""

from dataclasses import dataclass

from heronlug.frontends.http.eviction import NEW_CONNECTION_GRACE_MS, EvictionOrder, EvictionRank


@dataclass(eq=False)
class Connection:
    """A connection as the order of eviction sees it."""

    handle: int
    opened_at: float = 0.0
    rank: EvictionRank | None = None
    closing: bool = False
    has_unanswered_input: bool = False


def eviction_order(now: float, *connections: tuple[Connection, EvictionRank]) -> EvictionOrder[Connection]:
    """The order with these connections, each with its rank."""
    order: EvictionOrder[Connection] = EvictionOrder(lambda: now)
    for connection, rank in connections:
        order.move(connection, rank)
    return order


def test_lowest_rank_is_evicted_first() -> None:
    served, checked, silent = Connection(1), Connection(2), Connection(3)
    ranked = [
        (served, EvictionRank.SERVED),
        (checked, EvictionRank.HEALTH_CHECKED),
        (silent, EvictionRank.SILENT),
    ]
    order = eviction_order(NEW_CONNECTION_GRACE_MS, *ranked)
    for expected in (silent, checked, served):
        assert order.first() is expected
        order.move(expected, None)
    assert order.first() is None


def test_new_silent_connection_is_evicted_after_health_checked_connection() -> None:
    silent, checked = Connection(1), Connection(2)
    order = eviction_order(
        NEW_CONNECTION_GRACE_MS - 1, (silent, EvictionRank.SILENT), (checked, EvictionRank.HEALTH_CHECKED)
    )
    assert order.first() is checked
    order.move(checked, None)
    assert order.first() is silent


def test_connection_with_unanswered_input_is_not_evicted() -> None:
    waiting, idle = Connection(1, has_unanswered_input=True), Connection(2)
    assert eviction_order(0.0, (waiting, EvictionRank.SERVED), (idle, EvictionRank.SERVED)).first() is idle
    assert eviction_order(0.0, (Connection(1), EvictionRank.BUSY)).first() is None


def test_closing_connection_can_only_have_rank_rejected() -> None:
    connection = Connection(1, closing=True)
    order = eviction_order(0.0, (connection, EvictionRank.SERVED))
    assert connection.rank is None
    assert order.first() is None
    order.move(connection, EvictionRank.REJECTED)
    assert order.first() is connection

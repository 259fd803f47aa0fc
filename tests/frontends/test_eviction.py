"""Tests the order in which client connections are closed when file descriptors run short."""

from dataclasses import dataclass

from heronlug.frontends.http.eviction import (
    MIN_IDLE_MS,
    NEW_CONNECTION_GRACE_MS,
    EvictionOrder,
    EvictionRank,
)

MAX_CONNECTIONS = 3


@dataclass(eq=False)
class Connection:
    """Stand-in for a client connection, with the attributes that the eviction order uses."""

    handle: int
    opened_at: float = 0.0
    rank: EvictionRank | None = None
    ranked_at: float = 0.0
    closing: bool = False
    is_evictable: bool = True


def eviction_order(now: float, *connections: tuple[Connection, EvictionRank]) -> EvictionOrder[Connection]:
    """Returns an eviction order at time ``now``, in ms, with each connection in its rank for ``MIN_IDLE_MS``."""
    time_ms = now - MIN_IDLE_MS
    order: EvictionOrder[Connection] = EvictionOrder(lambda: time_ms, MAX_CONNECTIONS)
    for connection, rank in connections:
        order.move(connection, rank)
    time_ms = now
    return order


def test_lowest_rank_is_evicted_first() -> None:
    """Guards against closing a served client while silent or health-checked connections remain."""
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


def test_new_silent_connection_is_not_evicted() -> None:
    """Guards against closing a new connection whose first request is still in transit, or a served one in its place."""
    silent, checked, served = Connection(1), Connection(2), Connection(3)
    ranked = [
        (silent, EvictionRank.SILENT),
        (checked, EvictionRank.HEALTH_CHECKED),
        (served, EvictionRank.SERVED),
    ]
    order = eviction_order(NEW_CONNECTION_GRACE_MS - 1, *ranked)
    assert order.first() is checked
    order.move(checked, None)
    assert order.first() is None
    order.move(silent, None)
    assert order.first() is served


def test_connection_with_unanswered_input_is_not_evicted() -> None:
    """Guards against closing a connection whose request has arrived but is unread or being served."""
    waiting, idle = Connection(1, is_evictable=False), Connection(2)
    assert eviction_order(0.0, (waiting, EvictionRank.SERVED), (idle, EvictionRank.SERVED)).first() is idle
    assert eviction_order(0.0, (Connection(1), EvictionRank.BUSY)).first() is None


def test_closing_connection_can_only_have_rank_rejected() -> None:
    """Guards against a closing connection that stays in a rank from which it would be evicted again."""
    connection = Connection(1, closing=True)
    order = eviction_order(0.0, (connection, EvictionRank.SERVED))
    assert connection.rank is None
    assert order.first() is None
    order.move(connection, EvictionRank.REJECTED)
    assert order.first() is connection


def test_connection_that_was_just_served_is_not_evicted() -> None:
    """Guards against closing the connection of a client that sends one request after another, for a new one."""
    recent, resting = Connection(1), Connection(2)
    order = eviction_order(0.0, (recent, EvictionRank.SERVED), (resting, EvictionRank.SERVED))
    order.move(recent, EvictionRank.SERVED)
    assert order.first() is resting
    order.move(resting, None)
    assert order.first() is None


def test_crowd_of_parts_is_evicted_after_silent_ones_and_before_a_client_that_rests() -> None:
    """Guards against closing an idle client while others hold connections with halves of requests."""
    served, unfinished, others, silent = Connection(1), Connection(2), Connection(3), Connection(4)
    ranked = [
        (served, EvictionRank.SERVED),
        (unfinished, EvictionRank.UNFINISHED),
        (others, EvictionRank.UNFINISHED),
        (silent, EvictionRank.SILENT),
    ]
    order = eviction_order(NEW_CONNECTION_GRACE_MS, *ranked)
    order.move(silent, None)
    assert order.first() is unfinished
    order.move(silent, EvictionRank.SILENT)
    assert order.first() is silent


def test_slow_client_keeps_its_connection_while_one_that_rests_can_make_room() -> None:
    """Guards against an error for a client that writes slowly, beside clients with whole requests."""
    served, resting, slow = Connection(1), Connection(2), Connection(3)
    ranked = [(served, EvictionRank.SERVED), (resting, EvictionRank.SERVED), (slow, EvictionRank.UNFINISHED)]
    order = eviction_order(0.0, *ranked)
    for expected in (served, resting):
        assert order.first() is expected
        order.move(expected, None)

"""Saves what a dispatcher has learned as a table of plain numbers, and restores the table in another process.

Processes of two versions read each other's tables, so the keys, the columns and their order must not change.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import isfinite
from typing import Any, NamedTuple

from heronlug.balancer.errors import SnapshotError
from heronlug.balancer.model import Server
from heronlug.balancer.peer_load import MAX_REPORTED_SLOTS
from heronlug.balancer.ranking import Ranking
from heronlug.balancer.retries import ArrivalCount, RetryBudget
from heronlug.balancer.state import BalancerState
from heronlug.balancer.zone_failover.controller import ZoneFailover


@dataclass(frozen=True, slots=True)
class LearnedParts:
    """The parts of a dispatcher that a snapshot contains."""

    state: BalancerState
    ranking: Ranking
    arrivals: ArrivalCount
    retry_budget: RetryBudget
    zone_failover: ZoneFailover


class ServerRow(NamedTuple):
    """The columns of a server in the table, in their order; times are in ms."""

    server_id: int
    started_at: float
    own_slots: float
    recent_work: list[tuple[float, float]]
    payoff_count: float
    mean_payoff: float
    health: float
    last_progress_at: float
    saturated_until: float
    ejected_until: float
    ejections: int
    trials_left: int


class KindRow(NamedTuple):
    """The columns of the capacity estimate of a kind of server, in their order."""

    kind: int
    peak_slots: float
    reported_slots: float
    slots: float


def take_snapshot(learned: LearnedParts) -> dict[str, Any]:
    """Returns the table of a dispatcher."""
    state, ranking = learned.state, learned.ranking
    run_times = state.run_times
    kinds = state.servers.capacities.items()
    return {
        "all": [ranking.send_count, ranking.ranked_at, run_times.overall, learned.arrivals.value],
        "span": sorted(run_times.by_class.items()),
        "usual_pace": sorted(run_times.usual_latencies.items()),
        "retries": learned.retry_budget.level,
        "halls": learned.zone_failover.snapshot(),
        "kinds": [[kind, c.peak_slots, c.reported_slots, c.slots] for kind, c in kinds],
        "workers": [list(_row_of(server)) for server in state.servers.by_id.values()],
    }


def restore_snapshot(learned: LearnedParts, table: Any, now: float) -> None:
    """Restores a table of another process for the servers that are listed here.

    The other process's attempts in flight at a server are counted as a peer report from this dispatcher's own position,
    which no real peer uses.

    Raises:
        SnapshotError: if the table is malformed; nothing is restored then.
    """
    state = learned.state
    try:
        send_count, ranked_at, overall, arrivals = [_finite_number(value) for value in table["all"]]
        by_class = _numbers_by_class(table["span"])
        usual_latencies = _numbers_by_class(table["usual_pace"])
        level = _finite_number(table["retries"])
        kinds = [KindRow(int(kind), *[_finite_number(value) for value in values]) for kind, *values in table["kinds"]]
        servers = list(_known_servers(table["workers"], state.servers.by_id))
        zones = [
            [int(number), str(phase), *map(_finite_number, rest)] for number, phase, *rest in table.get("halls", ())
        ]
        learned.zone_failover.restore(zones)
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        message = f"malformed snapshot: {error!r}"
        raise SnapshotError(message) from error
    learned.ranking.send_count, learned.ranking.ranked_at = float(send_count), float(ranked_at)
    state.run_times.overall = float(overall)
    state.run_times.by_class.update(by_class)
    state.run_times.usual_latencies.update(usual_latencies)
    learned.arrivals.value = int(arrivals)
    learned.retry_budget.set_level(level)
    for kind in kinds:
        capacity = state.servers.capacities[kind.kind]
        capacity.peak_slots, capacity.reported_slots, capacity.slots = kind[1:]
    counts = {}
    for server, row in servers:
        _restore_server(server, row)
        if row.own_slots:
            counts[server.id] = min(MAX_REPORTED_SLOTS, round(row.own_slots))
    state.peer_load.set_counts(state.settings.position, counts, state.servers.by_id, now)


def _row_of(server: Server) -> ServerRow:
    outlier = server.outlier
    return ServerRow(
        server.id,
        server.started_at,
        server.load.own_slots,
        server.slow_start.recent_work.items(),
        server.payoff.count,
        server.payoff.mean,
        outlier.health,
        outlier.last_progress_at,
        outlier.saturated_until,
        outlier.ejected_until,
        outlier.ejections,
        outlier.trials_left,
    )


def _known_servers(rows: Iterable[Any], servers: dict[int, Server]) -> Iterable[tuple[Server, ServerRow]]:
    """Yields the rows of servers that are listed here with the same process start time."""
    for number, started_at, own_slots, recent_work, *numbers in rows:
        server = servers.get(number)
        columns = len(ServerRow._fields) - 4
        if server is not None and server.started_at == started_at and len(numbers) == columns:
            items = [(_finite_number(at), _finite_number(amount)) for at, amount in recent_work]
            values: list[Any] = [_finite_number(value) for value in numbers]
            yield server, ServerRow(number, started_at, _finite_number(own_slots), items, *values)


def _restore_server(server: Server, row: ServerRow) -> None:
    outlier = server.outlier
    server.payoff.count, server.payoff.mean = float(row.payoff_count), float(row.mean_payoff)
    outlier.health = float(row.health)
    outlier.last_progress_at = float(row.last_progress_at)
    outlier.saturated_until = float(row.saturated_until)
    outlier.ejected_until = float(row.ejected_until)
    outlier.ejections, outlier.trials_left = int(row.ejections), int(row.trials_left)
    for at, amount in row.recent_work:
        server.slow_start.recent_work.add(at, amount)


def _numbers_by_class(rows: Iterable[Any]) -> dict[int, float]:
    return {int(class_index): _finite_number(value) for class_index, value in rows}


def _finite_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        message = f"snapshot value {value!r} is not a finite number"
        raise SnapshotError(message)
    return value

"""The zones as operators see them; the keys stand in operators' pages."""

from typing import Any

from heronlug.balancer.model import Server
from heronlug.balancer.zone_failover.zone_state import ZonePhase, ZoneState


def overview(
    zone: ZoneState, servers: list[Server], *, tried_since: float, decided_by: str, now: float
) -> dict[str, Any]:
    """What is known of a zone and its servers.

    Args:
        zone: its state.
        servers: its ready servers.
        tried_since: ends before this time don't count.
        decided_by: who decides, unless an operator does.
        now: the time.
    """
    tried = [server.outlier for server in servers if server.outlier.last_ended_at >= tried_since]
    standings = [server.zone_standing for server in servers]
    return {
        "state": zone.phase.value,
        "hosts": len(servers),
        "offered": sum(not standing.excluded or standing.probing for standing in standings),
        "stage": zone.stage + 1 if zone.phase is ZonePhase.RETURNING else None,
        "tried": len(tried),
        "failed": sum(outlier.last_ended_badly for outlier in tried),
        "falls": zone.relapses,
        "for_s": round((now - zone.since) / 1000) if zone.since else None,
        "cause": zone.cause or None,
        "decided": "by hand" if now < zone.held_until else decided_by,
    }

"""Builds the overview of a zone for operators; operator tools rely on its keys."""

from typing import Any

from heronlug.balancer.model import Server
from heronlug.balancer.zone_failover.zone_state import ZonePhase, ZoneState


def overview(
    zone: ZoneState, servers: list[Server], *, tried_since: float, decided_by: str, now: float
) -> dict[str, Any]:
    """Returns the state of a zone and counts of its servers.

    Args:
        zone: state of the zone.
        servers: ready servers of the zone.
        tried_since: time in ms before which outcomes don't count.
        decided_by: name of the dispatcher that decides, shown unless an operator holds the phase.
        now: current time in ms.

    Returns:
        The overview by key; ``for_s`` is in seconds.
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

"""Shows the zones to operators and executes their orders for a zone (``hall`` on the command line and in answers)."""

from typing import Any

from heronlug.balancer.errors import ZoneOrderError
from heronlug.balancer.zone_failover.zone_state import ZonePhase
from heronlug.config.desired_state import StateError
from heronlug.requests.core import Core

MAX_ORDER_S = 7 * 86_400.0
"""Maximum duration of an order, in seconds."""
RELEASE = "release"
"""The order that ends an earlier order, so that the balancer decides again."""
ORDERED_PHASES = {"leave": ZonePhase.EXCLUDED, "return": ZonePhase.HEALTHY}
"""The phase that each order sets."""


def view(core: Core, zones: list[str]) -> list[dict[str, Any]]:
    """Returns a row for each zone that has servers.

    Raises:
        StateError: if zone failover is disabled.
    """
    _check_enabled(core)
    rows = core.dispatcher.rules.zone_failover.overview(core.deadlines.clock())
    return [{"hall": _zone_name(number, zones), **row} for number, row in sorted(rows.items())]


def order(core: Core, zones: list[str], request: dict[str, Any]) -> list[dict[str, Any]]:
    """Excludes a zone, returns traffic to the zone, or ends an earlier order; returns the rows of :func:`view`.

    Args:
        core: The core of the HTTP frontend.
        zones: The names of the zones by number.
        request: ``do`` has the order, ``hall`` the name of the zone, and ``for_s`` the duration in seconds, where None
            is unlimited.

    Raises:
        StateError: if the order is invalid; no zone has changed.
    """
    _check_enabled(core)
    order_name = request["do"]
    zone = request["hall"]
    duration_s = request.get("for_s")
    if zone not in zones:
        msg = f"hall {zone!r}: unknown hall; there are {', '.join(zones)}"
        raise StateError(msg)
    if order_name not in (*ORDERED_PHASES, RELEASE):
        msg = f"order {order_name!r}: unknown; accepted are leave, return and release"
        raise StateError(msg)
    if duration_s is not None and not 0 < float(duration_s) <= MAX_ORDER_S:
        msg = f"--for {duration_s}: must be more than 0 and at most {MAX_ORDER_S:g} seconds"
        raise StateError(msg)
    now = core.deadlines.clock()
    until = now + 1000.0 * float(duration_s) if duration_s is not None else float("inf")
    try:
        core.dispatcher.rules.zone_failover.order(zones.index(zone), ORDERED_PHASES.get(order_name), until, now)
    except ZoneOrderError as error:
        msg = f"hall {zone}: {error}"
        raise StateError(msg) from error
    return view(core, zones)


def _zone_name(number: int, zones: list[str]) -> str:
    return zones[number] if number < len(zones) else f"no. {number}"


def _check_enabled(core: Core) -> None:
    if not core.settings.zone_failover:
        msg = "zone failover is disabled: [site] leave_halls is false"
        raise StateError(msg)

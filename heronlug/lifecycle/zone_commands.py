"""Operators' view of the zones, and their orders for one (``halls`` on the command line and in its answers)."""

from typing import Any

from heronlug.balancer.errors import ZoneOrderError
from heronlug.balancer.zone_failover.zone_state import ZonePhase
from heronlug.config.desired_state import StateError
from heronlug.requests.core import Core

MAX_ORDER_S = 7 * 86_400.0
"""How long an order may hold at most, in seconds."""
RELEASE = "release"
"""The order that ends another: the balancer decides again."""
ORDERED_PHASES = {"leave": ZonePhase.EXCLUDED, "return": ZonePhase.HEALTHY}
"""The phase that each order sets."""


def view(core: Core, zones: list[str]) -> list[dict[str, Any]]:
    """A row for each zone that has servers.

    Raises:
        StateError: if zones don't fail over here.
    """
    _check_enabled(core)
    rows = core.dispatcher.rules.zone_failover.overview(core.deadlines.clock())
    return [{"hall": _zone_name(number, zones), **row} for number, row in sorted(rows.items())]


def order(core: Core, zones: list[str], request: dict[str, Any]) -> list[dict[str, Any]]:
    """Exclude a zone, return to it, or let the balancer decide again; returns the rows of :func:`view`.

    Args:
        core: of the HTTP frontend.
        zones: the names, by number.
        request: ``do`` has the order, ``hall`` the zone, ``for_s`` how long it holds in seconds, None for ever.

    Raises:
        StateError: if the order cannot be carried out; nothing has changed.
    """
    _check_enabled(core)
    order_name = request["do"]
    zone = request["hall"]
    duration_s = request.get("for_s")
    if zone not in zones:
        msg = f"hall {zone!r}: none is called so; there are {', '.join(zones)}"
        raise StateError(msg)
    if order_name not in (*ORDERED_PHASES, RELEASE):
        msg = f"{order_name!r} is no order for a hall"
        raise StateError(msg)
    if duration_s is not None and not 0 < float(duration_s) <= MAX_ORDER_S:
        msg = f"--for {duration_s}: more than 0 and at most {MAX_ORDER_S:g} seconds"
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
        msg = "halls are not left as one here: [site] leave_halls is false"
        raise StateError(msg)

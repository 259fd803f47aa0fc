"""What operators see of the halls, and what they order: how names and words become calls on the decisions."""

from typing import Any

from heronlug.balancer.errors import ZoneOrderError
from heronlug.balancer.zone_failover.zone_state import ZonePhase
from heronlug.config.desired_state import StateError
from heronlug.requests.core import Core

LONGEST = 7 * 86_400.0  # s that an order may hold
ORDERS = {"leave": ZonePhase.EXCLUDED, "return": ZonePhase.HEALTHY}


def _named(number: int, zones: list[str]) -> str:
    return zones[number] if number < len(zones) else f"no. {number}"


def _looked_at(core: Core) -> None:
    if not core.settings.zone_failover:
        raise StateError("halls are not left as one here: [site] leave_halls is false")


def view(core: Core, zones: list[str]) -> list[dict[str, Any]]:
    """All halls that have hosts, for people; raises :class:`StateError` where halls are not looked at."""
    _looked_at(core)
    rows = core.dispatcher.rules.zone_failover.overview(core.deadlines.clock())
    return [{"hall": _named(number, zones), **row} for number, row in sorted(rows.items())]


def order(core: Core, zones: list[str], asked: dict[str, Any]) -> list[dict[str, Any]]:
    """Leave a hall, return to it, or decide by what is seen again; raises :class:`StateError` and changes nothing."""
    _looked_at(core)
    what, name, seconds = asked["do"], asked["hall"], asked.get("for_s")
    if name not in zones:
        raise StateError(f"hall {name!r}: none is called so; there are {', '.join(zones)}")
    if what not in (*ORDERS, "release"):
        raise StateError(f"{what!r} is no order for a hall")
    if seconds is not None and not 0 < float(seconds) <= LONGEST:
        raise StateError(f"--for {seconds}: more than 0 and at most {LONGEST:g} seconds")
    now, number = core.deadlines.clock(), zones.index(name)
    until = now + 1000.0 * float(seconds) if seconds is not None else float("inf")
    try:
        core.dispatcher.rules.zone_failover.order(number, ORDERS.get(what), until, now)
    except ZoneOrderError as error:
        raise StateError(f"hall {name}: {error}") from error
    return view(core, zones)
